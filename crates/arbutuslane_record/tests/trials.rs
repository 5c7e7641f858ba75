//! Tests of what is evidence against a request, with random schedules of crashes.

mod fleet;
mod support;

use std::time::Duration;

use arbutuslane_record::prelude::*;
use arbutuslane_record::strike::{Crash, MAX_REQUEST_STRIKES, MAX_STRIKES, QUARANTINE_DURATION};
use fleet::{Arrival, Effect, Fleet, Request};
use rand::RngExt;
use rand::seq::SliceRandom;
use support::millis;

/// The number of schedules of each test.
const SEEDS: u64 = 200;

/// The time after which crashes are known everywhere; retries later than this after the third crash count.
pub(crate) const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// The time after which requests are served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// The longest time for which an owner or a keeper is away.
const LONGEST_TROUBLE: Duration = Duration::from_secs(3);

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

/// Returns how many retries of the crashing request count: at owners in touch, later than the window after its
/// third crash.
fn counted_retries(fleet: &Fleet) -> usize {
    let is_crashing = |arrival: &&Arrival| arrival.request == CRASHING.identity.request;
    let arrivals: Vec<&Arrival> = fleet.arrivals.iter().filter(is_crashing).collect();
    let Some(third) = arrivals.get(2) else { return 0 };
    let counts_from = third.at + CRASHING.work + STABILITY_WINDOW;
    arrivals.iter().filter(|arrival| arrival.is_in_touch && arrival.at > counts_from).count()
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

/// Guards against a request that reaches servers again at owners that missed the strikes: because messages were
/// lost, or because they were restarted or cut off, alone, in turn or all at once (review/14).
#[test]
fn compare_losses() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 3, 3);
        fleet.loss = [0.0, 0.2][usize::try_from(seed % 2).unwrap()];
        for _ in 0..12 {
            trouble(&mut fleet);
            for _ in 0..fleet.rng.random_range(1..8) {
                fleet.send(CRASHING);
                let beside = fleet.rng.random_range(0..fleet.len());
                if fleet.rng.random_bool(0.2) {
                    fleet.send_beside(beside, CRASHING);
                }
                let pause = fleet.rng.random_range(100..1_500);
                fleet.advance(millis(pause));
            }
        }
        let counted = counted_retries(&fleet);
        assert!(counted <= ALLOWED_RETRIES, "seed {seed}: {counted} retries count");
        fleet.advance(LONGEST_TROUBLE + STABILITY_WINDOW);
        let is_convicted = |verdict: &Verdict| matches!(verdict, Verdict::Quarantined { .. });
        let verdicts = fleet.verdicts(CRASHING.identity);
        assert!(verdicts.iter().all(is_convicted), "seed {seed}: {verdicts:?}");
    }
}

/// Restarts or cuts off some owners, and stops a keeper at times.
fn trouble(fleet: &mut Fleet) {
    let longest = u64::try_from(LONGEST_TROUBLE.as_millis()).unwrap();
    let time = millis(fleet.rng.random_range(200..longest));
    match fleet.rng.random_range(0..5) {
        0 => (0..fleet.len()).for_each(|owner| fleet.restart(owner, time)),
        1 | 2 => {
            for _ in 0..2 {
                let owner = fleet.rng.random_range(0..fleet.len());
                fleet.restart(owner, time);
            }
        }
        3 => {
            let owner = fleet.rng.random_range(0..fleet.len());
            fleet.cut_off(owner, time);
        }
        _ => {
            let keeper = fleet.rng.random_range(0..3);
            fleet.stop_keeper(keeper, time);
        }
    }
}

/// Guards against a cleared strike that comes back from a process that missed the clearing.
#[test]
fn compare_cleared() {
    let (now, until) = (Duration::ZERO, QUARANTINE_DURATION);
    let crash = Crash { server: "s".to_string(), incarnation: 1, variant: 1 };
    let strike = Strike::new(1, crash.clone());
    let (mut one, mut other) = (Strikes::default(), Strikes::default());
    one.strike(now, strike.clone());
    other.merge(now, strike.clone(), until);
    one.clear(POPULAR.identity, &[crash]);
    assert_ne!(one.buckets(), other.buckets());
    for strike in other.differing(&one.buckets()) {
        assert_eq!(one.merge(now, strike, until), None);
    }
    assert_eq!(one.verdict(now, POPULAR.identity), Verdict::Unrestricted);
    for strike in one.differing(&other.buckets()) {
        other.merge(now, strike, until);
    }
    assert_eq!(other.verdict(now, POPULAR.identity), Verdict::Unrestricted);
    assert_eq!(one.buckets(), other.buckets());
}

/// Guards against tables that grow without limit under strikes of a hostile caller, that differ for good then, or
/// that forget a conviction for them.
#[test]
fn merge_many() {
    let (now, until) = (Duration::ZERO, QUARANTINE_DURATION);
    let crash = |number: u64| Crash { server: format!("s{number}"), incarnation: 1, variant: 1 };
    let mut strikes: Vec<Strike> =
        (10..3_000).map(|number| Strike::new(number % 2_000, crash(number)).at(number)).collect();
    strikes.push(Strike::new(1, crash(1)).at(1));
    strikes.push(Strike::new(1, crash(2)).at(2).after(&[crash(1)]));
    strikes.extend((3..40).map(|number| Strike::new(1, crash(number)).at(10_000 + number)));
    let mut tables: Vec<Strikes> = Vec::new();
    for seed in 0..4 {
        let mut rng = arbutuslane_core::rng::seeded(seed);
        let mut table = Strikes::default();
        strikes.shuffle(&mut rng);
        for _ in 0..2 {
            for strike in &strikes {
                table.merge(now, strike.clone(), until);
            }
        }
        assert_eq!(table.all(now).len(), MAX_STRIKES);
        assert!(matches!(table.verdict(now, POPULAR.identity), Verdict::Quarantined { .. }));
        assert_eq!(table.known(now, POPULAR.identity).len(), MAX_REQUEST_STRIKES);
        tables.push(table);
    }
    assert!(tables.iter().all(|table| table.buckets() == tables[0].buckets()));
}
