//! Faults that can be switched on and off at run time.

use serde::{Deserialize, Serialize};

/// The faults of a stand-in backend server; all are off by default.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The share of work that fails with status 500 while the health endpoint passes.
    pub fail: f64,
    /// The factor of the service time.
    pub straggler: f64,
    /// How long in milliseconds the server works, and then fails all work, in turn; 0 turns this
    /// off.
    pub flap_ms: u64,
    /// Whether a request with the header `standin-crash` ends the process.
    pub crash_on_mark: bool,
    /// The milliseconds by which each response is delayed, regardless of its deadline.
    pub late_ms: u64,
    /// Whether the responses of concurrent requests are swapped.
    pub swap: bool,
    /// How response bodies are truncated.
    pub cut: Cut,
    /// Whether each response is followed by a second one.
    pub twice: bool,
    /// Whether requests are accepted but get no response.
    pub silent: bool,
    /// Whether the exchange id is left out of responses.
    pub no_echo: bool,
    /// Whether the health endpoint fails.
    pub unhealthy: bool,
}

/// How response bodies are truncated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cut {
    /// Bodies are complete.
    #[default]
    None,
    /// The head states the full length and the connection is closed halfway.
    Length,
    /// The body comes in chunks and the connection is closed cleanly before the last one.
    Clean,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail: 0.0,
            straggler: 1.0,
            flap_ms: 0,
            crash_on_mark: true,
            late_ms: 0,
            swap: false,
            cut: Cut::None,
            twice: false,
            silent: false,
            no_echo: false,
            unhealthy: false,
        }
    }
}
