//! A backend server that announces itself, does timed work and misbehaves on request.
//!
//! Paths: `/download/<name>/<bytes>` sends deterministic bytes with a strong entity tag and honours
//! ranges; `/health` passes or fails with a lag; `/standin/faults` (POST) switches faults;
//! `/standin/runs` (GET) shows how often work ran by idempotency key; `/standin/drain` and
//! `/standin/leave` (POST) drain and leave; every other path is work.

mod announce;
mod download;
mod faults;
mod serve;
mod state;
mod work;

pub use faults::{Cut, Faults};
pub use serve::run;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The service that the server belongs to.
    pub service: String,
    /// The name of the server.
    pub server: String,
    /// Where the server takes requests; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The `admin` addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// The number of requests that run at a time.
    pub slots: u32,
    /// The number of requests that may wait for a slot before the server sheds load.
    pub queue: u32,
    /// The median of the service time.
    pub service_time: Duration,
    /// The standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// How long after its start the server is slower.
    pub cold_start: Duration,
    /// How much slower it is at first.
    pub cold_factor: f64,
    /// How far the health endpoint lags behind.
    pub health_lag: Duration,
    /// The seed of the service times and faults.
    pub seed: u64,
    /// The faults at the start.
    pub faults: Faults,
    /// The file that takes a record of each run.
    pub record: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: "slots".to_string(),
            server: "server-1".to_string(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            nodes: Vec::new(),
            slots: 5,
            queue: 5,
            service_time: Duration::from_millis(20),
            spread: 0.5,
            cold_start: Duration::ZERO,
            cold_factor: 4.0,
            health_lag: Duration::from_secs(5),
            seed: 1,
            faults: Faults::default(),
            record: None,
        }
    }
}
