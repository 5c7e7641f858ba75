//! Tests that a key runs at most once, over random schedules and in single scenarios.

mod support;

use std::time::Duration;

use arbutuslane_record::message::{ClaimResult, Refusal, Request, Response, StoredResponse};
use arbutuslane_record::prelude::*;
use quickcheck::TestResult;
use support::keys::{self, Mutation, claim, run_schedule};
use support::{check, first_violation};

const NODES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn founded() -> (Group, Vec<RegisterReplica>) {
    let members: Vec<(&str, u64)> = NODES.iter().map(|node| (*node, 1)).collect();
    let group = Group::founded(1, &members);
    let replica = |node: &&str| RegisterReplica::join(Duration::ZERO, node, 1, group.clone());
    let replicas = NODES.iter().map(replica).collect();
    (group, replicas)
}

/// Pulls a first page from each replica of `sources` into the replica at `index`.
fn recover(replicas: &mut [RegisterReplica], index: usize, sources: &[usize]) {
    for source in sources {
        let pulls = replicas[index].pulls();
        let Some((_, pull)) = pulls.iter().find(|(node, _)| node == NODES[*source]) else {
            continue;
        };
        let page = replicas[*source].handle(Duration::ZERO, pull);
        replicas[index].pulled(Duration::ZERO, NODES[*source], 0, &page);
    }
}

/// Guards against an interleaving in which a key runs twice or gets the response of another key.
#[test]
fn run_random_schedules() {
    fn safe(seed: u64, salt: u64) -> TestResult {
        let seed = seed ^ salt.rotate_left(17);
        let outcome = run_schedule(seed, None);
        if outcome.is_safe() {
            return TestResult::passed();
        }
        TestResult::error(format!("seed {seed}: {outcome:?}"))
    }
    check(101, safe as fn(u64, u64) -> TestResult);
}

/// Guards against schedules that seldom reach the states that the property is about, so that it
/// would hold for lack of cases.
#[test]
fn run_coverage() {
    let mut total = keys::Outcome::default();
    for seed in 0..100 {
        let outcome = run_schedule(seed, None);
        total.dispatched += outcome.dispatched;
        total.replayed += outcome.replayed;
        total.unknown += outcome.unknown;
        total.refused += outcome.refused;
        total.recovered += outcome.recovered;
        total.members_added += outcome.members_added;
        total.last_epoch = total.last_epoch.max(outcome.last_epoch);
    }
    assert!(total.dispatched > 100, "{total:?}");
    assert!(total.replayed > 20, "{total:?}");
    assert!(total.unknown > 20, "{total:?}");
    assert!(total.refused > 20, "{total:?}");
    assert!(total.recovered > 50, "{total:?}");
    assert!(total.last_epoch > 2, "{total:?}");
    assert!(total.members_added > 10, "{total:?}");
}

/// Guards against a check that cannot fail: it must find each rule that is broken on purpose.
#[test]
fn run_broken_rules() {
    for mutation in [
        Mutation::RecoveringVotes,
        Mutation::ShortRecovery,
        Mutation::IncarnationsIgnored,
        Mutation::UnknownWithdrawn,
        Mutation::MinorityDispatches,
        Mutation::EpochIgnored,
    ] {
        let found =
            first_violation(108, 20_000, |seed| run_schedule(seed, Some(mutation)).is_safe());
        println!("{mutation:?}: first violation in schedule {found:?}");
        assert!(found.is_some(), "{mutation:?} was not found");
    }
}

