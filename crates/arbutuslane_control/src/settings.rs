//! The settings file of the daemon.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;

use arbutuslane_wire::operator::Address;

/// The settings of one control instance, in JSON; unknown keys are rejected.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance, one of `members`.
    pub name: String,
    /// The folder of the log and the snapshots; no other process may use it.
    pub data: PathBuf,
    /// The IP address and port of the operator API.
    pub operators: String,
    /// The IP address and port for the other control instances and for nodes.
    pub peers: String,
    /// The control instances that form the fleet's first control group, this one included. Later
    /// changes go through the operator API and are stored in the log.
    pub members: Vec<Address>,
    /// The file with the operators' tokens: one `name token` per line.
    pub operator_tokens: PathBuf,
    /// The file with the secret that the processes of the fleet share.
    pub peer_token: PathBuf,
    /// The file with the secret that only the control instances share. With `peer_token`, which
    /// nodes hold too, a node could send consensus messages and so change the replicated state.
    pub control_token: PathBuf,
    /// The failure domain of this instance.
    #[serde(default)]
    pub domain: String,
    /// The minimum number of nodes for which register groups are formed. A group grows to 5 members
    /// when nodes join, by one member per epoch.
    #[serde(default = "default_register_nodes")]
    pub register_nodes: usize,
    /// The number of shards of the quorum registers.
    #[serde(default = "default_shards")]
    pub shards: u32,
}

fn default_register_nodes() -> usize {
    3
}

fn default_shards() -> u32 {
    64
}

/// Settings that cannot be read or are invalid.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    #[diagnostic(code(settings::read), help("pass the path of a readable JSON file"))]
    Read {
        /// The path of the file.
        path: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The file is not a valid settings object.
    #[error("{path}: at `{key}`: {reason}")]
    #[diagnostic(code(settings::parse), help("correct or remove the key; README lists all keys"))]
    Parse {
        /// The path of the file.
        path: String,
        /// The path of the bad key in the file.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A value is invalid or contradicts another one.
    #[error("{path}: at `{key}`: {reason}")]
    #[diagnostic(code(settings::value), help("{remedy}"))]
    Value {
        /// The path of the file.
        path: String,
        /// The path of the bad key in the file.
        key: String,
        /// What is wrong with it.
        reason: String,
        /// How to correct it.
        remedy: String,
    },
}

impl Error {
    /// Returns the error about the value of `key` in the file at `path`.
    pub(crate) fn value(path: &str, key: &str, reason: &str, remedy: &str) -> Self {
        Self::Value {
            path: path.to_string(),
            key: key.to_string(),
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        }
    }
}

/// Reads a JSON file; the error names the path of an invalid key.
pub(crate) fn parse_file<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let display_path = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: display_path, source })?;
    parse_text(path, &text)
}

/// Parses the text of the JSON file at `path`, as [`parse_file`] does.
pub(crate) fn parse_text<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let mut input = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut input).map_err(|error| Error::Parse {
        path: path.display().to_string(),
        key: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = parse_file(path)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    fn check(&self, path: &str) -> Result<(), Error> {
        let refuse =
            |key: &str, reason: &str, remedy: &str| Error::value(path, key, reason, remedy);
        let mut names: Vec<&String> = self.members.iter().map(|member| &member.name).collect();
        names.sort_unstable();
        names.dedup();
        if names.len() != self.members.len() {
            let reason = "two members have the same name";
            return Err(refuse("members", reason, "give each instance a name of its own"));
        }
        if self.control_token == self.peer_token {
            let reason = "the same file as `peer_token`, which all nodes hold";
            let remedy = "give the control instances a token file of their own";
            return Err(refuse("control_token", reason, remedy));
        }
        if self.shards == 0 {
            return Err(refuse("shards", "must not be 0", "use 64, or 4096 in a large fleet"));
        }
        for (key, address) in [("operators", &self.operators), ("peers", &self.peers)] {
            if address.parse::<std::net::SocketAddr>().is_err() {
                let reason = format!("`{address}` is not an IP address and port");
                return Err(refuse(key, &reason, "write it as 192.0.2.1:7100"));
            }
        }
        Ok(())
    }
}
