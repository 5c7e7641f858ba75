//! The configuration in force, and its fetch from control instances. Other nodes send it by gossip.
//!
//! The configuration is built from a snapshot of the catalogue or from a table of items; the
//! request path uses the [`Rule`]s that both yield.

mod workspaces;

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_catalogue::entry::{Class, Entry, Limits};
use arbutuslane_core::id::{Revision, ServiceName};
use arbutuslane_item::item;
use arbutuslane_item::prelude::{Content, Key, Table};
use arbutuslane_limit::retry;
use arbutuslane_wire::{codec, peer};

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

pub(crate) use workspaces::Workspace;
use workspaces::Workspaces;

/// The longest wait for the response of one control instance.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest request body in bytes where no limit is configured.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 << 20;

/// An immutable snapshot of the catalogue or of the items in force.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    items: Table,
    /// The rules in ascending order of their host, those for any host first; for each host, the
    /// longest prefix comes first.
    rules: Vec<Rule>,
    workspaces: Workspaces,
}

/// How the requests of one route are handled.
#[derive(Debug)]
pub(crate) struct Rule {
    /// The name of the route, unique in the configuration.
    pub(crate) name: String,
    /// The host that a request must name; `None` matches any host.
    pub(crate) host: Option<String>,
    /// The prefix that the path of a request must have.
    pub(crate) prefix: String,
    /// The class of the requests: whether one with an unknown outcome may be repeated.
    pub(crate) class: Class,
    /// The services that share the requests, with their weights.
    pub(crate) targets: Vec<(ServiceName, u32)>,
    /// The longest time that a request may wait for its response.
    pub(crate) timeout: Duration,
    /// The target latency of a response.
    pub(crate) objective: Duration,
    /// The priority; 0 is served first.
    pub(crate) rank: u8,
    /// The most servers that one request is sent to.
    pub(crate) attempts: usize,
    /// The largest request body in bytes.
    pub(crate) body_bytes: u64,
    /// Limits on the rate of requests.
    pub(crate) limits: Option<Limits>,
    /// Whether requests need no API key.
    pub(crate) is_public: bool,
}

impl Configuration {
    /// Returns the revision of the catalogue, 0 for a configuration of items.
    pub(crate) fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// Returns whether this configuration follows `other`.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.snapshot.revision, self.snapshot.group_version)
            > (other.snapshot.revision, other.snapshot.group_version)
            && self.snapshot.revision >= other.snapshot.revision
    }

    /// Returns whether this is the empty configuration of a node that has just started.
    pub(crate) fn is_empty(&self) -> bool {
        self.snapshot.revision == 0 && self.items.is_empty()
    }

    /// Returns the items that this configuration was built from.
    pub(crate) fn items(&self) -> &Table {
        &self.items
    }

    /// Returns the snapshot that this configuration was built from.
    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the entry of `service`.
    pub(crate) fn entry(&self, service: &str) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|entry| entry.service.as_str().cmp(service));
        index.ok().map(|index| &self.entries[index])
    }

    /// Returns whether a service is declared.
    pub(crate) fn declares(&self, service: &str) -> bool {
        let item = self.items.get(&Key::Service(service.to_string()));
        self.entry(service).is_some() || item.is_some_and(|item| item.content.is_some())
    }

    /// Returns whether requests on routes that are not public need an API key.
    pub(crate) fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspace that has the API key `key`.
    pub(crate) fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.with_key(key)
    }

    /// Returns the weight of a workspace among others that share a server, by the hash of its name.
    pub(crate) fn workspace_weight(&self, hash: u64) -> u32 {
        self.workspaces.weight(hash)
    }

    /// Returns the rule for `host` and `path`: the one with the longest matching prefix; among
    /// equal prefixes, a rule for this host precedes a rule for any host.
    pub(crate) fn route(&self, host: Option<&str>, path: &str) -> Option<&Rule> {
        let host = host.map(|host| host.rsplit_once(':').map_or(host, |(name, _)| name));
        let exact = host.map(str::to_ascii_lowercase);
        let exact = exact.and_then(|host| self.longest_match(Some(&host), path));
        let any = self.longest_match(None, path);
        match (exact, any) {
            (Some(exact), Some(any)) if any.prefix.len() > exact.prefix.len() => Some(any),
            (exact, any) => exact.or(any),
        }
    }

    fn longest_match(&self, host: Option<&str>, path: &str) -> Option<&Rule> {
        let first = self.rules.partition_point(|rule| rule.host.as_deref() < host);
        for rule in &self.rules[first..] {
            if rule.host.as_deref() != host {
                return None;
            }
            if path.starts_with(&rule.prefix) {
                return Some(rule);
            }
        }
        None
    }

    fn sort_rules(mut rules: Vec<Rule>) -> Vec<Rule> {
        for rule in &mut rules {
            if let Some(host) = &mut rule.host {
                host.make_ascii_lowercase();
            }
        }
        rules.sort_by(|left, right| {
            let order = left.host.cmp(&right.host);
            order.then(right.prefix.len().cmp(&left.prefix.len()))
        });
        rules
    }
}

