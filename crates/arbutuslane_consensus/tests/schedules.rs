//! Random schedules of message, process, disk and clock faults.
//!
//! `ARBUTUSLANE_SCHEDULES` sets the number of schedules and `ARBUTUSLANE_SEED` the first seed;
//! `tools/schedules.sh` uses both.

mod world;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use world::{Plan, World};

/// Runs `count` schedules on all cores; returns the violations by seed and some of them.
fn violations(first: u64, count: u64, plan: &Plan) -> (u64, Vec<String>) {
    let next = AtomicU64::new(first);
    let threads = thread::available_parallelism().map_or(1, usize::from).min(8);
    let mut total = 0;
    let mut shown = Vec::new();
    thread::scope(|scope| {
        let mut workers = Vec::new();
        for _ in 0..threads {
            workers.push(scope.spawn(|| {
                let mut found = Vec::new();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return found;
                    }
                    for text in World::new(seed, plan.clone()).run() {
                        found.push(format!("seed {seed}: {text}"));
                    }
                }
            }));
        }
        for worker in workers {
            let found = worker.join().unwrap();
            total += found.len() as u64;
            shown.extend(found.into_iter().take(5));
        }
    });
    (total, shown)
}

/// Returns whether any of `count` schedules with a deliberate defect is noticed.
fn is_noticed(count: u64, plan: &Plan) -> bool {
    let batches = (0..count).step_by(16);
    batches.into_iter().any(|first| violations(first, 16, plan).0 > 0)
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Guards against two leaders in a term, diverging logs, lost acknowledgements, stale reads, a
/// leader that stays without a majority, and a group that does not recover.
#[test]
fn schedules_random() {
    let count = number("ARBUTUSLANE_SCHEDULES", 100);
    let first = number("ARBUTUSLANE_SEED", 1);
    let (total, shown) = violations(first, count, &Plan::default());
    println!("schedules={count} first_seed={first} violations={total}");
    assert!(shown.is_empty(), "{shown:#?}");
}

/// Guards against a stale read after a replica restarts within the lease that it supported.
#[test]
fn schedules_quick_restart() {
    let plan = Plan {
        quick_restart: true,
        fault_every: Duration::from_millis(150),
        length: Duration::from_secs(5),
        ..Plan::default()
    };
    let count = number("ARBUTUSLANE_SCHEDULES", 100) / 2;
    let (total, shown) = violations(500_000_000, count, &plan);
    println!("schedules={count} first_seed=500000000 plan=quick-restart violations={total}");
    assert!(shown.is_empty(), "{shown:#?}");
}

/// Guards against faults that only a dense schedule of short life finds.
fn dense(seed: u64, fault_ms: u8) -> bool {
    let plan = Plan {
        length: Duration::from_secs(4),
        fault_every: Duration::from_millis(60 + u64::from(fault_ms)),
        loss: 0.1,
        ..Plan::default()
    };
    World::new(seed, plan).run().is_empty()
}

#[test]
fn schedules_dense() {
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(30, 5))
        .quickcheck(dense as fn(u64, u8) -> bool);
}

/// Shows that the checks notice a group in which the vote of an empty replica counts.
#[test]
fn schedules_defect_empty_votes() {
    let plan =
        Plan { reuse_instance: true, fault_every: Duration::from_millis(120), ..Plan::default() };
    assert!(is_noticed(300, &plan));
}

/// Shows that the checks notice a disk that acknowledges before the data is durable.
#[test]
fn schedules_defect_lying_disk() {
    let plan = Plan { lying_disk: true, ..Plan::default() };
    assert!(is_noticed(100, &plan));
}

/// Shows that the checks notice clocks outside the drift bound that the lease counts on.
#[test]
fn schedules_defect_clock_drift() {
    let plan =
        Plan { clock_drift: 0.8, fault_every: Duration::from_millis(200), ..Plan::default() };
    assert!(is_noticed(300, &plan));
}
