//! Events, their causal order, the log format and metrics of the fleet's processes.
//!
//! Each process has one [`Buffer`](buffer::Buffer). Recording a [`Kind`](kind::Kind) stamps it with
//! the process's hybrid logical [`Clock`](clock::Clock), stores it for `/v1/events` and writes one
//! line to the log. [`metric`] renders metrics as Prometheus text.
//!
//! ```
//! use arbutuslane_event::prelude::*;
//!
//! let buffer = Buffer::new("node-1", 1_024);
//! let kind = Kind::Ejection { reason: Reason::Failures, severity: 80, permit: 0 };
//! buffer.record(Draft::new(kind).service("slots").server("slots-3"));
//! let page = buffer.events_since(0);
//! assert_eq!(page.events[0].kind.name(), "ejection");
//! ```

pub mod border;
pub mod buffer;
pub mod clock;
pub mod event;
pub mod histogram;
pub mod kind;
pub mod log;
pub mod metric;
pub mod output;
pub mod reload;
pub mod runtime;
pub mod signal;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::buffer::{Buffer, Page};
    pub use crate::clock::{Clock, Stamp};
    pub use crate::event::{Draft, Event};
    pub use crate::histogram::Histogram;
    pub use crate::kind::{Cause, Kind, Level, Reason};
    pub use crate::{border, log, metric};
}
