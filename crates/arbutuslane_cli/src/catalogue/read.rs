//! Reads the catalogue, its history and the live servers from the control instances.

use std::time::{Duration, Instant};

use arbutuslane_catalogue::{border, diff};
use arbutuslane_wire::{operator, status};
use ntex::time::sleep;

use crate::answers;
use crate::client::{Http, Reply};
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
    let http = Http::new(Some(settings.token()?), settings.timeout_ms).await?;
    let current = current(&http, &settings, revision).await?;
    if json {
        output::json(&current);
        return Ok(Code::Done);
    }
    output::json(&border::File { entries: current.entries });
    // The revision goes to standard error, so that standard output is a valid catalogue file.
    eprintln!("revision {}", current.revision);
    Ok(Code::Done)
}

/// Shows the most recent accepted changes.
pub(crate) async fn history(limit: usize, settings: Settings, json: bool) -> Result<Code, Error> {
    let http = Http::new(Some(settings.token()?), settings.timeout_ms).await?;
    let (address, reply) = first_answer(&http, &settings, "/v1/history").await?;
    let mut history: operator::History = reply.json(&address)?;
    let skipped = history.records.len().saturating_sub(limit);
    history.records.drain(..skipped);
    if json {
        output::json(&history);
        return Ok(Code::Done);
    }
    let head = ["revision", "time", "author", "services", "change"];
    let mut rows = vec![head.map(str::to_string).to_vec()];
    for record in history.records {
        let time = match record.at_ms {
            0 => "-".to_string(),
            at_ms => arbutuslane_event::log::utc(at_ms),
        };
        let (revision, services) = (record.revision.to_string(), record.services.join(","));
        rows.push(vec![revision, time, record.author, services, record.change_id]);
    }
    output::line(&output::table(&rows));
    Ok(Code::Done)
}

/// Returns the catalogue in force, or that of an earlier revision.
pub(crate) async fn current(
    http: &Http,
    settings: &Settings,
    revision: Option<u64>,
) -> Result<border::Catalogue, Error> {
    let path = match revision {
        Some(revision) => format!("/v1/catalogue?revision={revision}"),
        None => "/v1/catalogue".to_string(),
    };
    let (address, reply) = first_answer(http, settings, &path).await?;
    let current: border::Catalogue = match (reply.status, revision) {
        (404, Some(revision)) => return Err(Error::NoRevision { address, revision }),
        _ => reply.json(&address)?,
    };
    match revision {
        Some(revision) if revision != current.revision => {
            Err(Error::NoRevision { address, revision })
        }
        _ => Ok(current),
    }
}

/// Returns the live servers of each service, or nothing when no instance in the settings tells.
pub(super) async fn live(http: &Http, settings: &Settings) -> Option<Vec<diff::Live>> {
    let mut statuses: Vec<status::Status> = Vec::new();
    for (addresses, http) in
        [(&settings.controls, http.clone()), (&settings.nodes, http.without_token())]
    {
        for address in addresses {
            let Ok(reply) = http.get(address, "/v1/status").await else { continue };
            statuses.extend(reply.json_or_none::<answers::Status>().map(Into::into));
        }
    }
    let services = crate::status::merge(&statuses);
    let live = |service: status::Service| diff::Live {
        service: service.service,
        live: service.live,
        ejected: service.ejected,
    };
    (!services.is_empty()).then(|| services.into_iter().map(live).collect())
}

/// Returns the first response of a control instance that is not a fault of that instance.
pub(super) async fn first_answer(
    http: &Http,
    settings: &Settings,
    path: &str,
) -> Result<(String, Reply), Error> {
    if settings.controls.is_empty() {
        return Err(Error::Missing { what: "control instance", key: "controls" });
    }
    let started = Instant::now();
    loop {
        let mut tried = Vec::new();
        let mut electing = false;
        for address in &settings.controls {
            match http.get(address, path).await {
                Ok(reply) if matches!(reply.status, 401 | 403) => {
                    return Err(leader::refused(address, &reply));
                }
                Ok(reply) if reply.status < 500 => return Ok((address.clone(), reply)),
                Ok(reply) => {
                    electing |= reply.status == 503;
                    tried.push(format!("{address}: status {}", reply.status));
                }
                Err(fault) => tried.push(format!("{address}: {fault}")),
            }
        }
        // Without a leader, instances refuse to show what may be outdated; one is elected soon.
        if !electing || started.elapsed() >= Duration::from_millis(settings.timeout_ms) {
            return Err(Error::Unreachable { tried: tried.join("; ") });
        }
        sleep(ROUND_PAUSE).await;
    }
}
