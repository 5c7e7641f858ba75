//! Membership and configuration over random schedules of a faulty network.

mod support;

use arbutuslane_core::rng;
use arbutuslane_member::prelude::*;
use quickcheck::TestResult;
use rand::RngExt;
use support::fleet::{Fleet, Mutation};
use support::{check, first_violation};

/// Crashes, restarts with empty memory, cut links and changes on a network that loses and delays.
fn restarts(seed: u64, mutation: Option<Mutation>) -> Fleet {
    let mut rng = rng::seeded(seed);
    let size = rng.random_range(4..12);
    let mut fleet = Fleet::new(seed, size, mutation);
    for _ in 0..rng.random_range(1..30) {
        fleet.change_at(rng.random_range(0..30_000));
    }
    for _ in 0..rng.random_range(0..12) {
        let node = rng.random_range(1..size);
        let at = rng.random_range(2_000..30_000);
        fleet.crash_at(at, node);
        fleet.restart_at(at + rng.random_range(10..6_000), node);
    }
    for _ in 0..rng.random_range(0..5) {
        let mut pairs = Vec::new();
        for _ in 0..rng.random_range(0..size * 2) {
            pairs.push((rng.random_range(0..size), rng.random_range(0..size)));
        }
        fleet.cut_at(rng.random_range(0..30_000), pairs);
    }
    fleet.cut_at(36_500, Vec::new());
    fleet.run(70_000);
    fleet
}

/// Some nodes send or receive only part of the time on a part of their links; nothing crashes.
fn asymmetric(seed: u64, mutation: Option<Mutation>) -> Fleet {
    let mut rng = rng::seeded(seed);
    let size = rng.random_range(8..14);
    let mut fleet = Fleet::new(seed, size, mutation);
    fleet.network.loss = 0.0;
    fleet.network.slow = 0.0;
    for round in 0..4 {
        let mut pairs = Vec::new();
        let start = rng.random_range(0..size);
        for number in 0..rng.random_range(1..3) {
            // A node that were cut off in both directions would have no working round trip left.
            let victim = (start + number) % size;
            let inbound = rng.random_bool(0.5);
            // Half of the links in one direction.
            let first = rng.random_range(0..size);
            for offset in 0..size / 2 {
                let other = (first + offset) % size;
                pairs.push(if inbound { (other, victim) } else { (victim, other) });
            }
        }
        fleet.cut_at(5_000 + round * 10_000, pairs);
    }
    fleet.cut_at(45_000, Vec::new());
    fleet.run(50_000);
    fleet
}

/// Guards against a revision that decreases at a node, also after its restart next to an outdated
/// peer, and against a fleet that does not agree once the network is whole again.
#[test]
fn in_force_random_schedules() {
    fn monotonic(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let fleet = restarts(seed, None);
        if !fleet.outcome.faults.is_empty() {
            return TestResult::error(format!("seed {seed}: {:?}", fleet.outcome));
        }
        let size = fleet.size();
        let wrong = fleet.count(|node, standing| {
            fleet.is_up(node) != standing.is_some_and(|standing| standing <= Standing::Suspect)
        });
        if fleet.network.loss < 0.05 && (fleet.current() < size || wrong > 0) {
            let current = fleet.current();
            return TestResult::error(format!("seed {seed}: {current} of {size}, {wrong} wrong"));
        }
        TestResult::passed()
    }
    check(401, monotonic as fn(u64, u64) -> TestResult);
}

/// Guards against a partition in one direction that removes a healthy node.
#[test]
fn probe_asymmetric_partitions() {
    fn kept(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let fleet = asymmetric(seed, None);
        if fleet.outcome.healthy_removed.is_empty() {
            return TestResult::passed();
        }
        TestResult::error(format!("seed {seed}: {:?}", fleet.outcome))
    }
    check(402, kept as fn(u64, u64) -> TestResult);
}

/// Guards against checks that cannot fail: each broken rule is found.
#[test]
fn run_broken_rules() {
    let found = first_violation(403, 2_000, |seed| {
        restarts(seed, Some(Mutation::NothingRequired)).outcome.faults.is_empty()
    });
    println!("NothingRequired: first violation in schedule {found:?}");
    assert!(found.is_some());
    let found = first_violation(403, 200, |seed| {
        asymmetric(seed, Some(Mutation::HelpersDeny)).outcome.healthy_removed.is_empty()
    });
    println!("HelpersDeny: first violation in schedule {found:?}");
    assert!(found.is_some());
}

/// Loses `lost` of 60 nodes at once and returns the fleet 15 s later.
fn loss(lost: usize) -> Fleet {
    let mut fleet = Fleet::new(7, 60, None);
    fleet.network.loss = 0.0;
    fleet.network.slow = 0.0;
    for node in 60 - lost..60 {
        fleet.crash_at(10_000, node);
    }
    fleet.run(25_000);
    fleet
}

/// Guards against the loss of a rack, a domain or a region that goes unnoticed, takes healthy nodes
/// with it, or makes the rest flood each other.
#[test]
fn tick_group_losses() {
    for lost in [3, 20, 30] {
        let fleet = loss(lost);
        let noticed =
            fleet.count(|node, standing| !fleet.is_up(node) && standing == Some(Standing::Dead));
        assert_eq!(noticed, lost * (60 - lost), "{lost} lost");
        assert_eq!(fleet.outcome.healthy_removed, Vec::<String>::new());
        // 15 pushes, and probes with their helpers.
        assert!(fleet.outcome.most_sent_in_a_second <= 40, "{:?}", fleet.outcome);
        assert!(fleet.outcome.mean_sent_in_a_second <= 10.0, "{:?}", fleet.outcome);
        println!("{lost} of 60 lost: {:?}", fleet.outcome);
    }
}

/// Guards against two parts of the fleet that do not find each other after a partition.
#[test]
fn tick_parted_regions() {
    let mut fleet = Fleet::new(9, 40, None);
    fleet.network.loss = 0.0;
    fleet.network.slow = 0.0;
    let mut pairs = Vec::new();
    for left in 0..20 {
        for right in 20..40 {
            pairs.push((left, right));
            pairs.push((right, left));
        }
    }
    fleet.cut_at(10_000, pairs);
    fleet.change_at(20_000);
    fleet.cut_at(70_000, Vec::new());
    fleet.run(100_000);
    assert_eq!(fleet.count(|_, standing| standing != Some(Standing::Alive)), 0);
    assert_eq!(fleet.current(), 40);
    let most = fleet.outcome.most_sent_in_a_second;
    assert!(most <= 40, "{most} messages in a second");
}

/// Guards against a message of an earlier start that replaces a later record.
#[test]
fn merge_old_incarnation() {
    use std::sync::Arc;
    use std::time::Duration;

    use arbutuslane_member::message::{Held, Verdict};
    use arbutuslane_member::record::View;

    let view = View { round: 0, standing: Standing::Alive };
    let mut table = Table::default();
    let new = Held { record: Arc::new(Record::new("a", 5, "10.0.0.1:1", "d")), view };
    let old = Held { record: Arc::new(Record::new("a", 4, "10.0.0.1:9", "d")), view };
    assert!(table.merge(Duration::ZERO, &new));
    assert!(!table.merge(Duration::ZERO, &old));
    let dead = View { round: 9, standing: Standing::Dead };
    let verdict = Verdict { node: "a".to_string(), incarnation: 4, version: 1, view: dead };
    assert!(!table.judge(Duration::ZERO, &verdict));
    assert_eq!(table.get("a").map(|known| known.record.peers.as_str()), Some("10.0.0.1:1"));
}
