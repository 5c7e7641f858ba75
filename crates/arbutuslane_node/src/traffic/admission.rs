//! Admission to the slots of one backend server.
//!
//! [`Gate`] makes the decisions; this module lets requests on several threads wait for them. The
//! lock is held for one decision at a time, and never while a request waits.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use arbutuslane_core::time::{Clock, Time};
use arbutuslane_limit::gate::{
    self, Arrival, Cancelled, Gate, Order, QueueChange, Reason, Refusal,
};

use crate::timeout::{Elapsed, within};

use super::body_admission::BodyPermit;

/// The maximum queue length as a multiple of the slots. The due times of the requests limit how
/// long they wait; this limits the memory when requests are due late.
const MAX_QUEUED_PER_SLOT: usize = 2;

/// The time that it takes to forward a request to another server in another failure domain.
const FORWARDING_TIME: Duration = Duration::from_millis(5);

/// Admission to the slots of one backend server.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    state: Mutex<State>,
}

/// A slot in use; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<Admission>,
    ticket: gate::Ticket,
    /// The body that the server has been given with the request.
    _body: Option<BodyPermit>,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    waiting: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    ticket: gate::Ticket,
    /// What was decided on the request; `None` while it is queued.
    decision: Option<Decision>,
    /// Whether the time for which the request waits has changed.
    is_outdated: bool,
    waker: Option<Waker>,
}

/// What was decided on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    /// It may run.
    Start,
    /// It is refused, for a known reason or because no slot becomes free in time.
    Refuse(Option<Reason>),
}

/// Removes a ticket from the queue when its request stops waiting.
struct QueueEntry<'a> {
    admission: &'a Admission,
    ticket: gate::Ticket,
}

impl Admission {
    /// Returns the admission of an idle server with `slots` slots.
    pub(crate) fn new(slots: u32, clock: Clock) -> Self {
        let slots = slots as usize;
        let gate = Gate::new(slots, slots * MAX_QUEUED_PER_SLOT);
        Self { clock, state: Mutex::new(State { gate, waiting: Vec::new() }) }
    }

    /// Returns this admission with another order of requests.
    pub(crate) fn with_order(mut self, order: Order) -> Self {
        let state = self.state.get_mut().unwrap_or_else(PoisonError::into_inner);
        state.gate = state.gate.clone().with_order(order);
        self
    }

