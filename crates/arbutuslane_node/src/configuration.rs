//! The configuration in force, and how the node obtains it from control instances and other nodes.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_catalogue::entry::{Class, Entry};
use arbutuslane_core::id::Revision;
use arbutuslane_wire::{codec, peer};

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// The longest wait for one peer.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// An immutable snapshot of the catalogue.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// (host, path prefix, entry, class), the longest prefix first, a stated host before any host.
    routes: Vec<Rule>,
}

#[derive(Debug)]
struct Rule {
    host: Option<String>,
    prefix: String,
    entry: usize,
    class: Class,
}

impl Configuration {
    /// Returns the revision.
    pub(crate) fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Returns whether this configuration follows `other`.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.snapshot.revision, self.snapshot.group_version)
            > (other.snapshot.revision, other.snapshot.group_version)
            && self.snapshot.revision >= other.snapshot.revision
    }

    /// Returns the snapshot that this configuration was made from.
    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the entry of `service`.
    pub(crate) fn entry(&self, service: &str) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.service.as_str().cmp(service));
        index.ok().map(|index| &self.entries[index])
    }

    /// Returns the entry, path prefix and class that serve `host` and `path`.
    pub(crate) fn route(&self, host: Option<&str>, path: &str) -> Option<(&Entry, &str, Class)> {
        let host = host.map(|host| host.rsplit_once(':').map_or(host, |(name, _)| name));
        for rule in &self.routes {
            if !path.starts_with(&rule.prefix) {
                continue;
            }
            match (&rule.host, host) {
                (None, _) => {}
                (Some(wanted), Some(host)) if wanted.eq_ignore_ascii_case(host) => {}
                _ => continue,
            }
            return Some((&self.entries[rule.entry], &rule.prefix, rule.class));
        }
        None
    }
}

impl From<Snapshot> for Configuration {
    fn from(snapshot: Snapshot) -> Self {
        let mut entries: Vec<Entry> = snapshot.entries.iter().cloned().map(Into::into).collect();
        entries.sort_by(|left, right| left.service.cmp(&right.service));
        let mut routes = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            for route in &entry.routes {
                routes.push(Rule {
                    host: route.host.clone(),
                    prefix: route.path_prefix.clone(),
                    entry: index,
                    class: route.class.unwrap_or(entry.class),
                });
            }
        }
        routes.sort_by(|left, right| {
            let left = (left.prefix.len(), left.host.is_some());
            (right.prefix.len(), right.host.is_some()).cmp(&left)
        });
        Self { snapshot, entries, routes }
    }
}

/// Reads a catalogue snapshot from a JSON file.
pub(crate) fn read(path: &Path) -> Result<Configuration, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let snapshot: Snapshot = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    Ok(snapshot.into())
}

/// Asks the control instance at `address` for a newer configuration.
pub(crate) async fn fetch(shared: &Arc<Shared>, pool: &Rc<Pool>, address: SocketAddr) {
    let known_revision = shared.cluster.member().gossip.position().revision;
    let message = peer::Message::FetchSnapshot { known_revision };
    let answer = match peers::ask(shared, pool, address, &message, PEER_WAIT).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::debug!(event = "fetch-failed", peer = %address, error);
            shared.control_failed();
            return;
        }
    };
    let is_newer = matches!(answer, peer::Answer::Snapshot(_));
    let event = shared.cluster.contact().answered(shared.clock.now(), is_newer);
    shared.record_contact(event);
    let peer::Answer::Snapshot(bytes) = answer else { return };
    match codec::decode::<Snapshot>(&bytes) {
        Ok(snapshot) => {
            shared.cluster.learn(shared.clock.now(), snapshot);
        }
        Err(error) => tracing::warn!(event = "bad-snapshot", peer = %address, %error),
    }
}

#[cfg(test)]
mod tests {
    use arbutuslane_catalogue::border;

    use super::*;

    fn snapshot() -> Snapshot {
        let entry = |service: &str, routes: &[(Option<&str>, &str)]| border::Entry {
            service: service.to_string(),
            owner: "owner".to_string(),
            class: border::Class::Idempotent,
            preference: border::Preference::FastDetection,
            floor: 1,
            limits: border::Limits::default(),
            routes: routes
                .iter()
                .map(|(host, prefix)| border::Route {
                    host: host.map(str::to_string),
                    path_prefix: (*prefix).to_string(),
                    class: None,
                })
                .collect(),
        };
        let entries = vec![
            entry("slots", &[(None, "/")]),
            entry("bookings", &[(None, "/book"), (Some("b.example"), "/")]),
        ];
        Snapshot { revision: 3, entries, ..Snapshot::default() }
    }

    /// Guards against a request that reaches a service with a shorter prefix or another host.
    #[test]
    fn route_longest_prefix() {
        let configuration = Configuration::from(snapshot());
        let service = |host, path| configuration.route(host, path).unwrap().0.service.clone();
        assert_eq!(service(None, "/booking/7"), "bookings");
        assert_eq!(service(Some("a.example"), "/x"), "slots");
        assert_eq!(service(Some("B.example:8000"), "/x"), "bookings");
    }

    /// Guards against a configuration that reverts to an older revision.
    #[test]
    fn is_newer_than_older() {
        let newer = Configuration::from(snapshot());
        let mut older = snapshot();
        older.revision = 2;
        older.group_version = 9;
        let older = Configuration::from(older);
        assert!(newer.is_newer_than(&older));
        assert!(!older.is_newer_than(&newer));
    }
}
