//! Breaches of the capacity floor, from the statuses and events of all nodes.
//!
//! A node states the servers that it owns, so the statuses of one second together show the fleet.

use std::collections::BTreeMap;

use super::evidence::{Evidence, Sample};

/// The time in milliseconds by which the view of a majority can be late (design, 2.3).
const VIEW_MS: u64 = 6_000;

/// The permit lease in milliseconds, within which an ejection ends that is not renewed.
const LEASE_MS: u64 = 3_000;

/// The time in milliseconds between two samples, and its spread.
const SAMPLE_MS: u64 = 2_000;

/// The ramp-up in milliseconds during which a server is not warm.
const RAMP_MS: u64 = 5_000;

/// What the statuses of one second show of a service.
#[derive(Debug, Clone, Copy, Default)]
struct View {
    live: u32,
    ejected: u32,
}

/// Returns one line for each breach.
///
/// A breach is an ejection whose permit no state of the last [`VIEW_MS`] allowed, or more
/// ejections than the floor allows for longer than [`VIEW_MS`] and [`LEASE_MS`] together.
pub(super) fn breaches(evidence: &Evidence) -> Vec<String> {
    let rounds = rounds(evidence);
    let mut found = granted(evidence, &rounds);
    found.extend(outlived(evidence, &rounds));
    found
}

fn rounds(evidence: &Evidence) -> BTreeMap<u64, BTreeMap<&str, View>> {
    let mut rounds: BTreeMap<u64, BTreeMap<&str, View>> = BTreeMap::new();
    for Sample { at_ms, status } in &evidence.samples {
        let services = rounds.entry(*at_ms).or_default();
        for server in status.servers.iter().filter(|server| server.leased && !server.draining) {
            // A server's incarnation is the time of its announcement.
            let warm = at_ms.saturating_sub(server.incarnation) >= RAMP_MS;
            let view = services.entry(&server.service).or_default();
            view.live += u32::from(warm || server.ejected);
            view.ejected += u32::from(server.ejected);
        }
    }
    rounds
}

fn granted(evidence: &Evidence, rounds: &BTreeMap<u64, BTreeMap<&str, View>>) -> Vec<String> {
    let mut found = Vec::new();
    for event in evidence.events.iter().filter(|event| event.kind == "ejection") {
        let (Some(service), Some(permit)) = (&event.service, event.fields.get("permit")) else {
            continue;
        };
        let permit = permit.parse::<u32>().unwrap_or(u32::MAX);
        let at_ms = event.stamp.wall_ms;
        let near = at_ms.saturating_sub(VIEW_MS + SAMPLE_MS)..at_ms + SAMPLE_MS;
        let views = rounds.range(near).filter_map(|(_, views)| views.get(service.as_str()));
        let live = views.map(|view| view.live).max().unwrap_or(0);
        let room = live.saturating_sub(floor(evidence, service));
        if permit >= room {
            found.push(format!("{service}: permit {permit} at {at_ms} with room for {room}"));
        }
    }
    found
}

fn outlived(evidence: &Evidence, rounds: &BTreeMap<u64, BTreeMap<&str, View>>) -> Vec<String> {
    let mut since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for (at_ms, services) in rounds {
        since.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            if view.ejected <= view.live.saturating_sub(floor(evidence, service)) {
                since.remove(service);
                continue;
            }
            let first = *since.entry(service).or_insert(*at_ms);
            if at_ms - first > VIEW_MS + LEASE_MS + SAMPLE_MS {
                found.push(format!("{service}: more ejected than allowed from {first} to {at_ms}"));
                since.remove(service);
            }
        }
    }
    found
}

fn floor(evidence: &Evidence, service: &str) -> u32 {
    // A service without an entry has no servers to spare.
    evidence.floors.get(service).copied().unwrap_or(u32::MAX)
}
