//! Properties of the detector and of the peers' baseline.

use std::time::Duration;

use arbutuslane_catalogue::prelude::{Class, Preference};
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_health::prelude::*;
use quickcheck::{Gen, QuickCheck};
use rand::RngExt;

const PREFERENCES: [Preference; 2] = [Preference::FastDetection, Preference::FewFalseEjections];

fn check<P: quickcheck::Testable>(seed: u64, property: P) {
    QuickCheck::new().rng(Gen::from_size_and_seed(40, seed)).tests(30).quickcheck(property);
}

fn summary(slow: f32) -> Summary {
    Summary {
        class: Class::Idempotent,
        weight: 500.0,
        median: Duration::from_millis(30),
        p90: Duration::from_millis(65),
        recent: 100.0,
        failed: 0.0,
        slow,
    }
}

/// Returns a baseline with new summaries from two entries.
fn baseline(slow: f32, now: Duration) -> Baseline {
    let mut baseline = Baseline::default();
    baseline.record(1, summary(slow), now);
    baseline.record(2, summary(slow), now);
    baseline.expire(now);
    baseline
}

/// Draws a healthy latency: uniform, with one request in ten above the 90th percentile.
fn healthy(rng: &mut Rng) -> Duration {
    let micros = match rng.random_range(0..10) {
        0..=4 => rng.random_range(10_000..30_000),
        5..=8 => rng.random_range(30_000..65_000),
        _ => rng.random_range(65_000..120_000),
    };
    Duration::from_micros(micros)
}

/// Runs `count` requests one after another and returns the first suspicion and its number.
fn first_suspicion(
    preference: Preference,
    count: u64,
    rng: &mut Rng,
    mut request: impl FnMut(&mut Rng) -> (u64, u64, Duration, bool),
) -> Option<(u64, Suspicion)> {
    let mut detector = Detector::new(preference);
    let mut now = Duration::from_secs(1);
    let mut peers = baseline(0.1, now);
    for number in 0..count {
        let (route, caller, latency, success) = request(rng);
        let start = Start { class: Class::Idempotent, route, caller, at: now };
        now += Duration::from_millis(10);
        if number % 20 == 0 {
            peers = baseline(0.1, now);
        }
        detector.observe(&Observation { start, success, latency }, &peers);
        if let Some(suspicion) = detector.suspicion(now + latency, &peers) {
            return Some((number, suspicion));
        }
    }
    None
}

/// Guards against an ejection because of one heavy caller: all of its requests, 20% to 80% of the
/// total, fail or are slow, while those of 20 other callers are healthy.
fn heavy_caller_ejects_none(seed: u64, share: u8, fails: bool) -> bool {
    let share = 20 + u32::from(share) % 61;
    PREFERENCES.into_iter().all(|preference| {
        let mut rng = rng::seeded(seed);
        let found = first_suspicion(preference, 2_000, &mut rng, |rng| {
            let route = rng.random_range(0..4);
            if rng.random_range(0..100) < share {
                return (route, 7, Duration::from_millis(300), !fails);
            }
            (route, rng.random_range(100..120), healthy(rng), true)
        });
        found.is_none()
    })
}

#[test]
fn suspicion_heavy_caller() {
    check(51, heavy_caller_ejects_none as fn(u64, u8, bool) -> bool);
}

/// Guards against an ejection because of one route that is slow or fails on this server only.
fn slow_route_ejects_none(seed: u64, share: u8, fails: bool) -> bool {
    let share = 5 + u32::from(share) % 66;
    PREFERENCES.into_iter().all(|preference| {
        let mut rng = rng::seeded(seed);
        let found = first_suspicion(preference, 2_000, &mut rng, |rng| {
            let caller = rng.random_range(100..120);
            if rng.random_range(0..100) < share {
                return (3, caller, Duration::from_millis(300), !fails);
            }
            (rng.random_range(0..3), caller, healthy(rng), true)
        });
        found.is_none()
    })
}

#[test]
fn suspicion_slow_route() {
    check(52, slow_route_ejects_none as fn(u64, u8, bool) -> bool);
}

/// Guards against a server that fails all requests and is not suspected soon.
fn failing_found(seed: u64) -> bool {
    let mut rng = rng::seeded(seed);
    let bounds = [(Preference::FastDetection, 20), (Preference::FewFalseEjections, 40)];
    bounds.into_iter().all(|(preference, bound)| {
        let found = first_suspicion(preference, 200, &mut rng, |rng| {
            let route = rng.random_range(0..4);
            (route, rng.random_range(100..120), Duration::from_millis(5), false)
        });
        found.is_some_and(|(number, suspicion)| number < bound && suspicion.kind == Kind::Failing)
    })
}

#[test]
fn suspicion_failing() {
    check(53, failing_found as fn(u64) -> bool);
}

/// Guards against evidence from completed requests only: the requests of a hung server never end.
#[test]
fn suspicion_hung() {
    let mut detector = Detector::new(Preference::FastDetection);
    for id in 0..5 {
        let at = Duration::from_secs(1);
        detector.started(id, Start { class: Class::Idempotent, route: id, caller: id + 50, at });
    }
    let peers = baseline(0.1, Duration::from_secs(3));
    // All five requests are older than the median, but none is older than the 90th percentile.
    assert_eq!(detector.suspicion(Duration::from_millis(1_060), &peers), None);
    let late = Duration::from_millis(2_500);
    detector.suspicion(late - Duration::from_secs(1), &peers);
    let found = detector.suspicion(late, &peers).expect("five requests are 1.5 s old");
    assert_eq!(found.kind, Kind::Slow);
}

