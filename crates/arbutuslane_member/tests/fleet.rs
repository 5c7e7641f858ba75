//! Tests membership and configuration with random schedules on a simulated faulty network.
//!
//! All times are in milliseconds from the start of the run.

mod support;

use arbutuslane_core::rng;
use arbutuslane_member::prelude::*;
use quickcheck::TestResult;
use rand::RngExt;
use support::fleet::{Fleet, Mutation};
use support::{check, first_violation};

/// Runs a fleet with crashes, restarts with empty memory, blocked links and configuration changes on a
/// network that loses and delays messages.
fn run_with_restarts(seed: u64, mutation: Option<Mutation>) -> Fleet {
    let mut rng = rng::seeded(seed);
    let size = rng.random_range(4..12);
    let mut fleet = Fleet::new(seed, size, mutation);
    for _ in 0..rng.random_range(1..30) {
        fleet.change_configuration_at(rng.random_range(0..30_000));
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
        fleet.set_blocked_links_at(rng.random_range(0..30_000), pairs);
    }
    // All links are restored after the last restart, which happens before 36 s.
    fleet.set_blocked_links_at(36_500, Vec::new());
    fleet.run(70_000);
    fleet
}

/// Runs a fleet in which half of the links of some nodes are blocked in one direction for a while; no
/// node crashes.
fn run_with_one_way_cuts(seed: u64, mutation: Option<Mutation>) -> Fleet {
    let mut rng = rng::seeded(seed);
    let size = rng.random_range(8..14);
    let mut fleet = Fleet::new(seed, size, mutation);
    fleet.network.loss_rate = 0.0;
    fleet.network.slow_rate = 0.0;
    for round in 0..4 {
        let mut pairs = Vec::new();
        let start = rng.random_range(0..size);
        for number in 0..rng.random_range(1..3) {
            // The victims of a round differ, because a node blocked in both directions might have
            // no working round trip left.
            let victim = (start + number) % size;
            let inbound = rng.random_bool(0.5);
            // Each pair is (sender, receiver).
            let first = rng.random_range(0..size);
            for offset in 0..size / 2 {
                let other = (first + offset) % size;
                pairs.push(if inbound { (other, victim) } else { (victim, other) });
            }
        }
        fleet.set_blocked_links_at(5_000 + round * 10_000, pairs);
    }
    fleet.set_blocked_links_at(45_000, Vec::new());
    fleet.run(50_000);
    fleet
}

/// Guards against a revision that decreases at a node, including after a restart next to an outdated
/// peer, and against a fleet that does not converge after all links are restored.
#[test]
fn in_force_random_schedules() {
    // A tenth of the values that quickcheck draws are 0, 1 or `u64::MAX`; the second input makes
    // repeated schedules rare.
    fn never_decreases(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let fleet = run_with_restarts(seed, None);
        if !fleet.report.revision_decreases.is_empty() {
            return TestResult::error(format!("seed {seed}: {:?}", fleet.report));
        }
        let size = fleet.size();
        // A node is considered up while it is `Alive` or `Suspect`, the two lowest standings.
        let wrong_views = fleet.count_views(|node, standing| {
            fleet.is_up(node) != standing.is_some_and(|standing| standing <= Standing::Suspect)
        });
        // Convergence is required only on networks that lose less than 5% of the messages.
        if fleet.network.loss_rate < 0.05 && (fleet.count_current() < size || wrong_views > 0) {
            let current = fleet.count_current();
            return TestResult::error(format!(
                "seed {seed}: {current} of {size}, {wrong_views} wrong"
            ));
        }
        TestResult::passed()
    }
    check(401, never_decreases as fn(u64, u64) -> TestResult);
}

/// Guards against the removal of a healthy node whose links are blocked in one direction.
#[test]
fn probe_asymmetric_partitions() {
    // The second input makes repeated schedules rare, as in `in_force_random_schedules`.
    fn removes_no_healthy_node(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let fleet = run_with_one_way_cuts(seed, None);
        if fleet.report.healthy_removed.is_empty() {
            return TestResult::passed();
        }
        TestResult::error(format!("seed {seed}: {:?}", fleet.report))
    }
    check(402, removes_no_healthy_node as fn(u64, u64) -> TestResult);
}

