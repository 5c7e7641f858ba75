//! The settings file of a control instance for items.

use std::path::{Path, PathBuf};

use arbutuslane_limit::memory::BYTES_PER_MEGABYTE;
use arbutuslane_listen::budget::MIN_DESCRIPTORS;
use serde::Deserialize;

use crate::settings::{Error, parse_file, parse_text};

/// The settings of one control instance, in JSON; unknown keys are rejected.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance, unique in the fleet.
    pub name: String,
    /// The failure domain of this instance.
    #[serde(default)]
    pub domain: String,
    /// The folder of the log and the snapshots; no other process may use it.
    pub data: PathBuf,
    /// The IP address and port for operators, nodes and the other control instances.
    pub listen: String,
    /// The IP address and port under which others reach `listen`, if different from it.
    #[serde(default)]
    pub advertise: Option<String>,
    /// The addresses of instances to contact first; this one may be among them.
    pub seeds: Vec<String>,
    /// Whether the whole fleet starts for the first time, so that an empty disk has lost no items.
    #[serde(default)]
    pub first_start: bool,
    /// The number of instances that may lose their disks at the same time without losing an
    /// accepted change.
    pub lost_disks: usize,
    /// The file with the secret that the processes of the fleet share.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Accepts peers and operators without a token; only for a network that untrusted clients
    /// cannot reach.
    #[serde(default)]
    pub open_network: bool,
    /// An additional IP address and port that serves metrics.
    #[serde(default)]
    pub metrics: Option<String>,
    /// The memory that this process may use, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The most descriptors that this process may have open; what the system allows when absent.
    #[serde(default)]
    pub descriptors: Option<u32>,
    /// The file that the settings were read from; `None` for settings built in code.
    #[serde(skip)]
    pub path: Option<PathBuf>,
    /// The longest time in milliseconds that a planned stop waits for requests in flight.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
}

/// The least memory with which an instance works, in megabytes.
const MIN_MEMORY_MB: u32 = 64;

/// The part of the memory that holds request bodies: one in this many.
const BODY_MEMORY_DIVISOR: usize = 8;

/// The part of the memory that one request body may have: one in this many.
const MAX_BODY_DIVISOR: usize = 16;

fn default_stop_ms() -> u64 {
    5_000
}

fn default_memory_mb() -> u32 {
    256
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; the message names the bad key.
    pub fn load(path: &Path) -> Result<Self, Error> {
        Self::validated(parse_file(path)?, path)
    }

    /// Reads and checks `text`, which was read from the file at `path`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; the message names the bad key.
    pub(super) fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        Self::validated(parse_text(path, text)?, path)
    }

    fn validated(settings: Self, path: &Path) -> Result<Self, Error> {
        settings.check(&path.display().to_string())?;
        Ok(Self { path: Some(path.to_path_buf()), ..settings })
    }

    /// Returns the address under which others reach this instance.
    pub fn advertised(&self) -> &str {
        self.advertise.as_deref().unwrap_or(&self.listen)
    }

    /// Returns the number of bytes of request bodies that the instance may hold at a time.
    pub(super) fn body_bytes(&self) -> usize {
        self.memory_mb as usize * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR
    }

    /// Returns the largest request body in bytes. The items of a change need several times the
    /// bytes of their text.
    pub(super) fn max_body_bytes(&self) -> usize {
        self.memory_mb as usize * BYTES_PER_MEGABYTE / MAX_BODY_DIVISOR
    }

    /// Returns the seeds without the addresses of this instance.
    pub(super) fn other_seeds(&self) -> Vec<String> {
        let own = [self.listen.as_str(), self.advertised()];
        let others = self.seeds.iter().filter(|seed| !own.contains(&seed.as_str()));
        others.cloned().collect()
    }

    fn check(&self, path: &str) -> Result<(), Error> {
        let refuse =
            |key: &str, reason: &str, remedy: &str| Error::value(path, key, reason, remedy);
        if self.name.is_empty() {
            return Err(refuse("name", "empty", "give each instance a name of its own"));
        }
        if self.listen.parse::<std::net::SocketAddr>().is_err() {
            let remedy = "write an IP address and port, such as 192.0.2.1:7100";
            return Err(refuse("listen", "not an IP address and port", remedy));
        }
        let advertised = self.advertised();
        if advertised.parse::<std::net::SocketAddr>().is_err() {
            let remedy = "write an IP address and port, such as 192.0.2.1:7100";
            return Err(refuse("advertise", "not an IP address and port", remedy));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            let remedy = "state the megabytes that the process may use, at least 64";
            return Err(refuse("memory_mb", "too small", remedy));
        }
        if self.descriptors.is_some_and(|descriptors| descriptors < MIN_DESCRIPTORS) {
            let remedy = "let the process have at least 64 descriptors open";
            return Err(refuse("descriptors", "too few", remedy));
        }
        if self.token_file.is_none() && !self.open_network {
            let remedy = "name a file with a secret, or set `open_network` if untrusted clients \
                          cannot reach the network";
            return Err(refuse("token_file", "missing", remedy));
        }
        Ok(())
    }
}
