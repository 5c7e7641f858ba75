//! Server choice: power of two choices over a subset of a service's servers.
//!
//! An entry has one [`Picker`](picker::Picker) per service. It ranks servers and excludes none for
//! its measured performance. Servers are excluded when they drain, when their owner has ejected
//! them, when their owner is unreachable, or when the request has already been sent to them.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_balance::prelude::*;
//! use arbutuslane_catalogue::prelude::Class;
//! use arbutuslane_core::rng;
//!
//! let mut rng = rng::seeded(1);
//! let mut picker = Picker::new("domain-a".to_string());
//! picker.set_candidates(
//!     (0..4).map(|id| Candidate::new(format!("s{id}"), "node-1", "domain-a", 5)).collect(),
//! );
//! let now = Duration::ZERO;
//! let pick = picker.pick(&Request { class: Class::Idempotent, tried: &[] }, now, &mut rng).unwrap();
//! picker.sent(&pick.server, now);
//! let latency = Duration::from_millis(8);
//! picker.record_response(&pick.server, now + latency, Some(latency), true);
//! ```

pub mod candidate;
pub mod picker;
pub mod share;
pub mod subset;

mod estimate;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::candidate::{Candidate, Load, Serving};
    pub use crate::picker::{Pick, Picker, Request, Weights};
    pub use crate::subset::Subset;
}