/// Guards against ejections when the whole service is slow and its quantiles do not show that yet.
#[test]
fn suspicion_slow_service() {
    let mut detector = Detector::new(Preference::FastDetection);
    for number in 0..500 {
        let at = Duration::from_millis(1_000 + number * 10);
        let peers = baseline(0.5, at);
        let start = Start { class: Class::Idempotent, route: number % 4, caller: number, at };
        let latency = Duration::from_millis(300);
        detector.observe(&Observation { start, success: true, latency }, &peers);
        assert_eq!(detector.suspicion(at + latency, &peers), None);
    }
}

/// Guards against slowness that is measured against a baseline from before it began.
#[test]
fn suspicion_stale_baseline() {
    let mut detector = Detector::new(Preference::FastDetection);
    let stale = baseline(0.1, Duration::from_secs(1));
    for number in 0..500 {
        let at = Duration::from_millis(1_000 + number * 10);
        let start = Start { class: Class::Idempotent, route: number % 4, caller: number, at };
        let latency = Duration::from_millis(300);
        detector.observe(&Observation { start, success: true, latency }, &stale);
        assert_eq!(detector.suspicion(at + latency, &stale), None);
    }
    let fresh = baseline(0.1, Duration::from_secs(7));
    assert!(detector.suspicion(Duration::from_secs(7), &fresh).is_some());
}

/// Guards against evidence from requests that their callers cancelled, and against slowness counted
/// during a cold start.
#[test]
fn suspicion_cancelled_and_warming() {
    let mut detector = Detector::new(Preference::FastDetection);
    detector.set_warming(true);
    for number in 0..500 {
        let at = Duration::from_millis(1_000 + number * 10);
        let start = Start { class: Class::Idempotent, route: number % 4, caller: number, at };
        let peers = baseline(0.1, at + Duration::from_secs(1));
        detector.started(number, start);
        if number % 2 == 0 {
            detector.cancelled(number);
        } else {
            detector.finished(number, at + Duration::from_millis(300), true, &peers);
        }
        assert_eq!(detector.suspicion(at + Duration::from_millis(400), &peers), None);
    }
}

/// Guards against a single entry that changes the baseline of a server.
fn outlier_entry_ignored(micros: u32, weight: u16) -> bool {
    let mut baseline = Baseline::default();
    let now = Duration::from_secs(1);
    for entry in 0..4 {
        baseline.record(entry, summary(0.1), now);
    }
    let p90 = Duration::from_micros(u64::from(micros));
    let weight = f32::from(weight % 1_500);
    baseline.record(9, Summary { median: p90, p90, weight, ..summary(0.1) }, now);
    baseline.expire(now);
    baseline.peers(Class::Idempotent).is_some_and(|peers| peers.p90 == Duration::from_millis(65))
}

#[test]
fn baseline_outlier() {
    check(54, outlier_entry_ignored as fn(u32, u16) -> bool);
}

/// Guards against a class with few requests that hides a slowdown of the whole service.
#[test]
fn baseline_slow_service() {
    let mut baseline = Baseline::default();
    let now = Duration::from_secs(1);
    baseline.record(1, Summary { recent: 2.0, slow: 0.0, ..summary(0.0) }, now);
    assert!(baseline.peers(Class::Idempotent).is_some_and(|peers| peers.slow < 0.15));
    let busy = Summary { class: Class::NonIdempotent, ..summary(0.7) };
    baseline.record(1, busy, now);
    assert!(baseline.peers(Class::Idempotent).is_some_and(|peers| peers.slow > 0.5));
}

/// Guards against a header that is parsed to another value than was sent, or that makes the parser
/// panic.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn summary_parse_total(text: String) -> bool {
    let _ = Summary::parse(&text);
    let sent = summary(0.25);
    Summary::parse(&sent.encode()) == Some(sent)
}

#[test]
fn summary_round_trip() {
    check(55, summary_parse_total as fn(String) -> bool);
    for text in ["", "0,1,2,1,0,0,0", "0,1,1,2,0,2.0,0", "0,nan,1,2,0,0,0", "7,1,1,2,0,0,0"] {
        assert_eq!(Summary::parse(text), None, "{text}");
    }
}

/// Guards against a straggler in a small service that raises the percentile it is compared with.
#[test]
fn summary_leaves_out() {
    let mut summarizer = Summarizer::default();
    let mut rng = rng::seeded(56);
    let now = Duration::from_secs(1);
    for _ in 0..200 {
        for server in ["a", "b", "c"] {
            summarizer.observe(server, Class::Idempotent, healthy(&mut rng), true, now);
        }
        let slow = Duration::from_secs(3);
        summarizer.observe("d", Class::Idempotent, slow, true, now);
    }
    let found = summarizer.summary("d", Class::Idempotent, now).expect("three peers responded");
    assert!(found.p90 < Duration::from_millis(80), "{found:?}");
}

/// Guards against an ejection for slowness while the peers have no free capacity.
#[test]
fn summary_refusals() {
    let mut summarizer = Summarizer::default();
    let mut rng = rng::seeded(57);
    let now = Duration::from_secs(1);
    for _ in 0..50 {
        for server in ["a", "b", "c", "d"] {
            summarizer.observe(server, Class::Idempotent, healthy(&mut rng), true, now);
            summarizer.refused(server, Class::Idempotent, now);
        }
    }
    let found = summarizer.summary("d", Class::Idempotent, now).expect("three peers responded");
    assert!(found.slow >= 0.5, "{found:?}");
}
