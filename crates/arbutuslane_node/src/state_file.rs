//! What a node keeps in a file so that a restart does not undo it: the versions of the workspaces
//! that it knew, and the servers that left or drained.
//!
//! Without the file, a node that restarts takes over what it hears first. An outdated process may
//! then send it an earlier version of a workspace, with keys that were withdrawn since, and a late
//! announcement may bring back a server that has left.
//!
//! Each line of the file is one fact in JSON. A fact is written before it takes effect, without a
//! sync to the disk: a fact must outlive the process, not the machine.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_item::prelude::{Item, Key, Table};

/// The number of facts about servers that a restart keeps, the latest ones.
const MAX_SERVER_FACTS: usize = 1_024;

/// A fact about a workspace or a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fact", rename_all = "kebab-case")]
enum Fact {
    /// A version of a workspace is known.
    Workspace { name: String, version: u64 },
    /// A server left.
    Left { server: ServerId, incarnation: Incarnation },
    /// A server drains.
    Draining { server: ServerId, incarnation: Incarnation },
}

/// The file with the facts, and those that it contains.
#[derive(Debug, Default)]
pub(crate) struct StateFile(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// `None` where the settings name no file. Nothing is kept then.
    file: Option<File>,
    /// The highest version of each workspace that is known, in ascending order of the names.
    versions: Vec<(String, u64)>,
    /// The facts about servers from before the start.
    earlier: Vec<Fact>,
}

impl StateFile {
    /// Reads the file at `path`, which need not exist, and opens it for new facts.
    ///
    /// A line that cannot be read is skipped: the process may have ended while it wrote the line.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or written.
    pub(crate) fn open(path: &Path) -> std::io::Result<Self> {
        let text = match std::fs::read(path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => String::new(),
            Err(error) => return Err(error),
        };
        let mut state = State::default();
        for line in text.lines() {
            match serde_json::from_str(line) {
                Ok(Fact::Workspace { name, version }) => drop(state.raise(&name, version)),
                Ok(fact) if !state.earlier.contains(&fact) => state.earlier.push(fact),
                _ => {}
            }
        }
        state.earlier.drain(..state.earlier.len().saturating_sub(MAX_SERVER_FACTS));
        let versions = state.versions.iter();
        let mut facts: Vec<Fact> = versions
            .map(|(name, version)| Fact::Workspace { name: name.clone(), version: *version })
            .collect();
        facts.extend(state.earlier.iter().cloned());
        // The file is replaced as a whole, so that a kill at any time leaves one of the two.
        let replacement = path.with_extension("new");
        std::fs::write(&replacement, encode(&facts))?;
        std::fs::rename(&replacement, path)?;
        state.file = Some(OpenOptions::new().append(true).open(path)?);
        Ok(Self(Mutex::new(state)))
    }

    /// Opens the file at `path`; without it, the node starts as if the settings named none, because a
    /// full disk must not keep it from serving.
    pub(crate) fn open_or_warn(path: &Path) -> Self {
        Self::open(path).unwrap_or_else(|error| {
            tracing::error!(event = "state-file-failed", path = %path.display(), %error);
            Self::default()
        })
    }

    /// Removes the items from `items` that are older than a version that was known before.
    pub(crate) fn remove_outdated(&self, items: &mut Vec<Arc<Item>>) {
        let state = self.lock();
        items.retain(|item| {
            let Key::Workspace(name) = &item.key else { return true };
            let found = state.versions.binary_search_by(|(known, _)| known.cmp(name));
            found.map_or(true, |index| state.versions[index].1 <= item.version)
        });
    }

    /// Records the versions of the workspaces among `items`.
    pub(crate) fn record_versions(&self, items: &[Arc<Item>]) {
        let mut state = self.lock();
        if state.file.is_none() {
            return;
        }
        let mut facts = Vec::new();
        for item in items {
            let Key::Workspace(name) = &item.key else { continue };
            if state.raise(name, item.version) {
                facts.push(Fact::Workspace { name: name.clone(), version: item.version });
            }
        }
        state.append(&facts);
    }

    /// Returns whether `table` has the known version of each workspace, or a later one.
    pub(crate) fn is_covered_by(&self, table: &Table) -> bool {
        self.lock().versions.iter().all(|(name, version)| {
            let held = table.get(&Key::Workspace(name.clone()));
            held.is_some_and(|held| held.version >= *version)
        })
    }

    /// Records that a server left.
    pub(crate) fn record_left(&self, server: &str, incarnation: Incarnation) {
        self.lock().append(&[Fact::Left { server: server.to_string(), incarnation }]);
    }

    /// Records that a server drains.
    pub(crate) fn record_draining(&self, server: &str, incarnation: Incarnation) {
        self.lock().append(&[Fact::Draining { server: server.to_string(), incarnation }]);
    }

