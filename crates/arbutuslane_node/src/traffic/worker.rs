//! What one traffic thread keeps to itself.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;

use arbutuslane_core::id::Exchange;
use arbutuslane_core::rng::{self, Rng};

use crate::shared::Shared;

use super::choice::Loads;
use super::client::Pool;

/// What one traffic thread keeps to itself.
#[derive(Debug)]
pub(crate) struct Worker {
    /// What all threads share.
    pub(crate) shared: Arc<Shared>,
    /// The idle connections of this thread.
    pub(crate) pool: Rc<Pool>,
    /// The load of servers as this thread last saw it.
    pub(crate) loads: Rc<RefCell<Loads>>,
    /// The generator for the choice of servers.
    pub(crate) rng: RefCell<Rng>,
}

impl Worker {
    /// Returns the state of a thread that has carried no request yet.
    pub(crate) fn new(shared: Arc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            pool: Pool::new(),
            loads: Rc::default(),
            rng: RefCell::new(rng::seeded(rand::rng().random())),
        })
    }
}

/// Returns a random exchange id.
pub(crate) fn new_exchange() -> Exchange {
    rand::rng().random()
}
