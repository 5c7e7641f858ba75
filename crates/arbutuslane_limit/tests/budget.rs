//! The retry budget of a fleet whose nodes do not talk to each other about it.

use std::time::Duration;

use arbutuslane_core::rng;
use arbutuslane_core::time::Time;
use arbutuslane_limit::budget::{FleetLimit, Origin, RetryBudget};
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
fn simulate(limit: FleetLimit, nodes: usize, seed: u64) -> [Vec<Count>; 2] {
    let mut rng = rng::seeded(seed);
    let budgets = |now: Time| vec![limit.budget(nodes, now); nodes];
    let mut own = budgets(Time::ZERO);
    let mut called = budgets(Time::ZERO);
    let mut counts = [vec![], vec![]];
    for step in 0..STEPS {
        let now = STEP * step;
        let mut count = [Count::default(); 2];
        if step == STEPS / 2 {
            (own, called) = (budgets(now), budgets(now));
        }
        let failing_share = if (STEPS / 3..STEPS * 2 / 3).contains(&step) { 0.8 } else { 0.05 };
        for node in 0..nodes {
            own[node].refill(now);
            called[node].refill(now);
            // Three requests a second to each service arrive at each node.
            for service in 0..2 {
                if !rng.random_bool(0.3) {
                    continue;
                }
                count[service].first += 1.0;
                let budget: &mut RetryBudget =
                    if service == 0 { &mut own[node] } else { &mut called[node] };
                budget.earn(Origin::First);
                for _ in 0..3 {
                    if !rng.random_bool(failing_share) || !budget.spend() {
                        break;
                    }
                    count[service].repeats += 1.0;
                    // The repeat runs beside another node, which sends its call.
                    if service == 0 && rng.random_bool(0.5) {
                        called[rng.random_range(0..nodes)].charge();
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
fn fleet_limit_any_size() {
    for (nodes, slack) in [(27, 25.29), (27, 64.0), (240, 430.0), (2_000, 3_600.0)] {
        let limit = FleetLimit { ratio: 0.2, slack, window: STEP * 100 };
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
        // A budget that keeps the limit by allowing nothing is of no use.
        assert!(used > 0.6, "{nodes} nodes use {used} of the limit");
    }
}

/// Guards against a retry that is paid with the credit of repeats which were charged before.
#[test]
fn charge_without_credit() {
    let mut budget = RetryBudget::new(100, 0, 5);
    budget.charge();
    budget.charge();
    for _ in 0..2 {
        budget.earn(Origin::First);
        assert!(!budget.spend());
    }
    budget.earn(Origin::First);
    assert!(budget.spend());
}
