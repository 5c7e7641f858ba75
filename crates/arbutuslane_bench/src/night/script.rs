//! The fault script: what goes wrong, where and when.

use std::path::{Path, PathBuf};

use arbutuslane_standin::backend::Faults;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A night: its load and its steps in order of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The seed of the callers and servers.
    pub seed: u64,
    /// How long callers send requests, in seconds.
    pub seconds: u32,
    /// Requests a second of each caller process.
    pub rate: u32,
    /// The steps.
    pub steps: Vec<Step>,
}

/// One step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds from the start of the load; a step that is still going on delays the next.
    pub at_s: u32,
    /// What is done.
    pub action: Action,
}

/// What a step does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Sets the faults of a stand-in server.
    Faults {
        /// The server.
        server: String,
        /// The faults; the ones left out are off.
        set: Box<Faults>,
        /// Whether the fleet has to eject the server before its next step.
        #[serde(default)]
        ejected: bool,
    },
    /// Switches all faults of a server off.
    Repair {
        /// The server.
        server: String,
    },
    /// Drains a server, which then leaves while its process goes on.
    Leave {
        /// The server.
        server: String,
    },
    /// Kills a node.
    KillNode {
        /// The node.
        node: String,
    },
    /// Starts a killed node again.
    StartNode {
        /// The node.
        node: String,
    },
    /// Kills the control instance that leads.
    KillLeader {},
    /// Starts the killed control instance again.
    StartControl {},
    /// Submits a change of the catalogue.
    Change {},
    /// Sends a request that crashes its server, and sends it again after each failure.
    CrashRequest {
        /// The host.
        host: String,
        /// The path.
        path: String,
        /// How often it is sent.
        times: u32,
    },
    /// Stops and starts all nodes and servers in turn by planned stops.
    RollingRestart {},
}

/// Why a script cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The file system refused.
    #[error("cannot read {path}")]
    #[diagnostic(help("check that the file exists and is readable"))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is no script.
    #[error("bad fault script at {path}: {reason}")]
    #[diagnostic(help("correct the named key; examples/night holds a valid script"))]
    Format {
        /// The path of the key.
        path: String,
        /// What is wrong.
        reason: String,
    },
}

impl Script {
    /// Reads the script at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is no script.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.to_path_buf(), source })?;
        Self::parse(&text)
    }

    /// Parses a script; an unknown key and steps out of order are errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the path of the bad key.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut source = serde_json::Deserializer::from_str(text);
        let script: Self = serde_path_to_error::deserialize(&mut source).map_err(|error| {
            Error::Format { path: error.path().to_string(), reason: error.inner().to_string() }
        })?;
        for (place, pair) in script.steps.windows(2).enumerate() {
            if pair[0].at_s > pair[1].at_s {
                let path = format!("steps[{}].at_s", place + 1);
                return Err(Error::Format { path, reason: "is before the last step".to_string() });
            }
        }
        Ok(script)
    }

    /// Returns one line per step for the shell: number, second, verb and up to three arguments,
    /// separated by tabs.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for (place, step) in self.steps.iter().enumerate() {
            let faults = |set: &Faults| serde_json::to_string(set).unwrap_or_default();
            let words = match &step.action {
                Action::Faults { server, set, .. } => {
                    vec!["faults".into(), server.clone(), faults(set)]
                }
                Action::Repair { server } => {
                    vec!["faults".into(), server.clone(), faults(&Faults::default())]
                }
                Action::Leave { server } => vec!["leave".into(), server.clone()],
                Action::KillNode { node } => vec!["kill-node".into(), node.clone()],
                Action::StartNode { node } => vec!["start-node".into(), node.clone()],
                Action::KillLeader {} => vec!["kill-leader".into()],
                Action::StartControl {} => vec!["start-control".into()],
                Action::Change {} => vec!["change".into()],
                Action::CrashRequest { host, path, times } => {
                    vec!["crash-request".into(), host.clone(), path.clone(), times.to_string()]
                }
                Action::RollingRestart {} => vec!["rolling-restart".into()],
            };
            text += &format!("{place}\t{}\t{}\n", step.at_s, words.join("\t"));
        }
        text
    }
}
