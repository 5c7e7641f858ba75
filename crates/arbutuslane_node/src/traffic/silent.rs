//! An attempt that is silent, kept until another server has taken the request.

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

/// An owner that turns a request away answers sooner than this; afterwards its server has the request.
const TAKEN: Duration = Duration::from_millis(50);

/// The rest of an attempt.
pub(super) type Running<'a> = Pin<Box<dyn Future<Output = Result<Answer, Refusal>> + 'a>>;

/// An attempt at a server that has been silent for several times the usual latency.
///
/// The server may still answer. Giving it up at once would fail the request when all others are full.
pub(super) struct Silent<'a> {
    /// The server.
    pub(super) server: ServerId,
    /// The rest of the attempt.
    pub(super) running: Running<'a>,
    /// What the attempt says about the server; noted as a failure when it is given up.
    pub(super) note: Note,
    /// When it began.
    pub(super) began: Time,
    /// The time.
    pub(super) clock: Clock,
    /// Whether it has ended by itself.
    pub(super) ended: bool,
}

/// What came of an attempt.
pub(super) enum Sent<'a> {
    /// It ended.
    Ended(Result<Answer, Refusal>),
    /// It is silent, and another server may be tried.
    Silent(Silent<'a>),
    /// An earlier attempt, which was silent, was answered first.
    Earlier(ServerId, Answer),
}

impl Silent<'_> {
    /// Waits until the server answers; returns nothing when it fails.
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

/// Makes an attempt while `earlier` goes on, which is given up once the attempt has been taken.
///
/// An attempt that may wait for a slot is not known to be taken before it ends.
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
