//! The time of one decision, and its growth with the size of the fleet.

use std::hint::black_box;
use std::time::{Duration, Instant};

use arbutuslane_balance::prelude::*;
use arbutuslane_catalogue::entry::{Class, Preference};
use arbutuslane_core::rng;
use arbutuslane_health::prelude::*;
use arbutuslane_limit::prelude::*;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::report::as_f64;

/// The times of decisions at one size of the fleet, each the mean of the fastest of five rounds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// The number of servers of the fleet.
    pub servers: u32,
    /// The number of services of the fleet.
    pub services: u32,
    /// Nanoseconds to choose a server and to record its response.
    pub pick_ns: f64,
    /// Nanoseconds to admit a request at the gate and to finish it.
    pub gate_ns: f64,
    /// Nanoseconds for the detector to record a request and to evaluate the server.
    pub detect_ns: f64,
}

/// The measured fleet sizes: servers and services. The last one is the target size.
const FLEET_SIZES: [(u32, u32); 6] =
    [(10, 1), (30, 1), (300, 12), (1_500, 56), (6_000, 225), (16_000, 600)];

/// The number of decisions in one round.
const DECISIONS_PER_ROUND: u32 = 200_000;

/// The number of rounds, of which the fastest counts.
const ROUNDS: usize = 5;

/// Measures the decisions of one entry and one owner by the wall clock, at all fleet sizes.
///
/// The entry has one picker per service, with a subset of at most 24 servers, and sends to the
/// services in random order, so that the growth includes cache misses.
pub fn measure() -> Vec<Cost> {
    let mut costs = Vec::new();
    for (servers, services) in FLEET_SIZES {
        let per_service = (servers / services).min(if services > 1 { 24 } else { 30 });
        costs.push(Cost {
            servers,
            services,
            pick_ns: fastest_round_ns(|seed| time_picks(per_service, services, seed)),
            gate_ns: fastest_round_ns(|seed| time_gates(services, seed)),
            detect_ns: fastest_round_ns(|seed| time_detectors(services, seed)),
        });
    }
    costs
}

/// Returns the nanoseconds per decision of the fastest round.
fn fastest_round_ns(round: impl Fn(u64) -> Duration) -> f64 {
    let fastest = (0..ROUNDS).map(|seed| round(seed as u64)).min().unwrap_or_default();
    fastest.as_secs_f64() * 1e9 / f64::from(DECISIONS_PER_ROUND)
}

fn time_picks(servers: u32, services: u32, seed: u64) -> Duration {
    let mut rng = rng::seeded(seed);
    let mut pickers: Vec<Picker> = (0..services)
        .map(|service| {
            let mut picker = Picker::new("domain-0".to_string());
            let candidate = |id: u32| {
                let owner = format!("node-{service}-{id}");
                let domain = format!("domain-{}", id % 3);
                Candidate::new(format!("server-{service}-{id:03}"), &owner, &domain, 5)
            };
            picker.set_candidates((0..servers).map(candidate).collect());
            picker
        })
        .collect();
    let order: Vec<usize> =
        (0..DECISIONS_PER_ROUND).map(|_| rng.random_range(0..pickers.len())).collect();
    let request = Request { class: Class::Idempotent, tried: &[] };
    let latency = Duration::from_millis(30);
    let started = Instant::now();
    for (step, service) in order.into_iter().enumerate() {
        let now = Duration::from_micros(step as u64 * 100);
        let picker = &mut pickers[service];
        let Some(pick) = picker.pick(&request, now, &mut rng) else { continue };
        picker.sent(&pick.server, now);
        picker.record_response(&pick.server, now, Some(latency), true);
        black_box(pick);
    }
    started.elapsed()
}

fn time_gates(services: u32, seed: u64) -> Duration {
    let mut rng = rng::seeded(seed);
    // A node owns 12 servers at any size of the fleet.
    let count = 12.min(services as usize * 12);
    let mut gates: Vec<Gate> = (0..count).map(|_| Gate::new(5, 10)).collect();
    let started = Instant::now();
    for step in 0..DECISIONS_PER_ROUND {
        let now = Duration::from_micros(u64::from(step) * 100);
        let gate = &mut gates[rng.random_range(0..count)];
        let deadline = Deadline::after(now, Duration::from_secs(2));
        if let Admission::Run(ticket) =
            gate.arrive(now, Arrival::of_class(Class::Idempotent, now, deadline))
        {
            black_box(gate.finish(ticket, now + Duration::from_millis(1)));
        }
    }
    started.elapsed()
}

fn time_detectors(services: u32, seed: u64) -> Duration {
    let mut rng = rng::seeded(seed);
    let count = 12.min(services as usize * 12);
    let summary = Summary {
        class: Class::Idempotent,
        weight: 500.0,
        median: Duration::from_millis(30),
        p90: Duration::from_millis(65),
        recent: 100.0,
        failed: 0.0,
        slow: 0.1,
    };
    let mut baseline = Baseline::default();
    baseline.record(1, summary, Duration::ZERO);
    let mut detectors: Vec<Detector> =
        (0..count).map(|_| Detector::new(Preference::FastDetection)).collect();
    let started = Instant::now();
    for step in 0..DECISIONS_PER_ROUND {
        let at = Duration::from_micros(u64::from(step) * 100);
        let detector = &mut detectors[rng.random_range(0..count)];
        let (route, caller) = (rng.random_range(0..4), rng.random_range(0..20));
        let id = u64::from(step);
        detector.started(id, Start { class: Class::Idempotent, route, caller, at });
        let now = at + Duration::from_millis(rng.random_range(10..60));
        detector.finished(id, now, true, &baseline);
        black_box(detector.suspicion(now, &baseline));
    }
    started.elapsed()
}

/// Returns the costs as a Markdown table.
pub fn table(costs: &[Cost]) -> String {
    let mut text = String::from(
        "| servers | services | pick and response ns | gate ns | detector ns |\n|---|---|---|---|---|\n",
    );
    for cost in costs {
        text += &format!(
            "| {} | {} | {:.0} | {:.0} | {:.0} |\n",
            cost.servers, cost.services, cost.pick_ns, cost.gate_ns, cost.detect_ns
        );
    }
    text
}

/// Returns one line for each cost above the target of 2 microseconds per decision.
pub fn broken(costs: &[Cost]) -> Vec<String> {
    let mut broken = Vec::new();
    for cost in costs {
        let parts = [("pick", cost.pick_ns), ("gate", cost.gate_ns), ("detector", cost.detect_ns)];
        for (part, nanos) in parts {
            if nanos > as_f64(2_000) {
                broken.push(format!("{part} at {} servers: {nanos:.0} ns", cost.servers));
            }
        }
    }
    broken
}
