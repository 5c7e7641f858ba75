//! Formats exchanged between processes: headers, announcements, peer messages and the operator API.
//!
//! The types of this crate exist for serialization: they derive serde, are converted to and from
//! the internal types once, and contain no logic. Messages between nodes and control instances are
//! encoded by [`codec`] as MessagePack.
//!
//! ```
//! use arbutuslane_wire::prelude::*;
//!
//! let message = peer::Message::FetchSnapshot { known_revision: 3 };
//! let bytes = codec::encode(&message).unwrap();
//! assert_eq!(codec::decode::<peer::Message>(&bytes).unwrap(), message);
//! ```

pub mod allowance;
pub mod announce;
pub mod codec;
pub mod dialect;
pub mod header;
pub mod load;
pub mod operator;
pub mod peer;
pub mod status;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::dialect::Dialect;
    pub use crate::load::Report;
    pub use crate::{announce, codec, header, load, operator, peer, status};
}
