//! Random schedules of message, process, disk and clock faults.
//!
//! `ARBUTUSLANE_SCHEDULES` sets the number of schedules and `ARBUTUSLANE_SEED` the first seed;
//! `tools/consensus-schedules.sh` uses both.

mod world;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use world::{Plan, Simulation};

/// Runs `count` schedules on up to eight threads; returns the number of violations and descriptions
/// of up to five per thread.
fn find_violations(first_seed: u64, count: u64, plan: &Plan) -> (u64, Vec<String>) {
    let next_seed = AtomicU64::new(first_seed);
    let threads = thread::available_parallelism().map_or(1, usize::from).min(8);
    let mut total = 0;
    let mut samples = Vec::new();
    thread::scope(|scope| {
        let mut workers = Vec::new();
        for _ in 0..threads {
            workers.push(scope.spawn(|| {
                let mut found = Vec::new();
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first_seed + count {
                        return found;
                    }
                    for text in Simulation::new(seed, plan.clone()).run() {
                        found.push(format!("seed {seed}: {text}"));
                    }
                }
            }));
        }
        for worker in workers {
            let found = worker.join().unwrap();
            total += found.len() as u64;
            samples.extend(found.into_iter().take(5));
        }
    });
    (total, samples)
}

/// Returns whether any of `count` schedules with a deliberate defect violates a check.
fn is_detected(count: u64, plan: &Plan) -> bool {
    let batches = (0..count).step_by(16);
    batches.into_iter().any(|first_seed| find_violations(first_seed, 16, plan).0 > 0)
}

/// Returns the number in the environment variable `name`, or `default` without a valid one.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Guards against two leaders in a term, diverging logs, lost acknowledgements, stale reads, a
/// leader that stays without a majority, and a group that does not recover.
#[test]
fn schedules_random() {
    let count = env_number("ARBUTUSLANE_SCHEDULES", 100);
    let first_seed = env_number("ARBUTUSLANE_SEED", 1);
    let (total, samples) = find_violations(first_seed, count, &Plan::default());
    println!("schedules={count} first_seed={first_seed} violations={total}");
    assert!(samples.is_empty(), "{samples:#?}");
}

/// Guards against a stale read after a replica restarts while a lease that it supports is valid.
#[test]
fn schedules_quick_restart() {
    let plan = Plan {
        quick_restart: true,
        mean_fault_interval: Duration::from_millis(150),
        duration: Duration::from_secs(5),
        ..Plan::default()
    };
    let count = env_number("ARBUTUSLANE_SCHEDULES", 100) / 2;
    let (total, samples) = find_violations(500_000_000, count, &plan);
    println!("schedules={count} first_seed=500000000 plan=quick-restart violations={total}");
    assert!(samples.is_empty(), "{samples:#?}");
}

/// Returns whether a short schedule with frequent faults has no violations.
fn dense_schedule_passes(seed: u64, fault_ms: u8) -> bool {
    let plan = Plan {
        duration: Duration::from_secs(4),
        mean_fault_interval: Duration::from_millis(60 + u64::from(fault_ms)),
        loss_probability: 0.1,
        ..Plan::default()
    };
    Simulation::new(seed, plan).run().is_empty()
}

/// Guards against violations that only short schedules with frequent faults find.
#[test]
fn schedules_dense() {
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(30, 5))
        .quickcheck(dense_schedule_passes as fn(u64, u8) -> bool);
}

/// Guards against checks that miss a group in which the vote of an empty replica counts.
#[test]
fn schedules_defect_empty_votes() {
    let plan = Plan {
        reuse_instance: true,
        mean_fault_interval: Duration::from_millis(120),
        ..Plan::default()
    };
    assert!(is_detected(300, &plan));
}

/// Guards against checks that miss a disk that reports writes as complete before they are durable.
#[test]
fn schedules_defect_lying_disk() {
    let plan = Plan { lying_disk: true, ..Plan::default() };
    assert!(is_detected(100, &plan));
}

/// Guards against checks that miss clocks whose drift exceeds the limit that the lease relies on.
#[test]
fn schedules_defect_clock_drift() {
    let plan = Plan {
        max_clock_drift: 0.8,
        mean_fault_interval: Duration::from_millis(200),
        ..Plan::default()
    };
    assert!(is_detected(300, &plan));
}
