//! Breaches of the capacity floor, from the statuses and events of all nodes.

use std::collections::BTreeMap;

use super::evidence::{Evidence, Sample};

/// The permit lease in milliseconds: an ejection ends within it once its permit is not renewed.
const LEASE_MS: u64 = 3_000;

/// The time in milliseconds between two samples and for a return to reach the other nodes.
const SPREAD_MS: u64 = 2_000;

/// Returns one line for each breach.
///
/// A breach is an ejection by a permit that no node's view of the last two seconds allowed, or
/// views of a majority that hold more ejections than the floor allows for longer than a lease.
pub(super) fn breaches(evidence: &Evidence) -> Vec<String> {
    let mut found = granted(evidence);
    found.extend(outlived(evidence));
    found
}

fn granted(evidence: &Evidence) -> Vec<String> {
    let mut found = Vec::new();
    for event in evidence.events.iter().filter(|event| event.kind == "ejection") {
        let (Some(service), Some(permit)) = (&event.service, event.fields.get("permit")) else {
            continue;
        };
        let permit = permit.parse::<u32>().unwrap_or(u32::MAX);
        let at_ms = event.stamp.wall_ms;
        let near =
            evidence.samples.iter().filter(|sample| sample.at_ms.abs_diff(at_ms) <= SPREAD_MS);
        let views = near.flat_map(|sample| &sample.status.services);
        let room = views
            .filter(|view| view.service == *service)
            .map(|view| view.live.saturating_sub(view.floor))
            .max();
        if room.is_some_and(|room| permit >= room) {
            found.push(format!("{service}: permit {permit} at {at_ms} with room for {room:?}"));
        }
    }
    found
}

fn outlived(evidence: &Evidence) -> Vec<String> {
    let mut rounds: BTreeMap<u64, Vec<&Sample>> = BTreeMap::new();
    for sample in &evidence.samples {
        rounds.entry(sample.at_ms).or_default().push(sample);
    }
    let mut since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for (at_ms, round) in &rounds {
        let mut votes: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for view in round.iter().flat_map(|sample| &sample.status.services) {
            let vote = votes.entry(&view.service).or_default();
            vote.0 += usize::from(view.ejected > view.live.saturating_sub(view.floor));
            vote.1 += 1;
        }
        for (service, (over, all)) in votes {
            if over * 2 <= all {
                since.remove(service);
                continue;
            }
            let first = *since.entry(service).or_insert(*at_ms);
            if at_ms - first > LEASE_MS + SPREAD_MS {
                found.push(format!("{service}: more ejected than allowed from {first} to {at_ms}"));
                since.remove(service);
            }
        }
    }
    found
}
