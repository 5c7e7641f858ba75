//! The counts of broken guarantees in a run, and their bounds.

use std::collections::{BTreeMap, BTreeSet};

use arbutuslane_standin::record::{self, Attempt, Fit};

use super::detection::{self, detections};
use super::evidence::Evidence;
use super::floor;
use super::result::{Count, Report};
use super::script::{Action, Script};

/// The time in milliseconds after which a server that left receives no requests (design,
/// property 5).
const LEAVE_LIMIT_MS: u64 = 3_000;

/// The number of servers that one request may crash (design, 2.4).
const MAX_CRASHES: u64 = 2;

/// The prefix of the attempt names of a crashing request.
pub const CRASH_PREFIX: &str = "crash-";

/// Returns the counts and the detections that `evidence` shows.
pub fn counts(script: &Script, evidence: &Evidence) -> Report {
    let attempts_with = |fit| {
        let has_fit = |attempt: &&Attempt| attempt.fit == fit;
        evidence.attempts.iter().filter(has_fit).map(|attempt| attempt.request.clone()).collect()
    };
    let detections = detections(script, evidence);
    let missed = detections.iter().filter(|found| found.required && found.seconds.is_none());
    let counts = vec![
        Count::new("keys that ran twice", 0, keys_run_twice(evidence)),
        Count::new("responses of another request", 0, attempts_with(Fit::Foreign)),
        Count::new("truncated responses presented as complete", 0, attempts_with(Fit::Truncated)),
        Count::new("requests answered not-run that ran", 0, false_not_run(evidence)),
        Count::new(
            "requests interrupted by the rolling restart",
            0,
            interrupted_attempts(script, evidence),
        ),
        Count::new("floor breaches", 0, floor::breaches(evidence)),
        Count::new("acknowledged changes missing", 0, missing_changes(evidence)),
        Count::new("dispatches to a left server after 3 s", 0, late_dispatches(script, evidence)),
        Count::new("servers crashed by one request", MAX_CRASHES, crashes(evidence)),
        Count::new(
            "unhealthy servers not ejected",
            0,
            missed.map(|found| format!("{} ({})", found.server, found.fault)).collect(),
        ),
        Count::new("steps and evidence missing", 0, missing_evidence(script, evidence)),
    ];
    Report {
        seed: script.seed,
        requests: as_u64(requests(evidence).len()),
        attempts: as_u64(evidence.attempts.len()),
        runs: as_u64(evidence.runs.len()),
        endings: endings(evidence),
        acknowledged_changes: as_u64(evidence.changes.len()),
        counts,
        detections,
        other_ejections: other_ejections(script, evidence),
    }
}

/// Returns the keys that more than one run has.
fn keys_run_twice(evidence: &Evidence) -> Vec<String> {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for (_, run) in &evidence.runs {
        if let Some(key) = &run.key {
            *runs.entry(key).or_default() += 1;
        }
    }
    runs.into_iter().filter(|(_, runs)| *runs > 1).map(|(key, _)| key.to_string()).collect()
}

/// Returns the attempts that were answered not-run although a server ran them. Each attempt has its
/// own name, so a run of an earlier attempt under the same key does not count.
fn false_not_run(evidence: &Evidence) -> Vec<String> {
    let ran: BTreeSet<&str> = evidence.runs.iter().map(|(_, run)| run.request.as_str()).collect();
    let is_false_not_run =
        |attempt: &&Attempt| attempt.ending == "not-run" && ran.contains(attempt.request.as_str());
    evidence
        .attempts
        .iter()
        .filter(is_false_not_run)
        .map(|attempt| attempt.request.clone())
        .collect()
}

