//! Changes that operators propose, and how they were answered.

use arbutuslane_core::id::Revision;

use crate::entry::Entry;

/// The whole desired catalogue against a stated revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Chosen by the operator's client; a resend carries the same id.
    pub id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision that the change was made from.
    pub base: Revision,
    /// The entries that replace all earlier ones.
    pub entries: Vec<Entry>,
}

/// How a change was answered; a resend of the same change id is answered alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in the catalogue.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The current revision.
        revision: Revision,
        /// The id of the change that made it.
        winner: String,
        /// The author of that change.
        author: String,
    },
}
