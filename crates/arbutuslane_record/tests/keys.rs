//! At most one run for a key, over random schedules and in directed cases.

mod support;

use std::time::Duration;

use arbutuslane_record::message::{Answer, Holding, Refusal, Request, Response};
use arbutuslane_record::prelude::*;
use quickcheck::TestResult;
use support::keys::{self, Mutation, claim, run};
use support::{check, first_violation};

const NODES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn founded() -> (Group, Vec<Seat>) {
    let members: Vec<(&str, u64)> = NODES.iter().map(|node| (*node, 1)).collect();
    let group = Group::founded(1, &members);
    let seat = |node: &&str| Seat::join(Duration::ZERO, node, 1, group.clone());
    let seats = NODES.iter().map(seat).collect();
    (group, seats)
}

/// Pulls from the seats at `sources` into the seat at `place`.
fn recover(seats: &mut [Seat], place: usize, sources: &[usize]) {
    for source in sources {
        let pulls = seats[place].pulls();
        let Some((_, pull)) = pulls.iter().find(|(node, _)| node == NODES[*source]) else {
            continue;
        };
        let page = seats[*source].handle(Duration::ZERO, pull);
        seats[place].pulled(Duration::ZERO, NODES[*source], 0, &page);
    }
}

/// Guards against any interleaving that runs a key twice or replays a foreign response.
#[test]
fn run_random_schedules() {
    fn safe(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let outcome = run(seed, None);
        if outcome.is_safe() {
            return TestResult::passed();
        }
        TestResult::error(format!("seed {seed}: {outcome:?}"))
    }
    check(101, safe as fn(u64, u64) -> TestResult);
}

/// Guards against schedules that never reach the states that the property is about.
#[test]
fn run_coverage() {
    let mut total = keys::Outcome::default();
    for seed in 0..100 {
        let outcome = run(seed, None);
        total.dispatched += outcome.dispatched;
        total.replayed += outcome.replayed;
        total.unknown += outcome.unknown;
        total.refused += outcome.refused;
        total.recovered += outcome.recovered;
        total.grown += outcome.grown;
        total.epochs = total.epochs.max(outcome.epochs);
    }
    assert!(total.dispatched > 100, "{total:?}");
    assert!(total.replayed > 20, "{total:?}");
    assert!(total.unknown > 20, "{total:?}");
    assert!(total.refused > 20, "{total:?}");
    assert!(total.recovered > 50, "{total:?}");
    assert!(total.epochs > 2, "{total:?}");
    assert!(total.grown > 10, "{total:?}");
}

/// Guards against a check that cannot fail: each broken rule is found.
#[test]
fn run_broken_rules() {
    for mutation in [
        Mutation::RecoveringVotes,
        Mutation::ShortRecovery,
        Mutation::LivesIgnored,
        Mutation::UnknownWithdrawn,
        Mutation::MinorityDispatches,
        Mutation::EpochIgnored,
    ] {
        let found = first_violation(108, 20_000, |seed| run(seed, Some(mutation)).is_safe());
        println!("{mutation:?}: first violation in schedule {found:?}");
        assert!(found.is_some(), "{mutation:?} was not found");
    }
}

/// Guards against a restarted replica whose earlier acceptance is counted although it pulled the
/// shard before the third acceptance.
#[test]
fn replied_earlier_life() {
    let (group, mut seats) = founded();
    let key = key::of("bookings", "order-1");
    let (mut first, request) = claim(&group, key, 1);
    let request = Request::Claim(request);
    let from_a = seats[0].handle(Duration::ZERO, &request);
    let from_b = seats[1].handle(Duration::ZERO, &request);
    seats[0] = Seat::join(Duration::ZERO, "a", 2, group.clone());
    recover(&mut seats, 0, &[2, 3, 4]);
    assert!(seats[0].is_voting());
    let from_c = seats[2].handle(Duration::ZERO, &request);
    assert_eq!(first.replied("a", &from_a), None);
    assert_eq!(first.replied("b", &from_b), None);
    assert_eq!(first.replied("c", &from_c), None);
    assert_eq!(first.expired(), Some(Decision::NotRun));
}

/// Guards against a record on three replicas that is lost with one and another just after repair.
#[test]
fn pulled_second_loss() {
    let (group, mut seats) = founded();
    let key = key::of("bookings", "order-1");
    let (mut first, request) = claim(&group, key, 1);
    for place in [0, 1, 2] {
        let response = seats[place].handle(Duration::ZERO, &Request::Claim(request.clone()));
        first.replied(NODES[place], &response);
    }
    seats[0] = Seat::join(Duration::ZERO, "a", 2, group.clone());
    recover(&mut seats, 0, &[2, 3, 4]);
    seats[2] = Seat::join(Duration::ZERO, "c", 2, group.clone());
    recover(&mut seats, 2, &[0, 3, 4]);
    assert!(seats[2].is_voting());
    let (mut second, request) = claim(&group, key, 2);
    let mut decision = None;
    for place in [0, 2, 3, 4] {
        let response = seats[place].handle(Duration::ZERO, &Request::Claim(request.clone()));
        decision = decision.or(second.replied(NODES[place], &response));
    }
    assert_eq!(decision.or(second.expired()), Some(Decision::Unknown));
}

