//! The time that one decision takes, and its growth with the fleet.

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

/// The cost of decisions at one size of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// The servers of the fleet.
    pub servers: u32,
    /// The services of the fleet.
    pub services: u32,
    /// Nanoseconds to choose a server and to take in the response, mean of the best of five rounds.
    pub pick_ns: f64,
    /// Nanoseconds for admission at the gate and the end of the request.
    pub gate_ns: f64,
    /// Nanoseconds for the detector to take in a request and to judge the server.
    pub detect_ns: f64,
}

/// The sizes that are measured: servers and services. The last is the target size.
const SIZES: [(u32, u32); 6] =
    [(10, 1), (30, 1), (300, 12), (1_500, 56), (6_000, 225), (16_000, 600)];

const DECISIONS: u32 = 200_000;
const ROUNDS: usize = 5;

/// Measures the decisions of one entry and one owner by the wall clock, at all sizes.
///
/// The entry has a picker for each service with a subset of 24 servers at most and serves the
/// services in random order, so that the growth includes cache misses.
pub fn measure() -> Vec<Cost> {
    let mut costs = Vec::new();
    for (servers, services) in SIZES {
        let per_service = (servers / services).min(if services > 1 { 24 } else { 30 });
        costs.push(Cost {
            servers,
            services,
            pick_ns: best(|seed| pick_round(per_service, services, seed)),
            gate_ns: best(|seed| gate_round(services, seed)),
            detect_ns: best(|seed| detect_round(services, seed)),
        });
    }
    costs
}

fn best(round: impl Fn(u64) -> Duration) -> f64 {
    let fastest = (0..ROUNDS).map(|seed| round(seed as u64)).min().unwrap_or_default();
    fastest.as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn pick_round(servers: u32, services: u32, seed: u64) -> Duration {
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
    let order: Vec<usize> = (0..DECISIONS).map(|_| rng.random_range(0..pickers.len())).collect();
    let request = Request { class: Class::Idempotent, tried: &[] };
    let latency = Duration::from_millis(30);
    let started = Instant::now();
    for (step, place) in order.into_iter().enumerate() {
        let now = Duration::from_micros(step as u64 * 100);
        let picker = &mut pickers[place];
        let Some(pick) = picker.pick(&request, now, &mut rng) else { continue };
        picker.sent(&pick.server, now);
        picker.record_response(&pick.server, now, Some(latency), true);
        black_box(pick);
    }
    started.elapsed()
}

fn gate_round(services: u32, seed: u64) -> Duration {
    let mut rng = rng::seeded(seed);
    // A node owns 12 servers however large the fleet is.
    let count = 12.min(services as usize * 12);
    let mut gates: Vec<Gate> = (0..count).map(|_| Gate::new(5, 10)).collect();
    let started = Instant::now();
    for step in 0..DECISIONS {
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

fn detect_round(services: u32, seed: u64) -> Duration {
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
    for step in 0..DECISIONS {
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

/// Returns the costs that exceed the target of 2 microseconds per decision.
pub fn broken(costs: &[Cost]) -> Vec<String> {
    let mut broken = Vec::new();
    for cost in costs {
        let parts = [("pick", cost.pick_ns), ("gate", cost.gate_ns), ("detector", cost.detect_ns)];
        for (part, figure) in parts {
            if figure > as_f64(2_000) {
                broken.push(format!("{part} at {} servers: {figure:.0} ns", cost.servers));
            }
        }
    }
    broken
}
