//! Detects changes of a settings file, so that they are applied while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use serde_json::{Map, Value};
use signal_hook::consts::SIGHUP;

/// The interval at which the settings file is read again when no signal arrives.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Installs a handler that keeps SIGHUP from ending the process before it listens for signals.
///
/// The platform sends SIGHUP at any time when settings may have changed, also in the first
/// milliseconds after the start of the process, when the system's default action would end it.
pub fn install_sighup_handler() {
    let received = Arc::new(AtomicBool::new(false));
    if let Err(error) = signal_hook::flag::register(SIGHUP, received) {
        tracing::warn!(event = "signal-unhandled", %error);
    }
}

/// A settings file, with the text that was read last.
#[derive(Debug)]
pub struct WatchedFile {
    path: PathBuf,
    text: String,
}

/// A change of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsChange {
    /// The new text of the file.
    pub text: String,
    /// The top-level keys whose values differ; empty when either text is not a JSON object.
    pub keys: Vec<String>,
}

impl WatchedFile {
    /// Reads the file at `path`; a file that cannot be read counts as empty.
    pub fn new(path: PathBuf) -> Self {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        Self { path, text }
    }

    /// Reads the file again and returns its change since the last call, or `None` without a change.
    ///
    /// A file that cannot be read counts as unchanged, because it may be about to be replaced.
    pub fn poll_change(&mut self) -> Option<SettingsChange> {
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
        let keys = differing_keys(&self.text, &text);
        self.text.clone_from(&text);
        Some(SettingsChange { text, keys })
    }
}

impl SettingsChange {
    /// Logs which changed keys were applied and which take effect only after a restart.
    ///
    /// `reloadable` names the keys that can be applied without a restart.
    pub fn log_applied(&self, reloadable: &[&str]) {
        let is_reloadable = |key: &&String| reloadable.contains(&key.as_str());
        let applied: Vec<&str> =
            self.keys.iter().filter(is_reloadable).map(String::as_str).collect();
        let later = self.keys.iter().filter(|key| !is_reloadable(key));
        let later: Vec<&str> = later.map(String::as_str).collect();
        let (applied, later) = (applied.join(","), later.join(","));
        tracing::info!(event = "reload", applied, later);
    }
}

/// Logs that changed settings are invalid and that the previous ones stay in force.
pub fn log_rejected(error: &dyn std::error::Error) {
    tracing::warn!(event = "reload-refused", %error);
}

/// Returns the sorted top-level keys whose values differ between two JSON objects.
fn differing_keys(before: &str, after: &str) -> Vec<String> {
    let parse = |text: &str| serde_json::from_str::<Map<String, Value>>(text);
    let (Ok(before), Ok(after)) = (parse(before), parse(after)) else { return Vec::new() };
    let mut keys: Vec<String> = before.keys().chain(after.keys()).cloned().collect();
    keys.sort_unstable();
    keys.dedup();
    keys.retain(|key| before.get(key) != after.get(key));
    keys
}
