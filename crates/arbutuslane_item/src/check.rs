//! Which changes are valid.

use std::time::Duration;

use crate::item::{Content, Item, Key, Route};
use crate::table::Table;

/// The longest time for which an operator may let a request wait.
pub const LONGEST_TIMEOUT: Duration = Duration::from_secs(600);

/// The time by which an objective must exceed its timeout to be taken for a mistake.
pub const OBJECTIVE_EXCESS: Duration = Duration::from_secs(60);

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route leads to a service that does not stand.
    #[error("route {route} leads to service {service}, which is not declared; declare it first")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// A route gives no service a share.
    #[error("the weights of route {route} add up to 0; give at least one service a weight")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A timeout exceeds [`LONGEST_TIMEOUT`].
    #[error("the timeout of route {route} is over 600 s; state seconds, at most 600")]
    LongTimeout {
        /// The route.
        route: String,
    },
    /// An objective lies far above the timeout.
    #[error("the latency objective of route {route} is 60 s or more above its timeout; lower it")]
    Objective {
        /// The route.
        route: String,
    },
    /// A path prefix begins with another character than a slash.
    #[error("the path prefix of route {route} does not begin with a slash; add it")]
    Prefix {
        /// The route.
        route: String,
    },
}

/// Checks `items` as a change to `table`; they may refer to each other.
pub fn items(table: &Table, items: &[Item]) -> Result<(), Error> {
    for item in items {
        let (Key::Route(name), Some(route)) = (&item.key, item.route()) else { continue };
        check_route(name, route)?;
        for target in &route.targets {
            if !stands(table, items, &target.service) {
                let (route, service) = (name.clone(), target.service.clone());
                return Err(Error::UnknownService { route, service });
            }
        }
    }
    Ok(())
}

fn check_route(name: &str, route: &Route) -> Result<(), Error> {
    let name = name.to_string();
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::NoWeight { route: name });
    }
    if route.timeout > LONGEST_TIMEOUT {
        return Err(Error::LongTimeout { route: name });
    }
    if route.objective >= route.timeout + OBJECTIVE_EXCESS {
        return Err(Error::Objective { route: name });
    }
    if !route.path_prefix.starts_with('/') {
        return Err(Error::Prefix { route: name });
    }
    Ok(())
}

fn stands(table: &Table, items: &[Item], service: &str) -> bool {
    let key = Key::Service(service.to_string());
    let declared = |item: &Item| matches!(item.content, Some(Content::Service(_)));
    let held = table.get(&key);
    let sent = items.iter().filter(|item| item.key == key).max_by_key(|item| item.version);
    match (held, sent) {
        (Some(held), Some(sent)) if sent.version > held.version => declared(sent),
        (Some(held), _) => declared(held),
        (None, Some(sent)) => declared(sent),
        (None, None) => false,
    }
}
