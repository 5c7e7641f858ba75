//! Limits on the attempts of one request, for every sequence of attempt results.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_limit::attempts::{AttemptFailure, Attempts, Effort, Untried};
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::retry::Outcome;
use quickcheck::{Gen, QuickCheck};

const NOW: Duration = Duration::ZERO;

const OTHERS: Untried = Untried { any: true, trusted: true };

const SUSPECTS: Untried = Untried { any: true, trusted: false };

const NONE: Untried = Untried { any: false, trusted: false };

fn deadline() -> Deadline {
    Deadline::after(NOW, Duration::from_secs(5))
}

fn failure(choice: u8) -> AttemptFailure {
    match choice % 9 {
        0 => AttemptFailure::Busy,
        1 => AttemptFailure::Unavailable,
        2 => AttemptFailure::Sent(Outcome::NotRun),
        3 => AttemptFailure::Sent(Outcome::Failed),
        4 => AttemptFailure::Sent(Outcome::Unknown),
        5 => AttemptFailure::Sent(Outcome::Crashed),
        6 => AttemptFailure::Suspect,
        7 => AttemptFailure::RepeatLimit,
        _ => AttemptFailure::Final,
    }
}

/// Guards against a request that runs on more servers than its route allows, also after the attempt
/// that waits for a slot, and against a non-idempotent request sent again after it may have run.
#[test]
fn next_limits() {
    fn property(failures: Vec<u8>, limit: u8, idempotent: bool) -> bool {
        let class = if idempotent { Class::Idempotent } else { Class::NonIdempotent };
        let limit = u32::from(limit % 4);
        let mut attempts = Attempts::new(class, limit, deadline());
        let mut budget = RetryBudget::new(100, 100, 100);
        let (mut sent, mut ran, mut steps) = (0, false, 0);
        let mut effort = attempts.first_effort();
        for choice in failures.into_iter().chain([3; 20]) {
            let failure = failure(choice);
            steps += 1;
            if let AttemptFailure::Sent(outcome) = failure {
                sent += 1;
                if ran && !idempotent {
                    return false;
                }
                ran |= outcome != Outcome::NotRun;
            }
            let Some(next) = attempts.next_effort(failure, OTHERS, &mut budget, NOW) else { break };
            // An attempt that may wait is followed by another such attempt only if it reached a
            // server, or, for idempotent requests, by one at a suspect server. No attempt follows
            // the latter.
            let allowed = match effort {
                Effort::Ordinary | Effort::Last => true,
                Effort::Insist if next == Effort::Insist => {
                    matches!(failure, AttemptFailure::Sent(_))
                }
                Effort::Insist => {
                    next == Effort::Suspect
                        && idempotent
                        && !matches!(failure, AttemptFailure::Sent(_))
                }
                Effort::Suspect => false,
            };
            if !allowed {
                return false;
            }
            effort = next;
        }
        sent <= limit.max(1) && steps <= 12 + limit.max(1) + 2 && attempts.may_have_run() == ran
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 17))
        .tests(5_000)
        .quickcheck(property as fn(Vec<u8>, u8, bool) -> bool);
}

/// Guards against owners' refusals that are charged to the retry budget, and against a request that
/// is refused although it could wait at a busy server.
#[test]
fn next_busy() {
    let mut attempts = Attempts::new(Class::NonIdempotent, 1, deadline());
    let mut budget = RetryBudget::new(0, 0, 0);
    assert_eq!(attempts.first_effort(), Effort::Last);
    assert_eq!(
        attempts.next_effort(AttemptFailure::Busy, OTHERS, &mut budget, NOW),
        Some(Effort::Last)
    );
    assert_eq!(
        attempts.next_effort(AttemptFailure::Unavailable, OTHERS, &mut budget, NOW),
        Some(Effort::Last)
    );
    assert_eq!(
        attempts.next_effort(AttemptFailure::Busy, NONE, &mut budget, NOW),
        Some(Effort::Insist)
    );
    assert_eq!(attempts.next_effort(AttemptFailure::Busy, NONE, &mut budget, NOW), None);
    assert!(!attempts.may_have_run());
}

