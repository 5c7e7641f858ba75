//! Tests of what is evidence against a request, with random schedules of crashes.

mod fleet;
mod support;

use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_record::prelude::*;
use fleet::{Effect, Fleet, Request};
use rand::RngExt;
use support::millis;

/// The number of schedules of each test.
const SEEDS: u64 = 200;

/// The time after which crashes are known everywhere; retries later than this after the third crash count.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// The time after which requests are served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// The retries that may reach servers after that.
const ALLOWED_RETRIES: usize = 3;

const POPULAR: Request = Request {
    identity: Identity { request: 1, variant: 1 },
    effect: Effect::Responds,
    work: Duration::from_millis(400),
};

const CRASHING: Request = Request {
    identity: Identity { request: 2, variant: 1 },
    effect: Effect::Crashes,
    work: Duration::from_millis(50),
};

/// Sends a popular request 40 times a second for a while; returns the share that servers ran.
fn serve(fleet: &mut Fleet, time: Duration) -> f64 {
    let (mut sent, mut served) = (0_u32, 0_u32);
    let end = fleet.now + time;
    while fleet.now < end {
        sent += 1;
        served += u32::from(fleet.send(POPULAR));
        fleet.advance(millis(25));
    }
    f64::from(served) / f64::from(sent)
}

/// Returns how many retries of the crashing request count: later than the window after its third crash.
fn counted_retries(fleet: &Fleet) -> usize {
    let is_crashing = |(_, request): &&(Time, u64)| *request == CRASHING.identity.request;
    let times: Vec<Time> = fleet.arrivals.iter().filter(is_crashing).map(|(at, _)| *at).collect();
    let Some(third) = times.get(2) else { return 0 };
    times.iter().filter(|at| **at > *third + CRASHING.work + STABILITY_WINDOW).count()
}

/// Guards against a request that crashes servers without end when it comes in bursts, beside a popular one, and
/// against a conviction of that one.
#[test]
fn begin_bursts() {
    for seed in 0..SEEDS {
        let servers = 2 + usize::try_from(seed % 5).unwrap();
        let mut fleet = Fleet::new(seed, 3, servers);
        for _ in 0..8 {
            for _ in 0..fleet.rng.random_range(1..=10) {
                fleet.send(CRASHING);
                let pause = fleet.rng.random_range(0..100);
                fleet.advance(millis(pause));
            }
            let pause = fleet.rng.random_range(500..6_000);
            serve(&mut fleet, millis(pause));
        }
        let counted = counted_retries(&fleet);
        assert!(counted <= ALLOWED_RETRIES, "seed {seed}: {counted} retries count");
        let is_convicted = |verdict: &Verdict| matches!(verdict, Verdict::Quarantined { .. });
        assert!(fleet.verdicts(CRASHING.identity).iter().all(is_convicted), "seed {seed}");
        serve(&mut fleet, Duration::from_secs(6));
        let verdicts = fleet.verdicts(POPULAR.identity);
        let is_unrestricted = |verdict: &Verdict| *verdict == Verdict::Unrestricted;
        assert!(verdicts.iter().all(is_unrestricted), "seed {seed}: {verdicts:?}");
    }
}

/// Guards against the refusal of a popular request that was running at servers which ended for another reason:
/// the servers of a domain at once or in turn, or all servers in turn as in a deployment (review/13).
#[test]
fn begin_servers_end() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 3, 3);
        serve(&mut fleet, Duration::from_secs(2));
        let longest_pause = [1, 200, 600, 1_500][usize::try_from(seed % 4).unwrap()];
        let servers: Vec<usize> = match seed % 3 {
            0 => (0..fleet.len()).collect(),
            _ => fleet.domain(1),
        };
        for server in servers {
            fleet.crash(server);
            let pause = fleet.rng.random_range(0..longest_pause);
            serve(&mut fleet, millis(pause));
        }
        serve(&mut fleet, RECOVERY);
        let share = serve(&mut fleet, Duration::from_secs(2));
        let verdicts = fleet.verdicts(POPULAR.identity);
        assert!(share > 0.99, "seed {seed}: {share} of the requests ran, {verdicts:?}");
    }
}
