//! Tests of a small service that many entries share while some of its servers fail.

use arbutuslane_bench::scarcity::{Plan, run};

/// The seeds of the runs whose mean is checked.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=8;

/// Returns the mean over the seeds of a figure of runs at `load`.
fn mean(load: f64, figure: impl Fn(&Plan) -> f64) -> f64 {
    let figures = SEEDS.map(|seed| figure(&Plan::small_service(load, seed)));
    figures.sum::<f64>() / SEEDS.map(|_| 1.0).sum::<f64>()
}

/// Guards against the least urgent requests that come late or fail while the healthy servers have room.
#[test]
fn run_below_capacity() {
    let in_time =
        mean(0.85, |plan| run(plan).fates.last().map_or(0.0, |fate| fate.in_time_share()));
    assert!(in_time >= 0.9, "{in_time:.3}");
}

/// Guards against requests that wait so long that nearly all responses come late in an overload.
#[test]
fn run_overloaded() {
    for load in [1.1, 1.2, 1.5, 2.0] {
        let goodput = mean(load, |plan| run(plan).goodput(plan));
        assert!(goodput >= 0.9, "load {load}: {goodput:.3}");
    }
}

/// Guards against a run whose result differs when it is repeated with the same seed.
#[test]
fn run_same_seed() {
    let plan = Plan::small_service(0.85, 3);
    assert_eq!(run(&plan), run(&plan));
}
