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
        /// What the system reported.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    #[diagnostic(help("check that the folder exists and that you may write to it"))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A settings file is invalid.
    #[error("{}:{line}: {key}: {problem}", path.display())]
    #[diagnostic(help("correct the key; docs/settings.md lists all keys of the file"))]
    Settings {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The path of the key.
        key: String,
        /// What is wrong.
        problem: String,
    },
    /// A token file holds no token.
    #[error("{} holds no token", path.display())]
    #[diagnostic(help("write the operator token as the only line of the file"))]
    Token {
        /// The file.
        path: PathBuf,
    },
    /// A command needs settings that the file does not have.
    #[error("the settings name no {what}")]
    #[diagnostic(help("add the key {key:?} to the settings file"))]
    Missing {
        /// What is missing.
        what: &'static str,
        /// The key to add.
        key: &'static str,
    },
    /// A time cannot be understood.
    #[error("{text:?} is not a time")]
    #[diagnostic(help(
        "write a time such as 2026-12-03T22:00:00Z, or an age such as 90s, 30m, 8h"
    ))]
    Time {
        /// The argument.
        text: String,
    },
    /// No control instance gave a usable response.
    #[error("no control instance answered: {tried}")]
    #[diagnostic(help("check the addresses under \"controls\", then run the same command again"))]
    Unreachable {
        /// The addresses that were tried, each with its fault.
        tried: String,
    },
    /// A change was sent, and its outcome is not known.
    #[error("no control instance confirmed change {change_id}: {tried}")]
    #[diagnostic(help(
        "run the same command again; it repeats the change id, so the change is made once at most"
    ))]
    Unconfirmed {
        /// The id of the change.
        change_id: String,
        /// The addresses that were tried, each with its fault.
        tried: String,
    },
    /// The fleet refused the request.
    #[error("{address} refused the request: {problem}")]
    #[diagnostic(help("{remedy}"))]
    Refused {
        /// The control instance.
        address: String,
        /// What it said.
        problem: String,
        /// What to do about it.
        remedy: String,
    },
    /// A response cannot be understood.
    #[error("{address} sent an unexpected response: {problem}")]
    #[diagnostic(help("check that the address is right and that releases are compatible"))]
    Response {
        /// The instance.
        address: String,
        /// What is unexpected.
        problem: String,
    },
    /// The revision is not in the history.
    #[error("{address} has no catalogue of revision {revision}")]
    #[diagnostic(help("apply the catalogue file of that time from version control instead"))]
    NoRevision {
        /// The control instance.
        address: String,
        /// The revision asked for.
        revision: u64,
    },
}

impl Error {
    /// Returns the exit code for this error.
    pub fn code(&self) -> Code {
        match self {
            Self::Read { .. }
            | Self::Write { .. }
            | Self::Settings { .. }
            | Self::Token { .. }
            | Self::Missing { .. }
            | Self::Time { .. } => Code::Usage,
            Self::Unreachable { .. } | Self::Unconfirmed { .. } => Code::Unreachable,
            Self::Refused { .. } | Self::Response { .. } | Self::NoRevision { .. } => Code::Refused,
        }
    }
}
