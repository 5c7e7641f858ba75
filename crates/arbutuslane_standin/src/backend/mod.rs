//! A backend server that announces itself, runs work for a given time and injects faults on
//! request.
//!
//! Paths: `/download/<name>/<bytes>` sends deterministic bytes with a strong entity tag and honours
//! ranges; `/health` reports health with a lag; `/standin/faults` (POST) replaces the active
//! faults; `/standin/runs` (GET) returns how often work ran by idempotency key; `/standin/drain`
//! and `/standin/leave` (POST) drain the server and make it leave; every other path runs work.

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
    /// The address on which the server listens; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The admin addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// The number of requests that run at a time.
    pub slots: u32,
    /// The number of requests that may wait for a slot before the server sheds load.
    pub queue: u32,
    /// The median of the service time.
    pub service_time: Duration,
    /// The standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// How long after its start the server is slow.
    pub cold_start: Duration,
    /// The factor of the service time right after the start; it falls to 1 during `cold_start`.
    pub cold_factor: f64,
    /// How long after a change the health endpoint reports it.
    pub health_lag: Duration,
    /// The seed of the service times and faults.
    pub seed: u64,
    /// The faults that are active at the start.
    pub faults: Faults,
    /// The file to which a record of each run is appended.
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
