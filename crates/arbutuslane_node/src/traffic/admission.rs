//! Admission to the slots of one backend server.
//!
//! The queue is short and ordered by class. The rule that decides is kept in [`State`], so that
//! the gate of the `limit` crate can take its place.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use ntex::time::timeout_checked;

use arbutuslane_catalogue::entry::Class;

/// The longest queue as a multiple of the slots.
const QUEUE_PER_SLOT: usize = 2;

/// Admission to the slots of one backend server.
#[derive(Debug)]
pub(crate) struct Admission {
    state: Mutex<State>,
}

/// A slot in use; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<Admission>,
}

/// Why there is no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The queue is full.
    Full,
    /// No slot was free in time.
    Late,
}

#[derive(Debug)]
struct State {
    slots: usize,
    in_flight: usize,
    next_ticket: u64,
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    priority: u8,
    ticket: u64,
    granted: bool,
    waker: Option<Waker>,
}

/// Removes a ticket from the queue when its request stops waiting.
struct Ticket<'a> {
    admission: &'a Arc<Admission>,
    number: u64,
}

impl Admission {
    /// Returns the admission of an idle server with `slots` slots.
    pub(crate) fn new(slots: u32) -> Self {
        let state = State { slots: slots as usize, in_flight: 0, next_ticket: 0, waiting: vec![] };
        Self { state: Mutex::new(state) }
    }

    /// Changes the number of slots.
    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        state.slots = slots as usize;
        state.grant();
    }

    /// Returns requests in flight, requests waiting and slots.
    pub(crate) fn occupancy(&self) -> (u32, u32, u32) {
        let state = self.lock();
        let number = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        (number(state.in_flight), number(state.waiting.len()), number(state.slots))
    }

    /// Waits at most `limit` for a slot.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        class: Class,
        limit: Duration,
    ) -> Result<Permit, Denied> {
        let ticket = {
            let mut state = self.lock();
            if state.waiting.is_empty() && state.in_flight < state.slots {
                state.in_flight += 1;
                return Ok(Permit { admission: Arc::clone(self) });
            }
            if state.waiting.len() >= state.slots * QUEUE_PER_SLOT {
                return Err(Denied::Full);
            }
            Ticket { admission: self, number: state.push(class) }
        };
        let waiting = poll_fn(|cx| self.lock().poll(ticket.number, cx));
        let granted = timeout_checked(limit.max(Duration::from_millis(1)), waiting).await;
        granted.map_err(|()| Denied::Late)?;
        Ok(Permit { admission: Arc::clone(self) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn push(&mut self, class: Class) -> u64 {
        let priority = match class {
            Class::NonIdempotent => 0,
            Class::Idempotent => 1,
            Class::Download => 2,
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(Waiting { priority, ticket, granted: false, waker: None });
        ticket
    }

    fn poll(&mut self, ticket: u64, cx: &mut Context<'_>) -> Poll<()> {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        let Some(index) = index else { return Poll::Ready(()) };
        if self.waiting[index].granted {
            self.waiting.remove(index);
            return Poll::Ready(());
        }
        self.waiting[index].waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn abandon(&mut self, ticket: u64) {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        let Some(index) = index else { return };
        if self.waiting.remove(index).granted {
            self.in_flight -= 1;
            self.grant();
        }
    }

    /// Gives free slots to the waiting requests of the highest priority, oldest first.
    fn grant(&mut self) {
        while self.in_flight < self.slots {
            let waiting = self.waiting.iter_mut().filter(|waiting| !waiting.granted);
            let Some(next) = waiting.min_by_key(|waiting| (waiting.priority, waiting.ticket))
            else {
                return;
            };
            next.granted = true;
            self.in_flight += 1;
            if let Some(waker) = next.waker.take() {
                waker.wake();
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.in_flight -= 1;
        state.grant();
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.admission.lock().abandon(self.number);
    }
}

#[cfg(test)]
mod tests {
    use std::pin::pin;

    use super::*;

    fn poll<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
        future.poll(&mut Context::from_waker(Waker::noop()))
    }

    /// Guards against a booking that waits behind downloads, and against a lost slot.
    #[ntex::test]
    async fn enter_priority() {
        let admission = Arc::new(Admission::new(1));
        let limit = Duration::from_secs(5);
        let first = admission.enter(Class::Idempotent, limit).await.unwrap();
        let mut download = pin!(admission.enter(Class::Download, limit));
        let mut booking = pin!(admission.enter(Class::NonIdempotent, limit));
        assert!(poll(download.as_mut()).is_pending());
        assert!(poll(booking.as_mut()).is_pending());
        drop(first);
        assert!(poll(download.as_mut()).is_pending());
        let Poll::Ready(Ok(permit)) = poll(booking.as_mut()) else { panic!("not admitted") };
        drop(permit);
        assert!(poll(download.as_mut()).is_ready());
        assert_eq!(admission.occupancy(), (0, 0, 1));
    }

    /// Guards against a slot that stays taken when its request is cancelled after the grant.
    #[ntex::test]
    async fn enter_abandoned() {
        let admission = Arc::new(Admission::new(1));
        let limit = Duration::from_secs(5);
        let first = admission.enter(Class::Idempotent, limit).await.unwrap();
        {
            let mut second = pin!(admission.enter(Class::Idempotent, limit));
            assert!(poll(second.as_mut()).is_pending());
            drop(first);
        }
        assert_eq!(admission.occupancy(), (0, 0, 1));
    }

    /// Guards against a queue that grows without bound.
    #[ntex::test]
    async fn enter_full() {
        let admission = Arc::new(Admission::new(1));
        let limit = Duration::from_secs(5);
        let _first = admission.enter(Class::Idempotent, limit).await.unwrap();
        let mut second = pin!(admission.enter(Class::Idempotent, limit));
        let mut third = pin!(admission.enter(Class::Idempotent, limit));
        assert!(poll(second.as_mut()).is_pending());
        assert!(poll(third.as_mut()).is_pending());
        let fourth = admission.enter(Class::Idempotent, limit).await;
        assert_eq!(fourth.map(|_| ()), Err(Denied::Full));
    }
}
