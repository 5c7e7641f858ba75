//! Validation of changes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::id::ServiceName;

use crate::item::{ApiKey, Content, Item, Key, Route, Workspace, WorkspaceName};
use crate::table::Table;

/// The maximum timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// The excess of a route's latency objective over its timeout from which it is refused as a mistake.
pub const OBJECTIVE_EXCESS_LIMIT: Duration = Duration::from_secs(60);

/// The maximum length of an API key in bytes; a longer one does not fit into usual header limits.
pub const MAX_API_KEY_BYTES: usize = 256;

/// The items of a change that take effect, by their keys.
type Changed<'a> = BTreeMap<&'a Key, &'a Arc<Item>>;

/// The reason why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route targets a service that is not declared.
    #[error("route {route} targets service {service}, which is not declared; declare it first")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// A service is removed that a route still targets.
    #[error("service {service} is removed, but route {route} targets it; change the route first")]
    ServiceInUse {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// A route has no target with a positive weight.
    #[error(
        "the weights of route {route} add up to 0; give at least one service a positive weight"
    )]
    ZeroWeights {
        /// The route.
        route: String,
    },
    /// A timeout exceeds [`MAX_TIMEOUT`].
    #[error("the timeout of route {route} exceeds 600 s; give it in seconds, at most 600")]
    TimeoutTooLong {
        /// The route.
        route: String,
    },
    /// A latency objective exceeds the timeout by [`OBJECTIVE_EXCESS_LIMIT`] or more.
    #[error("the latency objective of route {route} exceeds its timeout by 60 s or more; lower it")]
    ObjectiveTooLong {
        /// The route.
        route: String,
    },
    /// An API key is empty, too long or not a header value.
    #[error(
        "workspace {workspace} has an invalid API key; a key has 1 to 256 visible ASCII characters"
    )]
    InvalidApiKey {
        /// The workspace.
        workspace: WorkspaceName,
    },
    /// Two workspaces have the same API key.
    #[error("workspaces {workspace} and {other} have the same API key; give each its own keys")]
    SharedApiKey {
        /// The submitted workspace.
        workspace: WorkspaceName,
        /// The other workspace.
        other: WorkspaceName,
    },
    /// A path prefix does not begin with a slash.
    #[error("the path prefix of route {route} does not begin with a slash; add one")]
    InvalidPathPrefix {
        /// The route.
        route: String,
    },
}

/// Checks `items` as a change to `table`: what they declare, and the resulting references between
/// items, also those of items that the change leaves as they are. The items may refer to each other.
///
/// Returns the items that take effect: of each one, the highest version that is above the one in
/// `table`, and the last of several declarations of that version.
///
/// # Errors
///
/// See [`Error`].
pub fn check_items(table: &Table, items: &[Arc<Item>]) -> Result<Vec<Arc<Item>>, Error> {
    check_declarations(items)?;
    let all: Vec<&Arc<Item>> = items.iter().collect();
    let submitted = newest_versions(&all);
    let mut changed = submitted.clone();
    changed.retain(|_, item| !table.covers(item));
    for item in items {
        let (Key::Route(name), Some(route)) = (&item.key, item.route()) else { continue };
        let takes_effect = changed.get(&item.key).is_some_and(|newest| *newest == item);
        for target in &route.targets {
            let key = Key::Service(target.service.clone());
            let is_valid = match takes_effect {
                true => is_declared(table, &changed, &key),
                // The item is stored already or was overtaken. Its services may be gone by now.
                false => table.get(&key).is_some() || submitted.contains_key(&key),
            };
            if !is_valid {
                let (route, service) = (name.clone(), target.service.clone());
                return Err(Error::UnknownService { route, service });
            }
        }
    }
    check_removed_services(table, &changed)?;
    check_api_keys(table, &changed)?;
    Ok(changed.into_values().cloned().collect())
}