    /// Changes the number of slots.
    pub(crate) fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        if state.gate.slots() != slots as usize {
            let change = state.gate.set_slots(slots as usize, self.clock.now());
            state.apply_change(&change);
        }
    }

    /// Changes the number of requests that the server accepts in a second, or with `None` lifts the
    /// limit.
    pub(crate) fn set_limit(&self, per_second: Option<f64>) {
        let mut state = self.lock();
        if !state.gate.is_limited() && per_second.is_none() {
            return;
        }
        let change = state.gate.set_limit(per_second, self.clock.now());
        state.apply_change(&change);
        state.wake_all();
    }

    /// Refuses all queued and all later requests.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.gate.set_open(false);
        let refuse = state.gate.refuse_queued();
        state.apply_change(&QueueChange { refuse, ..QueueChange::default() });
    }

    /// Returns the numbers of requests in flight, of queued requests and of slots.
    ///
    /// While the server's stated rate lets no request start, all slots count as used, because a
    /// server that looked idle would attract the requests that it has to refuse.
    pub(crate) fn occupancy(&self) -> (u32, u32, u32) {
        let now = self.clock.now();
        let state = self.lock();
        let number = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
        let gate = &state.gate;
        let in_flight = match gate.is_paced(now) {
            true => gate.in_flight().max(gate.slots()),
            false => gate.in_flight(),
        };
        (number(in_flight), number(gate.queued()), number(gate.slots()))
    }

    /// Acquires a slot, or refuses the request if its predicted wait is longer than forwarding it to
    /// another server takes.
    pub(crate) async fn enter_now(self: &Arc<Self>, arrival: Arrival) -> Result<Permit, Refusal> {
        match self.refusal(&arrival, false) {
            Some(refusal) => Err(refusal),
            None => self.enter(arrival).await,
        }
    }

    /// Returns why a request would be refused now, or `None` if it would be admitted. If it `may_wait`,
    /// a request that would have to wait for a slot counts as admitted.
    pub(crate) fn refusal(&self, arrival: &Arrival, may_wait: bool) -> Option<Refusal> {
        let now = self.clock.now();
        let gate = &self.lock().gate;
        let wait = gate.predicted_wait(arrival, now);
        if !may_wait && wait > FORWARDING_TIME {
            let reason = if gate.is_paced(now) { Reason::Limited } else { Reason::Full };
            return Some(Refusal { reason, retry_after: wait });
        }
        gate.refusal(now, arrival)
    }

    /// Returns the predicted time that a request which arrives now waits for a slot.
    pub(crate) fn predicted_wait(&self, arrival: &Arrival) -> Duration {
        self.lock().gate.predicted_wait(arrival, self.clock.now())
    }

    /// Waits for a slot until the deadline of the request at the latest.
    pub(crate) async fn enter(self: &Arc<Self>, arrival: Arrival) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let queue_entry = {
            let mut state = self.lock();
            match state.gate.arrive(now, arrival) {
                gate::Admission::Run(ticket) => return Ok(self.permit(ticket)),
                gate::Admission::Refused(refusal) => return Err(refusal),
                gate::Admission::Queued { ticket, displaced } => {
                    let waiter = Waiter { ticket, decision: None, is_outdated: false, waker: None };
                    state.waiting.push(waiter);
                    let shed = state.gate.take_shed();
                    state.apply_change(&QueueChange {
                        refuse: Vec::from_iter(displaced),
                        shed,
                        ..QueueChange::default()
                    });
                    QueueEntry { admission: self, ticket }
                }
            }
        };
        let known_reason = loop {
            let now = self.clock.now();
            let left = arrival.deadline.remaining(now);
            // Without a running request that finishes, only time lets the next one start.
            let next_start = self.lock().gate.next_start(now).unwrap_or(left);
            let waiting = poll_fn(|cx| self.lock().poll(queue_entry.ticket, cx));
            match within(left.min(next_start), waiting).await {
                Ok(Some(Decision::Start)) => return Ok(self.permit(queue_entry.ticket)),
                Ok(None) => continue,
                Ok(Some(Decision::Refuse(reason))) => break reason,
                Err(Elapsed) if left <= next_start => break None,
                Err(Elapsed) => {
                    let mut state = self.lock();
                    let change = state.gate.advance(self.clock.now());
                    state.apply_change(&change);
                }
            }
        };
        let now = self.clock.now();
        let gate = &self.lock().gate;
        let reason = if gate.is_paced(now) { Reason::Limited } else { Reason::TooLate };
        let reason = known_reason.unwrap_or(reason);
        Err(Refusal { reason, retry_after: gate.predicted_wait(&arrival, now) })
    }

    fn permit(self: &Arc<Self>, ticket: gate::Ticket) -> Permit {
        Permit { admission: Arc::clone(self), ticket, _body: None }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Keeps `body` as long as the slot is in use.
    pub(crate) fn with_body(mut self, body: Option<BodyPermit>) -> Self {
        self._body = body;
        self
    }
}

