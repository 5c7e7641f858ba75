//! What a run left behind, read from its folder.

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

/// What a run left behind.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The steps as they were carried out.
    pub marks: Vec<Mark>,
    /// The attempts of all callers.
    pub attempts: Vec<Attempt>,
    /// The runs of all servers, each with its server.
    pub runs: Vec<(String, Run)>,
    /// The events of all instances.
    pub events: Vec<Event>,
    /// The statuses of nodes, sampled once a second.
    pub samples: Vec<Sample>,
    /// The changes that were acknowledged.
    pub changes: Vec<Change>,
    /// The history of each control instance at the end.
    pub histories: Vec<History>,
    /// The floor of each service.
    pub floors: BTreeMap<String, u32>,
}

/// One step as it was carried out.
#[derive(Debug, Clone, Deserialize)]
pub struct Mark {
    /// The number of the step in the script.
    pub step: usize,
    /// When it began, in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// When it ended.
    pub end_ms: u64,
}

/// The status of one node at one time.
#[derive(Debug, Clone, Deserialize)]
pub struct Sample {
    /// When it was asked, in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// Its response.
    pub status: Status,
}

/// The part of a node's status that is counted; no field has a default, so that a status of
/// another form is an error and not an empty fleet.
#[derive(Debug, Clone, Deserialize)]
pub struct Status {
    /// The servers that the node owns.
    pub servers: Vec<Server>,
}

/// One server in the status of its owner.
#[derive(Debug, Clone, Deserialize)]
pub struct Server {
    /// Its service.
    pub service: String,
    /// Its incarnation, which is the time of its announcement in milliseconds.
    pub incarnation: u64,
    /// Whether its lease holds.
    pub leased: bool,
    /// Whether it drains.
    pub draining: bool,
    /// Whether it is ejected.
    pub ejected: bool,
}

/// A change of the catalogue that was acknowledged.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    /// The id of the change.
    pub change_id: String,
    /// The revision that the fleet stated.
    pub revision: u64,
}

/// Why the evidence cannot be read.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The file system refused.
    #[error("cannot read {path}")]
    #[diagnostic(help("name the folder that tools/night.sh kept"))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is not a record of its file.
    #[error("{path}, line {line}: {source}")]
    #[diagnostic(help("the run was cut off; run it again"))]
    Line {
        /// The file.
        path: PathBuf,
        /// The number of the line.
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
    /// Returns an error when a file is missing or malformed: a count over partial evidence would
    /// look better than the run was.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let mut evidence = Self {
            marks: lines(&folder.join("marks.jsonl"))?,
            events: lines(&folder.join("events.jsonl"))?,
            samples: lines(&folder.join("status.jsonl"))?,
            changes: lines(&folder.join("changes.jsonl"))?,
            ..Self::default()
        };
        for path in paths(&folder.join("catalogue"))? {
            for file in lines_of::<File>(&path, &read(&path)?.replace('\n', " "))? {
                for entry in file.entries {
                    evidence.floors.insert(entry.service, entry.floor);
                }
            }
        }
        for path in paths(folder)? {
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let Some(name) = name.strip_suffix(".jsonl") else { continue };
            if name.starts_with("attempts-") {
                evidence.attempts.extend(lines::<Attempt>(&path)?);
            } else if let Some(server) = name.strip_prefix("runs-") {
                let runs = lines::<Run>(&path)?.into_iter();
                evidence.runs.extend(runs.map(|run| (server.to_string(), run)));
            } else if name.starts_with("history-") {
                evidence.histories.extend(lines::<History>(&path)?);
            }
        }
        Ok(evidence)
    }

    /// Returns when step `step` was carried out.
    pub fn mark(&self, step: usize) -> Option<&Mark> {
        self.marks.iter().find(|mark| mark.step == step)
    }

    /// Returns when the first request was sent.
    pub fn start_ms(&self) -> u64 {
        self.attempts.iter().map(|attempt| attempt.at_ms).min().unwrap_or(0)
    }
}

fn lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, Error> {
    lines_of(path, &read(path)?)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_path_buf(), source })
}

fn paths(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let failed = |source: std::io::Error| Error::File { path: folder.to_path_buf(), source };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(failed)? {
        paths.push(entry.map_err(failed)?.path());
    }
    paths.sort_unstable();
    Ok(paths)
}

fn lines_of<T: DeserializeOwned>(path: &Path, text: &str) -> Result<Vec<T>, Error> {
    let mut records = Vec::new();
    for (place, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line).map_err(|source| Error::Line {
            path: path.to_path_buf(),
            line: place + 1,
            source,
        })?;
        records.push(record);
    }
    Ok(records)
}
