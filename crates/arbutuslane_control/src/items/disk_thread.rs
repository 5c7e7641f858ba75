//! Writes records to a disk on a thread of its own.

use std::future::Future;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// The time between two attempts to reopen a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// What a disk thread writes to.
pub(super) trait Target: Send + 'static {
    /// What is written.
    type Record: Send;

    /// Returns whether the last write succeeded, or the disk has been reopened since.
    fn is_writable(&self) -> bool;

    /// Opens the disk again after a fault, and writes all that it has to keep.
    fn reopen(&mut self);

    /// Makes records durable together, in their order; returns whether they are. There may be none.
    fn write(&mut self, records: Vec<Self::Record>) -> bool;
}

/// Sends records to a disk thread.
#[derive(Debug)]
pub(super) struct Handle<R>(Sender<Job<R>>);

/// A record to write.
#[derive(Debug)]
struct Job<R> {
    record: R,
    /// Where to say whether the record is durable; none if it may wait for the next one.
    reply: Option<oneshot::Sender<bool>>,
}

impl<R> Clone for Handle<R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<R> Handle<R> {
    /// Queues a record after those queued before it. The future returns whether it and all records
    /// before it are durable.
    pub(super) fn write(&self, record: R) -> impl Future<Output = bool> + use<R> {
        let (reply, result) = oneshot::channel();
        let is_queued = self.0.send(Job { record, reply: Some(reply) }).is_ok();
        async move { is_queued && result.await.unwrap_or(false) }
    }

    /// Queues a record that may wait for the next one, for [`REOPEN_INTERVAL`] at most.
    pub(super) fn write_later(&self, record: R) {
        // A thread that has ended has no later write either.
        let _ = self.0.send(Job { record, reply: None });
    }
}

/// Starts a thread that writes to `target` until all handles are dropped.
pub(super) fn start<T: Target>(target: T) -> Handle<T::Record> {
    let (jobs, inbox) = channel();
    thread::spawn(move || run(target, &inbox));
    Handle(jobs)
}

fn run<T: Target>(mut target: T, inbox: &Receiver<Job<T::Record>>) {
    let mut last_attempt_at = Instant::now();
    let mut jobs = Vec::new();
    loop {
        let is_idle = match inbox.recv_timeout(REOPEN_INTERVAL) {
            Ok(job) => {
                jobs.push(job);
                false
            }
            Err(RecvTimeoutError::Timeout) => true,
            Err(RecvTimeoutError::Disconnected) => {
                target.write(jobs.into_iter().map(|job| job.record).collect());
                return;
            }
        };
        // All queued jobs share one sync.
        jobs.extend(inbox.try_iter());
        if !is_idle && jobs.iter().all(|job| job.reply.is_none()) {
            continue;
        }
        if !target.is_writable() && last_attempt_at.elapsed() >= REOPEN_INTERVAL {
            last_attempt_at = Instant::now();
            target.reopen();
        }
        let (records, replies): (Vec<_>, Vec<_>) =
            jobs.drain(..).map(|job| (job.record, job.reply)).unzip();
        let is_durable = target.write(records);
        for reply in replies.into_iter().flatten() {
            // The sender of the job may no longer wait for the reply.
            let _ = reply.send(is_durable);
        }
    }
}
