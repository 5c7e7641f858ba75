//! The settings file of the command line.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::locate;

/// The settings file that is read when neither the argument nor the environment variable is set.
pub const DEFAULT_FILE: &str = "arbutuslane.json";

/// The addresses of the fleet and the identity of the operator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The `operators` listeners of the control instances, as `ip:port`.
    pub controls: Vec<String>,
    /// The `admin` listeners of nodes that the control instances may not list, as `ip:port`.
    pub nodes: Vec<String>,
    /// The file that contains the operator token.
    pub token_file: Option<PathBuf>,
    /// The name under which changes are made.
    pub author: Option<String>,
    /// How long one request may take, in milliseconds.
    pub timeout_ms: u64,
}

/// The JSON format of [`Settings`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    controls: Vec<String>,
    #[serde(default)]
    nodes: Vec<String>,
    #[serde(default)]
    token_file: Option<PathBuf>,
    #[serde(default)]
    author: Option<String>,
    #[serde(default = "default_timeout_ms")]
    timeout_ms: u64,
}

/// Returns a timeout that is longer than an election, during which there is no leader (3 s at p99).
fn default_timeout_ms() -> u64 {
    5_000
}

impl Settings {
    /// Reads the settings file at `path`; a relative `token_file` is relative to that file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.to_path_buf(), source })?;
        let file: SettingsFile =
            serde_json::from_str(&text).map_err(|error| Error::InvalidSettings {
                path: path.to_path_buf(),
                line: error.line(),
                key: locate::KeyMap::new(&text).path_of(&error),
                problem: error.to_string(),
            })?;
        let folder = path.parent().unwrap_or(Path::new(""));
        Ok(Self {
            controls: file.controls,
            nodes: file.nodes,
            token_file: file.token_file.map(|name| folder.join(name)),
            author: file.author,
            timeout_ms: file.timeout_ms,
        })
    }

    /// Reads the operator token.
    pub fn token(&self) -> Result<String, Error> {
        let path = self
            .token_file
            .as_ref()
            .ok_or(Error::MissingSetting { name: "token file", key: "token_file" })?;
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.clone(), source })?;
        let token = text.trim();
        if token.is_empty() || token.contains(char::is_whitespace) {
            return Err(Error::InvalidToken { path: path.clone() });
        }
        Ok(token.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Settings, Error> {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("settings.json");
        std::fs::write(&path, text).unwrap();
        Settings::read(&path)
    }

    /// Guards against silently ignoring a misspelled key.
    #[test]
    fn read_unknown_key() {
        let error = read("{\n\"controls\": [],\n\"tokenfile\": \"x\"}").unwrap_err();
        assert!(error.to_string().contains(":3: tokenfile: unknown field"), "{error}");
    }

    /// Guards against sending an empty token when the token file is empty.
    #[test]
    fn token_empty() {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("token"), "\n").unwrap();
        let path = folder.path().join("settings.json");
        std::fs::write(&path, "{\"controls\": [], \"token_file\": \"token\"}").unwrap();
        assert!(matches!(Settings::read(&path).unwrap().token(), Err(Error::InvalidToken { .. })));
    }
}
