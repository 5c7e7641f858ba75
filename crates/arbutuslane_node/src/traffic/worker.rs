//! The state of one traffic thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;

use arbutuslane_core::id::Exchange;
use arbutuslane_core::rng::{self, Rng};

use crate::shared::Shared;

use super::allowance::PendingLoans;
use super::client::Pool;
use super::http1_pipeline::PipelinedRequests;
use super::routes::RouteStates;
use super::services::Services;

/// The state of one traffic thread.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The state that all threads share.
    pub(crate) shared: Arc<Shared>,
    /// The idle connections of this thread.
    pub(crate) pool: Rc<Pool>,
    /// The pickers and retry budgets of this thread.
    pub(crate) services: Rc<RefCell<Services>>,
    /// Pipelined requests that were started early.
    pub(crate) pipelined: RefCell<PipelinedRequests>,
    /// The requests that wait for tokens of their workspaces.
    pub(crate) loans: Rc<PendingLoans>,
    /// The service shares and mean latency of each route.
    pub(crate) routes: RefCell<RouteStates>,
    /// A random id that identifies this thread as the source of a summary.
    pub(crate) thread_id: u64,
    /// The random number generator for server selection.
    pub(crate) rng: RefCell<Rng>,
}

impl Worker {
    /// Returns the initial state of a thread.
    pub(crate) fn new(shared: Arc<Shared>) -> Rc<Self> {
        let seed = match shared.settings.seed {
            Some(seed) => seed.wrapping_add(shared.next_thread()),
            None => rand::rng().random(),
        };
        Rc::new(Self {
            shared,
            pool: Pool::new(),
            services: Rc::default(),
            pipelined: RefCell::default(),
            loans: Rc::default(),
            routes: RefCell::default(),
            thread_id: rand::rng().random(),
            rng: RefCell::new(rng::seeded(seed)),
        })
    }
}

/// Returns a random exchange id.
pub(crate) fn new_exchange_id() -> Exchange {
    rand::rng().random()
}
