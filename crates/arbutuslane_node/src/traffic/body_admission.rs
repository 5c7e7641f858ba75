//! Admission of request bodies to one backend server.
//!
//! [`ServerBodies`] makes the decisions; this module lets requests on several threads wait for them.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_limit::server_bodies::{BodyDecision, ServerBodies, Ticket};

use crate::timeout::{Elapsed, within};

/// The bodies that one backend server is given at a time.
#[derive(Debug)]
pub(crate) struct BodyAdmission {
    state: Mutex<State>,
}

/// A body that a server has been given; dropping it gives the server room for others.
#[derive(Debug)]
pub(crate) struct BodyPermit {
    admission: Arc<BodyAdmission>,
    bytes: u64,
}

/// Why a server is not given a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The server has other bodies.
    Full,
    /// The server may never have so many bytes.
    TooLarge {
        /// The number of bytes that it may have.
        max_bytes: u64,
    },
}

#[derive(Debug)]
struct State {
    bodies: ServerBodies,
    waiting: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    is_given: bool,
    waker: Option<Waker>,
}

/// Removes a request that stops waiting.
struct QueueEntry<'a> {
    admission: &'a Arc<BodyAdmission>,
    ticket: Ticket,
    bytes: u64,
}

impl BodyAdmission {
    /// Returns the admission to an idle server that may have `limit` bytes at a time.
    pub(crate) fn new(limit: u64) -> Self {
        let state = State { bodies: ServerBodies::new(limit), waiting: Vec::new() };
        Self { state: Mutex::new(state) }
    }

    /// Returns the number of bytes that the server has been given.
    pub(crate) fn used(&self) -> u64 {
        self.lock().bodies.used()
    }

    /// Returns whether requests wait because of the bodies that the server has.
    pub(crate) fn is_used_up(&self) -> bool {
        self.lock().bodies.queued() > 0
    }

    /// Waits for at most `limit` until the server may be given a body. A body of unknown length
    /// takes all that the server may have.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        bytes: Option<u64>,
        (rank, due): (u8, Time),
        limit: Duration,
    ) -> Result<BodyPermit, Denied> {
        let entry = {
            let mut state = self.lock();
            let max_bytes = state.bodies.limit();
            let bytes = bytes.unwrap_or(max_bytes);
            match state.bodies.arrive(bytes, rank, due) {
                BodyDecision::Given => return Ok(self.permit(bytes)),
                BodyDecision::TooLarge => return Err(Denied::TooLarge { max_bytes }),
                BodyDecision::Queued(ticket) => {
                    state.waiting.push(Waiter { ticket, is_given: false, waker: None });
                    QueueEntry { admission: self, ticket, bytes }
                }
            }
        };
        let waiting = poll_fn(|cx| self.lock().poll(entry.ticket, cx));
        match within(limit, waiting).await {
            Ok(()) => Ok(self.permit(entry.bytes)),
            Err(Elapsed) => Err(Denied::Full),
        }
    }

    fn permit(self: &Arc<Self>, bytes: u64) -> BodyPermit {
        BodyPermit { admission: Arc::clone(self), bytes }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Ready once when the server may be given the body.
    fn poll(&mut self, ticket: Ticket, cx: &mut Context<'_>) -> Poll<()> {
        let index = self.waiting.iter().position(|waiter| waiter.ticket == ticket);
        let Some(index) = index else { return Poll::Pending };
        if self.waiting[index].is_given {
            self.waiting.swap_remove(index);
            return Poll::Ready(());
        }
        self.waiting[index].waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Wakes the requests whose bodies the server may be given.
    fn give(&mut self, tickets: &[Ticket]) {
        for waiter in &mut self.waiting {
            if !tickets.contains(&waiter.ticket) {
                continue;
            }
            waiter.is_given = true;
            if let Some(waker) = waiter.waker.take() {
                waker.wake();
            }
        }
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        let given = state.bodies.release(self.bytes);
        state.give(&given);
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        let index = state.waiting.iter().position(|waiter| waiter.ticket == self.ticket);
        // A request that has seen that it may run no longer waits.
        let Some(index) = index else { return };
        state.waiting.swap_remove(index);
        let given = match state.bodies.cancel(self.ticket) {
            Some(given) => given,
            None => state.bodies.release(self.bytes),
        };
        state.give(&given);
    }
}

#[cfg(test)]
mod tests {
    use std::pin::pin;

    use super::*;

    const LIMIT: Duration = Duration::from_secs(60);

    fn poll<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
        future.poll(&mut Context::from_waker(Waker::noop()))
    }

    /// Guards against bytes that are never released because their request was cancelled, before or
    /// after the server could be given its body.
    #[ntex::test]
    async fn enter_abandoned() {
        let admission = Arc::new(BodyAdmission::new(100));
        let order = (0, Time::ZERO);
        let first = admission.enter(Some(100), order, LIMIT).await.unwrap();
        {
            let mut second = pin!(admission.enter(Some(60), order, LIMIT));
            let mut third = pin!(admission.enter(None, order, LIMIT));
            assert!(poll(second.as_mut()).is_pending() && poll(third.as_mut()).is_pending());
            assert!(admission.is_used_up());
            drop(first);
        }
        assert_eq!((admission.used(), admission.is_used_up()), (0, false));
        let too_large = admission.enter(Some(101), order, LIMIT).await;
        assert!(matches!(too_large, Err(Denied::TooLarge { max_bytes: 100 })));
    }

    /// Guards against a request that waits beyond its limit, or does not start when it may.
    #[ntex::test]
    async fn enter_full() {
        let admission = Arc::new(BodyAdmission::new(100));
        let order = (0, Time::ZERO);
        let first = admission.enter(Some(80), order, LIMIT).await.unwrap();
        let denied = admission.enter(Some(30), order, Duration::from_millis(5)).await;
        assert!(matches!(denied, Err(Denied::Full)));
        let mut second = pin!(admission.enter(Some(30), order, LIMIT));
        assert!(poll(second.as_mut()).is_pending());
        drop(first);
        assert!(matches!(poll(second.as_mut()), Poll::Ready(Ok(_))));
        assert_eq!(admission.used(), 0);
    }
}
