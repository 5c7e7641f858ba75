//! A settings file whose changes are taken over while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use serde_json::{Map, Value};
use signal_hook::consts::SIGHUP;

/// How often the file is read again without a signal.
pub const EVERY: Duration = Duration::from_secs(1);

/// Keeps SIGHUP from ending the process before it listens for signals.
///
/// The platform tells a process that its settings may have changed at any time, also in the first
/// milliseconds after its start, when the system's default would end it.
pub fn outlive_hangup() {
    let told = Arc::new(AtomicBool::new(false));
    if let Err(error) = signal_hook::flag::register(SIGHUP, told) {
        tracing::warn!(event = "signal-unhandled", %error);
    }
}

/// A settings file and the text that was read last.
#[derive(Debug)]
pub struct Watched {
    path: PathBuf,
    text: String,
}

/// A change of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The new text.
    pub text: String,
    /// The keys whose values differ; none when either text is not an object in JSON.
    pub keys: Vec<String>,
}

impl Watched {
    /// Returns the file at `path` with its present text.
    pub fn new(path: PathBuf) -> Self {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        Self { path, text }
    }

    /// Returns what has changed since the last call.
    ///
    /// A file that cannot be read is taken for unchanged: it may be about to be replaced.
    pub fn changed(&mut self) -> Option<Change> {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                tracing::debug!(event = "settings-unreadable", %error);
                return None;
            }
        };
        if text == self.text {
            return None;
        }
        let keys = differing(&self.text, &text);
        self.text.clone_from(&text);
        Some(Change { text, keys })
    }
}

impl Change {
    /// Logs that the keys in `live` were taken over, and which others a restart takes over.
    pub fn record_applied(&self, live: &[&str]) {
        let is_live = |key: &&String| live.contains(&key.as_str());
        let applied: Vec<&str> = self.keys.iter().filter(is_live).map(String::as_str).collect();
        let later = self.keys.iter().filter(|key| !is_live(key));
        let later: Vec<&str> = later.map(String::as_str).collect();
        let (applied, later) = (applied.join(","), later.join(","));
        tracing::info!(event = "reload", applied, later);
    }
}

/// Logs that changed settings are invalid, so that the earlier ones stay in force.
pub fn record_refused(error: &dyn std::error::Error) {
    tracing::warn!(event = "reload-refused", %error);
}

fn differing(before: &str, after: &str) -> Vec<String> {
    let read = |text: &str| serde_json::from_str::<Map<String, Value>>(text);
    let (Ok(before), Ok(after)) = (read(before), read(after)) else { return Vec::new() };
    let mut keys: Vec<String> = before.keys().chain(after.keys()).cloned().collect();
    keys.sort_unstable();
    keys.dedup();
    keys.retain(|key| before.get(key) != after.get(key));
    keys
}
