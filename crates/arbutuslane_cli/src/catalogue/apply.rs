//! Proposes changes of the catalogue, and waits until they are in force.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use arbutuslane_catalogue::border;
use arbutuslane_core::hash;
use arbutuslane_wire::{operator, status};
use ntex::time::sleep;
use serde::Serialize;

use super::{read, show_findings, show_refused};
use crate::answers;
use crate::client::Http;
use crate::error::Error;
use crate::exit::Code;
use crate::files;
use crate::leader::{self, ROUND_PAUSE};
use crate::output;
use crate::settings::Settings;

/// How a change is proposed.
#[derive(Debug, Clone)]
pub(crate) struct Proposal {
    pub(crate) base: u64,
    pub(crate) change_id: Option<String>,
    pub(crate) author: Option<String>,
    pub(crate) wait: bool,
    pub(crate) timeout: Duration,
}

#[derive(Serialize)]
struct Applied {
    outcome: &'static str,
    change_id: String,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner_author: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<InForce>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
struct InForce {
    instances: usize,
    behind: Vec<String>,
    unreached: Vec<String>,
}

impl InForce {
    /// Returns whether every instance that answered, or that another one calls alive, is ready.
    fn is_reached(&self) -> bool {
        self.behind.is_empty() && self.instances > 0
    }
}

enum Answer {
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
    let http = Http::new(Some(settings.token()?), settings.timeout_ms).await?;
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
    let http = Http::new(Some(settings.token()?), settings.timeout_ms).await?;
    let earlier = read::current(&http, &settings, Some(revision)).await?;
    propose(&http, earlier.entries, &proposal, &settings, json).await
}

async fn propose(
    http: &Http,
    entries: Vec<border::Entry>,
    proposal: &Proposal,
    settings: &Settings,
    json: bool,
) -> Result<Code, Error> {
    let author = proposal.author.clone().or_else(|| settings.author.clone());
    let author = author.ok_or(Error::Missing { what: "author", key: "author" })?;
    let change_id = match &proposal.change_id {
        Some(change_id) => change_id.clone(),
        None => derived_id(proposal.base, &author, &entries),
    };
    let change = border::Change { change_id, author, base_revision: proposal.base, entries };
    let started = Instant::now();
    let answer = submit(http, &change, settings, started, proposal.timeout).await?;
    let mut applied = Applied {
        outcome: "accepted",
        change_id: change.change_id,
        revision: 0,
        winner: None,
        winner_author: None,
        in_force: None,
    };
    let code = match answer {
        Answer::Invalid(findings) => {
            show_refused(&findings.findings, json);
            return Ok(Code::Invalid);
        }
        Answer::Conflict(conflict) => {
            applied.outcome = "conflict";
            applied.revision = conflict.revision;
            applied.winner = Some(conflict.winner);
            applied.winner_author = Some(conflict.author);
            Code::Conflict
        }
        Answer::Accepted(revision) => {
            applied.revision = revision;
            if proposal.wait {
                let in_force = wait(http, revision, settings, started, proposal.timeout).await;
                let complete = in_force.is_reached() && in_force.unreached.is_empty();
                applied.in_force = Some(in_force);
                if complete { Code::Done } else { Code::Partial }
            } else {
                Code::Done
            }
        }
    };
    if json {
        output::json(&applied);
    } else {
        output::line(&render(&applied));
    }
    Ok(code)
}

/// Returns an id that follows from the change alone, so that the same command repeats it.
fn derived_id(base: u64, author: &str, entries: &[border::Entry]) -> String {
    let text = serde_json::to_string(&(base, author, entries)).unwrap_or_default();
    let (low, high) = (hash::of_bytes(text.as_bytes()), hash::weight(&text, "change id"));
    format!("change-{low:016x}{high:016x}")
}

async fn submit(
    http: &Http,
    change: &border::Change,
    settings: &Settings,
    started: Instant,
    timeout: Duration,
) -> Result<Answer, Error> {
    let (path, id) = ("/v1/changes", &change.change_id);
    let (address, reply) =
        leader::post(http, settings, path, change, id, (started, timeout)).await?;
    match reply.status {
        200 => {
            let accepted: operator::Accepted = reply.json(&address)?;
            Ok(Answer::Accepted(accepted.revision))
        }
        409 => Ok(Answer::Conflict(reply.json(&address)?)),
        422 => {
            let findings = reply.json_or_none::<border::Findings>();
            findings.map(Answer::Invalid).ok_or_else(|| leader::refused(&address, &reply))
        }
        _ => Err(leader::refused(&address, &reply)),
    }
}

/// Waits until every live instance has reported `revision` or a later one.
async fn wait(
    http: &Http,
    revision: u64,
    settings: &Settings,
    started: Instant,
    timeout: Duration,
) -> InForce {
    loop {
        let mut statuses = Vec::new();
        let mut unreached = Vec::new();
        // Nodes tell their own revision, also while they report to no control instance.
        for (addresses, http) in
            [(&settings.controls, http.clone()), (&settings.nodes, http.without_token())]
        {
            for address in addresses {
                let reply = http.get(address, "/v1/status").await.ok();
                match reply.and_then(|reply| reply.json_or_none::<answers::Status>()) {
                    Some(status) => statuses.push(status.into()),
                    None => unreached.push(address.clone()),
                }
            }
        }
        let mut in_force = progress(revision, &statuses);
        in_force.unreached = unreached;
        if in_force.is_reached() || started.elapsed() >= timeout {
            return in_force;
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Returns how many instances are alive and which of them are behind `revision`.
///
/// A node reports its revision to one control instance only, so the highest report counts.
fn progress(revision: u64, statuses: &[status::Status]) -> InForce {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    for status in statuses {
        let members = status.members.iter().filter(|member| member.state == "alive");
        let known = members.map(|member| (member.instance.as_str(), member.revision));
        for (instance, reported) in known.chain([(status.instance.as_str(), status.revision)]) {
            let highest = highest.entry(instance).or_default();
            *highest = reported.max(*highest);
        }
    }
    let behind = highest.iter().filter(|(_, reported)| **reported < revision);
    InForce {
        instances: highest.len(),
        behind: behind.map(|(instance, _)| (*instance).to_string()).collect(),
        unreached: Vec::new(),
    }
}

fn render(applied: &Applied) -> String {
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
    if let Some(in_force) = &applied.in_force {
        let reached = in_force.instances - in_force.behind.len();
        text.push_str(&format!("\nin force on {reached} of {} instances", in_force.instances));
        if !in_force.behind.is_empty() {
            text.push_str(&format!("; not yet on {}", in_force.behind.join(", ")));
        }
        if !in_force.unreached.is_empty() {
            text.push_str(&format!("\nnot reached: {}", in_force.unreached.join(", ")));
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a resent command that is taken for another change.
    #[test]
    fn derived_id_repeats() {
        let id = derived_id(4, "mari", &[]);
        assert_eq!(id, derived_id(4, "mari", &[]));
        assert_ne!(id, derived_id(5, "mari", &[]));
        assert_ne!(id, derived_id(4, "jaan", &[]));
    }

    /// Guards against a node that counts as up to date or as behind because of an older report.
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
            InForce { instances: 5, behind: vec!["n2".to_string()], unreached: Vec::new() }
        );
    }
}
