//! The node daemon: entry for callers, owner of backend servers, replica of quorum registers.
//!
//! [`Settings`](settings::Settings) are read from a JSON file and [`run::run`] serves three
//! listeners until the process is told to stop. Traffic threads run the request path
//! ([`traffic`](self)); one more thread runs control work: it fetches the configuration and
//! exchanges server lists with other nodes. The traffic threads see both as immutable snapshots.
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
mod condition;
mod configuration;
mod metrics;
mod peers;
pub mod run;
mod seeds;
pub mod settings;
mod shared;
mod traffic;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::run::run;
    pub use crate::settings::Settings;
}
