//! The workspaces in force, found by API key or by the hash of their name.

use std::sync::Arc;

use arbutuslane_core::hash;
use arbutuslane_item::item;
use arbutuslane_item::prelude::{ApiKey, Table};

use crate::traffic::workspace_hash;

/// A customer whose requests carry API keys.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Workspace {
    /// The name of the workspace.
    pub(crate) name: String,
    /// The priority, which precedes that of the route; 0 is the highest.
    pub(crate) priority: Option<u8>,
    /// The allowance in thousandths of a request per second; 0 stands for no limit.
    pub(crate) millirate: u64,
    /// The requests beyond the rate that may come at once, in thousandths.
    pub(crate) milliburst: u64,
}

/// The hash of an API key, the key and its workspace.
type KeyEntry = (u64, ApiKey, Arc<Workspace>);

/// The declared workspaces.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    /// The API keys in ascending order of their hashes.
    by_key: Vec<KeyEntry>,
    /// The hash of each workspace's name and its weight among others, in ascending order.
    weights: Vec<(u64, u32)>,
}

impl Workspaces {
    /// Returns whether no workspace is declared.
    pub(super) fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Returns the workspace that has the API key `key`.
    pub(super) fn with_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        let hash = hash::of_bytes(key.as_bytes());
        let first = self.by_key.partition_point(|(known, ..)| *known < hash);
        let candidates = self.by_key[first..].iter().take_while(|(known, ..)| *known == hash);
        let found = candidates.into_iter().find(|(_, known, _)| known.0 == key);
        found.map(|(.., workspace)| workspace)
    }

    /// Returns the weight of the workspace whose name has the hash `name`.
    pub(super) fn weight(&self, name: u64) -> u32 {
        let index = self.weights.binary_search_by_key(&name, |(known, _)| *known);
        index.map_or(1, |index| self.weights[index].1)
    }
}

impl From<&Table> for Workspaces {
    fn from(items: &Table) -> Self {
        let mut keys = Vec::new();
        let mut rates = Vec::new();
        for item in items.declared_items() {
            let (item::Key::Workspace(name), Some(declared)) = (&item.key, item.workspace()) else {
                continue;
            };
            let workspace = Arc::new(Workspace {
                name: name.clone(),
                priority: declared.priority,
                millirate: declared.millirate,
                milliburst: declared.milliburst,
            });
            for key in &declared.keys {
                let entry = (hash::of_bytes(key.0.as_bytes()), key.clone(), Arc::clone(&workspace));
                keys.push((item.version, entry));
            }
            let rate = u32::try_from(declared.millirate / 1_000).unwrap_or(u32::MAX);
            rates.push((workspace_hash(Some(name)), rate));
        }
        Self { by_key: newest_owners(keys), weights: weights(rates) }
    }
}

/// Returns each key with its workspace.
///
/// While the two items of a key that moves between workspaces arrive one after the other, the newer one
/// has the key.
fn newest_owners(mut keys: Vec<(item::Version, KeyEntry)>) -> Vec<KeyEntry> {
    keys.sort_by(|(left_version, left), (right_version, right)| {
        (left.0, &left.1, right_version).cmp(&(right.0, &right.1, left_version))
    });
    let mut newest: Vec<_> = keys.into_iter().map(|(_, entry)| entry).collect();
    newest.dedup_by(|next, kept| next.1 == kept.1);
    newest
}

/// Returns the weights that follow from `rates`, in requests a second. A workspace without a limit is
/// entitled to as much as the largest one with a limit.
fn weights(mut rates: Vec<(u64, u32)>) -> Vec<(u64, u32)> {
    let largest = rates.iter().map(|(_, rate)| *rate).max().unwrap_or(1).max(1);
    for (_, rate) in &mut rates {
        *rate = if *rate == 0 { largest } else { *rate };
    }
    rates.sort_unstable();
    rates
}

#[cfg(test)]
mod tests {
    use arbutuslane_item::prelude::Content;

    use crate::configuration::Configuration;

    use super::*;

    fn workspace_item(name: &str, version: u64, keys: &[&str]) -> item::Item {
        let keys = keys.iter().map(|key| ApiKey((*key).to_string())).collect();
        let content = item::Workspace { keys, priority: None, millirate: 0, milliburst: 0 };
        item::Item {
            key: item::Key::Workspace(name.to_string()),
            version,
            content: Some(Content::Workspace(content)),
            source: item::Source::Text(version.to_string()),
        }
    }

    /// Guards against a key that was withdrawn and identifies its workspace again because an older
    /// version arrives late, and against two workspaces that have a key while it moves.
    #[test]
    fn workspace_withdrawn_key() {
        let mut table = Table::default();
        table.merge(workspace_item("a", 1, &["k1", "k2"]));
        table.merge(workspace_item("b", 2, &["k2"]));
        let moving = Configuration::from(table.clone());
        assert_eq!(moving.workspace("k2").unwrap().name, "b");
        table.merge(workspace_item("a", 3, &[]));
        table.merge(workspace_item("a", 1, &["k1", "k2"]));
        let configuration = Configuration::from(table);
        assert!(configuration.requires_keys());
        assert!(configuration.workspace("k1").is_none());
        assert_eq!(configuration.workspace("k2").unwrap().name, "b");
        assert!(!Configuration::from(Table::default()).requires_keys());
    }
}
