//! One item of the catalogue.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServiceName;

/// The version of an item; for each name the highest is in force.
pub type Version = u64;

/// What an item declares, and its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The limits of the whole fleet.
    Limits,
    /// A service.
    Service(ServiceName),
    /// A route.
    Route(String),
}

/// An item at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// What the item declares.
    pub key: Key,
    /// The version.
    pub version: Version,
    /// The declaration, or nothing when this version removes the item.
    pub content: Option<Content>,
    /// The declaration as the operator wrote it, which a read returns unchanged.
    pub source: String,
}

/// What an item declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// Limits on callers.
    Limits(Limits),
    /// A service.
    Service(Service),
    /// A route.
    Route(Route),
}

/// Limits on what callers send and how long they take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head in bytes.
    pub head_bytes: u64,
    /// The largest request body in bytes.
    pub body_bytes: u64,
    /// The longest time for a request head.
    pub head_wait: Duration,
    /// The longest time that a connection may be idle.
    pub idle: Duration,
}

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The path of the health endpoint.
    pub health_path: String,
    /// The connections that one server accepts.
    pub connections: u32,
}

/// Selects requests by host and path and says how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The host that a request names.
    pub host: String,
    /// The start of the path; the longest matching prefix wins.
    pub path_prefix: String,
    /// What may be done with a request whose outcome is in doubt.
    pub class: Class,
    /// The longest time that a request may wait for its response.
    pub timeout: Duration,
    /// The time within which a response is worth most to the caller.
    pub objective: Duration,
    /// The rank; 0 is served first.
    pub priority: u8,
    /// The most servers that one request is sent to.
    pub attempts: u32,
    /// The services that share the requests.
    pub targets: Vec<Target>,
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

impl Item {
    /// Returns the version that removes an item.
    pub fn removed(key: Key, version: Version) -> Self {
        Self { key, version, content: None, source: String::new() }
    }

    /// Returns the route that the item declares.
    pub fn route(&self) -> Option<&Route> {
        match &self.content {
            Some(Content::Route(route)) => Some(route),
            _ => None,
        }
    }

    /// Returns whether this version replaces `other`, a version of the same item.
    ///
    /// Two declarations under one version are a conflict of operators that no order resolves; the
    /// one with the larger hash is kept, so that all instances keep the same one.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.version, self.content_hash()) > (other.version, other.content_hash())
    }

    /// Returns a hash of name, version and declaration.
    pub fn hash(&self) -> u64 {
        let text = format!("{:?} {} {:016x}", self.key, self.version, self.content_hash());
        hash::of_bytes(text.as_bytes())
    }

    fn content_hash(&self) -> u64 {
        match &self.content {
            Some(_) => hash::of_bytes(self.source.as_bytes()) | 1,
            None => 0,
        }
    }
}
