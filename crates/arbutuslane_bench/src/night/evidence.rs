//! The records of a run, read from its folder.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use arbutuslane_catalogue::border::File;
use arbutuslane_event::border::Event;
use arbutuslane_standin::record::{Attempt, Run};
use arbutuslane_wire::operator::History;
use miette::Diagnostic;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The records that the processes of a run wrote.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The times at which the steps were executed.
    pub marks: Vec<Mark>,
    /// The attempts of all callers.
    pub attempts: Vec<Attempt>,
    /// The requests that servers ran, each with the name of its server.
    pub runs: Vec<(String, Run)>,
    /// The events of all instances.
    pub events: Vec<Event>,
    /// The statuses of nodes, sampled once a second.
    pub samples: Vec<Sample>,
    /// The changes of the catalogue that were acknowledged.
    pub changes: Vec<Change>,
    /// The history of each control instance at the end of the run.
    pub histories: Vec<History>,
    /// The capacity floor of each service.
    pub floors: BTreeMap<String, u32>,
}

/// The time at which one step was executed.
#[derive(Debug, Clone, Deserialize)]
pub struct Mark {
    /// The index of the step in the script.
    pub step: usize,
    /// The start, in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// The end, in milliseconds since 1970-01-01 UTC.
    pub end_ms: u64,
}

/// The status of one node at one time.
#[derive(Debug, Clone, Deserialize)]
pub struct Sample {
    /// The time of the request for the status, in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// The status in the response.
    pub status: Status,
}

/// The part of a node's status that the counts use. No field has a default, so that a status in
/// another format is an error and does not read as an empty fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct Status {
    /// The servers that the node owns.
    pub servers: Vec<Server>,
}

/// One server in the status of its owner.
#[derive(Debug, Clone, Deserialize)]
pub struct Server {
    /// The name of the service.
    pub service: String,
    /// The incarnation, which is the time of the announcement in milliseconds since 1970-01-01 UTC.
    pub incarnation: u64,
    /// Whether the lease of the server is valid.
    pub leased: bool,
    /// Whether the server is draining.
    pub draining: bool,
    /// Whether the server is ejected.
    pub ejected: bool,
}

/// A change of the catalogue that was acknowledged.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    /// The id of the change.
    pub change_id: String,
    /// The revision that the acknowledgement stated.
    pub revision: u64,
}

/// An error while reading the records of a run.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The file or folder cannot be read.
    #[error("cannot read {path}")]
    #[diagnostic(help("pass the folder in which tools/night.sh kept the records of the run"))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is not a valid record for its file.
    #[error("{path}, line {line}: {source}")]
    #[diagnostic(help("the run ended before the line was complete; run it again"))]
    Line {
        /// The file.
        path: PathBuf,
        /// The line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
}

impl Evidence {
    /// Reads the folder of a run.
    ///
    /// # Errors
    ///
    /// Returns an error when a file is missing or malformed, because partial records would hide
    /// failures from the counts.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let mut evidence = Self {
            marks: read_lines(&folder.join("marks.jsonl"))?,
            events: read_lines(&folder.join("events.jsonl"))?,
            samples: read_lines(&folder.join("status.jsonl"))?,
            changes: read_lines(&folder.join("changes.jsonl"))?,
            ..Self::default()
        };
        for path in sorted_paths(&folder.join("catalogue"))? {
            for file in parse_lines::<File>(&path, &read(&path)?.replace('\n', " "))? {
                for entry in file.entries {
                    evidence.floors.insert(entry.service, entry.floor);
                }
            }
        }
        for path in sorted_paths(folder)? {
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let Some(name) = name.strip_suffix(".jsonl") else { continue };
            if name.starts_with("attempts-") {
                evidence.attempts.extend(read_lines::<Attempt>(&path)?);
            } else if let Some(server) = name.strip_prefix("runs-") {
                let runs = read_lines::<Run>(&path)?.into_iter();
                evidence.runs.extend(runs.map(|run| (server.to_string(), run)));
            } else if name.starts_with("history-") {
                evidence.histories.extend(read_lines::<History>(&path)?);
            }
        }
        Ok(evidence)
    }

    /// Returns when the step with index `step` was executed, or `None` if it was not.
    pub fn mark(&self, step: usize) -> Option<&Mark> {
        self.marks.iter().find(|mark| mark.step == step)
    }

    /// Returns the time of the first attempt, in milliseconds since 1970-01-01 UTC.
    pub fn start_ms(&self) -> u64 {
        self.attempts.iter().map(|attempt| attempt.at_ms).min().unwrap_or(0)
    }
}

fn read_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, Error> {
    parse_lines(path, &read(path)?)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_path_buf(), source })
}

/// Returns the sorted paths in a folder.
fn sorted_paths(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let to_error = |source: std::io::Error| Error::File { path: folder.to_path_buf(), source };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(to_error)? {
        paths.push(entry.map_err(to_error)?.path());
    }
    paths.sort_unstable();
    Ok(paths)
}

fn parse_lines<T: DeserializeOwned>(path: &Path, text: &str) -> Result<Vec<T>, Error> {
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line).map_err(|source| Error::Line {
            path: path.to_path_buf(),
            line: index + 1,
            source,
        })?;
        records.push(record);
    }
    Ok(records)
}
