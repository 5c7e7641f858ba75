//! The fault script: the load and the timed steps of a scenario.

use std::path::{Path, PathBuf};

use arbutuslane_standin::backend::Faults;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The load of a scenario and its steps in order of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The seed of the callers and servers.
    pub seed: u64,
    /// The time in seconds during which callers send requests.
    pub seconds: u32,
    /// The requests per second of each caller process.
    pub rate: u32,
    /// The steps.
    pub steps: Vec<Step>,
}

/// An action at a point in time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds from the start of the load. A step that is still running delays the next one.
    pub at_s: u32,
    /// The action of the step.
    pub action: Action,
}

/// The action of a step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Sets the faults of a stand-in server.
    Faults {
        /// The server.
        server: String,
        /// The faults; omitted ones are switched off.
        set: Box<Faults>,
        /// Whether the fleet must eject the server before the next step that affects it.
        #[serde(default)]
        ejected: bool,
    },
    /// Switches off all faults of a server.
    Repair {
        /// The server.
        server: String,
    },
    /// Drains a server, which then leaves the fleet while its process continues.
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
    /// Sends a request that crashes its server, and resends it after each failure.
    CrashRequest {
        /// The host of the request.
        host: String,
        /// The path of the request.
        path: String,
        /// The number of times that the request is sent.
        times: u32,
    },
    /// Restarts all nodes and servers one after the other with planned stops.
    RollingRestart {},
}

/// An error while reading a script.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}")]
    #[diagnostic(help("check that the file exists and is readable"))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not a valid script.
    #[error("invalid fault script at {path}: {reason}")]
    #[diagnostic(help("correct the named key; examples/night holds a valid script"))]
    Format {
        /// The path of the invalid key.
        path: String,
        /// The reason why the key is invalid.
        reason: String,
    },
}

impl Script {
    /// Reads the script at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not a valid script.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.to_path_buf(), source })?;
        Self::parse(&text)
    }

    /// Parses a script.
    ///
    /// # Errors
    ///
    /// Returns an error that names the path of an unknown or invalid key, or of a step that is earlier
    /// than the one before it.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut source = serde_json::Deserializer::from_str(text);
        let script: Self = serde_path_to_error::deserialize(&mut source).map_err(|error| {
            Error::Format { path: error.path().to_string(), reason: error.inner().to_string() }
        })?;
        for (index, pair) in script.steps.windows(2).enumerate() {
            if pair[0].at_s > pair[1].at_s {
                let path = format!("steps[{}].at_s", index + 1);
                return Err(Error::Format {
                    path,
                    reason: "is earlier than the previous step".to_string(),
                });
            }
        }
        Ok(script)
    }

    /// Returns one line per step for the shell script, with tabs between its fields: the index, the
    /// second, the action and up to three arguments.
    pub fn lines(&self) -> String {
        let mut text = String::new();
        for (index, step) in self.steps.iter().enumerate() {
            let faults = |set: &Faults| serde_json::to_string(set).unwrap_or_default();
            let fields = match &step.action {
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
            text += &format!("{index}\t{}\t{}\n", step.at_s, fields.join("\t"));
        }
        text
    }
}
