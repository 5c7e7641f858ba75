//! The format in which operators send and read items.

use arbutuslane_item::prelude::{Item, Table};

/// A request of an operator.
#[derive(Debug)]
pub enum OperatorRequest {
    /// A change to some items.
    Change(Result<Vec<Item>, MalformedChange>),
    /// A request for all current items.
    Read,
    /// A request that the interface does not support.
    Unknown,
}

/// A change that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; send the complete change in the documented form")]
pub struct MalformedChange {
    /// What is wrong with the change.
    pub reason: String,
}

impl MalformedChange {
    /// Returns the error with the message of a parser.
    pub fn new(reason: &impl ToString) -> Self {
        Self { reason: reason.to_string() }
    }
}

/// Translates between an operator's requests and items.
pub trait OperatorFormat: Send + Sync {
    /// Parses a request; `target` holds the path and the query.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> OperatorRequest;

    /// Returns all current items as JSON.
    fn render(&self, items: &Table) -> String;
}
