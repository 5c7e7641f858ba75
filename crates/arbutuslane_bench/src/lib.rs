//! Simulations of the decision code in virtual time, result files and plots.
//!
//! A [`run`](sim::run) is a discrete-event simulation of the real picker, gate, detector and ejection
//! life cycle over servers with slots and service-time distributions. There is no network and no
//! process: hops are delays, and [`permit::Permits`] grants ejection permits. [`scarcity`] simulates a
//! small service that many entries share, with the attempts of each request, and
//! [`admission`] more requests than a service has slots for. [`night`] evaluates the
//! records of a fault scenario that ran on real processes.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_bench::prelude::*;
//! use arbutuslane_catalogue::prelude::Preference;
//!
//! let service = service::all()[0];
//! let config = Config {
//!     fault: Fault::Failing,
//!     warm_up: Duration::from_secs(5),
//!     measured: Duration::from_secs(5),
//!     ..Config::new(service, Policy::Fleet(Preference::FastDetection), 0.6, 1)
//! };
//! assert!(run(&config).detection.is_some());
//! ```

pub mod admission;
pub mod bound;
pub mod campaign;
pub mod command;
pub mod compare;
pub mod cost;
pub mod distribution;
mod event_queue;
pub mod fault;
pub mod matrix;
pub mod night;
pub mod outcome;

pub mod permit;
pub mod phi;
pub mod plot;
pub mod policy;
mod quantile;
pub mod repeats;
pub mod report;
pub mod sample;
pub mod scarcity;
pub mod service;
pub mod sim;
pub mod spread;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::fault::Fault;
    pub use crate::outcome::Outcome;
    pub use crate::policy::{Phase, Policy};
    pub use crate::service::{self, Service};
    pub use crate::sim::{Config, run};
}
