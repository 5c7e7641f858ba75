//! The `arbutuslane` command line, which operates a fleet: its catalogue, status, events and logs.
//!
//! [`run`] parses the arguments, runs one command and returns its exit code, one of
//! [`exit::Code`]. Results go to standard output, as text or, with `--json`, as JSON; errors go to
//! standard error.
//!
//! ```
//! use arbutuslane_cli::args;
//!
//! let arguments = ["arbutuslane", "catalogue", "check", "catalogue.json"];
//! assert!(args::command().try_get_matches_from(arguments).is_ok());
//! ```

mod answers;
pub mod args;
mod catalogue;
mod client;
mod dispatch;
pub mod error;
pub mod exit;
pub mod explain;
pub mod files;
pub mod gather;
mod groups;
mod leader;
pub mod locate;
mod logs;
pub mod losses;
pub mod output;
pub mod page;
pub mod report;
pub mod settings;
mod status;
pub mod timeline;
pub mod when;

pub use dispatch::run;
