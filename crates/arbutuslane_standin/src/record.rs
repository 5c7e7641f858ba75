//! Records of attempts and runs, one line of JSON each, from which test scenarios derive their
//! counts.
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
    /// The time until its end in milliseconds.
    pub took_ms: u64,
    /// `lookup`, `booking` or `download`.
    pub kind: String,
    /// The name of the attempt; a resend appends `~` and its number.
    pub request: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The address of the node.
    pub node: String,
    /// The stated outcome, or the name of the failure when no complete response arrived.
    pub ending: String,
    /// The status code, or 0 without a complete response.
    pub status: u16,
    /// Whether the response belongs to the request and is complete.
    pub fit: Fit,
    /// The start of the body of a response that does not come from a server.
    #[serde(default)]
    pub note: String,
}

/// The result of comparing a response with its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fit {
    /// It is the complete response to the request, or not a response that can be checked.
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
    /// Opens the file at `path` for appending, so that records of an earlier process stay.
    pub fn open(path: &Path) -> io::Result<Self> {
        OpenOptions::new().create(true).append(true).open(path).map(|file| Self(Mutex::new(file)))
    }

    /// Writes one record without buffering, so that it survives a crash of the process.
    pub fn write(&self, record: &impl Serialize) {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        let result =
            self.0.lock().unwrap_or_else(PoisonError::into_inner).write_all(line.as_bytes());
        if let Err(error) = result {
            // A missing record would hide a run, so the process exits when a write fails.
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
