//! Properties of the choice of a server.

use std::time::Duration;

use arbutuslane_balance::prelude::*;
use arbutuslane_catalogue::prelude::Class;
use arbutuslane_core::prelude::*;
use quickcheck::{Gen, QuickCheck};

fn check<P: quickcheck::Testable>(seed: u64, property: P) {
    QuickCheck::new().rng(Gen::from_size_and_seed(40, seed)).tests(300).quickcheck(property);
}

/// Returns a picker with servers in three domains, each with its own owner.
fn picker(states: &[u8]) -> Picker {
    let mut picker = Picker::new("d0".to_string());
    let mut candidates = Vec::new();
    for (index, state) in states.iter().enumerate() {
        let domain = format!("d{}", index % 3);
        let owner = format!("n{index}");
        let mut candidate = Candidate::new(format!("s{index:03}"), &owner, &domain, 5);
        candidate.serving = match state % 4 {
            0 | 1 => Serving::Open,
            2 => Serving::Ejected,
            _ => Serving::Draining,
        };
        candidates.push(candidate);
    }
    picker.set_candidates(candidates);
    picker
}

fn class(number: u8) -> Class {
    match number % 4 {
        0 => Class::Idempotent,
        1 => Class::NonIdempotent,
        2 => Class::Upload,
        _ => Class::Download,
    }
}

/// Guards against a retry that is sent to the same server again.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn attempts_differ(states: Vec<u8>, number: u8, seed: u64) -> bool {
    let mut picker = picker(&states);
    let mut rng = rng::seeded(seed);
    let mut tried: Vec<String> = Vec::new();
    while let Some(pick) =
        picker.pick(&Request { class: class(number), tried: &tried }, Duration::ZERO, &mut rng)
    {
        if tried.contains(&pick.server) {
            return false;
        }
        picker.sent(&pick.server, Duration::ZERO);
        tried.push(pick.server);
    }
    tried.len() <= states.len()
}

#[test]
fn pick_tried() {
    check(21, attempts_differ as fn(Vec<u8>, u8, u64) -> bool);
}

/// Guards against ordinary requests to a server that drains or is ejected, and against
/// non-idempotent trials.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn serving_respected(states: Vec<u8>, number: u8, seed: u64) -> bool {
    let mut picker = picker(&states);
    let mut rng = rng::seeded(seed);
    for _ in 0..300 {
        let request = Request { class: class(number), tried: &[] };
        let Some(pick) = picker.pick(&request, Duration::ZERO, &mut rng) else { continue };
        let serving = picker
            .candidates()
            .find(|candidate| candidate.server == pick.server)
            .map(|candidate| candidate.serving);
        let expected = if pick.is_trial { Serving::Ejected } else { Serving::Open };
        if serving != Some(expected)
            || (pick.is_trial && !matches!(class(number), Class::Idempotent | Class::Download))
        {
            return false;
        }
    }
    true
}

#[test]
fn pick_serving() {
    check(22, serving_respected as fn(Vec<u8>, u8, u64) -> bool);
}

/// Guards against requests to an owner in back-off, and against many requests at once when the
/// back-off ends.
fn backoff_respected(failures: Vec<u16>, seed: u64) -> bool {
    let mut picker = picker(&[0; 6]);
    let mut rng = rng::seeded(seed);
    let mut now = Duration::from_secs(1);
    let request = Request { class: Class::NonIdempotent, tried: &[] };
    for wait in failures {
        picker.unreachable("n0", now);
        for _ in 0..20 {
            let pick = picker.pick(&request, now, &mut rng).expect("five owners are reachable");
            if pick.owner == "n0" {
                return false;
            }
        }
        now += Duration::from_secs(3) + Duration::from_millis(u64::from(wait));
        let probes = (0..100)
            .filter_map(|_| picker.pick(&request, now, &mut rng))
            .filter(|pick| pick.owner == "n0")
            .count();
        if probes > 1 {
            return false;
        }
        now += Duration::from_secs(1);
    }
    true
}

#[test]
fn unreachable_backoff() {
    check(23, backoff_respected as fn(Vec<u16>, u64) -> bool);
}

