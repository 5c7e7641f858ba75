//! Proposes changes to the catalogue, and waits until they are in force.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use arbutuslane_catalogue::border;
use arbutuslane_core::hash;
use arbutuslane_wire::{operator, status};
use ntex::time::sleep;
use serde::Serialize;

use super::{read, show_control_findings, show_findings};
use crate::answers;
use crate::client::HttpClient;
use crate::error::Error;
use crate::exit::Code;
use crate::files;
use crate::leader::{self, ROUND_PAUSE};
use crate::output;
use crate::settings::Settings;

/// The options of a proposed change.
#[derive(Debug, Clone)]
pub(crate) struct Proposal {
    /// The revision that the change was made from.
    pub(crate) base: u64,
    /// The change id; derived from the change if `None`.
    pub(crate) change_id: Option<String>,
    /// The author; the one in the settings if `None`.
    pub(crate) author: Option<String>,
    /// Whether to wait until the revision is in force on every live instance.
    pub(crate) wait: bool,
    /// How long to resend the change and, with `wait`, to wait.
    pub(crate) timeout: Duration,
}

#[derive(Serialize)]
struct ApplyOutput {
    outcome: &'static str,
    change_id: String,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner_author: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<RolloutStatus>,
}

/// The instances that have a revision in force, and those that have not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
struct RolloutStatus {
    /// The number of live instances.
    instances: usize,
    /// The names of live instances that have an earlier revision in force.
    behind: Vec<String>,
    /// The addresses in the settings that did not respond.
    unreached: Vec<String>,
}

impl RolloutStatus {
    /// Returns whether every instance that responded, or that another one reports as alive, has the
    /// revision in force. Addresses that did not respond are not considered.
    fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.instances > 0
    }
}

/// The decision of the control instances on a proposed change.
enum ProposalOutcome {
    Accepted(u64),
    Conflict(operator::Conflict),
    Invalid(border::Findings),
}

/// Proposes the catalogue in `paths`.
pub(crate) async fn apply(
    paths: Vec<PathBuf>,
    proposal: Proposal,
    settings: Settings,
    json: bool,
) -> Result<Code, Error> {
    let catalogue = files::read(&paths)?;
    if !catalogue.findings.is_empty() {
        show_findings(&catalogue.findings, json);
        return Ok(Code::Invalid);
    }
    let http = HttpClient::new(Some(settings.token()?), settings.timeout_ms).await?;
    let entries = catalogue.entries.into_iter().map(Into::into).collect();
    propose(&http, entries, &proposal, &settings, json).await
}

/// Proposes the catalogue of an earlier revision as a new one.
pub(crate) async fn rollback(
    revision: u64,
    proposal: Proposal,
    settings: Settings,
    json: bool,
) -> Result<Code, Error> {
    let http = HttpClient::new(Some(settings.token()?), settings.timeout_ms).await?;
    let earlier = read::fetch(&http, &settings, Some(revision)).await?;
    propose(&http, earlier.entries, &proposal, &settings, json).await
}

async fn propose(
    http: &HttpClient,
    entries: Vec<border::Entry>,
    proposal: &Proposal,
    settings: &Settings,
    json: bool,
) -> Result<Code, Error> {
    let author = proposal.author.clone().or_else(|| settings.author.clone());
    let author = author.ok_or(Error::MissingSetting { name: "author", key: "author" })?;
    let change_id = match &proposal.change_id {
        Some(change_id) => change_id.clone(),
        None => derived_id(proposal.base, &author, &entries),
    };
    let change = border::Change { change_id, author, base_revision: proposal.base, entries };
    let started = Instant::now();
    let outcome = submit(http, &change, settings, started, proposal.timeout).await?;
    let mut applied = ApplyOutput {
        outcome: "accepted",
        change_id: change.change_id,
        revision: 0,
        winner: None,
        winner_author: None,
        in_force: None,
    };
    let code = match outcome {
        ProposalOutcome::Invalid(findings) => {
            show_control_findings(&findings.findings, json);
            return Ok(Code::Invalid);
        }
        ProposalOutcome::Conflict(conflict) => {
            applied.outcome = "conflict";
            applied.revision = conflict.revision;
            applied.winner = Some(conflict.winner);
            applied.winner_author = Some(conflict.author);
            Code::Conflict
        }
        ProposalOutcome::Accepted(revision) => {
            applied.revision = revision;
            if proposal.wait {
                let rollout =
                    wait_until_in_force(http, revision, settings, started, proposal.timeout).await;
                let is_complete = rollout.is_complete() && rollout.unreached.is_empty();
                applied.in_force = Some(rollout);
                if is_complete { Code::Done } else { Code::Partial }
            } else {
                Code::Done
            }
        }
    };
    if json {
        output::write_json(&applied);
    } else {
        output::write_line(&render(&applied));
    }
    Ok(code)
}

/// Derives a change id from the change alone, so that the same command repeats the id.
fn derived_id(base: u64, author: &str, entries: &[border::Entry]) -> String {
    let text = serde_json::to_string(&(base, author, entries)).unwrap_or_default();
    let (low, high) = (hash::of_bytes(text.as_bytes()), hash::weight(&text, "change id"));
    format!("change-{low:016x}{high:016x}")
}