/// Guards against counting an acceptance of a replica's earlier incarnation: the replica restarted
/// and pulled the shard before the third acceptance, so that it has lost the register.
#[test]
fn replied_earlier_life() {
    let (group, mut replicas) = founded();
    let key = key::of("bookings", "order-1");
    let (mut first, request) = claim(&group, key, 1);
    let request = Request::Claim(request);
    let from_a = replicas[0].handle(Duration::ZERO, &request);
    let from_b = replicas[1].handle(Duration::ZERO, &request);
    replicas[0] = RegisterReplica::join(Duration::ZERO, "a", 2, group.clone());
    recover(&mut replicas, 0, &[2, 3, 4]);
    assert!(replicas[0].is_voting());
    let from_c = replicas[2].handle(Duration::ZERO, &request);
    assert_eq!(first.replied("a", &from_a), None);
    assert_eq!(first.replied("b", &from_b), None);
    assert_eq!(first.replied("c", &from_c), None);
    assert_eq!(first.expired(), Some(Decision::NotRun));
}

/// Guards against a lost register: of the three replicas that have it, one restarts and recovers
/// from the others, and then another restarts.
#[test]
fn pulled_second_loss() {
    let (group, mut replicas) = founded();
    let key = key::of("bookings", "order-1");
    let (mut first, request) = claim(&group, key, 1);
    for index in [0, 1, 2] {
        let response = replicas[index].handle(Duration::ZERO, &Request::Claim(request.clone()));
        first.replied(NODES[index], &response);
    }
    replicas[0] = RegisterReplica::join(Duration::ZERO, "a", 2, group.clone());
    recover(&mut replicas, 0, &[2, 3, 4]);
    replicas[2] = RegisterReplica::join(Duration::ZERO, "c", 2, group.clone());
    recover(&mut replicas, 2, &[0, 3, 4]);
    assert!(replicas[2].is_voting());
    let (mut second, request) = claim(&group, key, 2);
    let mut decision = None;
    for index in [0, 2, 3, 4] {
        let response = replicas[index].handle(Duration::ZERO, &Request::Claim(request.clone()));
        decision = decision.or(second.replied(NODES[index], &response));
    }
    assert_eq!(decision.or(second.expired()), Some(Decision::Unknown));
}

/// Guards against a claim that arrives after its withdrawal and is accepted or blocks the next
/// claim.
#[test]
fn handle_late_claim() {
    let (group, mut replicas) = founded();
    let key = key::of("bookings", "order-1");
    let (coordinator, request) = claim(&group, key, 1);
    replicas[0].handle(Duration::ZERO, &coordinator.withdraw());
    let response = replicas[0].handle(Duration::ZERO, &Request::Claim(request));
    assert!(matches!(
        response,
        Response::Claim { result: ClaimResult::Refused(Refusal::Withdrawn), .. }
    ));
    let (_, request) = claim(&group, key, 2);
    let response = replicas[0].handle(Duration::ZERO, &Request::Claim(request));
    assert!(matches!(response, Response::Claim { result: ClaimResult::Accepted, .. }));
}

/// Guards against a dispatch without a majority, and against an attempt that still blocks the key
/// after its withdrawal.
#[test]
fn expired_minority() {
    let (group, mut replicas) = founded();
    let key = key::of("bookings", "order-1");
    let (mut coordinator, request) = claim(&group, key, 1);
    for index in [0, 1] {
        let response = replicas[index].handle(Duration::ZERO, &Request::Claim(request.clone()));
        assert_eq!(coordinator.replied(NODES[index], &response), None);
    }
    assert_eq!(coordinator.expired(), Some(Decision::NotRun));
    for replica in &mut replicas {
        replica.handle(Duration::ZERO, &coordinator.withdraw());
    }
    let (mut second, request) = claim(&group, key, 2);
    let mut decision = None;
    for (index, replica) in replicas.iter_mut().enumerate() {
        let response = replica.handle(Duration::ZERO, &Request::Claim(request.clone()));
        decision = decision.or(second.replied(NODES[index], &response));
    }
    assert_eq!(decision, Some(Decision::Dispatch));
}