/// Guards against a claim that arrives after its withdrawal and blocks or takes the register.
#[test]
fn handle_late_claim() {
    let (group, mut seats) = founded();
    let key = key::of("bookings", "order-1");
    let (coordinator, request) = claim(&group, key, 1);
    seats[0].handle(Duration::ZERO, &coordinator.withdraw());
    let response = seats[0].handle(Duration::ZERO, &Request::Claim(request));
    assert!(matches!(
        response,
        Response::Claim { holding: Holding::Refused(Refusal::Withdrawn), .. }
    ));
    let (_, request) = claim(&group, key, 2);
    let response = seats[0].handle(Duration::ZERO, &Request::Claim(request));
    assert!(matches!(response, Response::Claim { holding: Holding::Accepted, .. }));
}

/// Guards against a dispatch without a majority, and against a stuck second sender.
#[test]
fn expired_minority() {
    let (group, mut seats) = founded();
    let key = key::of("bookings", "order-1");
    let (mut coordinator, request) = claim(&group, key, 1);
    for place in [0, 1] {
        let response = seats[place].handle(Duration::ZERO, &Request::Claim(request.clone()));
        assert_eq!(coordinator.replied(NODES[place], &response), None);
    }
    assert_eq!(coordinator.expired(), Some(Decision::NotRun));
    for seat in &mut seats {
        seat.handle(Duration::ZERO, &coordinator.withdraw());
    }
    let (mut second, request) = claim(&group, key, 2);
    let mut decision = None;
    for (place, seat) in seats.iter_mut().enumerate() {
        let response = seat.handle(Duration::ZERO, &Request::Claim(request.clone()));
        decision = decision.or(second.replied(NODES[place], &response));
    }
    assert_eq!(decision, Some(Decision::Dispatch));
}

/// Guards against a resend that gets no response, or a key that serves two different requests.
#[test]
fn replied_after_completion() {
    let (group, mut seats) = founded();
    let key = key::of("bookings", "order-1");
    let (first, _) = claim(&group, key, 1);
    let answer = Answer { status: 201, headers: Vec::new(), body: b"booked".as_slice().into() };
    for seat in &mut seats[..3] {
        seat.handle(Duration::ZERO, &first.complete(Some(answer.clone())));
    }
    let (mut resend, request) = claim(&group, key, 2);
    let response = seats[0].handle(Duration::ZERO, &Request::Claim(request));
    assert_eq!(resend.replied("a", &response), Some(Decision::Replay(answer)));
    let (mut other, request) = Coordinator::claim(group, key, 3, 8, Kind::Booking);
    let response = seats[0].handle(Duration::ZERO, &Request::Claim(request));
    assert_eq!(other.replied("a", &response), Some(Decision::Mismatch));
}

/// Guards against a replica that skipped the epoch in which it was replaced and still votes.
#[test]
fn adopt_skipped_epoch() {
    let (group, mut seats) = founded();
    let without = group.replaced("a", &Member { node: "f".to_string(), incarnation: 1 });
    let again = without.replaced("f", &Member { node: "a".to_string(), incarnation: 1 });
    assert!(seats[0].adopt(Duration::ZERO, again));
    assert!(!seats[0].is_voting());
}

/// Guards against an empty page for another epoch that is taken for the whole shard, when the
/// recovering replica adopts that epoch while the page is on its way.
#[test]
fn pulled_other_epoch() {
    let (group, mut seats) = founded();
    let next = group.replaced("b", &Member { node: "f".to_string(), incarnation: 1 });
    for place in [2, 3, 4] {
        assert!(seats[place].adopt(Duration::ZERO, next.clone()));
    }
    let mut restarted = Seat::join(Duration::ZERO, "a", 2, group);
    let mut pages = Vec::new();
    for (node, pull) in restarted.pulls() {
        let Some(place) = [2, 3, 4].into_iter().find(|place| NODES[*place] == node) else {
            continue;
        };
        pages.push((node, seats[place].handle(Duration::ZERO, &pull)));
    }
    assert!(restarted.adopt(Duration::ZERO, next));
    for (node, page) in pages {
        restarted.pulled(Duration::ZERO, &node, 0, &page);
    }
    assert!(!restarted.is_voting());
}

/// Guards against a group that lost its majority and votes again before the claims that it lost are
/// past their retention, or never.
#[test]
fn pulled_retention() {
    let (group, mut seats) = founded();
    for place in [0, 1, 2] {
        seats[place] = Seat::join(Duration::ZERO, NODES[place], 2, group.clone());
    }
    let day = Duration::from_secs(24 * 3_600);
    for (now, votes) in [(day - Duration::from_millis(1), false), (day, true)] {
        for (node, pull) in seats[0].pulls() {
            let place = NODES.iter().position(|known| *known == node).unwrap();
            let page = seats[place].handle(now, &pull);
            seats[0].pulled(now, &node, 0, &page);
        }
        assert_eq!(seats[0].is_voting(), votes, "{now:?}");
    }
}

/// Guards against a reset group whose members wait for registers that nobody has, and against a
/// member that restarted after the reset and votes without the registers claimed since.
#[test]
fn adopt_reset() {
    let (group, mut seats) = founded();
    for place in [0, 1, 2] {
        seats[place] = Seat::join(Duration::ZERO, NODES[place], 2, group.clone());
    }
    let mut reset = Group { epoch: 2, ..group };
    for place in [0, 1, 2] {
        reset.members[place].incarnation = 2;
    }
    for seat in &mut seats {
        assert!(seat.adopt(Duration::ZERO, reset.clone()));
        assert!(seat.is_voting());
    }
    assert!(!Seat::join(Duration::ZERO, "a", 3, reset).is_voting());
}
