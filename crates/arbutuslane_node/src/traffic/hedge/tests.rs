//! Tests that no attempt is given up while it may bring the only answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

use super::*;

/// The virtual time.
type Clock = Rc<Cell<u32>>;

/// An attempt as a schedule plans it: when it ends, and whether with an answer. A refusal may come late.
#[derive(Debug, Clone, Copy)]
struct Plan {
    ends_after: u32,
    is_answered: bool,
    silent_after: u32,
}

/// An attempt at work, which records when it is given up.
struct Attempt {
    clock: Clock,
    ends_at: u32,
    is_answered: bool,
    has_ended: bool,
    given_up: Rc<RefCell<Vec<u32>>>,
}

impl Running for Attempt {
    type Answer = u32;

    fn poll_end(&mut self, _: &mut Context<'_>) -> Poll<Option<u32>> {
        if self.clock.get() < self.ends_at {
            return Poll::Pending;
        }
        self.has_ended = true;
        Poll::Ready(self.is_answered.then_some(self.ends_at))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.has_ended {
            self.given_up.borrow_mut().push(self.clock.get());
        }
    }
}

/// Sends an attempt; returns it if it is silent, else its end.
async fn send(mut attempt: Attempt, silent_at: u32) -> Result<Option<u32>, Attempt> {
    let end = poll_fn(|cx| match attempt.poll_end(cx) {
        Poll::Ready(end) => Poll::Ready(Some(end)),
        Poll::Pending if attempt.clock.get() >= silent_at => Poll::Ready(None),
        Poll::Pending => Poll::Pending,
    })
    .await;
    end.ok_or(attempt)
}

/// Makes the attempts of a request, one after the other when one is silent or fails.
async fn make_attempts(
    plans: Vec<Plan>,
    clock: Clock,
    given_up: Rc<RefCell<Vec<u32>>>,
) -> Option<u32> {
    let mut hedge = Hedge::default();
    for plan in plans {
        let now = clock.get();
        let attempt = Attempt {
            clock: Rc::clone(&clock),
            ends_at: now + plan.ends_after,
            is_answered: plan.is_answered,
            has_ended: false,
            given_up: Rc::clone(&given_up),
        };
        match hedge.race(send(attempt, now + plan.silent_after)).await {
            Either::Left(Ok(Some(answer))) | Either::Right(answer) => return Some(answer),
            Either::Left(Ok(None)) => {}
            Either::Left(Err(silent)) => hedge.add(silent),
        }
    }
    hedge.first_answer().await
}

fn random_plan(rng: &mut Rng) -> Plan {
    Plan {
        ends_after: rng.random_range(0..5_000),
        is_answered: rng.random_range(0..3) == 0,
        silent_after: rng.random_range(1..1_500),
    }
}

/// Runs a schedule; returns the time and the result of the request.
fn run(plans: Vec<Plan>, given_up: &Rc<RefCell<Vec<u32>>>) -> (u32, Option<u32>) {
    let clock = Clock::default();
    let mut request = pin!(make_attempts(plans, Rc::clone(&clock), Rc::clone(given_up)));
    let mut cx = Context::from_waker(Waker::noop());
    loop {
        if let Poll::Ready(result) = request.as_mut().poll(&mut cx) {
            return (clock.get(), result);
        }
        clock.set(clock.get() + 1);
    }
}

/// Guards against a request that fails although one of its servers had an answer, because the attempt there
/// was given up when another server had seemingly accepted the request.
#[test]
fn race_any_schedule() {
    for seed in 0..2_000 {
        let mut rng = rng::seeded(seed);
        let count = rng.random_range(1..=4);
        let plans: Vec<Plan> = (0..count).map(|_| random_plan(&mut rng)).collect();
        let given_up = Rc::default();
        let (ended_at, result) = run(plans.clone(), &given_up);
        match result {
            Some(answer) => assert_eq!(answer, ended_at, "seed {seed}: an answer waited"),
            None => assert!(plans.iter().all(|plan| !plan.is_answered), "seed {seed}: {plans:?}"),
        }
        // Attempts end early only because the request has its answer.
        let is_early = |at: &u32| *at < ended_at || result.is_none();
        assert!(!given_up.borrow().iter().any(is_early), "seed {seed}: {plans:?}");
    }
}

/// Guards against the loss of review/10: the second server accepts the request, and its node ends before
/// the answer.
#[test]
fn race_second_cut() {
    let first = Plan { ends_after: 4_200, is_answered: true, silent_after: 3_000 };
    let second = Plan { ends_after: 1_100, is_answered: false, silent_after: 3_000 };
    assert_eq!(run(vec![first, second], &Rc::default()), (4_200, Some(4_200)));
}
