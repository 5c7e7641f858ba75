//! Errors of the command line.

use std::path::PathBuf;

use miette::Diagnostic;

use crate::exit::Code;

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    #[diagnostic(help("check the path and that you may read the file"))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    #[diagnostic(help("check that the folder exists and that you may write to it"))]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A settings file is invalid.
    #[error("{}:{line}: {key}: {problem}", path.display())]
    #[diagnostic(help("correct the key; docs/settings.md lists all keys of the file"))]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The path of the key.
        key: String,
        /// A description of the problem.
        problem: String,
    },
    /// A token file is empty, or its text contains whitespace.
    #[error("{} contains no valid token", path.display())]
    #[diagnostic(help("write the operator token as the only line of the file"))]
    InvalidToken {
        /// The file.
        path: PathBuf,
    },
    /// A command needs settings that the file does not have.
    #[error("the settings name no {name}")]
    #[diagnostic(help("add the key {key:?} to the settings file"))]
    MissingSetting {
        /// The name of the missing setting.
        name: &'static str,
        /// The key to add.
        key: &'static str,
    },
    /// An argument is not a valid time.
    #[error("{text:?} is not a time")]
    #[diagnostic(help(
        "write a time such as 2026-12-03T22:00:00Z, or an age such as 90s, 30m, 8h"
    ))]
    InvalidTime {
        /// The argument.
        text: String,
    },
    /// The last line of a log is cut.
    #[error("{}:{line}: the log ends within a line", path.display())]
    #[diagnostic(help("copy the log again after its process wrote the line, or remove the line"))]
    CutLog {
        /// The log.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
    },
    /// The times of an instance step back.
    #[error("{}:{line}: instance {instance} wrote later lines before this one", path.display())]
    #[diagnostic(help("pass the logs of one run only, those of each instance in order of time"))]
    DisorderedLog {
        /// The log.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The instance that wrote the line.
        instance: String,
    },
    /// Logs name no request.
    #[error("the logs name no request of a caller")]
    #[diagnostic(help("pass the logs of nodes, written at level info"))]
    NoRequests,
    /// No control instance sent a usable response.
    #[error("no control instance answered: {attempts}")]
    #[diagnostic(help("check the addresses under \"controls\", then run the same command again"))]
    Unreachable {
        /// The addresses that were tried, each with its error.
        attempts: String,
    },
    /// A change was sent, but its outcome is unknown.
    #[error("no control instance confirmed change {change_id}: {attempts}")]
    #[diagnostic(help(
        "run the same command again; it repeats the change id, so the change is made once at most"
    ))]
    Unconfirmed {
        /// The id of the change.
        change_id: String,
        /// The addresses that were tried, each with its error.
        attempts: String,
    },
    /// The fleet refused the request.
    #[error("{address} refused the request: {problem}")]
    #[diagnostic(help("{remedy}"))]
    Refused {
        /// The control instance.
        address: String,
        /// The reason that it gave.
        problem: String,
        /// How to resolve the problem.
        remedy: String,
    },
    /// A response has an unexpected format or content.
    #[error("{address} sent an unexpected response: {problem}")]
    #[diagnostic(help("check that the address is right and that releases are compatible"))]
    UnexpectedResponse {
        /// The instance.
        address: String,
        /// A description of the unexpected part.
        problem: String,
    },
    /// A control instance does not have the requested revision.
    #[error("{address} has no catalogue of revision {revision}")]
    #[diagnostic(help("apply the catalogue file of that time from version control instead"))]
    NoRevision {
        /// The control instance.
        address: String,
        /// The requested revision.
        revision: u64,
    },
}

impl Error {
    /// Returns the exit code for this error.
    pub fn code(&self) -> Code {
        match self {
            Self::Read { .. }
            | Self::Write { .. }
            | Self::InvalidSettings { .. }
            | Self::InvalidToken { .. }
            | Self::MissingSetting { .. }
            | Self::InvalidTime { .. }
            | Self::CutLog { .. }
            | Self::DisorderedLog { .. }
            | Self::NoRequests => Code::Usage,
            Self::Unreachable { .. } | Self::Unconfirmed { .. } => Code::Unreachable,
            Self::Refused { .. } | Self::UnexpectedResponse { .. } | Self::NoRevision { .. } => {
                Code::Refused
            }
        }
    }
}
