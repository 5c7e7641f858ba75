//! Durable log and snapshots of one control replica.
//!
//! A [`Log`](log::Log) stores entries, a small block of metadata and snapshots in one folder. A call
//! that returns `Ok` has synced the files that it wrote and, where a name changed, the folder. The
//! [`Disk`](disk::Disk) trait separates this logic from the file system: [`Real`](disk::Real) uses a
//! folder, and [`Fake`](disk::Fake) simulates a power loss that loses, truncates or corrupts
//! unsynced data.
//!
//! ```
//! use arbutuslane_storage::prelude::*;
//!
//! let disk = disk::Fake::new(7);
//! let (mut log, recovered) = Log::open(disk.clone(), log::DEFAULT_SEGMENT_BYTES).unwrap();
//! assert!(recovered.entries.is_empty());
//! let entry = Entry { index: 1, term: 1, payload: b"first".to_vec() };
//! log.append(&Batch { meta: None, entries: vec![entry.clone()] }).unwrap();
//!
//! disk.crash();
//! let (_, recovered) = Log::open(disk, log::DEFAULT_SEGMENT_BYTES).unwrap();
//! assert_eq!(recovered.entries, vec![entry]);
//! ```

pub mod disk;
pub mod error;
mod fake;
mod frame;
pub mod log;
mod recovery;
pub mod snapshot;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::disk::{self, Disk};
    pub use crate::error::Error;
    pub use crate::log::{self, Batch, Entry, Log, Recovered};
    pub use crate::snapshot::Snapshot;
}