impl From<Snapshot> for Configuration {
    fn from(snapshot: Snapshot) -> Self {
        let mut entries: Vec<Entry> = snapshot.entries.iter().cloned().map(Into::into).collect();
        entries.sort_by(|left, right| left.service.cmp(&right.service));
        let mut rules = Vec::new();
        for entry in &entries {
            for route in &entry.routes {
                let host = route.host.as_deref().unwrap_or("*");
                rules.push(Rule {
                    name: format!("{host}{}", route.path_prefix),
                    host: route.host.clone(),
                    prefix: route.path_prefix.clone(),
                    class: route.class.unwrap_or(entry.class),
                    targets: vec![(entry.service.clone(), 1)],
                    timeout: entry.limits.deadline,
                    objective: entry.limits.deadline,
                    rank: route.class.unwrap_or(entry.class).default_rank(),
                    attempts: retry::DEFAULT_MAX_ATTEMPTS as usize,
                    body_bytes: entry.limits.body_bytes,
                    limits: Some(entry.limits.clone()),
                    is_public: false,
                });
            }
        }
        Self { snapshot, entries, rules: Self::sort_rules(rules), ..Self::default() }
    }
}

impl From<Table> for Configuration {
    fn from(items: Table) -> Self {
        let mut body_bytes = DEFAULT_MAX_BODY_BYTES;
        if let Some(Content::Limits(limits)) =
            items.get(&item::Key::Limits).and_then(|limits| limits.content.as_ref())
        {
            body_bytes = limits.body_bytes;
        }
        let mut rules = Vec::new();
        for item in items.declared_items() {
            let (item::Key::Route(name), Some(route)) = (&item.key, item.route()) else { continue };
            let targets = route.targets.iter();
            rules.push(Rule {
                name: name.clone(),
                host: Some(route.host.clone()),
                prefix: route.path_prefix.clone(),
                class: route.class,
                targets: targets.map(|target| (target.service.clone(), target.weight)).collect(),
                timeout: route.timeout,
                objective: route.latency_objective,
                rank: route.priority,
                attempts: usize::try_from(route.attempts.max(1)).unwrap_or(1),
                body_bytes,
                limits: None,
                is_public: route.is_public,
            });
        }
        let workspaces = Workspaces::from(&items);
        Self { items, rules: Self::sort_rules(rules), workspaces, ..Self::default() }
    }
}

/// Reads a catalogue snapshot from a JSON file.
pub(crate) fn read(path: &Path) -> Result<Configuration, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let snapshot: Snapshot = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    Ok(snapshot.into())
}

/// Fetches and installs the configuration of the control instance at `address` if it is newer.
pub(crate) async fn fetch(shared: &Arc<Shared>, pool: &Rc<Pool>, address: SocketAddr) {
    let known_revision = shared.cluster.membership().gossip.position().revision;
    let message = peer::Message::FetchSnapshot { known_revision };
    let answer = match peers::send(shared, pool, address, &message, FETCH_TIMEOUT).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::debug!(event = "fetch-failed", peer = %address, error);
            shared.record_control_failure();
            return;
        }
    };
    let is_newer = matches!(answer, peer::Answer::Snapshot(_));
    let event = shared.cluster.control_contact().record_fetch(shared.clock.now(), is_newer);
    shared.record_contact(event);
    let peer::Answer::Snapshot(bytes) = answer else { return };
    match codec::decode::<Snapshot>(&bytes) {
        Ok(snapshot) => {
            shared.cluster.install_snapshot(shared.clock.now(), snapshot);
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

    /// Guards against a request that reaches the service of a shorter prefix or of another host.
    #[test]
    fn route_longest_prefix() {
        let configuration = Configuration::from(snapshot());
        let service = |host, path| configuration.route(host, path).unwrap().targets[0].0.clone();
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