/// Guards against a resend that does not get the stored response, and against a key that is
/// accepted for two different requests.
#[test]
fn replied_after_completion() {
    let (group, mut replicas) = founded();
    let key = key::of("bookings", "order-1");
    let (first, _) = claim(&group, key, 1);
    let answer =
        StoredResponse { status: 201, headers: Vec::new(), body: b"booked".as_slice().into() };
    for replica in &mut replicas[..3] {
        replica.handle(Duration::ZERO, &first.complete(Some(answer.clone())));
    }
    let (mut resend, request) = claim(&group, key, 2);
    let response = replicas[0].handle(Duration::ZERO, &Request::Claim(request));
    assert_eq!(resend.replied("a", &response), Some(Decision::Replay(answer)));
    let (mut other, request) = Coordinator::claim(group, key, 3, 8, Kind::Booking);
    let response = replicas[0].handle(Duration::ZERO, &Request::Claim(request));
    assert_eq!(other.replied("a", &response), Some(Decision::Mismatch));
}

/// Guards against a replica that still votes after it skipped the epoch in which it was replaced.
#[test]
fn adopt_skipped_epoch() {
    let (group, mut replicas) = founded();
    let without_a = group.replaced("a", &Member { node: "f".to_string(), incarnation: 1 });
    let with_a = without_a.replaced("f", &Member { node: "a".to_string(), incarnation: 1 });
    assert!(replicas[0].adopt(Duration::ZERO, with_a));
    assert!(!replicas[0].is_voting());
}

/// Guards against a recovery from the empty pages that replicas of another epoch send, when the
/// recovering replica adopts that epoch while the pages are in transit.
#[test]
fn pulled_other_epoch() {
    let (group, mut replicas) = founded();
    let next = group.replaced("b", &Member { node: "f".to_string(), incarnation: 1 });
    for index in [2, 3, 4] {
        assert!(replicas[index].adopt(Duration::ZERO, next.clone()));
    }
    let mut restarted = RegisterReplica::join(Duration::ZERO, "a", 2, group);
    let mut pages = Vec::new();
    for (node, pull) in restarted.pulls() {
        let Some(index) = [2, 3, 4].into_iter().find(|index| NODES[*index] == node) else {
            continue;
        };
        pages.push((node, replicas[index].handle(Duration::ZERO, &pull)));
    }
    assert!(restarted.adopt(Duration::ZERO, next));
    for (node, page) in pages {
        restarted.pulled(Duration::ZERO, &node, 0, &page);
    }
    assert!(!restarted.is_voting());
}

/// Guards against a group that lost the memory of a majority and votes again before the retention
/// of the lost claims has passed, or never votes again.
#[test]
fn pulled_retention() {
    let (group, mut replicas) = founded();
    for index in [0, 1, 2] {
        replicas[index] = RegisterReplica::join(Duration::ZERO, NODES[index], 2, group.clone());
    }
    let retention = Duration::from_secs(24 * 3_600);
    for (now, is_voting) in [(retention - Duration::from_millis(1), false), (retention, true)] {
        for (node, pull) in replicas[0].pulls() {
            let index = NODES.iter().position(|known| *known == node).unwrap();
            let page = replicas[index].handle(now, &pull);
            replicas[0].pulled(now, &node, 0, &page);
        }
        assert_eq!(replicas[0].is_voting(), is_voting, "{now:?}");
    }
}

/// Guards against a reset group whose members wait for registers that no member has, and against a
/// member that restarts after the reset and votes without the registers claimed since.
#[test]
fn adopt_reset() {
    let (group, mut replicas) = founded();
    for index in [0, 1, 2] {
        replicas[index] = RegisterReplica::join(Duration::ZERO, NODES[index], 2, group.clone());
    }
    let mut reset = Group { epoch: 2, ..group };
    for index in [0, 1, 2] {
        reset.members[index].incarnation = 2;
    }
    for replica in &mut replicas {
        assert!(replica.adopt(Duration::ZERO, reset.clone()));
        assert!(replica.is_voting());
    }
    assert!(!RegisterReplica::join(Duration::ZERO, "a", 3, reset).is_voting());
}