/// Guards against properties that cannot fail: each mutation must violate its property.
#[test]
fn run_broken_rules() {
    // A node must put an older revision in force when its backend servers require none.
    let found = first_violation(403, 2_000, |seed| {
        run_with_restarts(seed, Some(Mutation::NothingRequired))
            .report
            .revision_decreases
            .is_empty()
    });
    println!("NothingRequired: first violation in schedule {found:?}");
    assert!(found.is_some());
    // A healthy node must be declared dead when all helpers report it as unreachable.
    let found = first_violation(403, 200, |seed| {
        run_with_one_way_cuts(seed, Some(Mutation::HelpersDeny)).report.healthy_removed.is_empty()
    });
    println!("HelpersDeny: first violation in schedule {found:?}");
    assert!(found.is_some());
}

/// Crashes `lost` of 60 nodes at once, 10 s after the start, and returns the fleet 15 s later.
fn run_with_crashes(lost: usize) -> Fleet {
    let mut fleet = Fleet::new(7, 60, None);
    fleet.network.loss_rate = 0.0;
    fleet.network.slow_rate = 0.0;
    for node in 60 - lost..60 {
        fleet.crash_at(10_000, node);
    }
    fleet.run(25_000);
    fleet
}

/// Guards against the loss of a rack, a failure domain or a region that is not detected, causes the
/// removal of healthy nodes, or makes the remaining nodes flood each other with messages.
#[test]
fn tick_group_losses() {
    // A rack, a failure domain and a region.
    for lost in [3, 20, 30] {
        let fleet = run_with_crashes(lost);
        let dead_views = fleet
            .count_views(|node, standing| !fleet.is_up(node) && standing == Some(Standing::Dead));
        assert_eq!(dead_views, lost * (60 - lost), "{lost} lost");
        assert_eq!(fleet.report.healthy_removed, Vec::<String>::new());
        // The highest number of messages that one node sent in one second; it allows for 15 pushes,
        // and for probes with their helpers.
        assert!(fleet.report.max_sent_per_second <= 40, "{:?}", fleet.report);
        // All messages of the run, per second and surviving node.
        assert!(fleet.report.mean_sent_per_second <= 10.0, "{:?}", fleet.report);
        println!("{lost} of 60 lost: {:?}", fleet.report);
    }
}

/// Guards against two parts of the fleet that do not reconnect after a partition.
#[test]
fn tick_parted_regions() {
    let mut fleet = Fleet::new(9, 40, None);
    fleet.network.loss_rate = 0.0;
    fleet.network.slow_rate = 0.0;
    let mut pairs = Vec::new();
    for left in 0..20 {
        for right in 20..40 {
            pairs.push((left, right));
            pairs.push((right, left));
        }
    }
    fleet.set_blocked_links_at(10_000, pairs);
    fleet.change_configuration_at(20_000);
    fleet.set_blocked_links_at(70_000, Vec::new());
    fleet.run(100_000);
    assert_eq!(fleet.count_views(|_, standing| standing != Some(Standing::Alive)), 0);
    assert_eq!(fleet.count_current(), 40);
    let max_sent = fleet.report.max_sent_per_second;
    // The limit is the one for each node in `tick_group_losses`.
    assert!(max_sent <= 40, "{max_sent} messages in a second");
}

/// Guards against a message from an earlier incarnation that replaces a newer record.
#[test]
fn merge_old_incarnation() {
    use std::sync::Arc;
    use std::time::Duration;

    use arbutuslane_member::message::{NodeView, RecordWithView};
    use arbutuslane_member::record::View;

    let view = View { round: 0, standing: Standing::Alive };
    let mut table = Table::default();
    let new = RecordWithView { record: Arc::new(Record::new("a", 5, "10.0.0.1:1", "d")), view };
    let old = RecordWithView { record: Arc::new(Record::new("a", 4, "10.0.0.1:9", "d")), view };
    assert!(table.merge(Duration::ZERO, &new));
    assert!(!table.merge(Duration::ZERO, &old));
    let dead = View { round: 9, standing: Standing::Dead };
    let node_view = NodeView { node: "a".to_string(), incarnation: 4, version: 1, view: dead };
    assert!(!table.merge_view(Duration::ZERO, &node_view));
    assert_eq!(table.get("a").map(|known| known.record.peers.as_str()), Some("10.0.0.1:1"));
}
