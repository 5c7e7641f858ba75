//! Items of the catalogue.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServiceName;

/// The most items of one batch that the log lists one by one; of a larger batch it tells the count.
pub const MAX_LISTED_ITEMS: usize = 32;

/// The version of an item; the highest version of each key is in force.
pub type Version = u64;

/// The kind and the name of an item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// The limits of the whole fleet.
    Limits,
    /// A service.
    Service(ServiceName),
    /// A route.
    Route(String),
    /// A workspace.
    Workspace(WorkspaceName),
}

/// The name of a workspace.
pub type WorkspaceName = String;

/// An item at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The kind and the name of the item.
    pub key: Key,
    /// The version.
    pub version: Version,
    /// The declaration, or `None` when this version removes the item.
    pub content: Option<Content>,
    /// The declaration as the operator wrote it.
    pub source: Source,
}

/// A declaration as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The text, which control instances return unchanged when the item is read.
    Text(String),
    /// The hash of the text, which is enough for nodes.
    Hash(u64),
}

/// The declaration of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// Limits on callers.
    Limits(Limits),
    /// A service.
    Service(Service),
    /// A route.
    Route(Route),
    /// A workspace.
    Workspace(Workspace),
}

/// Limits on the size and the duration of requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub head_bytes: u64,
    /// The maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// The maximum time to receive a request head.
    pub head_timeout: Duration,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The path of the health endpoint.
    pub health_path: String,
    /// The number of connections that one server accepts.
    pub connections: u32,
}

/// A rule that selects requests by host and path, with their handling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The host of the requests.
    pub host: String,
    /// The prefix of the path; the longest matching prefix takes precedence.
    pub path_prefix: String,
    /// The class of the requests, which decides how a request with an unknown outcome is handled.
    pub class: Class,
    /// The maximum time that a request may wait for its response.
    pub timeout: Duration,
    /// The latency objective: the time within which a response has the most value for the caller.
    pub latency_objective: Duration,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The maximum number of servers that one request is sent to.
    pub attempts: u32,
    /// The services that the requests are distributed to.
    pub targets: Vec<Target>,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// A customer whose requests carry API keys and share an allowance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The keys that identify requests of the workspace.
    pub keys: Vec<ApiKey>,
    /// The priority, which precedes that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// The allowance in thousandths of a request per second, for all nodes together; 0 stands for no
    /// limit.
    pub millirate: u64,
    /// The requests beyond the rate that may come at once, in thousandths.
    pub milliburst: u64,
}

/// A secret that identifies requests of a workspace. It is left out of debug output.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ApiKey(pub String);

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The share of the service, relative to the other targets.
    pub weight: u32,
}

impl Item {
    /// Returns an item version that removes the item.
    pub fn removal(key: Key, version: Version) -> Self {
        Self { key, version, content: None, source: Source::Text(String::new()) }
    }

    /// Returns the route that the item declares, or `None` when it declares no route.
    pub fn route(&self) -> Option<&Route> {
        match &self.content {
            Some(Content::Route(route)) => Some(route),
            _ => None,
        }
    }

    /// Returns whether this version removes a service.
    pub fn is_removed_service(&self) -> bool {
        matches!(self.key, Key::Service(_)) && self.content.is_none()
    }

    /// Returns the workspace that the item declares, or `None` when it declares no workspace.
    pub fn workspace(&self) -> Option<&Workspace> {
        match &self.content {
            Some(Content::Workspace(workspace)) => Some(workspace),
            _ => None,
        }
    }

    /// Returns whether this version replaces `other`, a version of the same item.
    ///
    /// Two different declarations with the same version are a conflict between operators that has no
    /// correct resolution. The one with the larger hash takes precedence, so that all instances agree.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.version, self.content_hash()) > (other.version, other.content_hash())
    }

    /// Returns a hash of the key, the version and the declaration.
    pub fn hash(&self) -> u64 {
        let text = format!("{:?} {} {:016x}", self.key, self.version, self.content_hash());
        hash::of_bytes(text.as_bytes())
    }

    fn content_hash(&self) -> u64 {
        match &self.content {
            Some(_) => self.source.hash(),
            None => 0,
        }
    }
}

impl Source {
    /// Returns the text, or nothing when only its hash is known.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            Self::Hash(_) => "",
        }
    }

    /// Returns the hash of the text.
    pub fn hash(&self) -> u64 {
        match self {
            Self::Text(text) => hash::of_bytes(text.as_bytes()) | 1,
            Self::Hash(hash) => *hash,
        }
    }
}
