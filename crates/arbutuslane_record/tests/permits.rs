//! Tests that ejections never exceed the headroom that a majority of the replicas sees, and that
//! the most severe faults are ejected.

mod support;

use quickcheck::TestResult;
use support::permits::{Mutation, run};
use support::{check, first_violation};

/// Guards against ejections below the floor, a permit number with two holders, unused permits, and
/// servers with severe faults that stay in use, under partitions, crashes, drains, cold starts and
/// changes of the floor.
#[test]
fn run_random_schedules() {
    fn safe(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let outcome = run(seed, None);
        if outcome.violations.is_empty() {
            return TestResult::passed();
        }
        TestResult::error(format!("seed {seed}: {outcome:?}"))
    }
    check(201, safe as fn(u64, u64) -> TestResult);
}

/// Guards against schedules that eject too few servers to test the limits: some must eject several,
/// and in some the headroom must not suffice for all unhealthy servers.
#[test]
fn run_coverage() {
    let outcomes: Vec<_> = (0..100).map(|seed| run(seed, None)).collect();
    assert!(outcomes.iter().filter(|outcome| outcome.most_ejected > 2).count() > 20);
    let limited = outcomes.iter().filter(|outcome| {
        outcome.ejected_at_end < outcome.unhealthy_at_end && outcome.headroom_at_end > 0
    });
    assert!(limited.count() > 10);
}

/// Guards against a check that cannot fail: it must find each rule that is broken on purpose.
#[test]
fn run_broken_rules() {
    for mutation in [
        Mutation::FloorIgnored,
        Mutation::NoGrantDelay,
        Mutation::LeaseIgnored,
        Mutation::SeverityIgnored,
    ] {
        let found =
            first_violation(203, 5_000, |seed| run(seed, Some(mutation)).violations.is_empty());
        println!("{mutation:?}: first violation in schedule {found:?}");
        assert!(found.is_some(), "{mutation:?} was not found");
    }
}
