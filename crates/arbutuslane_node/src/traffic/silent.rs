//! Keeps a silent attempt running until another server has accepted the request.

use std::pin::{Pin, pin};
use std::time::Duration;

use futures_util::future::{Either, select};
use ntex::time::timeout_checked;

use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_limit::attempts::Effort;

use super::answer::Answer;
use super::entry::failed;
use super::refusal::Refusal;
use super::services::Note;

/// An owner that refuses a request does so within this time. After it, the owner's server has
/// accepted the request.
const TAKEN: Duration = Duration::from_millis(50);

/// The future of an attempt that is still running.
pub(super) type Running<'a> = Pin<Box<dyn Future<Output = Result<Answer, Refusal>> + 'a>>;

/// An attempt at a server that has sent no response for several times the usual latency.
///
/// The server may still respond. Abandoning the attempt at once would fail the request if all other
/// servers are full.
pub(super) struct Silent<'a> {
    pub(super) server: ServerId,
    /// The rest of the attempt.
    pub(super) running: Running<'a>,
    /// The outcome of the attempt; recorded as a failure if the attempt is abandoned.
    pub(super) note: Note,
    /// The time at which the attempt started.
    pub(super) began: Time,
    pub(super) clock: Clock,
    /// Whether the attempt has ended by itself.
    pub(super) ended: bool,
}

/// The result of sending an attempt.
pub(super) enum Sent<'a> {
    /// The attempt ended.
    Ended(Result<Answer, Refusal>),
    /// The server is silent, and another one may be tried.
    Silent(Silent<'a>),
    /// An earlier silent attempt received its response first.
    Earlier(ServerId, Answer),
}

impl Silent<'_> {
    /// Waits until the server responds; returns `None` if the attempt fails.
    pub(super) async fn answer(mut self) -> Option<(ServerId, Answer)> {
        let result = self.running.as_mut().await;
        self.ended = true;
        let answer = result.ok().filter(|answer| !failed(answer))?;
        Some((self.server.clone(), answer))
    }
}

impl Drop for Silent<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.note.set(self.clock.now().saturating_sub(self.began), false);
        }
    }
}

/// Runs an attempt while the silent attempt `earlier` continues, and abandons `earlier` once the
/// new server has accepted the request.
///
/// An attempt that may wait for a slot is not known to be accepted before it ends.
pub(super) async fn send_beside<'a>(
    attempt: impl Future<Output = Sent<'a>>,
    earlier: &mut Option<Silent<'a>>,
    effort: Effort,
) -> Sent<'a> {
    let mut attempt = pin!(attempt);
    let Some(silent) = earlier else { return attempt.await };
    let first = select(attempt.as_mut(), silent.running.as_mut());
    let first = match effort {
        Effort::Insist | Effort::Suspect => first.await,
        Effort::Ordinary | Effort::Last => match timeout_checked(TAKEN, first).await {
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
    silent.ended = true;
    let server = silent.server.clone();
    *earlier = None;
    match result {
        Ok(answer) if !failed(&answer) => Sent::Earlier(server, answer),
        _ => attempt.await,
    }
}
