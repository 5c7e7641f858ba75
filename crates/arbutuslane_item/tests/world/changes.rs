//! Random changes, many of which contradict each other.

use std::sync::Arc;
use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::rng::Rng;
use arbutuslane_item::prelude::*;
use rand::RngExt;

/// The number of items of each kind.
const NAMES: u32 = 3;

/// The number of versions that changes use.
pub(super) const VERSIONS: Version = 12;

/// Returns a change with one or two items of versions above `old`. Different changes may set one version
/// differently.
pub(super) fn random(rng: &mut Rng, old: Version) -> Vec<Arc<Item>> {
    let count = rng.random_range(1..=2);
    (0..count).map(|_| Arc::new(random_item(rng, old))).collect()
}

fn random_item(rng: &mut Rng, old: Version) -> Item {
    let name = rng.random_range(0..NAMES);
    let version = old + rng.random_range(1..=VERSIONS);
    let other = rng.random_range(0..NAMES);
    let is_removal = rng.random_range(0..3) == 0;
    let (key, content) = match rng.random_range(0..3) {
        0 => (Key::Service(format!("s{name}")), service()),
        1 => (Key::Route(format!("r{name}")), route(other)),
        _ => (Key::Workspace(format!("w{name}")), workspace(other)),
    };
    if is_removal {
        return Item::removal(key, version);
    }
    let source = Source::Text(format!("{other} {}", rng.random_range(0..2)));
    Item { key, version, content: Some(content), source }
}

fn service() -> Content {
    Content::Service(Service { health_path: "/h".to_string(), connections: 5 })
}

fn route(service: u32) -> Content {
    Content::Route(Route {
        host: "a.example".to_string(),
        path_prefix: "/".to_string(),
        class: Class::Idempotent,
        timeout: Duration::from_secs(3),
        latency_objective: Duration::from_secs(1),
        priority: 1,
        attempts: 2,
        targets: vec![Target { service: format!("s{service}"), weight: 1 }],
        is_public: false,
    })
}

fn workspace(key: u32) -> Content {
    let keys = vec![ApiKey(format!("k{key}"))];
    Content::Workspace(Workspace { keys, priority: None, millirate: 0, milliburst: 0 })
}
