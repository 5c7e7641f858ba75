//! Measures the time without a leader after failures, in virtual time over many seeds.
//!
//! `ARBUTUSLANE_ELECTIONS` sets the number of seeds; `tools/elections.sh` uses it.

#[expect(dead_code, reason = "only tests/schedules.rs uses all of the module")]
mod world;

use std::time::Duration;

use world::{Plan, Simulation};

/// The longest time without a leader that the design allows in 99 of 100 failures.
const MAX_P99_OUTAGE: Duration = Duration::from_secs(3);

fn plan() -> Plan {
    // A group that was reduced to two voters cannot elect a leader after the loss of one.
    Plan { duration: Duration::from_secs(60), reconfigures: false, ..Plan::default() }
}

/// Returns the time from the loss of the leader until another leader is established, so that it
/// serves reads and changes.
fn measure_outage(seed: u64, lose_leader: impl Fn(&mut Simulation, usize)) -> Duration {
    let mut simulation = Simulation::new(seed, plan());
    let step = Duration::from_millis(5);
    let mut leader = None;
    while leader.is_none() || simulation.now < Duration::from_secs(4) {
        let next = simulation.now + step;
        simulation.run_until(next);
        leader = simulation.leader();
    }
    let old_leader = leader.unwrap();
    lose_leader(&mut simulation, old_leader);
    let lost_at = simulation.now;
    loop {
        let next = simulation.now + step;
        simulation.run_until(next);
        let is_new_leader = |position: usize| {
            position != old_leader
                && simulation.replicas[position].node().is_some_and(|node| node.is_established())
        };
        if (0..simulation.replicas.len()).any(is_new_leader) {
            return simulation.now - lost_at;
        }
        assert!(simulation.now < lost_at + Duration::from_secs(60), "seed {seed}: no new leader");
    }
}

/// Prints percentiles of the time without a leader over all seeds and returns the 99th percentile.
fn report_outages(name: &str, lose_leader: impl Fn(&mut Simulation, usize)) -> Duration {
    let seeds = std::env::var("ARBUTUSLANE_ELECTIONS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds = seeds.unwrap_or(200u64);
    let mut outages: Vec<Duration> =
        (0..seeds).map(|seed| measure_outage(seed, &lose_leader)).collect();
    outages.sort_unstable();
    let percentile = |percent: usize| outages[(outages.len() - 1) * percent / 100];
    println!(
        "{name}: seeds={seeds} p50={:?} p99={:?} max={:?}",
        percentile(50),
        percentile(99),
        percentile(100)
    );
    percentile(99)
}

/// Guards against elections that exceed the limit after the leader's process is killed.
#[test]
fn outage_kill() {
    assert!(report_outages("kill", |simulation, leader| simulation.crash(leader)) < MAX_P99_OUTAGE);
}

/// Guards against elections that exceed the limit after the network drops all messages to and from
/// the leader, without an error to either side.
#[test]
fn outage_isolation() {
    assert!(
        report_outages("silent isolation", |simulation, leader| simulation.isolate(leader))
            < MAX_P99_OUTAGE
    );
}

/// Guards against elections that exceed the limit when the leader receives messages but those that
/// it sends are lost.
#[test]
fn outage_one_way() {
    let block_outgoing = |simulation: &mut Simulation, leader: usize| {
        for other in 0..simulation.replicas.len() {
            simulation.blocked_links.push((leader, other));
        }
    };
    assert!(report_outages("one-way isolation", block_outgoing) < MAX_P99_OUTAGE);
}
