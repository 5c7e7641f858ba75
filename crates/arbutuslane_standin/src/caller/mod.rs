//! A caller that sends a bounded open-loop load and checks every response against its request.

mod exchange;
mod load;
mod summary;

pub use load::{Error, run};
pub use summary::{Latency, Summary};

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a stand-in caller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The `callers` addresses of nodes, used in turn.
    pub nodes: Vec<SocketAddr>,
    /// The host that requests name; the node's address when absent.
    pub host: Option<String>,
    /// Requests a second, with exponential gaps.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The most requests in flight; an arrival above it is counted as dropped.
    pub in_flight: usize,
    /// The weight and path of lookups.
    pub lookups: Kind,
    /// The weight and path of bookings; each carries an idempotency key.
    pub bookings: Kind,
    /// The weight and path of downloads.
    pub downloads: Kind,
    /// The bytes of each download.
    pub download_bytes: u64,
    /// The deadline that requests state and after which a response is given up.
    pub deadline: Duration,
    /// The seed of arrivals, classes and keys.
    pub seed: u64,
    /// How often a booking without a response is sent again under its key through the next node,
    /// and how often a request that found no connection goes to the next node.
    pub resends: u32,
    /// The file that takes a record of each attempt.
    pub record: Option<PathBuf>,
}

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// The share of this kind among all requests, relative to the other kinds.
    pub weight: f64,
    /// The path of its requests.
    pub path: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            host: None,
            rate: 100.0,
            duration: Duration::from_secs(10),
            in_flight: 512,
            lookups: Kind { weight: 8.0, path: "/slots".to_string() },
            bookings: Kind { weight: 2.0, path: "/bookings".to_string() },
            downloads: Kind { weight: 0.0, path: "/download".to_string() },
            download_bytes: 1 << 20,
            deadline: Duration::from_secs(5),
            seed: 1,
            resends: 0,
            record: None,
        }
    }
}
