//! The serialized form of items, in messages between processes and on disk.

pub mod agreement;

use std::sync::Arc;
use std::time::Duration;

use arbutuslane_catalogue::border::Class;
use arbutuslane_core::time::millis;
use serde::{Deserialize, Serialize};

use crate::item;

/// An item at one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    key: Key,
    version: u64,
    content: Option<Content>,
    /// The text of the declaration, empty if only its hash is sent.
    source: String,
    /// The hash of the text; earlier releases send the text only.
    #[serde(default)]
    source_hash: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Key {
    Limits,
    Service(String),
    Route(String),
    Workspace(String),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Content {
    Limits { head_bytes: u64, body_bytes: u64, head_wait_ms: u64, idle_ms: u64 },
    Service { health_path: String, connections: u32 },
    Route(Route),
    Workspace { keys: Vec<String>, priority: Option<u8>, millirate: u64, milliburst: u64 },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Route {
    host: String,
    path_prefix: String,
    class: Class,
    timeout_ms: u64,
    objective_ms: u64,
    priority: u8,
    attempts: u32,
    targets: Vec<(String, u32)>,
    #[serde(default)]
    is_public: bool,
}

impl Item {
    /// Converts an item without the text of its declaration.
    fn without_text(item: &item::Item) -> Self {
        let source_hash = Some(item.source.hash());
        Self { source_hash, ..Self::with_source(item, String::new()) }
    }

    fn with_source(item: &item::Item, source: String) -> Self {
        let key = match &item.key {
            item::Key::Limits => Key::Limits,
            item::Key::Service(name) => Key::Service(name.clone()),
            item::Key::Route(name) => Key::Route(name.clone()),
            item::Key::Workspace(name) => Key::Workspace(name.clone()),
        };
        let content = item.content.as_ref().map(|content| match content {
            item::Content::Limits(limits) => Content::Limits {
                head_bytes: limits.head_bytes,
                body_bytes: limits.body_bytes,
                head_wait_ms: millis(limits.head_timeout),
                idle_ms: millis(limits.idle_timeout),
            },
            item::Content::Service(service) => Content::Service {
                health_path: service.health_path.clone(),
                connections: service.connections,
            },
            item::Content::Route(route) => Content::Route(Route::from(route)),
            item::Content::Workspace(workspace) => Content::Workspace {
                keys: workspace.keys.iter().map(|key| key.0.clone()).collect(),
                priority: workspace.priority,
                millirate: workspace.millirate,
                milliburst: workspace.milliburst,
            },
        });
        let source_hash = match item.source {
            item::Source::Text(_) => None,
            item::Source::Hash(hash) => Some(hash),
        };
        Self { key, version: item.version, content, source, source_hash }
    }
}

impl From<&item::Item> for Item {
    fn from(item: &item::Item) -> Self {
        Self::with_source(item, item.source.text().to_string())
    }
}

impl From<Item> for item::Item {
    fn from(item: Item) -> Self {
        let key = match item.key {
            Key::Limits => item::Key::Limits,
            Key::Service(name) => item::Key::Service(name),
            Key::Route(name) => item::Key::Route(name),
            Key::Workspace(name) => item::Key::Workspace(name),
        };
        let content = item.content.map(|content| match content {
            Content::Limits { head_bytes, body_bytes, head_wait_ms, idle_ms } => {
                item::Content::Limits(item::Limits {
                    head_bytes,
                    body_bytes,
                    head_timeout: Duration::from_millis(head_wait_ms),
                    idle_timeout: Duration::from_millis(idle_ms),
                })
            }
            Content::Service { health_path, connections } => {
                item::Content::Service(item::Service { health_path, connections })
            }
            Content::Route(route) => item::Content::Route(route.into()),
            Content::Workspace { keys, priority, millirate, milliburst } => {
                let keys = keys.into_iter().map(item::ApiKey).collect();
                item::Content::Workspace(item::Workspace { keys, priority, millirate, milliburst })
            }
        });
        let source = match item.source_hash {
            Some(hash) => item::Source::Hash(hash),
            None => item::Source::Text(item.source),
        };
        Self { key, version: item.version, content, source }
    }
}

impl From<&item::Route> for Route {
    fn from(route: &item::Route) -> Self {
        let targets = route.targets.iter();
        Self {
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
            class: route.class.into(),
            timeout_ms: millis(route.timeout),
            objective_ms: millis(route.latency_objective),
            priority: route.priority,
            attempts: route.attempts,
            targets: targets.map(|target| (target.service.clone(), target.weight)).collect(),
            is_public: route.is_public,
        }
    }
}

impl From<Route> for item::Route {
    fn from(route: Route) -> Self {
        let targets = route.targets.into_iter();
        Self {
            host: route.host,
            path_prefix: route.path_prefix,
            class: route.class.into(),
            timeout: Duration::from_millis(route.timeout_ms),
            latency_objective: Duration::from_millis(route.objective_ms),
            priority: route.priority,
            attempts: route.attempts,
            targets: targets.map(|(service, weight)| item::Target { service, weight }).collect(),
            is_public: route.is_public,
        }
    }
}

/// Converts items to their serialized form.
pub fn encode<'a>(items: impl IntoIterator<Item = &'a Arc<item::Item>>) -> Vec<Item> {
    items.into_iter().map(|item| Item::from(item.as_ref())).collect()
}

/// Converts items to a serialized form without the texts of their declarations, which is about half
/// as long. Only nodes can use it.
pub fn encode_without_text<'a>(items: impl IntoIterator<Item = &'a Arc<item::Item>>) -> Vec<Item> {
    items.into_iter().map(|item| Item::without_text(item)).collect()
}

/// Converts items from their serialized form.
pub fn decode(items: Vec<Item>) -> Vec<Arc<item::Item>> {
    items.into_iter().map(|item| Arc::new(item.into())).collect()
}
