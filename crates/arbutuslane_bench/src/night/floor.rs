//! Breaches of the capacity floor, from the statuses and events of all nodes.
//!
//! A node reports the servers that it owns, so the statuses of one second cover the whole fleet.

use std::collections::BTreeMap;

use super::evidence::{Evidence, Sample};

/// The largest age in milliseconds of the membership view of a majority (design, 2.3).
const MAX_VIEW_AGE_MS: u64 = 6_000;

/// The lease of a permit in milliseconds; an ejection ends within it unless it is renewed.
const PERMIT_LEASE_MS: u64 = 3_000;

/// The largest time in milliseconds between two samples: the interval and its variation.
const MAX_SAMPLE_GAP_MS: u64 = 2_000;

/// The time in milliseconds after its announcement during which a server ramps up and is not warm.
const RAMP_UP_MS: u64 = 5_000;

/// The servers of one service in the statuses of one second.
#[derive(Debug, Clone, Copy, Default)]
struct View {
    live: u32,
    ejected: u32,
}

/// Returns one line for each breach.
///
/// A breach is an ejection whose permit no view of the last [`MAX_VIEW_AGE_MS`] allowed, or more
/// ejections than the floor allows for longer than [`MAX_VIEW_AGE_MS`] and [`PERMIT_LEASE_MS`]
/// together.
pub(super) fn breaches(evidence: &Evidence) -> Vec<String> {
    let views_by_time = views_by_time(evidence);
    let mut found = unallowed_permits(evidence, &views_by_time);
    found.extend(lasting_excess(evidence, &views_by_time));
    found
}

/// Returns the view of each service for each time of a sample.
fn views_by_time(evidence: &Evidence) -> BTreeMap<u64, BTreeMap<&str, View>> {
    let mut views_by_time: BTreeMap<u64, BTreeMap<&str, View>> = BTreeMap::new();
    for Sample { at_ms, status } in &evidence.samples {
        let services = views_by_time.entry(*at_ms).or_default();
        for server in status.servers.iter().filter(|server| server.leased && !server.draining) {
            // A server's incarnation is the time of its announcement.
            let is_warm = at_ms.saturating_sub(server.incarnation) >= RAMP_UP_MS;
            let view = services.entry(&server.service).or_default();
            view.live += u32::from(is_warm || server.ejected);
            view.ejected += u32::from(server.ejected);
        }
    }
    views_by_time
}

/// Returns the ejections whose permit number the floor did not allow.
fn unallowed_permits(
    evidence: &Evidence,
    views_by_time: &BTreeMap<u64, BTreeMap<&str, View>>,
) -> Vec<String> {
    let mut found = Vec::new();
    for event in evidence.events.iter().filter(|event| event.kind == "ejection") {
        let (Some(service), Some(permit)) = (&event.service, event.fields.get("permit")) else {
            continue;
        };
        let permit = permit.parse::<u32>().unwrap_or(u32::MAX);
        let at_ms = event.stamp.wall_ms;
        let window =
            at_ms.saturating_sub(MAX_VIEW_AGE_MS + MAX_SAMPLE_GAP_MS)..at_ms + MAX_SAMPLE_GAP_MS;
        let views =
            views_by_time.range(window).filter_map(|(_, views)| views.get(service.as_str()));
        let live = views.map(|view| view.live).max().unwrap_or(0);
        let allowed = live.saturating_sub(floor(evidence, service));
        if permit >= allowed {
            found.push(format!("{service}: permit {permit} at {at_ms} with room for {allowed}"));
        }
    }
    found
}

/// Returns the periods in which more servers were ejected than the floor allows.
fn lasting_excess(
    evidence: &Evidence,
    views_by_time: &BTreeMap<u64, BTreeMap<&str, View>>,
) -> Vec<String> {
    let mut since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for (at_ms, services) in views_by_time {
        since.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            if view.ejected <= view.live.saturating_sub(floor(evidence, service)) {
                since.remove(service);
                continue;
            }
            let started_ms = *since.entry(service).or_insert(*at_ms);
            if at_ms - started_ms > MAX_VIEW_AGE_MS + PERMIT_LEASE_MS + MAX_SAMPLE_GAP_MS {
                found.push(format!(
                    "{service}: more ejected than allowed from {started_ms} to {at_ms}"
                ));
                since.remove(service);
            }
        }
    }
    found
}

fn floor(evidence: &Evidence, service: &str) -> u32 {
    // Without an entry in the catalogue a service must not lose any server.
    evidence.floors.get(service).copied().unwrap_or(u32::MAX)
}