/// Guards against a request that is refused because the last owner could not be reached, although
/// an earlier one was only busy.
#[test]
fn next_gone_after_busy() {
    let mut budget = RetryBudget::new(0, 0, 0);
    let mut attempts = Attempts::new(Class::NonIdempotent, 2, deadline());
    assert_eq!(
        attempts.next_effort(AttemptFailure::Busy, OTHERS, &mut budget, NOW),
        Some(Effort::Ordinary)
    );
    assert_eq!(
        attempts.next_effort(AttemptFailure::Unavailable, NONE, &mut budget, NOW),
        Some(Effort::Insist)
    );
    let mut attempts = Attempts::new(Class::NonIdempotent, 2, deadline());
    assert_eq!(attempts.next_effort(AttemptFailure::Unavailable, NONE, &mut budget, NOW), None);
}

/// Guards against a lookup that is refused while a server that fails most requests is idle, and
/// against a booking that is sent there although refusing it as not run lets its caller send it
/// again.
#[test]
fn next_suspect() {
    let mut budget = RetryBudget::new(0, 0, 0);
    let mut attempts = Attempts::new(Class::Idempotent, 2, deadline());
    assert_eq!(
        attempts.next_effort(AttemptFailure::Suspect, OTHERS, &mut budget, NOW),
        Some(Effort::Ordinary)
    );
    assert_eq!(
        attempts.next_effort(AttemptFailure::Busy, NONE, &mut budget, NOW),
        Some(Effort::Insist)
    );
    assert_eq!(
        attempts.next_effort(AttemptFailure::Busy, OTHERS, &mut budget, NOW),
        Some(Effort::Suspect)
    );
    let failed = AttemptFailure::Sent(Outcome::Failed);
    assert_eq!(attempts.clone().next_effort(failed, OTHERS, &mut budget, NOW), None);
    assert_eq!(attempts.next_effort(AttemptFailure::Busy, OTHERS, &mut budget, NOW), None);

    let mut booking = Attempts::new(Class::NonIdempotent, 2, deadline());
    assert_eq!(
        booking.next_effort(AttemptFailure::Suspect, OTHERS, &mut budget, NOW),
        Some(Effort::Ordinary)
    );
    assert_eq!(
        booking.next_effort(AttemptFailure::Busy, NONE, &mut budget, NOW),
        Some(Effort::Insist)
    );
    assert_eq!(booking.next_effort(AttemptFailure::Busy, OTHERS, &mut budget, NOW), None);

    // No other server is left.
    let mut booking = Attempts::new(Class::NonIdempotent, 2, deadline());
    assert_eq!(
        booking.next_effort(AttemptFailure::Suspect, NONE, &mut budget, NOW),
        Some(Effort::Suspect)
    );
}

/// Guards against asking owners again that have just said that their servers fail most requests,
/// and against a request that is refused although such a server could take it.
#[test]
fn next_only_suspects_left() {
    let mut budget = RetryBudget::new(0, 0, 0);
    let mut lookup = Attempts::new(Class::Idempotent, 2, deadline());
    let next = lookup.next_effort(AttemptFailure::Busy, SUSPECTS, &mut budget, NOW);
    assert_eq!(next, Some(Effort::Insist));
    let next = lookup.next_effort(AttemptFailure::Busy, SUSPECTS, &mut budget, NOW);
    assert_eq!(next, Some(Effort::Suspect));
    for class in [Class::NonIdempotent, Class::Upload] {
        let mut booking = Attempts::new(class, 2, deadline());
        let next = booking.next_effort(AttemptFailure::Suspect, SUSPECTS, &mut budget, NOW);
        assert_eq!(next, Some(Effort::Suspect));
    }
}

/// Guards against a repeat that asks one owner after another although the fleet repeats too much, and
/// against one that is given up although only one owner has used up its part of the limit.
#[test]
fn next_repeat_limit() {
    let mut budget = RetryBudget::unlimited();
    let mut lookup = Attempts::new(Class::Idempotent, 3, deadline());
    let failed = AttemptFailure::Sent(Outcome::Failed);
    let next = lookup.next_effort(failed, OTHERS, &mut budget, NOW);
    assert_eq!((next, lookup.is_repeat()), (Some(Effort::Ordinary), true));
    for expected in [Some(Effort::Ordinary), Some(Effort::Ordinary), None] {
        let next = lookup.next_effort(AttemptFailure::RepeatLimit, OTHERS, &mut budget, NOW);
        assert_eq!(next, expected);
    }
}
