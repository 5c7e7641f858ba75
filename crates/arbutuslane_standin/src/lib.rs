//! Stand-in backend server and caller for demos, tests and measurements.
//!
//! [`backend`] runs a backend server that announces itself, runs work for a given time and injects
//! faults on request. [`caller`] sends a bounded open-loop load and checks every response against
//! its request. Both generate the bytes of downloads with [`content`].
//!
//! ```
//! use arbutuslane_standin::prelude::*;
//!
//! let whole = content::bytes("report-7", 0, 64);
//! assert_eq!(content::bytes("report-7", 16, 48), whole[16..]);
//! ```

pub mod backend;
pub mod caller;
pub mod content;
pub mod record;
pub mod run;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::{backend, caller, content};
}
