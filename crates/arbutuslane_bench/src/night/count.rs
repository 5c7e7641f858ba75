//! The counts of a run and their bounds.

use std::collections::{BTreeMap, BTreeSet};

use arbutuslane_standin::record::{self, Attempt, Fit};

use super::detection::{self, detections};
use super::evidence::Evidence;
use super::floor;
use super::result::{Count, Report};
use super::script::{Action, Script};

/// The time in milliseconds after which a server that left receives no work (design, property 5).
const LEAVE_MS: u64 = 3_000;

/// The servers that one request may crash (design, 2.4).
const CRASHES: u64 = 2;

/// The name that attempts of a crashing request begin with.
pub const CRASH_NAME: &str = "crash-";

/// Counts what `evidence` shows.
pub fn counts(script: &Script, evidence: &Evidence) -> Report {
    let fits = |fit| {
        let of = |attempt: &&Attempt| attempt.fit == fit;
        evidence.attempts.iter().filter(of).map(|attempt| attempt.request.clone()).collect()
    };
    let found = detections(script, evidence);
    let missed = found.iter().filter(|one| one.required && one.seconds.is_none());
    let counts = vec![
        Count::new("keys that ran twice", 0, run_twice(evidence)),
        Count::new("responses of another request", 0, fits(Fit::Foreign)),
        Count::new("truncated responses presented as complete", 0, fits(Fit::Truncated)),
        Count::new("requests answered not-run that ran", 0, untrue_not_run(evidence)),
        Count::new("requests interrupted by the rolling restart", 0, interrupted(script, evidence)),
        Count::new("floor breaches", 0, floor::breaches(evidence)),
        Count::new("acknowledged changes missing", 0, missing_changes(evidence)),
        Count::new("dispatches to a left server after 3 s", 0, late(script, evidence)),
        Count::new("servers crashed by one request", CRASHES, crashes(evidence)),
        Count::new(
            "unhealthy servers not ejected",
            0,
            missed.map(|one| format!("{} ({})", one.server, one.fault)).collect(),
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
        detections: found,
        other_ejections: other_ejections(script, evidence),
    }
}

fn run_twice(evidence: &Evidence) -> Vec<String> {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for (_, run) in &evidence.runs {
        if let Some(key) = &run.key {
            *runs.entry(key).or_default() += 1;
        }
    }
    runs.into_iter().filter(|(_, runs)| *runs > 1).map(|(key, _)| key.to_string()).collect()
}

/// Returns the attempts that were answered not-run although a server ran them; each attempt has a
/// name of its own, so a run of an earlier attempt under the same key is no contradiction.
fn untrue_not_run(evidence: &Evidence) -> Vec<String> {
    let ran: BTreeSet<&str> = evidence.runs.iter().map(|(_, run)| run.request.as_str()).collect();
    let untrue =
        |attempt: &&Attempt| attempt.ending == "not-run" && ran.contains(attempt.request.as_str());
    evidence.attempts.iter().filter(untrue).map(|attempt| attempt.request.clone()).collect()
}

/// Returns the requests sent during a rolling restart of which an attempt was not answered. An
/// attempt that found no connection is none, when the caller then reached another node.
fn interrupted(script: &Script, evidence: &Evidence) -> Vec<String> {
    let requests = requests(evidence);
    let mut found = Vec::new();
    for (place, step) in script.steps.iter().enumerate() {
        let (Action::RollingRestart {}, Some(mark)) = (&step.action, evidence.mark(place)) else {
            continue;
        };
        for attempts in requests.values() {
            for (number, attempt) in attempts.iter().enumerate() {
                let within = (mark.at_ms..=mark.end_ms).contains(&attempt.at_ms);
                let moved = attempt.ending == "unconnected" && number + 1 < attempts.len();
                if within && !moved && attempt.ending != "answered" {
                    let Attempt { kind, request, ending, node, at_ms, note, .. } = attempt;
                    found.push(format!("{kind} {request} {ending} at {node}, {at_ms}: {note}"));
                }
            }
        }
    }
    found
}

fn missing_changes(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for change in &evidence.changes {
        for (instance, history) in evidence.histories.iter().enumerate() {
            let kept = history.records.iter().any(|record| {
                record.change_id == change.change_id && record.revision == change.revision
            });
            if !kept {
                found.push(format!("{} on control {instance}", change.change_id));
            }
        }
    }
    found
}

fn late(script: &Script, evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for (place, step) in script.steps.iter().enumerate() {
        let (Action::Leave { server }, Some(mark)) = (&step.action, evidence.mark(place)) else {
            continue;
        };
        for (name, run) in &evidence.runs {
            if name == server && run.at_ms > mark.at_ms + LEAVE_MS {
                found.push(format!("{} at {name}, {} ms", run.request, run.at_ms - mark.at_ms));
            }
        }
    }
    found
}

/// Returns the runs of the crashing request, each of which ended a server process.
fn crashes(evidence: &Evidence) -> Vec<String> {
    let crashing = evidence.runs.iter().filter(|(_, run)| run.request.starts_with(CRASH_NAME));
    crashing.map(|(server, run)| format!("{server} by {}", run.request)).collect()
}

/// Returns the steps that were not carried out and the records without which a count of 0 says
/// nothing.
fn missing_evidence(script: &Script, evidence: &Evidence) -> Vec<String> {
    let places = (0..script.steps.len()).filter(|place| evidence.mark(*place).is_none());
    let mut found: Vec<String> = places.map(|place| format!("step {place}")).collect();
    let owned = evidence.samples.iter().any(|sample| !sample.status.servers.is_empty());
    let records = [
        ("runs", !evidence.runs.is_empty()),
        ("attempts", !evidence.attempts.is_empty()),
        ("statuses", owned),
        ("floors", !evidence.floors.is_empty()),
        ("histories", !evidence.histories.is_empty()),
        ("acknowledged changes", !evidence.changes.is_empty()),
    ];
    found.extend(records.iter().filter(|(_, there)| !there).map(|(name, _)| name.to_string()));
    found
}

fn other_ejections(script: &Script, evidence: &Evidence) -> Vec<String> {
    let faulty = detection::faulty(script);
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
