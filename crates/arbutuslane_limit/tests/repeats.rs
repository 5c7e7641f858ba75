//! The limit on repeats of a fleet whose nodes do not talk to each other about it.

use std::time::Duration;

use arbutuslane_core::rng;
use arbutuslane_core::time::Time;
use arbutuslane_limit::repeats::{Limit, Part, Precedence};
use rand::RngExt;

const STEP: Duration = Duration::from_millis(100);

const STEPS: u32 = 600;

/// The number of steps in the window of the limit.
const WINDOW_STEPS: usize = 100;

/// First requests and repeats of one service in each step, over all nodes.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    first: f64,
    repeats: f64,
}

/// Simulates a fleet in which, from a third of the time to two thirds, most requests to one service
/// fail, and each repeat there may make a call to a second service. All nodes restart at half the
/// time. Returns the counts of both services.
fn simulate(limit: Limit, nodes: usize, seed: u64) -> [Vec<Count>; 2] {
    let mut rng = rng::seeded(seed);
    let parts = |now: Time| {
        let mut part = Part::new(limit, now);
        part.set_owners(nodes, now);
        vec![part; nodes]
    };
    let mut own = parts(Time::ZERO);
    let mut called = parts(Time::ZERO);
    let mut counts = [vec![], vec![]];
    for step in 0..STEPS {
        let now = STEP * step;
        let mut count = [Count::default(); 2];
        if step == STEPS / 2 {
            (own, called) = (parts(now), parts(now));
        }
        let failing_share = if (STEPS / 3..STEPS * 2 / 3).contains(&step) { 0.8 } else { 0.05 };
        for node in 0..nodes {
            // Three requests a second to each service arrive at each node.
            for service in 0..2 {
                if !rng.random_bool(0.3) {
                    continue;
                }
                count[service].first += 1.0;
                let part = if service == 0 { &mut own[node] } else { &mut called[node] };
                part.count_first(now);
                for _ in 0..3 {
                    if !rng.random_bool(failing_share) || !part.admits(Precedence::Low, now) {
                        break;
                    }
                    part.count_repeat(now);
                    count[service].repeats += 1.0;
                    // The repeat runs beside another node, which sends its call.
                    if service == 0 && rng.random_bool(0.5) {
                        called[rng.random_range(0..nodes)].count_consequence(now);
                        count[1].repeats += 1.0;
                        break;
                    }
                }
            }
        }
        counts[0].push(count[0]);
        counts[1].push(count[1]);
    }
    counts
}

/// Guards against repeats beyond the limit of the fleet: in a failure of most servers, with calls of
/// repeated requests, after a restart of all nodes, and with a slack that is no whole number for a
/// node.
#[test]
fn limit_any_size() {
    for (nodes, slack) in [(27, 25.29), (27, 64.0), (240, 430.0), (2_000, 3_600.0)] {
        let limit = Limit { ratio: 0.2, slack, window: STEP * 100 };
        let mut used = 0.0_f64;
        for counts in simulate(limit, nodes, 7) {
            for end in WINDOW_STEPS..counts.len() {
                let window = &counts[end - WINDOW_STEPS..end];
                let first: f64 = window.iter().map(|count| count.first).sum();
                let repeats: f64 = window.iter().map(|count| count.repeats).sum();
                let allowed = limit.ratio * first + limit.slack;
                assert!(repeats <= allowed, "{nodes} nodes: {repeats} of {allowed}");
                used = used.max(repeats / allowed);
            }
        }
        // A limit that is kept by allowing nothing is of no use.
        assert!(used > 0.6, "{nodes} nodes use {used} of the limit");
    }
}

fn part(slack: f64) -> Part {
    let limit = Limit { ratio: 1.0, slack, window: Duration::from_secs(10) };
    let mut part = Part::new(limit, Duration::ZERO);
    part.set_owners(1, Duration::ZERO);
    part
}

/// Guards against a repeat that is admitted although requests that were not asked for have used up the
/// part.
#[test]
fn count_consequence_without_room() {
    let mut part = part(0.0);
    let now = Duration::from_secs(1);
    part.count_consequence(now);
    part.count_consequence(now);
    for _ in 0..3 {
        part.count_first(now);
        assert!(!part.admits(Precedence::Low, now));
    }
    part.count_first(now);
    // For a second, room is kept for as many again.
    assert!(!part.admits(Precedence::Low, now));
    assert!(part.admits(Precedence::Low, Duration::from_millis(2_200)));
}

/// Guards against a part that loses what it was allowed while nothing failed, and against one that is used
/// up at once.
#[test]
fn admits_after_quiet_time() {
    let mut part = part(0.0);
    for second in 5..=9 {
        part.count_first(Duration::from_secs(second));
        part.count_first(Duration::from_secs(second));
    }
    let mut admitted = Vec::new();
    for step in 0..100 {
        let now = Duration::from_millis(9_000 + 50 * step);
        if part.admits(Precedence::Low, now) {
            part.count_repeat(now);
            admitted.push(now);
        }
    }
    // 8.5 repeats are allowed, and a quarter of them may come in a second.
    let first = admitted.partition_point(|at| *at < Duration::from_secs(10));
    assert_eq!((first, admitted.len()), (3, 8), "{admitted:?}");
}

/// Guards against a process that uses the slack again which its predecessor used.
#[test]
fn admits_after_start() {
    let mut part = part(20.0);
    assert!(!part.admits(Precedence::Low, Duration::from_secs(9)));
    assert!(part.admits(Precedence::Low, Duration::from_secs(10)));
}

/// Guards against parts that grow on both sides of a partition.
#[test]
fn set_owners_partition() {
    let mut part = part(20.0);
    part.set_owners(10, Duration::from_secs(11));
    part.set_owners(5, Duration::from_secs(12));
    let before = part.allowed(Duration::from_secs(20));
    part.set_owners(5, Duration::from_secs(40));
    assert!((part.allowed(Duration::from_secs(40)) - before).abs() < 1e-9);
    part.set_owners(5, Duration::from_secs(71));
    assert!(part.allowed(Duration::from_secs(71)) > before * 1.9);
}

/// Guards against a last repeat that goes to the first that asks, although a more urgent one was
/// refused a moment ago.
#[test]
fn admits_precedence() {
    let mut part = part(0.0);
    let (now, later) = (Duration::from_secs(1), Duration::from_millis(1_200));
    assert!(!part.admits(Precedence::High, now));
    part.count_first(now);
    part.count_first(now);
    assert!(!part.admits(Precedence::Low, later));
    assert!(part.admits(Precedence::High, later));
    assert!(part.admits(Precedence::Low, Duration::from_secs(3)));
}
