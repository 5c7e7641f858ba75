//! Server choice: power of two choices over a subset of a service's servers.
//!
//! An entry keeps one [`Picker`](picker::Picker) per service. It orders servers and never excludes
//! one for health; servers that drain, that their owner has ejected, whose owner is unreachable or
//! that the request has already been sent to are not candidates.
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
//! picker.answered(&pick.server, now + Duration::from_millis(8), Some(Duration::from_millis(8)), true);
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
