//! Reads the catalogue, its history and the live servers from the control instances.

use std::time::{Duration, Instant};

use arbutuslane_catalogue::{border, diff};
use arbutuslane_wire::{operator, status};
use ntex::time::sleep;

use crate::answers;
use crate::client::{HttpClient, Response};
use crate::error::Error;
use crate::exit::Code;
use crate::leader::{self, ROUND_PAUSE};
use crate::output;
use crate::settings::Settings;

/// Shows the catalogue in the form of a catalogue file.
pub(crate) async fn show(
    revision: Option<u64>,
    settings: Settings,
    json: bool,
) -> Result<Code, Error> {
    let http = HttpClient::new(Some(settings.token()?), settings.timeout_ms).await?;
    let current = fetch(&http, &settings, revision).await?;
    if json {
        output::write_json(&current);
        return Ok(Code::Done);
    }
    output::write_json(&border::File { entries: current.entries });
    // The revision goes to standard error, so that standard output is a valid catalogue file.
    eprintln!("revision {}", current.revision);
    Ok(Code::Done)
}

/// Shows the most recent accepted changes.
pub(crate) async fn history(limit: usize, settings: Settings, json: bool) -> Result<Code, Error> {
    let http = HttpClient::new(Some(settings.token()?), settings.timeout_ms).await?;
    let (address, response) = first_response(&http, &settings, "/v1/history").await?;
    let mut history: operator::History = response.json(&address)?;
    let skipped = history.records.len().saturating_sub(limit);
    history.records.drain(..skipped);
    if json {
        output::write_json(&history);
        return Ok(Code::Done);
    }
    let head = ["revision", "time", "author", "services", "change"];
    let mut rows = vec![head.map(str::to_string).to_vec()];
    for record in history.records {
        let time = match record.at_ms {
            0 => "-".to_string(),
            at_ms => arbutuslane_event::log::format_utc(at_ms),
        };
        let (revision, services) = (record.revision.to_string(), record.services.join(","));
        rows.push(vec![revision, time, record.author, services, record.change_id]);
    }
    output::write_line(&output::format_table(&rows));
    Ok(Code::Done)
}

/// Returns the catalogue in force, or that of an earlier revision.
pub(crate) async fn fetch(
    http: &HttpClient,
    settings: &Settings,
    revision: Option<u64>,
) -> Result<border::Catalogue, Error> {
    let path = match revision {
        Some(revision) => format!("/v1/catalogue?revision={revision}"),
        None => "/v1/catalogue".to_string(),
    };
    let (address, response) = first_response(http, settings, &path).await?;
    let current: border::Catalogue = match (response.status, revision) {
        (404, Some(revision)) => return Err(Error::NoRevision { address, revision }),
        _ => response.json(&address)?,
    };
    match revision {
        Some(revision) if revision != current.revision => {
            Err(Error::NoRevision { address, revision })
        }
        _ => Ok(current),
    }
}

/// Returns the numbers of live servers of each service, or `None` when no instance in the settings
/// reports any service.
pub(super) async fn live_servers(
    http: &HttpClient,
    settings: &Settings,
) -> Option<Vec<diff::RunningServers>> {
    let mut statuses: Vec<status::Status> = Vec::new();
    for (addresses, http) in
        [(&settings.controls, http.clone()), (&settings.nodes, http.without_token())]
    {
        for address in addresses {
            let Ok(response) = http.get(address, "/v1/status").await else { continue };
            statuses.extend(response.json_or_none::<answers::StatusResponse>().map(Into::into));
        }
    }
    let services = crate::status::merge(&statuses);
    let to_live = |service: status::Service| diff::RunningServers {
        service: service.service,
        live: service.live,
        ejected: service.ejected,
    };
    (!services.is_empty()).then(|| services.into_iter().map(to_live).collect())
}

/// Returns the first response of a control instance that is not a server error, with the address of
/// that instance.
pub(super) async fn first_response(
    http: &HttpClient,
    settings: &Settings,
    path: &str,
) -> Result<(String, Response), Error> {
    if settings.controls.is_empty() {
        return Err(Error::MissingSetting { name: "control instance", key: "controls" });
    }
    let started = Instant::now();
    loop {
        let mut attempts = Vec::new();
        let mut has_no_leader = false;
        for address in &settings.controls {
            match http.get(address, path).await {
                Ok(response) if matches!(response.status, 401 | 403) => {
                    return Err(leader::refusal_error(address, &response));
                }
                Ok(response) if response.status < 500 => return Ok((address.clone(), response)),
                Ok(response) => {
                    has_no_leader |= response.status == 503;
                    attempts.push(format!("{address}: status {}", response.status));
                }
                Err(error) => attempts.push(format!("{address}: {error}")),
            }
        }
        // Without a leader, instances reject reads that may be stale. Retries, because an election
        // ends soon.
        if !has_no_leader || started.elapsed() >= Duration::from_millis(settings.timeout_ms) {
            return Err(Error::Unreachable { attempts: attempts.join("; ") });
        }
        sleep(ROUND_PAUSE).await;
    }
}
