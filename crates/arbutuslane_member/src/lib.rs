//! Membership table, gossip, failure detection and configuration dissemination.
//!
//! [`Gossip`](gossip::Gossip) is the state machine of one process. Its inputs are the time, a random
//! number generator, requests from peers and responses from peers; its outputs are
//! [`Effect`](effect::Effect)s that the calling code executes. It contains a
//! [`Table`](table::Table) with every node's [`Record`](record::Record) and a
//! [`Detector`](detector::Detector) of failed nodes. [`departure`] has what instances keep for each
//! other about backend servers that leave.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_core::rng;
//! use arbutuslane_member::prelude::*;
//!
//! let record = Record::new("node-a", 1, "127.0.0.1:7001", "ee-north-1");
//! let mut gossip = Gossip::new(Duration::ZERO, record, vec!["127.0.0.1:7002".to_string()]);
//! let effects = gossip.tick(Duration::from_millis(100), &mut rng::seeded(1));
//! assert!(matches!(effects[0], Effect::Call { .. }));
//! ```

pub mod configuration;
pub mod departure;
pub mod detector;
pub mod effect;
pub mod gossip;
pub mod message;
pub mod record;
pub mod table;

/// Re-exports the commonly used types of this crate.
pub mod prelude {
    pub use crate::configuration::{Delta, Payload, Position};
    pub use crate::detector::Detector;
    pub use crate::effect::Effect;
    pub use crate::gossip::Gossip;
    pub use crate::message::{Message, Response};
    pub use crate::record::{Record, Server, Standing, State};
    pub use crate::table::Table;
}
