//! Validation of changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::id::ServiceName;

use crate::item::{Content, Item, Key, Route};
use crate::table::Table;

/// The maximum timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// The excess of a route's latency objective over its timeout from which it is refused as a mistake.
pub const OBJECTIVE_EXCESS_LIMIT: Duration = Duration::from_secs(60);

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
    /// A path prefix does not begin with a slash.
    #[error("the path prefix of route {route} does not begin with a slash; add one")]
    InvalidPathPrefix {
        /// The route.
        route: String,
    },
}

/// Checks `items` as a change to `table`; the items may refer to each other.
pub fn check_items(table: &Table, items: &[Arc<Item>]) -> Result<(), Error> {
    let submitted = newest_services(items);
    for item in items {
        let (Key::Route(name), Some(route)) = (&item.key, item.route()) else { continue };
        check_route(name, route)?;
        for target in &route.targets {
            if !is_declared(table, &submitted, &target.service) {
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

/// Returns the newest version of each service in `items`.
fn newest_services(items: &[Arc<Item>]) -> BTreeMap<&ServiceName, &Item> {
    let mut services: BTreeMap<&ServiceName, &Item> = BTreeMap::new();
    for item in items {
        let Key::Service(name) = &item.key else { continue };
        if services.get(name).is_none_or(|known| known.version <= item.version) {
            services.insert(name, item);
        }
    }
    services
}

fn is_declared(
    table: &Table,
    submitted: &BTreeMap<&ServiceName, &Item>,
    service: &ServiceName,
) -> bool {
    let declares_service = |item: &Item| matches!(item.content, Some(Content::Service(_)));
    let stored = table.get(&Key::Service(service.clone()));
    match (stored, submitted.get(service)) {
        (Some(stored), Some(submitted)) if submitted.version > stored.version => {
            declares_service(submitted)
        }
        (Some(stored), _) => declares_service(stored),
        (None, Some(submitted)) => declares_service(submitted),
        (None, None) => false,
    }
}
