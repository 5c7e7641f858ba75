//! Ejections never exceed what a majority's views allow, and fall on the most severe cases.

mod support;

use quickcheck::TestResult;
use support::permits::{Mutation, run};
use support::{check, first_violation};

/// Guards against ejections below the floor, a permit held twice, unused permits, and severe cases
/// left in use, under partitions, crashes, drains, cold starts and a raised floor.
#[test]
fn run_random_schedules() {
    fn safe(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let outcome = run(seed, None);
        if outcome.faults.is_empty() {
            return TestResult::passed();
        }
        TestResult::error(format!("seed {seed}: {outcome:?}"))
    }
    check(201, safe as fn(u64, u64) -> TestResult);
}

/// Guards against schedules in which nothing is ejected, or never as much as is allowed.
#[test]
fn run_coverage() {
    let outcomes: Vec<_> = (0..100).map(|seed| run(seed, None)).collect();
    assert!(outcomes.iter().filter(|outcome| outcome.most_ejected > 2).count() > 20);
    let bound = outcomes.iter().filter(|outcome| {
        outcome.ejected_at_end < outcome.wanted_at_end && outcome.headroom_at_end > 0
    });
    assert!(bound.count() > 10);
}

/// Guards against a check that cannot fail: each broken rule is found.
#[test]
fn run_broken_rules() {
    for mutation in [
        Mutation::FloorIgnored,
        Mutation::NoQuietPeriod,
        Mutation::LeaseIgnored,
        Mutation::SeverityIgnored,
    ] {
        let found = first_violation(203, 5_000, |seed| run(seed, Some(mutation)).faults.is_empty());
        println!("{mutation:?}: first violation in schedule {found:?}");
        assert!(found.is_some(), "{mutation:?} was not found");
    }
}
