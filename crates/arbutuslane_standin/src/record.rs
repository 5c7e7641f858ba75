//! Records of attempts and runs, one line of JSON each, from which a scenario counts.
//!
//! ```
//! use arbutuslane_standin::record::Run;
//!
//! let run = Run { at_ms: 1, request: "7-1".to_string(), key: None };
//! assert_eq!(serde_json::from_str::<Run>(&serde_json::to_string(&run).unwrap()).unwrap(), run);
//! ```

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// One attempt of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When it was sent, in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// How long it took in milliseconds.
    pub took_ms: u64,
    /// `lookup`, `booking` or `download`.
    pub kind: String,
    /// The name of the attempt; a resend appends `~` and its number.
    pub request: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The address of the node.
    pub node: String,
    /// The stated outcome, or what the caller saw instead of a response.
    pub ending: String,
    /// The status, or 0 without a response.
    pub status: u16,
    /// How an answered response fits its request.
    pub fit: Fit,
    /// The beginning of the body of a response that is no answer of a server.
    #[serde(default)]
    pub note: String,
}

/// How a response fits its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fit {
    /// It is the complete response, or no response that can be checked.
    Own,
    /// Its body ends early although it was presented as complete.
    Truncated,
    /// It belongs to another request or has wrong bytes.
    Foreign,
}

/// One run of work at a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// When the request arrived, in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// The name of the attempt.
    pub request: String,
    /// The idempotency key.
    pub key: Option<String>,
}

/// A file of records.
#[derive(Debug)]
pub struct Writer(Mutex<File>);

impl Writer {
    /// Opens the file at `path`; records of an earlier process stay.
    pub fn open(path: &Path) -> io::Result<Self> {
        OpenOptions::new().create(true).append(true).open(path).map(|file| Self(Mutex::new(file)))
    }

    /// Writes one record at once, so that it survives the end of the process.
    pub fn write(&self, record: &impl Serialize) {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        let written =
            self.0.lock().unwrap_or_else(PoisonError::into_inner).write_all(line.as_bytes());
        if let Err(error) = written {
            // A missing record would hide a run, so the stand-in does not go on without it.
            tracing::error!(event = "record-lost", %error);
            std::process::exit(4);
        }
    }
}

/// Returns the milliseconds since 1970-01-01 UTC.
pub fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the name that all attempts of a request share.
pub fn base(request: &str) -> &str {
    request.split('~').next().unwrap_or(request)
}
