//! An attempt whose server is silent, and which stays at work while others are made.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::{Clock, Time};

use super::answer::ServerResponse;
use super::entry::is_failure;
use super::hedge::Running;
use super::refusal::Refusal;
use super::services::OutcomeCell;

/// The future of an attempt that is still running.
pub(super) type AttemptFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ServerResponse, Refusal>> + 'a>>;

/// An attempt at a server that has sent no response for several times the usual latency.
pub(super) struct SilentAttempt<'a> {
    pub(super) server: ServerId,
    /// The rest of the attempt.
    pub(super) running: AttemptFuture<'a>,
    /// The outcome of the attempt; recorded as a failure if the attempt is given up.
    pub(super) outcome_cell: OutcomeCell,
    /// The time at which the attempt started.
    pub(super) started_at: Time,
    pub(super) clock: Clock,
    /// Whether the attempt has ended by itself.
    pub(super) has_ended: bool,
}

/// The result of sending an attempt.
pub(super) enum SendResult<'a> {
    /// The attempt ended.
    Ended(Box<Result<ServerResponse, Refusal>>),
    /// The server is silent, and another one may be tried.
    Silent(SilentAttempt<'a>),
}

impl Running for SilentAttempt<'_> {
    type Answer = (ServerId, ServerResponse);

    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Self::Answer>> {
        let result = ready!(self.running.as_mut().poll(cx));
        self.has_ended = true;
        let response = result.ok().filter(|response| !is_failure(response));
        Poll::Ready(response.map(|response| (self.server.clone(), response)))
    }
}

impl Drop for SilentAttempt<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.outcome_cell.set(self.clock.now().saturating_sub(self.started_at), false);
        }
    }
}