    /// Adds a drain from before the start that another instance has kept.
    pub(crate) fn add_drained_earlier(&self, server: &str, incarnation: Incarnation) {
        let fact = Fact::Draining { server: server.to_string(), incarnation };
        let mut state = self.lock();
        if !state.earlier.contains(&fact) {
            state.append(std::slice::from_ref(&fact));
            state.earlier.push(fact);
        }
    }

    /// Returns the servers that left before the start, with their incarnations.
    pub(crate) fn left_earlier(&self) -> Vec<(ServerId, Incarnation)> {
        let mut left = Vec::new();
        for fact in &self.lock().earlier {
            if let Fact::Left { server, incarnation } = fact {
                left.push((server.clone(), *incarnation));
            }
        }
        left
    }

    /// Returns whether this incarnation of a server drained before the start.
    pub(crate) fn drained_earlier(&self, server: &str, incarnation: Incarnation) -> bool {
        self.lock().earlier.iter().any(|fact| {
            matches!(fact, Fact::Draining { server: known, incarnation: drained }
                if known == server && *drained == incarnation)
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Raises the known version of a workspace; returns whether it was lower or unknown.
    fn raise(&mut self, name: &str, version: u64) -> bool {
        match self.versions.binary_search_by(|(known, _)| known.as_str().cmp(name)) {
            Ok(index) if self.versions[index].1 >= version => false,
            Ok(index) => {
                self.versions[index].1 = version;
                true
            }
            Err(index) => {
                self.versions.insert(index, (name.to_string(), version));
                true
            }
        }
    }

    /// Appends facts to the file.
    fn append(&mut self, facts: &[Fact]) {
        let Some(file) = self.file.as_mut().filter(|_| !facts.is_empty()) else { return };
        if let Err(error) = file.write_all(&encode(facts)) {
            tracing::error!(event = "state-file-failed", %error);
        }
    }
}

/// Returns one line for each fact.
fn encode(facts: &[Fact]) -> Vec<u8> {
    let mut lines = Vec::new();
    for fact in facts {
        if let Ok(line) = serde_json::to_vec(fact) {
            lines.extend(line);
            lines.push(b'\n');
        }
    }
    lines
}

#[cfg(test)]
mod tests {
    use arbutuslane_item::item::Source;

    use super::*;

    fn workspace(name: &str, version: u64) -> Arc<Item> {
        let key = Key::Workspace(name.to_string());
        Arc::new(Item { key, version, content: None, source: Source::Hash(version) })
    }

    fn path(name: &str) -> std::path::PathBuf {
        let folder = std::env::temp_dir().join(format!("arbutuslane-state-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join(name);
        let _ = std::fs::remove_file(&path);
        path
    }

    /// Guards against a version that is forgotten at a restart, against one that a late earlier
    /// version lowers, and against a file that a kill in the middle of a line makes unreadable.
    #[test]
    fn open_after_kill() {
        let path = path("kill");
        let state = StateFile::open(&path).unwrap();
        state.record_versions(&[workspace("a", 3), workspace("b", 1)]);
        state.record_versions(&[workspace("a", 2)]);
        drop(state);
        let mut bytes = std::fs::read(&path).unwrap();
        bytes.extend(br#"{"fact":"workspace","name":"b","ver"#);
        std::fs::write(&path, bytes).unwrap();
        let state = StateFile::open(&path).unwrap();
        state.record_versions(&[workspace("c", 7)]);
        let state = StateFile::open(&path).unwrap();
        let mut items =
            vec![workspace("a", 2), workspace("a", 3), workspace("b", 1), workspace("c", 6)];
        state.remove_outdated(&mut items);
        assert_eq!(items, [workspace("a", 3), workspace("b", 1)]);
        let mut table = Table::default();
        table.merge_all(items);
        assert!(!state.is_covered_by(&table));
        table.merge_all(vec![workspace("c", 8)]);
        assert!(state.is_covered_by(&table));
    }

    /// Guards against a file that grows with each restart and each server that ever left, and
    /// against the loss of the latest facts when it is shortened.
    #[test]
    fn open_many_servers() {
        let path = path("many");
        let state = StateFile::open(&path).unwrap();
        for incarnation in 0..3_000 {
            state.record_left("s1", incarnation);
            state.record_draining("s1", incarnation);
            state.record_draining("s1", incarnation);
        }
        let state = StateFile::open(&path).unwrap();
        assert_eq!(state.left_earlier().len(), MAX_SERVER_FACTS / 2);
        assert!(state.drained_earlier("s1", 2_999) && !state.drained_earlier("s1", 0));
        let length = std::fs::metadata(&path).unwrap().len();
        drop(StateFile::open(&path).unwrap());
        assert_eq!(std::fs::metadata(&path).unwrap().len(), length);
    }

    /// Guards against a node that remembers what its settings do not ask it to keep.
    #[test]
    fn record_without_file() {
        let state = StateFile::default();
        state.record_versions(&[workspace("a", 3)]);
        let mut items = vec![workspace("a", 2)];
        state.remove_outdated(&mut items);
        assert_eq!(items.len(), 1);
        assert!(state.is_covered_by(&Table::default()));
    }
}
