//! The settings of a node, read from a JSON file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use arbutuslane_limit::gate::Order;
use arbutuslane_limit::memory::BYTES_PER_MEGABYTE;
use arbutuslane_listen::budget::MIN_DESCRIPTORS;
use arbutuslane_wire::allowance::AllowanceSettings;
use serde::Deserialize;

use crate::experiment::Experiment;

/// The number of heartbeat intervals in a lease.
const LEASE_HEARTBEATS: u32 = 4;

/// How late a heartbeat may be after a delay in the network.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(2);

/// The part of the grace time in which a node closes its listeners and writes its last log lines.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// The part of the memory that holds request bodies: one in this many.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The part of the memory that holds responses whose readers are slow, beside the memory for bodies:
/// one in this many.
const UNREAD_MEMORY_DIVISOR: usize = 8;

/// What a response holds that waits for its reader: the buffers of both connections, the bytes
/// between them, and those that the system has received.
const UNREAD_RESPONSE_BYTES: usize = 160 << 10;

/// The part of the memory that holds messages of peers, servers and operators while they are
/// received: one in this many.
const MESSAGE_MEMORY_DIVISOR: usize = 16;

/// The settings of one node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the node, unique in the fleet.
    pub node: String,
    /// The failure domain that the node runs in.
    pub domain: String,
    /// The address of the listener for callers.
    pub callers: SocketAddr,
    /// The address of the listener for other nodes and control instances.
    pub peers: SocketAddr,
    /// The address of the listener for backend servers, operators and metrics.
    pub admin: SocketAddr,
    /// The address under which other nodes reach `peers`; `peers` itself when absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// A second address for the `admin` listener, where readiness checks use another address than
    /// servers.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// A further address for the `admin` listener, where metrics are collected from another
    /// address.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The file with the secret that processes of the fleet share.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Whether peers are accepted without a token, because outsiders cannot reach the network.
    #[serde(default)]
    pub open_network: bool,
    /// The service whose backend server runs beside this node and sends requests through it.
    #[serde(default)]
    pub origin_service: Option<String>,
    /// The time in milliseconds after the last renewal for which the lease of a server is valid,
    /// where `heartbeat_s` is not set.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// The time in seconds between two heartbeats of a server; the lease is derived from it where
    /// it is set.
    #[serde(default)]
    pub heartbeat_s: Option<f64>,
    /// Whether a stopping node withdraws its servers, because they cannot announce themselves to
    /// another node.
    #[serde(default)]
    pub withdraw_on_stop: bool,
    /// The source of the configuration.
    #[serde(default)]
    pub source: Source,
    /// The order in which requests start at the servers of this node.
    #[serde(default)]
    pub admission: Admission,
    /// The retry budget of the whole fleet.
    #[serde(default)]
    pub retry_budget: Option<Budget>,
    /// How exactly the allowances of workspaces are kept; without it, they are not limited.
    #[serde(default)]
    pub allowance: Option<AllowanceSettings>,
    /// The `peers` addresses of the nodes that a starting node contacts first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The `peers` addresses of control instances.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// The file that the settings were read from.
    #[serde(skip)]
    pub path: Option<PathBuf>,
    /// A file with a catalogue snapshot, for tests and fleets without control instances.
    #[serde(default)]
    pub catalogue_file: Option<PathBuf>,
    /// A file in which the node keeps what a restart must not undo: the known versions of
    /// workspaces, and the servers that left or drained.
    #[serde(default)]
    pub state_file: Option<PathBuf>,
    /// The number of traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// The seed of the random choice of servers, for tests; a random one when absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// The memory of the machine that this process may use, in megabytes. A quarter of it holds
    /// request bodies.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The most descriptors that this process may have open; what the system allows when absent.
    #[serde(default)]
    pub descriptors: Option<u32>,
    /// Whether responses are read from their servers into the memory for bodies while their readers
    /// are slow.
    #[serde(default)]
    pub buffer_responses: bool,
    /// The megabytes of request bodies that a server is given at a time; no bound when absent.
    #[serde(default)]
    pub server_body_mb: Option<u32>,
    /// The longest time in milliseconds that a planned stop waits for requests in flight, where
    /// `grace_s` is not set.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// The time in seconds from the signal to stop until the process is killed.
    #[serde(default)]
    pub grace_s: Option<f64>,
    /// What an experiment changes; never set in a fleet that serves users.
    #[serde(default)]
    pub experiment: Experiment,
}

/// The source of a node's configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The catalogue, which has one revision.
    #[default]
    Catalogue,
    /// Items, each of which has a version of its own.
    Items,
}

/// The order in which requests start at a server, and the rule by which some are refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// By rank and due time.
    #[default]
    Priority,
    /// By rank, and within a rank so that callers lose least.
    LeastCost,
}

impl From<Admission> for Order {
    fn from(admission: Admission) -> Self {
        match admission {
            Admission::Priority => Self::Priority,
            Admission::LeastCost => Self::LeastCost,
        }
    }
}

/// The limit on repeated requests to a service from the whole fleet: a share of first requests, and
/// a fixed number per window beyond the share.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The allowed repeats as a share of first requests.
    pub ratio: f64,
    /// The repeats per window that are allowed beyond the share.
    pub slack: f64,
    /// The length of the window in seconds.
    pub window_s: f64,
}

