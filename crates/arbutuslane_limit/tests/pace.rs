//! Tests of the rate that a server states, with random arrivals in virtual time.

use std::time::Duration;

use arbutuslane_catalogue::prelude::Class;
use arbutuslane_core::rng;
use arbutuslane_limit::gate::Reason;
use arbutuslane_limit::prelude::*;
use quickcheck::{Gen, QuickCheck};
use rand::RngExt;

const SLOTS: usize = 8;

/// The time between two events of a test.
const STEP: Duration = Duration::from_millis(10);

fn arrival(now: Duration, seconds: u64) -> Arrival {
    Arrival::of_class(Class::NonIdempotent, now, Deadline::after(now, Duration::from_secs(seconds)))
}

/// Returns the times at which requests start under random load, while the server states `per_second`
/// from the time zero on.
fn starts(seed: u64, per_second: f64, until: Duration) -> Vec<Duration> {
    let mut rng = rng::seeded(seed);
    let mut gate = Gate::new(SLOTS, SLOTS * 2);
    let mut running: Vec<(Ticket, Duration)> = Vec::new();
    let mut starts = Vec::new();
    let mut now = Duration::ZERO;
    gate.set_limit(Some(per_second), now);
    while now < until {
        let mut started = Vec::new();
        for _ in 0..rng.random_range(0..4) {
            if let Admission::Run(ticket) = gate.arrive(now, arrival(now, rng.random_range(1..9))) {
                started.push(ticket);
            }
        }
        let finished: Vec<Ticket> =
            running.extract_if(.., |(_, end)| *end <= now).map(|(ticket, _)| ticket).collect();
        for ticket in finished {
            started.extend(gate.finish(ticket, now).start);
        }
        started.extend(gate.advance(now).start);
        for ticket in started {
            starts.push(now);
            running.push((ticket, now + Duration::from_millis(rng.random_range(1..400))));
        }
        now += STEP;
    }
    starts
}

/// Guards against a server that gets more requests than it states that it accepts, and against one
/// that gets far fewer although requests wait for it.
#[test]
fn start_stated_rate() {
    fn property(seed: u64) -> bool {
        let mut rng = rng::seeded(seed);
        let per_second = rng.random_range(0.3..40.0_f64);
        let until = Duration::from_secs(20);
        let starts = starts(seed, per_second, until);
        let window = Duration::from_secs(4);
        // The users' bound: one and a half times the stated rate, and five requests.
        let allowed = per_second * window.as_secs_f64() * 1.5 + 5.0;
        for from in &starts {
            let count = starts.iter().filter(|at| *at >= from && **at < *from + window).count();
            if count as f64 > allowed {
                eprintln!("seed {seed}: {count} starts in {window:?} at {per_second} a second");
                return false;
            }
        }
        // The slots limit the rate to about 40 a second.
        let expected = per_second.min(30.0) * until.as_secs_f64();
        starts.len() as f64 > expected * 0.8 - 1.0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(60)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against requests that wait although it is known that they cannot start before their
/// deadlines, and against a refusal without a time to come back.
#[test]
fn set_limit_refuses_late() {
    let now = Duration::ZERO;
    let mut gate = Gate::new(1, 8);
    let Admission::Run(first) = gate.arrive(now, arrival(now, 9)) else { panic!("no free slot") };
    let mut queued = Vec::new();
    for seconds in [2, 4, 6, 8] {
        let admission = gate.arrive(now, arrival(now, seconds));
        let Admission::Queued { ticket, .. } = admission else { panic!("{admission:?}") };
        queued.push(ticket);
    }
    // One request every 4 s: the first starts after 3.5 s, the next one after 7.5 s.
    let change = gate.set_limit(Some(0.25), now);
    assert_eq!((change.start, change.refuse), (vec![], vec![queued[0], queued[2]]));
    assert!(gate.finish(first, now).start.is_empty());
    assert_eq!(gate.next_start(now), Some(Duration::from_millis(3_500)));
    let refusal = gate.refusal(now, &arrival(now, 1)).unwrap();
    assert_eq!(refusal.reason, Reason::Limited);
    assert!(refusal.retry_after > Duration::from_secs(3), "{refusal:?}");
}

/// Guards against requests that stay in the queue after the server has lifted its limit.
#[test]
fn set_limit_lifted() {
    let now = Duration::ZERO;
    let mut gate = Gate::new(4, 8);
    gate.set_limit(Some(0.0), now);
    let admission = gate.arrive(now, arrival(now, 9));
    let Admission::Queued { ticket, .. } = admission else { panic!("{admission:?}") };
    assert_eq!(gate.set_limit(None, now).start, [ticket]);
    assert!(matches!(gate.arrive(now, arrival(now, 9)), Admission::Run(_)));
    assert_eq!(gate.next_start(now), None);
}
