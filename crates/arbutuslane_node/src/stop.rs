//! The phases of a planned stop.
//!
//! A node that stops goes on as before for a while, then withdraws its servers, then accepts no new
//! requests, and at last answers those that are still without a response. What is not answered then would end with a closed
//! connection, because the process ends or is killed.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arbutuslane_core::time::Time;
use tokio::sync::watch;

/// The part of the time of a stop that is left for sending the last responses.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// The state of a planned stop.
#[derive(Debug)]
pub(crate) struct Stop {
    /// The time until which requests may run, once the stop has begun.
    requests_end_at: OnceLock<Time>,
    servers_withdrawn: AtomicBool,
    intake_ended: AtomicBool,
    /// Whether the requests that have no response yet are given up.
    gives_up: watch::Sender<bool>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            requests_end_at: OnceLock::new(),
            servers_withdrawn: AtomicBool::new(false),
            intake_ended: AtomicBool::new(false),
            gives_up: watch::Sender::new(false),
        }
    }
}

impl Stop {
    /// Begins a stop that takes `limit` at most. A second call has no effect.
    pub(crate) fn begin(&self, now: Time, limit: Duration) {
        let _ = self.requests_end_at.set(now + limit.saturating_sub(RESPONSE_MARGIN));
    }

    /// Returns whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.requests_end_at.get().is_some()
    }

    /// Returns the time until which requests may run, or `None` before a stop.
    pub(crate) fn requests_end_at(&self) -> Option<Time> {
        self.requests_end_at.get().copied()
    }

    /// Announces no servers of this node from now on.
    pub(crate) fn withdraw_servers(&self) {
        self.servers_withdrawn.store(true, Ordering::Relaxed);
    }

    /// Returns whether this node announces no servers any more.
    pub(crate) fn has_withdrawn_servers(&self) -> bool {
        self.servers_withdrawn.load(Ordering::Relaxed)
    }

    /// Refuses new requests from now on.
    pub(crate) fn end_intake(&self) {
        self.intake_ended.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub(crate) fn has_intake_ended(&self) -> bool {
        self.intake_ended.load(Ordering::Relaxed)
    }

    /// Gives up all requests that have no response yet.
    pub(crate) fn give_up(&self) {
        self.gives_up.send_replace(true);
    }

    /// Waits for `response`; returns `None` if it is given up before.
    pub(crate) async fn unless_given_up<T>(&self, response: impl Future<Output = T>) -> Option<T> {
        let mut gives_up = self.gives_up.subscribe();
        let given_up = std::pin::pin!(gives_up.wait_for(|gives_up| *gives_up));
        match futures_util::future::select(std::pin::pin!(response), given_up).await {
            futures_util::future::Either::Left((response, _)) => Some(response),
            futures_util::future::Either::Right(_) => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a request without a response that is not given up, and against a response that
    /// is lost because it arrives at the same time.
    #[ntex::test]
    async fn give_up_unanswered() {
        let stop = Stop::default();
        assert_eq!(stop.unless_given_up(async { 7 }).await, Some(7));
        stop.begin(Duration::from_secs(1), Duration::from_secs(5));
        assert_eq!(stop.requests_end_at(), Some(Duration::from_millis(5_800)));
        stop.give_up();
        assert_eq!(stop.unless_given_up(std::future::pending::<()>()).await, None);
        assert_eq!(stop.unless_given_up(async { 8 }).await, Some(8));
    }
}