/// The reason why settings cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings file {path}: {source}")]
    #[diagnostic(help("check that the file exists and that this user may read it"))]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error that the operating system reported.
        source: std::io::Error,
    },
    /// The text does not describe settings.
    #[error("bad settings at {path}: {reason}")]
    #[diagnostic(help("correct the named key; the settings page lists the keys of a node"))]
    Parse {
        /// The path of the key.
        path: String,
        /// A description of the fault.
        reason: String,
    },
    /// A value is outside its range.
    #[error("bad settings: {key}: {reason}")]
    #[diagnostic(help("correct the value of the named key"))]
    Value {
        /// The path of the key.
        key: &'static str,
        /// A description of the fault.
        reason: &'static str,
    },
}

impl Settings {
    /// Reads settings from the file at `path`.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.to_path_buf(), source })?;
        Ok(Self { path: Some(path.to_path_buf()), ..Self::parse(&text)? })
    }

    /// Reads settings from JSON text; an unknown key is an error.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| Error::Parse {
                path: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        deserializer
            .end()
            .map_err(|error| Error::Parse { path: ".".to_string(), reason: error.to_string() })?;
        if settings.node.is_empty() {
            return Err(Error::Value { key: "node", reason: "must not be empty" });
        }
        if settings.token_file.is_none() && !settings.open_network {
            let reason = "name a file with a secret, or set `open_network` where strangers cannot \
                          reach the network";
            return Err(Error::Value { key: "token_file", reason });
        }
        for (key, value) in [("grace_s", settings.grace_s), ("heartbeat_s", settings.heartbeat_s)] {
            if value.is_some_and(|value| seconds(value).is_none_or(|time| time.is_zero())) {
                return Err(Error::Value { key, reason: "must be a positive number of seconds" });
            }
        }
        if let Some(Budget { ratio, slack, window_s }) = settings.retry_budget
            && !(ratio >= 0.0 && slack >= 0.0 && seconds(window_s).is_some_and(|t| !t.is_zero()))
        {
            let reason =
                "`ratio` and `slack` must not be negative, and `window_s` must be positive";
            return Err(Error::Value { key: "retry_budget", reason });
        }
        if let Some(Err(reason)) = settings.allowance.map(|allowance| allowance.check()) {
            return Err(Error::Value { key: "allowance", reason });
        }
        if settings.memory_mb == 0 {
            return Err(Error::Value { key: "memory_mb", reason: "must be at least 1" });
        }
        if settings.descriptors.is_some_and(|descriptors| descriptors < MIN_DESCRIPTORS) {
            return Err(Error::Value { key: "descriptors", reason: "must be at least 64" });
        }
        if settings.server_body_mb == Some(0) {
            return Err(Error::Value { key: "server_body_mb", reason: "must be at least 1" });
        }
        if settings.traffic_threads == 0 {
            return Err(Error::Value { key: "traffic_threads", reason: "must be at least 1" });
        }
        Ok(settings)
    }

    /// Returns the addresses of the seeds and control instances that gossip contacts first.
    pub(crate) fn gossip_seeds(&self) -> Vec<String> {
        let advertised = self.advertised();
        let addresses = self.seeds.iter().chain(&self.control);
        addresses.filter(|address| **address != advertised).map(ToString::to_string).collect()
    }

    /// Returns how long the lease of a server is valid after its last renewal.
    ///
    /// A lease outlasts several lost heartbeats and one that is late, since no other node can take
    /// over a server whose node is the only one that reaches it.
    pub(crate) fn lease(&self) -> Duration {
        self.heartbeat_s
            .and_then(seconds)
            .map_or(Duration::from_millis(self.lease_ms), |interval| {
                interval * LEASE_HEARTBEATS + MAX_HEARTBEAT_DELAY
            })
    }

    /// Returns how long a planned stop waits for requests in flight.
    pub(crate) fn stop_limit(&self) -> Duration {
        let grace = self.grace_s.and_then(seconds);
        grace.map_or(Duration::from_millis(self.stop_ms), |grace| grace.saturating_sub(STOP_MARGIN))
    }

    /// Returns the number of bytes of request bodies that the node may hold.
    ///
    /// A body that is sent on is copied into the buffers of its connection, and bytes that the
    /// system has received but this process has not read count as well, so that a quarter of the
    /// memory for bodies leaves as much for those and half for all else.
    pub(crate) fn body_bytes(&self) -> usize {
        (self.memory_mb as usize) * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR
    }

    /// Returns the most responses that may wait for their readers at a time.
    pub(crate) fn max_unread_responses(&self) -> usize {
        let memory = (self.memory_mb as usize) * BYTES_PER_MEGABYTE / UNREAD_MEMORY_DIVISOR;
        (memory / UNREAD_RESPONSE_BYTES).max(1)
    }

    /// Returns the number of bytes of messages to the node itself that it may receive at a time.
    pub(crate) fn message_bytes(&self) -> usize {
        (self.memory_mb as usize) * BYTES_PER_MEGABYTE / MESSAGE_MEMORY_DIVISOR
    }

    /// Returns the number of bytes of request bodies that a server is given at a time.
    pub(crate) fn server_body_bytes(&self) -> Option<u64> {
        self.server_body_mb.map(|megabytes| u64::from(megabytes) * BYTES_PER_MEGABYTE as u64)
    }

    /// Returns the address under which other nodes reach this one.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers)
    }
}

/// Returns a setting in seconds, or `None` if it is no time.
fn seconds(value: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(value).ok()
}

fn default_traffic_threads() -> usize {
    2
}

fn default_lease_ms() -> u64 {
    2_500
}

fn default_memory_mb() -> u32 {
    256
}

fn default_stop_ms() -> u64 {
    60_000
}

#[cfg(test)]
mod tests;
