//! The catalogue: what operators declare, and the replicated state that follows from it.
//!
//! An [`Entry`](entry::Entry) declares one service. A [`Change`](change::Change) replaces the whole
//! catalogue against a stated revision, and [`State`](state::State) is the state machine that every
//! control replica applies committed commands to. [`check`](check::entries) finds what is wrong with
//! a catalogue before it is proposed, and [`diff`](diff::entries) tells what a change would do. The
//! types of [`border`] are the only ones with a serialized form.
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
