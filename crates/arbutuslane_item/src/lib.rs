//! A catalogue of named items, each with its own version.
//!
//! For each name the highest version is in force, whether it sets the item or removes it. Nodes merge
//! accepted items in whatever order they arrive. What is accepted is agreed on by the control
//! instances: each change is checked against the newest state, and the result is accepted when a
//! quorum has it on disk. [`Table`](table::Table) merges items, [`check`] validates changes,
//! [`Replication`](replication::Replication) and [`election`] reach the agreement,
//! [`Pull`](transfer::Pull) decides in which parts a process fetches the items that it lacks, and
//! [`View`](view::View) which of the items that a node knows are in force.
//!
//! ```
//! use arbutuslane_item::prelude::*;
//!
//! let limits = Item::removal(Key::Route("r1".to_string()), 4);
//! let mut table = Table::default();
//! assert!(table.merge(limits.clone()));
//! assert!(!table.merge(limits));
//! ```

pub mod ballot;
pub mod border;
pub mod check;
pub mod distribution;
pub mod election;
pub mod item;
pub mod replication;
pub mod state;
pub mod table;
pub mod transfer;
pub mod view;
pub mod voter;

/// Re-exports the commonly used types of this crate.
pub mod prelude {
    pub use crate::ballot::{Ballot, Position};
    pub use crate::check;
    pub use crate::election::{Candidate, Leader};
    pub use crate::item::{
        ApiKey, Content, Item, Key, Limits, Route, Service, Source, Target, Version, Workspace,
    };
    pub use crate::replication::Replication;
    pub use crate::state::{State, Update};
    pub use crate::table::Table;
    pub use crate::voter::{Electorate, Voter};
}
