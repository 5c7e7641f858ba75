//! The service catalogue that operators declare, and the replicated state machine that applies its
//! changes.
//!
//! An [`Entry`](entry::Entry) declares one service. A [`Change`](change::Change) replaces the whole
//! catalogue at a stated base revision, and [`State`](state::State) is the state machine to which
//! every control replica applies committed commands. [`check`](check::entries) validates a catalogue
//! before it is proposed, and [`diff`](diff::entries) lists the differences that a change would
//! make. Only the types of [`border`] and [`stored`] have a serialized form.
//!
//! ```
//! use arbutuslane_catalogue::prelude::*;
//!
//! let mut state = State::default();
//! let change = Change {
//!     id: "change-1".to_string(),
//!     author: "mari".to_string(),
//!     base: 0,
//!     entries: Vec::new(),
//! };
//! assert_eq!(state.apply_change(change), Outcome::Accepted { revision: 1 });
//! ```

pub mod border;
pub mod change;
pub mod check;
pub mod class;
pub mod diff;
pub mod entry;
pub mod group;
pub mod state;
pub mod stored;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::change::{Change, Outcome};
    pub use crate::check::Finding;
    pub use crate::diff::Difference;
    pub use crate::entry::{Class, Entry, Limits, Preference, Route};
    pub use crate::group::Group;
    pub use crate::state::State;
}