async fn submit(
    http: &HttpClient,
    change: &border::Change,
    settings: &Settings,
    started: Instant,
    timeout: Duration,
) -> Result<ProposalOutcome, Error> {
    let (path, id) = ("/v1/changes", &change.change_id);
    let (address, response) =
        leader::post(http, settings, path, change, id, (started, timeout)).await?;
    match response.status {
        200 => {
            let accepted: operator::Accepted = response.json(&address)?;
            Ok(ProposalOutcome::Accepted(accepted.revision))
        }
        409 => Ok(ProposalOutcome::Conflict(response.json(&address)?)),
        422 => {
            let findings = response.json_or_none::<border::Findings>();
            findings
                .map(ProposalOutcome::Invalid)
                .ok_or_else(|| leader::refusal_error(&address, &response))
        }
        _ => Err(leader::refusal_error(&address, &response)),
    }
}

/// Waits until every live instance has reported `revision` or a later one, or `timeout` has passed
/// since `started`.
async fn wait_until_in_force(
    http: &HttpClient,
    revision: u64,
    settings: &Settings,
    started: Instant,
    timeout: Duration,
) -> RolloutStatus {
    loop {
        let mut statuses = Vec::new();
        let mut unreached = Vec::new();
        // Also queries nodes, because a node that reports to no control instance still returns its
        // own revision.
        for (addresses, http) in
            [(&settings.controls, http.clone()), (&settings.nodes, http.without_token())]
        {
            for address in addresses {
                let response = http.get(address, "/v1/status").await.ok();
                match response
                    .and_then(|response| response.json_or_none::<answers::StatusResponse>())
                {
                    Some(status) => statuses.push(status.into()),
                    None => unreached.push(address.clone()),
                }
            }
        }
        let mut rollout = progress(revision, &statuses);
        rollout.unreached = unreached;
        if rollout.is_complete() || started.elapsed() >= timeout {
            return rollout;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Returns the number of live instances and the names of those that are behind `revision`.
///
/// A node reports its revision to only one control instance, so the highest reported one counts.
fn progress(revision: u64, statuses: &[status::Status]) -> RolloutStatus {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for status in statuses {
        let members = status.members.iter().filter(|member| member.state == "alive");
        let reported = members.map(|member| (member.instance.as_str(), member.revision));
        for (instance, reported) in reported.chain([(status.instance.as_str(), status.revision)]) {
            let highest = highest.entry(instance).or_default();
            *highest = reported.max(*highest);
        }
    }
    let behind = highest.iter().filter(|(_, reported)| **reported < revision);
    RolloutStatus {
        instances: highest.len(),
        behind: behind.map(|(instance, _)| (*instance).to_string()).collect(),
        unreached: Vec::new(),
    }
}

fn render(applied: &ApplyOutput) -> String {
    let revision = applied.revision;
    if applied.outcome == "conflict" {
        return format!(
            "conflict: nothing was changed. Change {} by {} made revision {revision}.\n\
             remedy: compare with `catalogue diff`, then apply with --base {revision}",
            applied.winner.as_deref().unwrap_or_default(),
            applied.winner_author.as_deref().unwrap_or_default(),
        );
    }
    let mut text = format!("accepted as revision {revision} (change {})", applied.change_id);
    if let Some(rollout) = &applied.in_force {
        let up_to_date = rollout.instances - rollout.behind.len();
        text.push_str(&format!("\nin force on {up_to_date} of {} instances", rollout.instances));
        if !rollout.behind.is_empty() {
            text.push_str(&format!("; not yet on {}", rollout.behind.join(", ")));
        }
        if !rollout.unreached.is_empty() {
            text.push_str(&format!("\nnot reached: {}", rollout.unreached.join(", ")));
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against treating a resent command as another change.
    #[test]
    fn derived_id_repeats() {
        let id = derived_id(4, "mari", &[]);
        assert_eq!(id, derived_id(4, "mari", &[]));
        assert_ne!(id, derived_id(5, "mari", &[]));
        assert_ne!(id, derived_id(4, "jaan", &[]));
    }

    /// Guards against an outdated report that decides whether a node is up to date.
    #[test]
    fn progress_highest_report() {
        let member = |instance: &str, state: &str, revision| status::Member {
            instance: instance.to_string(),
            state: state.to_string(),
            revision,
            ..status::Member::default()
        };
        let status = |instance: &str, members| status::Status {
            instance: instance.to_string(),
            revision: 7,
            members,
            ..status::Status::default()
        };
        let statuses = [
            status("c1", vec![member("n1", "alive", 7), member("n2", "alive", 0)]),
            status("c2", vec![member("n1", "alive", 6), member("n2", "alive", 6)]),
            status("c3", vec![member("n3", "dead", 1)]),
        ];
        let in_force = progress(7, &statuses);
        assert_eq!(
            in_force,
            RolloutStatus { instances: 5, behind: vec!["n2".to_string()], unreached: Vec::new() }
        );
    }
}
