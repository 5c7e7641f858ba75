//! Properties of retry budgets, token buckets and retry decisions.

use std::time::Duration;

use arbutuslane_catalogue::prelude::Class;
use arbutuslane_limit::prelude::*;
use quickcheck::{Gen, QuickCheck};

fn check<P: quickcheck::Testable>(seed: u64, property: P) {
    QuickCheck::new().rng(Gen::from_size_and_seed(400, seed)).tests(500).quickcheck(property);
}

/// Guards against a retry storm: for every sequence of requests, retries stay within 10% of first
/// requests plus the reserve.
fn budget_holds(steps: Vec<u8>) -> bool {
    let mut budget = RetryBudget::default();
    let (mut first, mut spent) = (0_u32, 0_u32);
    for step in steps {
        match step % 4 {
            0 => {
                budget.earn(Origin::First);
                first += 1;
            }
            1 => budget.earn(Origin::Resend),
            _ => spent += u32::from(budget.spend()),
        }
        if spent * 10 > first + 10 {
            return false;
        }
    }
    true
}

#[test]
fn budget_any_callers() {
    check(41, budget_holds as fn(Vec<u8>) -> bool);
}

/// Guards against a burst of retries saved up during a quiet period.
#[test]
fn budget_burst() {
    let mut budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.earn(Origin::First);
    }
    assert_eq!((0..1_000).filter(|_| budget.spend()).count(), 5);
}

/// Guards against a caller that exceeds its rate, also when the clock runs backwards.
fn bucket_holds(rate: u8, burst: u8, steps: Vec<(u16, bool)>) -> bool {
    let mut now = Duration::from_secs(100);
    let start = now;
    let mut latest = now;
    let mut bucket = Bucket::new(u32::from(rate), u32::from(burst), now);
    let mut taken = 0.0;
    for (millis, backwards) in steps {
        let step = Duration::from_millis(u64::from(millis % 200));
        now = if backwards { now.saturating_sub(step) } else { now + step };
        latest = latest.max(now);
        if bucket.take(now).is_ok() {
            taken += 1.0;
        }
        let max_taken = f64::from(burst) + f64::from(rate) * (latest - start).as_secs_f64();
        if taken > max_taken + 1e-6 {
            return false;
        }
    }
    true
}

#[test]
fn bucket_any_times() {
    check(42, bucket_holds as fn(u8, u8, Vec<(u16, bool)>) -> bool);
}

/// Guards against a second run of a non-idempotent request that may have run, and of any request
/// that crashed a server.
#[test]
fn decide_unsafe() {
    let now = Duration::ZERO;
    let outcomes = [Outcome::NotRun, Outcome::Failed, Outcome::Unknown, Outcome::Crashed];
    for class in Class::ALL {
        for outcome in outcomes {
            for response_started in [false, true] {
                let mut budget = RetryBudget::new(10, 5, 5);
                let deadline = Deadline::after(now, Duration::from_secs(1));
                let attempt =
                    Attempt { class, outcome, made: 1, limit: 3, response_started, deadline };
                let is_allowed = !response_started
                    && match outcome {
                        Outcome::NotRun => true,
                        Outcome::Crashed => false,
                        _ => matches!(class, Class::Idempotent | Class::Download),
                    };
                let retried = retry::decide(&attempt, &mut budget, now) == Decision::Retry;
                assert_eq!(retried, is_allowed, "{class:?} {outcome:?} {response_started}");
            }
        }
    }
}

/// Guards against a retry beyond the budget, the number of attempts or the deadline.
#[test]
fn decide_exhausted() {
    let deadline = Deadline::after(Duration::ZERO, Duration::from_secs(1));
    let attempt = Attempt {
        class: Class::Idempotent,
        outcome: Outcome::NotRun,
        made: 1,
        limit: retry::DEFAULT_MAX_ATTEMPTS,
        response_started: false,
        deadline,
    };
    let mut empty = RetryBudget::new(10, 0, 5);
    assert_eq!(retry::decide(&attempt, &mut empty, Duration::ZERO), Decision::Exhausted);
    let mut full = RetryBudget::new(10, 5, 5);
    let late = Duration::from_secs(1);
    assert_eq!(retry::decide(&attempt, &mut full, late), Decision::Exhausted);
    let third = Attempt { made: retry::DEFAULT_MAX_ATTEMPTS, ..attempt };
    assert_eq!(retry::decide(&third, &mut full, Duration::ZERO), Decision::Exhausted);
}