impl State {
    /// Returns the decision on a queued request, or registers its waker. Returns `None` once when the
    /// time for which the request should wait has changed.
    fn poll(&mut self, ticket: gate::Ticket, cx: &mut Context<'_>) -> Poll<Option<Decision>> {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        let Some(index) = index else { return Poll::Ready(Some(Decision::Refuse(None))) };
        if let Some(decision) = self.waiting[index].decision {
            self.waiting.swap_remove(index);
            return Poll::Ready(Some(decision));
        }
        if std::mem::take(&mut self.waiting[index].is_outdated) {
            return Poll::Ready(None);
        }
        self.waiting[index].waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Removes a request that stops waiting; frees its slot if it was admitted and has not seen the
    /// decision.
    fn abandon(&mut self, ticket: gate::Ticket, now: Time) {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        let Some(index) = index else { return };
        self.waiting.swap_remove(index);
        if self.gate.cancel(ticket) == Cancelled::Running {
            let change = self.gate.finish(ticket, now);
            self.apply_change(&change);
        }
    }

    /// Lets the queued requests determine anew for how long they wait.
    fn wake_all(&mut self) {
        for waiting in &mut self.waiting {
            waiting.is_outdated = true;
            if let Some(waker) = waiting.waker.take() {
                waker.wake();
            }
        }
    }

    /// Wakes the queued requests that `change` starts or refuses.
    fn apply_change(&mut self, change: &QueueChange) {
        for waiting in &mut self.waiting {
            let shed = change.shed.iter().find(|shed| shed.ticket == waiting.ticket);
            if change.start.contains(&waiting.ticket) {
                waiting.decision = Some(Decision::Start);
            } else if change.refuse.contains(&waiting.ticket) {
                waiting.decision = Some(Decision::Refuse(None));
            } else if let Some(shed) = shed {
                waiting.decision = Some(Decision::Refuse(Some(shed.reason)));
            } else {
                continue;
            }
            if let Some(waker) = waiting.waker.take() {
                waker.wake();
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut state = self.admission.lock();
        let change = state.gate.finish(self.ticket, now);
        state.apply_change(&change);
        if state.gate.is_limited() {
            // The free slot may stay free until the next request may start.
            state.wake_all();
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        self.admission.lock().abandon(self.ticket, now);
    }
}

#[cfg(test)]
mod tests {
    use arbutuslane_catalogue::entry::Class;
    use arbutuslane_limit::deadline::Deadline;
    use std::pin::pin;

    use super::*;

    fn poll<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
        future.poll(&mut Context::from_waker(Waker::noop()))
    }

    fn admission() -> Arc<Admission> {
        Arc::new(Admission::new(1, Clock::start()))
    }

    fn arrival(class: Class) -> Arrival {
        let deadline = Deadline::after(Time::ZERO, Duration::from_secs(60));
        Arrival::of_class(class, Time::ZERO, deadline)
    }

    /// Guards against a booking that waits behind a download, and against a slot that is not freed.
    #[ntex::test]
    async fn enter_priority() {
        let admission = admission();
        let first = admission.enter(arrival(Class::Idempotent)).await.unwrap();
        let mut download = pin!(admission.enter(arrival(Class::Download)));
        let mut booking = pin!(admission.enter(arrival(Class::NonIdempotent)));
        assert!(poll(download.as_mut()).is_pending());
        assert!(poll(booking.as_mut()).is_pending());
        drop(first);
        assert!(poll(download.as_mut()).is_pending());
        let Poll::Ready(Ok(permit)) = poll(booking.as_mut()) else { panic!("not admitted") };
        drop(permit);
        assert!(poll(download.as_mut()).is_ready());
        assert_eq!(admission.occupancy(), (0, 0, 1));
    }

    /// Guards against a slot that stays in use because its request is cancelled after admission and
    /// before it sees the decision.
    #[ntex::test]
    async fn enter_abandoned() {
        let admission = admission();
        let first = admission.enter(arrival(Class::Idempotent)).await.unwrap();
        {
            let mut second = pin!(admission.enter(arrival(Class::Idempotent)));
            assert!(poll(second.as_mut()).is_pending());
            drop(first);
        }
        assert_eq!(admission.occupancy(), (0, 0, 1));
    }

    /// Guards against a request that queues at a busy server although another server may be free.
    #[ntex::test]
    async fn enter_now_busy() {
        let admission = admission();
        let first = admission.enter_now(arrival(Class::Idempotent)).await.unwrap();
        ntex::time::sleep(FORWARDING_TIME * 4).await;
        drop(first);
        let _second = admission.enter_now(arrival(Class::Idempotent)).await.unwrap();
        let third = admission.enter_now(arrival(Class::Idempotent)).await;
        assert_eq!(third.map(|_| ()).map_err(|refusal| refusal.reason), Err(Reason::Full));
    }

    /// Guards against a queue that grows without bound, and against requests that stay queued after
    /// their server is closed.
    #[ntex::test]
    async fn enter_full() {
        let admission = admission();
        let _first = admission.enter(arrival(Class::Idempotent)).await.unwrap();
        let mut second = pin!(admission.enter(arrival(Class::Idempotent)));
        assert!(poll(second.as_mut()).is_pending());
        let mut others = Vec::new();
        for _ in 1..MAX_QUEUED_PER_SLOT {
            let mut other = Box::pin(admission.enter(arrival(Class::Idempotent)));
            assert!(poll(other.as_mut()).is_pending());
            others.push(other);
        }
        let last = admission.enter(arrival(Class::Idempotent)).await;
        assert_eq!(last.map(|_| ()).map_err(|refusal| refusal.reason), Err(Reason::Full));
        admission.close();
        assert!(matches!(poll(second.as_mut()), Poll::Ready(Err(_))));
        for mut other in others {
            assert!(matches!(poll(other.as_mut()), Poll::Ready(Err(_))));
        }
    }
}