/// Checks what can be checked of each item by itself.
///
/// # Errors
///
/// See [`Error`].
pub fn check_declarations(items: &[Arc<Item>]) -> Result<(), Error> {
    for item in items {
        match (&item.key, &item.content) {
            (Key::Route(name), Some(Content::Route(route))) => check_route(name, route)?,
            (Key::Workspace(name), Some(Content::Workspace(workspace))) => {
                check_workspace(name, workspace)?;
            }
            _ => {}
        }
    }
    Ok(())
}

/// Checks that no route targets a service that the change removes.
fn check_removed_services(table: &Table, changed: &Changed<'_>) -> Result<(), Error> {
    let is_removed = |service: &ServiceName| {
        let key = Key::Service(service.clone());
        changed.get(&key).is_some_and(|item| item.content.is_none())
    };
    if !changed.values().any(|item| item.is_removed_service()) {
        return Ok(());
    }
    for item in table.declared_items() {
        let (Key::Route(name), Some(route)) = (&item.key, item.route()) else { continue };
        if changed.contains_key(&item.key) {
            continue;
        }
        for target in &route.targets {
            if is_removed(&target.service) {
                let (route, service) = (name.clone(), target.service.clone());
                return Err(Error::ServiceInUse { route, service });
            }
        }
    }
    Ok(())
}

/// Checks that each API key is valid and identifies one workspace after the change.
fn check_api_keys(table: &Table, changed: &Changed<'_>) -> Result<(), Error> {
    if changed.values().all(|item| item.workspace().is_none()) {
        return Ok(());
    }
    let mut owners: HashMap<&ApiKey, &WorkspaceName> = HashMap::new();
    for item in table.declared_items() {
        let (Key::Workspace(name), Some(workspace)) = (&item.key, item.workspace()) else {
            continue;
        };
        if !changed.contains_key(&item.key) {
            owners.extend(workspace.keys.iter().map(|key| (key, name)));
        }
    }
    for item in changed.values() {
        let (Key::Workspace(name), Some(workspace)) = (&item.key, item.workspace()) else {
            continue;
        };
        for key in &workspace.keys {
            if let Some(other) = owners.insert(key, name).filter(|other| *other != name) {
                let (workspace, other) = (name.clone(), other.clone());
                return Err(Error::SharedApiKey { workspace, other });
            }
        }
    }
    Ok(())
}

fn check_workspace(name: &str, workspace: &Workspace) -> Result<(), Error> {
    let is_valid = |ApiKey(key): &ApiKey| {
        (1..=MAX_API_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic())
    };
    match workspace.keys.iter().all(is_valid) {
        true => Ok(()),
        false => Err(Error::InvalidApiKey { workspace: name.to_string() }),
    }
}

fn check_route(name: &str, route: &Route) -> Result<(), Error> {
    let name = name.to_string();
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::ZeroWeights { route: name });
    }
    if route.timeout > MAX_TIMEOUT {
        return Err(Error::TimeoutTooLong { route: name });
    }
    if route.latency_objective >= route.timeout + OBJECTIVE_EXCESS_LIMIT {
        return Err(Error::ObjectiveTooLong { route: name });
    }
    if !route.path_prefix.starts_with('/') {
        return Err(Error::InvalidPathPrefix { route: name });
    }
    Ok(())
}

/// Returns the newest version of each item in `items`.
fn newest_versions<'a>(items: &[&'a Arc<Item>]) -> Changed<'a> {
    let mut newest = Changed::new();
    for item in items {
        if newest.get(&item.key).is_none_or(|known| known.version <= item.version) {
            newest.insert(&item.key, item);
        }
    }
    newest
}

/// Returns whether a service is declared in `table` after the change.
fn is_declared(table: &Table, changed: &Changed<'_>, service: &Key) -> bool {
    let item = changed.get(service).copied().or_else(|| table.get(service));
    item.is_some_and(|item| item.content.is_some())
}
