//! The request bodies that a process is receiving, within a limit of memory.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_limit::memory::Memory;
use arbutuslane_limit::receiving::{BodyId, Receiving};
use ntex::time::timeout_checked;
use tokio::sync::Notify;

/// How long a body waits for the memory of another one that gives way.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// The bodies that a process is receiving.
#[derive(Debug)]
pub struct Bodies {
    memory: Arc<Memory>,
    receiving: Mutex<Receiving>,
    /// Notified when a body has to give way, and when one has ended.
    changed: Notify,
    gave_way: AtomicU64,
}

/// A body until it has been received.
#[derive(Debug)]
pub struct IncomingBody {
    bodies: Arc<Bodies>,
    id: BodyId,
}

impl Bodies {
    /// Returns no bodies, which will use `memory`.
    pub fn new(memory: Arc<Memory>) -> Arc<Self> {
        Arc::new(Self {
            memory,
            receiving: Mutex::default(),
            changed: Notify::new(),
            gave_way: AtomicU64::new(0),
        })
    }

    /// Returns the memory of the bodies.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// Returns how many bodies have given way to smaller ones.
    pub fn gave_way(&self) -> u64 {
        self.gave_way.load(Ordering::Relaxed)
    }

    /// Begins to receive a body.
    pub fn begin(self: &Arc<Self>) -> IncomingBody {
        let id = self.lock().begin();
        IncomingBody { bodies: Arc::clone(self), id }
    }

    fn lock(&self) -> MutexGuard<'_, Receiving> {
        self.receiving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IncomingBody {
    /// Records that `bytes` of the body are held.
    pub fn record(&self, bytes: usize) {
        self.bodies.lock().record(self.id, bytes);
    }

    /// Lets a larger body give way and waits until it has released its memory, so that this one can
    /// hold `bytes`. Returns false if no other body is larger.
    pub async fn make_room(&self, bytes: usize) -> bool {
        let changed = self.bodies.changed.notified();
        if self.bodies.lock().choose(self.id, bytes).is_none() {
            return false;
        }
        self.bodies.gave_way.fetch_add(1, Ordering::Relaxed);
        self.bodies.changed.notify_waiters();
        let used = self.bodies.memory.used();
        let released = async {
            changed.await;
            while self.bodies.memory.used() >= used {
                self.bodies.changed.notified().await;
            }
        };
        // Another body may give way if the memory of this one is late.
        let _ = timeout_checked(RELEASE_TIMEOUT, released).await;
        true
    }

    /// Waits for `receiving`; returns `None` if the body has to give way before.
    pub async fn unless_given_way<T>(&self, receiving: impl Future<Output = T>) -> Option<T> {
        let gives_way = async {
            loop {
                let changed = self.bodies.changed.notified();
                if self.bodies.lock().gives_way(self.id) {
                    return;
                }
                changed.await;
            }
        };
        let mut receiving = std::pin::pin!(receiving);
        let mut gives_way = std::pin::pin!(gives_way);
        std::future::poll_fn(|cx| {
            if gives_way.as_mut().poll(cx).is_ready() {
                return std::task::Poll::Ready(None);
            }
            receiving.as_mut().poll(cx).map(Some)
        })
        .await
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        self.bodies.lock().end(self.id);
        self.bodies.changed.notify_waiters();
    }
}
