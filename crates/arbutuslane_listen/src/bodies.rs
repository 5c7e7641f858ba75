//! The request bodies that a process is receiving, within a limit of memory.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_limit::memory::Memory;
use arbutuslane_limit::receiving::{BodyId, Receiving};
use futures_util::future::{Either, select};
use ntex::time::timeout_checked;
use tokio::sync::Notify;

/// How long a body waits for the memory of another one that gives way.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// The bodies that a process is receiving.
#[derive(Debug)]
pub struct Bodies {
    memory: Arc<Memory>,
    state: Mutex<State>,
    /// Notified when a body that gave way has released its memory.
    released: Notify,
    gave_way: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    receiving: Receiving,
    /// What the receivers of the bodies wait for, in the order of the ids.
    receivers: Vec<Receiver>,
}

/// The receiver of one body.
#[derive(Debug)]
struct Receiver {
    id: BodyId,
    /// Notified when the body has to give way.
    gives_way: Arc<Notify>,
}

/// A body until it has been received.
#[derive(Debug)]
pub struct IncomingBody {
    bodies: Arc<Bodies>,
    id: BodyId,
    gives_way: Arc<Notify>,
}

impl Bodies {
    /// Returns no bodies, which will use `memory`.
    pub fn new(memory: Arc<Memory>) -> Arc<Self> {
        Arc::new(Self {
            memory,
            state: Mutex::default(),
            released: Notify::new(),
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
        let gives_way = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.receiving.begin();
        state.receivers.push(Receiver { id, gives_way: Arc::clone(&gives_way) });
        IncomingBody { bodies: Arc::clone(self), id, gives_way }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Lets a larger body give way to the body `id`, which would hold `bytes`; returns its id.
    fn choose(&mut self, id: BodyId, bytes: usize) -> Option<BodyId> {
        let chosen = self.receiving.choose(id, bytes)?;
        if let Ok(index) = self.find(chosen) {
            self.receivers[index].gives_way.notify_one();
        }
        Some(chosen)
    }

    /// Removes a body; returns whether it has given way.
    fn end(&mut self, id: BodyId) -> bool {
        let gave_way = self.receiving.gives_way(id);
        self.receiving.end(id);
        if let Ok(index) = self.find(id) {
            self.receivers.remove(index);
        }
        gave_way
    }

    fn find(&self, id: BodyId) -> Result<usize, usize> {
        self.receivers.binary_search_by_key(&id, |receiver| receiver.id)
    }
}

impl IncomingBody {
    /// Records that `bytes` of the body are held.
    pub fn record(&self, bytes: usize) {
        self.bodies.lock().receiving.record(self.id, bytes);
    }

    /// Lets a larger body give way and waits until it has released its memory, so that this one can
    /// hold `bytes`. Returns false if no other body is larger.
    pub async fn make_room(&self, bytes: usize) -> bool {
        let Some(chosen) = self.bodies.lock().choose(self.id, bytes) else { return false };
        self.bodies.gave_way.fetch_add(1, Ordering::Relaxed);
        let released = async {
            loop {
                let released = self.bodies.released.notified();
                if !self.bodies.lock().receiving.contains(chosen) {
                    return;
                }
                released.await;
            }
        };
        // Another body may give way if the memory of this one is late.
        let _ = timeout_checked(RELEASE_TIMEOUT, released).await;
        true
    }

    /// Waits for `receiving`; returns `None` if the body has to give way before.
    pub async fn unless_given_way<T>(&self, receiving: impl Future<Output = T>) -> Option<T> {
        match select(pin!(self.gives_way.notified()), pin!(receiving)).await {
            Either::Left(_) => None,
            Either::Right((received, _)) => Some(received),
        }
    }
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        let gave_way = self.bodies.lock().end(self.id);
        if gave_way {
            self.bodies.released.notify_waiters();
        }
    }
}
