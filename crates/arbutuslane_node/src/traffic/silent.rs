//! Keeps a silent attempt running until another server has accepted the request.

use std::pin::{Pin, pin};
use std::time::Duration;

use futures_util::future::{Either, select};
use ntex::time::timeout_checked;

use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_limit::attempts::Effort;

use super::answer::ServerResponse;
use super::entry::is_failure;
use super::refusal::Refusal;
use super::services::OutcomeCell;

/// An owner that refuses a request does so within this time. After it, the owner's server has
/// accepted the request.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(50);

/// The future of an attempt that is still running.
pub(super) type AttemptFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ServerResponse, Refusal>> + 'a>>;

/// An attempt at a server that has sent no response for several times the usual latency.
///
/// The server may still respond. Abandoning the attempt at once would fail the request if all other
/// servers are full.
pub(super) struct SilentAttempt<'a> {
    pub(super) server: ServerId,
    /// The rest of the attempt.
    pub(super) running: AttemptFuture<'a>,
    /// The outcome of the attempt; recorded as a failure if the attempt is abandoned.
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
    Ended(Result<ServerResponse, Refusal>),
    /// The server is silent, and another one may be tried.
    Silent(SilentAttempt<'a>),
    /// An earlier silent attempt received its response first.
    Earlier(ServerId, ServerResponse),
}

impl SilentAttempt<'_> {
    /// Waits until the server responds; returns `None` if the attempt fails.
    pub(super) async fn wait_for_response(mut self) -> Option<(ServerId, ServerResponse)> {
        let result = self.running.as_mut().await;
        self.has_ended = true;
        let response = result.ok().filter(|response| !is_failure(response))?;
        Some((self.server.clone(), response))
    }
}

impl Drop for SilentAttempt<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.outcome_cell.set(self.clock.now().saturating_sub(self.started_at), false);
        }
    }
}

/// Runs an attempt while the silent attempt `earlier` continues, and abandons `earlier` once the
/// new server has accepted the request.
///
/// An attempt that may wait for a slot is not known to be accepted before it ends.
pub(super) async fn send_alongside<'a>(
    attempt: impl Future<Output = SendResult<'a>>,
    earlier: &mut Option<SilentAttempt<'a>>,
    effort: Effort,
) -> SendResult<'a> {
    let mut attempt = pin!(attempt);
    let Some(silent) = earlier else { return attempt.await };
    let first = select(attempt.as_mut(), silent.running.as_mut());
    let first = match effort {
        Effort::Insist | Effort::Suspect => first.await,
        Effort::Ordinary | Effort::Last => match timeout_checked(MAX_REFUSAL_DELAY, first).await {
            Ok(first) => first,
            Err(()) => {
                *earlier = None;
                return attempt.await;
            }
        },
    };
    let result = match first {
        Either::Left((sent, _)) => return sent,
        Either::Right((result, _)) => result,
    };
    silent.has_ended = true;
    let server = silent.server.clone();
    *earlier = None;
    match result {
        Ok(response) if !is_failure(&response) => SendResult::Earlier(server, response),
        _ => attempt.await,
    }
}
