//! Storage errors, each with its remedy.

use std::io;

/// A failure to read or write the data folder.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// Synced data is unreadable; truncating the file there would lose acknowledged entries.
    #[error("{file} is corrupt at byte {offset}: {reason}")]
    #[diagnostic(
        code(storage::corrupt),
        help(
            "start this replica with --rebuild while the other replicas run; it sets its damaged \
             files aside and copies the state from the other replicas"
        )
    )]
    Corrupt {
        /// The file's name in the data folder.
        file: String,
        /// The position of the first unreadable byte.
        offset: u64,
        /// What is wrong at that position.
        reason: String,
    },
    /// A release with another format wrote the folder.
    #[error("{file} has format version {found}; this release reads version {supported}")]
    #[diagnostic(
        code(storage::version),
        help("run the release that wrote the folder, or start this replica with --rebuild")
    )]
    Version {
        /// The file's name in the data folder.
        file: String,
        /// The format version in the file.
        found: u32,
        /// The format version that this release reads and writes.
        supported: u32,
    },
    /// A file operation failed. After a failed write or sync the log rejects all later writes.
    #[error("cannot {operation} {file}: {source}")]
    #[diagnostic(
        code(storage::io),
        help("check the disk and the folder's permissions, then restart this replica")
    )]
    Io {
        /// The operation that failed, as a verb.
        operation: &'static str,
        /// The file's name in the data folder.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the state of the file is unknown.
    #[error("the log stopped after a failed write or sync")]
    #[diagnostic(
        code(storage::stopped),
        help("check the disk, then restart this replica; it keeps what was synced")
    )]
    Stopped,
}

impl Error {
    pub(crate) fn io(operation: &'static str, file: &str, source: io::Error) -> Self {
        Self::Io { operation, file: file.to_string(), source }
    }

    /// Returns whether the operation failed because the disk is full.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io { source, .. } if source.kind() == io::ErrorKind::StorageFull)
    }

    pub(crate) fn corrupt(file: &str, offset: usize, reason: impl Into<String>) -> Self {
        Self::Corrupt { file: file.to_string(), offset: offset as u64, reason: reason.into() }
    }
}
