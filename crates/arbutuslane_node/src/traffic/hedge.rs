//! Attempts of one request that stay at work while others are made.
//!
//! An attempt that is silent for long may still bring the only answer: the others may be refused, fail,
//! or run at a server whose node is about to stop. So an attempt is given up only once another one of
//! the same request has an answer.

use std::future::poll_fn;
use std::pin::pin;
use std::task::{Context, Poll};

use futures_util::future::Either;

#[cfg(test)]
mod tests;

/// An attempt that is at work.
pub(super) trait Running {
    /// The answer of the server.
    type Answer;

    /// Polls for the end of the attempt: an answer that the caller may get, or `None` if it failed.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Self::Answer>>;
}

/// The attempts of a request that are at work. Those that still are when this is dropped are given up.
#[derive(Debug)]
pub(super) struct Hedge<A>(Vec<A>);

impl<A> Default for Hedge<A> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<A: Running> Hedge<A> {
    /// Adds an attempt.
    pub(super) fn add(&mut self, attempt: A) {
        self.0.push(attempt);
    }

    /// Waits for the end of `next`, a further attempt, or for an answer of one at work.
    pub(super) async fn race<T>(&mut self, next: impl Future<Output = T>) -> Either<T, A::Answer> {
        let mut next = pin!(next);
        poll_fn(|cx| {
            if let Poll::Ready(result) = next.as_mut().poll(cx) {
                return Poll::Ready(Either::Left(result));
            }
            match self.poll_answer(cx) {
                Poll::Ready(Some(answer)) => Poll::Ready(Either::Right(answer)),
                Poll::Ready(None) | Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Waits for the first answer; returns `None` once all attempts have failed.
    pub(super) async fn first_answer(&mut self) -> Option<A::Answer> {
        poll_fn(|cx| self.poll_answer(cx)).await
    }

    /// Polls all attempts, and removes those that failed; ready with `None` if none is left.
    fn poll_answer(&mut self, cx: &mut Context<'_>) -> Poll<Option<A::Answer>> {
        let mut index = 0;
        while index < self.0.len() {
            match self.0[index].poll_end(cx) {
                Poll::Ready(Some(answer)) => {
                    self.0.remove(index);
                    return Poll::Ready(Some(answer));
                }
                Poll::Ready(None) => drop(self.0.remove(index)),
                Poll::Pending => index += 1,
            }
        }
        if self.0.is_empty() { Poll::Ready(None) } else { Poll::Pending }
    }
}
