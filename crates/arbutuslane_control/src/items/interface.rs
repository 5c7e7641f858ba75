//! The form in which operators send and read items.

use arbutuslane_item::prelude::{Item, Table};

/// A request of an operator.
#[derive(Debug)]
pub enum Call {
    /// A change to some items.
    Change(Result<Vec<Item>, Malformed>),
    /// A request for all items that stand.
    Read,
    /// Something that the interface does not know.
    Unknown,
}

/// A change that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; send the complete change in the documented form")]
pub struct Malformed {
    /// What is wrong.
    pub reason: String,
}

impl Malformed {
    /// Returns the error with what a parser reports.
    pub fn new(reason: &impl ToString) -> Self {
        Self { reason: reason.to_string() }
    }
}

/// Translates between an operator's requests and items.
pub trait Operators: Send + Sync {
    /// Reads a request; `target` holds path and query.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Call;

    /// Returns the JSON form of all items that stand.
    fn show(&self, items: &Table) -> String;
}