/// Guards against a server that fails requests at once, therefore looks idle, and attracts more
/// than its share.
#[test]
fn pick_fast_failure() {
    let mut picker = picker(&[0; 6]);
    let mut rng = rng::seeded(24);
    let request = Request { class: Class::Idempotent, tried: &[] };
    let mut failing = 0;
    for step in 0..6_000 {
        let now = Duration::from_millis(step * 5);
        let Some(pick) = picker.pick(&request, now, &mut rng) else { continue };
        picker.sent(&pick.server, now);
        let is_failing = pick.server == "s000";
        failing += u32::from(is_failing);
        let latency = Duration::from_millis(if is_failing { 1 } else { 40 });
        picker.record_response(&pick.server, now + latency, Some(latency), !is_failing);
    }
    assert!(failing < 1_500, "the failing server of two local ones got {failing} of 6000");
}

/// Guards against a load that stays in the own domain while the servers there are full.
#[test]
fn pick_spills_over() {
    let mut picker = picker(&[0; 6]);
    let mut rng = rng::seeded(25);
    let request = Request { class: Class::Idempotent, tried: &[] };
    let mut local = 0;
    for _ in 0..30 {
        let pick = picker.pick(&request, Duration::ZERO, &mut rng).expect("all are open");
        picker.sent(&pick.server, Duration::ZERO);
        local += u32::from(pick.server == "s000" || pick.server == "s003");
    }
    assert!((10..=16).contains(&local), "{local} of 30 requests in the own domain with 10 slots");
}

/// Guards against a restarted server that inherits the load measured for its earlier incarnation.
#[test]
fn set_candidates_incarnation() {
    let mut picker = Picker::new("d0".to_string());
    let mut servers =
        vec![Candidate::new("a".into(), "n0", "d0", 5), Candidate::new("b".into(), "n1", "d0", 5)];
    picker.set_candidates(servers.clone());
    for _ in 0..5 {
        picker.sent("a", Duration::ZERO);
    }
    servers[0].incarnation = 1;
    picker.set_candidates(servers);
    picker.sent("b", Duration::ZERO);
    let request = Request { class: Class::Idempotent, tried: &[] };
    let pick = picker.pick(&request, Duration::ZERO, &mut rng::seeded(26));
    assert_eq!(pick.map(|pick| pick.server), Some("a".to_string()));
}

/// Guards against subsets that load some servers more than the documented bound.
#[test]
fn subset_imbalance() {
    for (entries, servers) in [(1_400_u32, 27_u32), (1_400, 200), (60, 100)] {
        let names: Vec<String> = (0..servers).map(|id| format!("s{id}")).collect();
        let mut counts = vec![0_u32; names.len()];
        for entry in 0..entries {
            for chosen in Subset::default().choose(&format!("n{entry}"), &names) {
                let index = names.iter().position(|name| *name == chosen).expect("a known name");
                counts[index] += 1;
            }
        }
        let mean = f64::from(entries) * 24.0 / f64::from(servers);
        let largest = f64::from(counts.into_iter().max().unwrap_or(0)) / mean;
        let bound = Subset::default().imbalance_bound(entries, servers);
        assert!(largest <= bound, "{entries} entries, {servers} servers: {largest} above {bound}");
    }
}

/// Guards against requests to a server that has just refused one while others have free slots, and
/// against a request cancelled by its caller that counts as a refusal.
#[test]
fn pick_refused() {
    let mut picker = picker(&[0; 6]);
    let mut rng = rng::seeded(27);
    let request = Request { class: Class::Idempotent, tried: &[] };
    let now = Duration::from_secs(1);
    picker.sent("s000", now);
    picker.record_response("s000", now, None, false);
    let cancelled = (0..200).filter_map(|_| picker.pick(&request, now, &mut rng));
    assert!(
        cancelled.into_iter().any(|pick| pick.server == "s000"),
        "a cancelled request is not a refusal"
    );
    picker.refused("s000", now);
    for _ in 0..50 {
        let pick = picker.pick(&request, now, &mut rng).expect("all are open");
        assert_ne!(pick.server, "s000");
    }
}
