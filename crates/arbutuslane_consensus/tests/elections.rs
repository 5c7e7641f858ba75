//! The time without a leader, in virtual time over many seeds.
//!
//! `ARBUTUSLANE_ELECTIONS` sets the number of seeds; `tools/elections.sh` uses it.

#[expect(dead_code, reason = "the schedules use more of the module")]
mod world;

use std::time::Duration;

use world::{Plan, World};

/// The largest time without a leader for 99 in 100 failures, from the design.
const TARGET: Duration = Duration::from_secs(3);

fn plan() -> Plan {
    // A group that was reduced to two voters has no leader after the loss of one.
    Plan { length: Duration::from_secs(60), reconfigures: false, ..Plan::default() }
}

/// Returns the time from the loss of the leader until another one serves reads and changes.
fn outage(seed: u64, lose: impl Fn(&mut World, usize)) -> Duration {
    let mut world = World::new(seed, plan());
    let step = Duration::from_millis(5);
    let mut leader = None;
    while leader.is_none() || world.now < Duration::from_secs(4) {
        let next = world.now + step;
        world.run_until(next);
        leader = world.leader();
    }
    let old = leader.unwrap();
    lose(&mut world, old);
    let start = world.now;
    loop {
        let next = world.now + step;
        world.run_until(next);
        let led = |position: usize| {
            position != old
                && world.slots[position].node().is_some_and(|node| node.is_established())
        };
        if (0..world.slots.len()).any(led) {
            return world.now - start;
        }
        assert!(world.now < start + Duration::from_secs(60), "seed {seed}: no new leader");
    }
}

fn report(name: &str, lose: impl Fn(&mut World, usize)) -> Duration {
    let seeds = std::env::var("ARBUTUSLANE_ELECTIONS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds = seeds.unwrap_or(200u64);
    let mut outages: Vec<Duration> = (0..seeds).map(|seed| outage(seed, &lose)).collect();
    outages.sort_unstable();
    let at = |hundredths: usize| outages[(outages.len() - 1) * hundredths / 100];
    println!("{name}: seeds={seeds} p50={:?} p99={:?} max={:?}", at(50), at(99), at(100));
    at(99)
}

/// Guards against elections that take longer than the target after the leader's process is killed.
#[test]
fn outage_kill() {
    assert!(report("kill", |world, leader| world.crash(leader)) < TARGET);
}

/// Guards against the same after the leader is cut off in both directions without any sign.
#[test]
fn outage_isolation() {
    assert!(report("silent isolation", |world, leader| world.isolate(leader)) < TARGET);
}

/// Guards against the same when the leader hears the others but cannot reach them.
#[test]
fn outage_one_way() {
    let mute = |world: &mut World, leader: usize| {
        for other in 0..world.slots.len() {
            world.blocked.push((leader, other));
        }
    };
    assert!(report("one-way isolation", mute) < TARGET);
}
