//! A catalogue that consists of named items, each with a version of its own.
//!
//! For each name the highest version is in force, whether it sets the item or removes it. Tables
//! of items merge in any order to the same result, so no leader and no log has to order the
//! changes: a change is accepted when enough control instances hold it on their disks.
//! [`Table`](table::Table) merges, [`check`] tells which changes are valid, and
//! [`Replication`](replication::Replication) decides when a change is accepted and when an
//! instance that lost its disk may count again.
//!
//! ```
//! use arbutuslane_item::prelude::*;
//!
//! let limits = Item::removed(Key::Route("r1".to_string()), 4);
//! let mut table = Table::default();
//! assert!(table.merge(limits.clone()));
//! assert!(!table.merge(limits));
//! ```

pub mod border;
pub mod check;
pub mod item;
pub mod replication;
pub mod table;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::check;
    pub use crate::item::{Content, Item, Key, Limits, Route, Service, Target, Version};
    pub use crate::replication::Replication;
    pub use crate::table::Table;
}
