//! The node daemon: entry for callers, owner of backend servers, replica of quorum registers.
//!
//! [`Settings`](settings::Settings) are read from a JSON file and [`run::run`] serves three
//! listeners until the process receives a signal to stop. Traffic threads run the request path
//! ([`traffic`](self)); the control thread runs the rest ([`cluster`](self)): gossip with other
//! nodes, the configuration, and recovery of register replicas. The traffic threads see servers and
//! configuration as immutable snapshots.
//!
//! ```
//! use arbutuslane_node::prelude::*;
//!
//! let text = r#"{
//!     "node": "node-a", "domain": "ee-north-1",
//!     "callers": "127.0.0.1:8000", "peers": "127.0.0.1:8001", "admin": "127.0.0.1:8002",
//!     "token_file": "token", "seeds": ["127.0.0.2:8001"]
//! }"#;
//! let settings = Settings::parse(text).unwrap();
//! assert_eq!(settings.node, "node-a");
//! ```

mod admin;
mod announce;
mod cluster;
mod condition;
mod configuration;
pub mod experiment;
pub mod interface;
mod metrics;
mod peers;
mod recent_ids;
mod reload;
pub mod run;
pub mod settings;
mod shared;
mod state_file;
mod stop;
mod timeout;
mod traffic;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::interface::{Interface, Native};
    pub use crate::run::run;
    pub use crate::settings::Settings;
}