/// Returns the attempts sent during a rolling restart that were not answered. An attempt without a
/// connection does not count when the caller then tried another node.
fn interrupted_attempts(script: &Script, evidence: &Evidence) -> Vec<String> {
    let requests = requests(evidence);
    let mut found = Vec::new();
    for (index, step) in script.steps.iter().enumerate() {
        let (Action::RollingRestart {}, Some(mark)) = (&step.action, evidence.mark(index)) else {
            continue;
        };
        for attempts in requests.values() {
            for (number, attempt) in attempts.iter().enumerate() {
                let is_during_restart = (mark.at_ms..=mark.end_ms).contains(&attempt.at_ms);
                let has_moved_on = attempt.ending == "unconnected" && number + 1 < attempts.len();
                if is_during_restart && !has_moved_on && attempt.ending != "answered" {
                    let Attempt { kind, request, ending, node, at_ms, note, .. } = attempt;
                    found.push(format!("{kind} {request} {ending} at {node}, {at_ms}: {note}"));
                }
            }
        }
    }
    found
}

/// Returns the acknowledged changes that are missing in the history of a control instance.
fn missing_changes(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for change in &evidence.changes {
        for (instance, history) in evidence.histories.iter().enumerate() {
            let is_recorded = history.records.iter().any(|record| {
                record.change_id == change.change_id && record.revision == change.revision
            });
            if !is_recorded {
                found.push(format!("{} on control {instance}", change.change_id));
            }
        }
    }
    found
}

/// Returns the runs at a server more than [`LEAVE_LIMIT_MS`] after it left.
fn late_dispatches(script: &Script, evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for (index, step) in script.steps.iter().enumerate() {
        let (Action::Leave { server }, Some(mark)) = (&step.action, evidence.mark(index)) else {
            continue;
        };
        for (name, run) in &evidence.runs {
            if name == server && run.at_ms > mark.at_ms + LEAVE_LIMIT_MS {
                found.push(format!("{} at {name}, {} ms", run.request, run.at_ms - mark.at_ms));
            }
        }
    }
    found
}

/// Returns the runs of the crashing request, each of which ended a server process.
fn crashes(evidence: &Evidence) -> Vec<String> {
    let crashing = evidence.runs.iter().filter(|(_, run)| run.request.starts_with(CRASH_PREFIX));
    crashing.map(|(server, run)| format!("{server} by {}", run.request)).collect()
}

/// Returns the steps that were not executed and the kinds of records that are missing. Without them
/// a count of 0 proves nothing.
fn missing_evidence(script: &Script, evidence: &Evidence) -> Vec<String> {
    let missing_steps = (0..script.steps.len()).filter(|step| evidence.mark(*step).is_none());
    let mut found: Vec<String> = missing_steps.map(|step| format!("step {step}")).collect();
    let has_servers = evidence.samples.iter().any(|sample| !sample.status.servers.is_empty());
    let records = [
        ("runs", !evidence.runs.is_empty()),
        ("attempts", !evidence.attempts.is_empty()),
        ("statuses", has_servers),
        ("floors", !evidence.floors.is_empty()),
        ("histories", !evidence.histories.is_empty()),
        ("acknowledged changes", !evidence.changes.is_empty()),
    ];
    found.extend(
        records.iter().filter(|(_, is_present)| !is_present).map(|(name, _)| name.to_string()),
    );
    found
}

/// Returns the ejections of servers that the script leaves healthy, with their reasons.
fn other_ejections(script: &Script, evidence: &Evidence) -> Vec<String> {
    let faulty = detection::faulty_servers(script);
    let mut found = Vec::new();
    for event in evidence.events.iter().filter(|event| event.kind == "ejection") {
        let server = event.server.as_deref().unwrap_or_default();
        if !faulty.contains(&server) {
            let reason = event.fields.get("reason").map_or("", String::as_str);
            found.push(format!("{server} ({reason})"));
        }
    }
    found
}

/// Returns the attempts by request.
fn requests(evidence: &Evidence) -> BTreeMap<&str, Vec<&Attempt>> {
    let mut requests: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &evidence.attempts {
        requests.entry(record::base(&attempt.request)).or_default().push(attempt);
    }
    requests
}

/// Returns the number of attempts by kind and ending.
fn endings(evidence: &Evidence) -> BTreeMap<String, u64> {
    let mut endings = BTreeMap::new();
    for attempt in &evidence.attempts {
        *endings.entry(format!("{} {}", attempt.kind, attempt.ending)).or_default() += 1;
    }
    endings
}

fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
