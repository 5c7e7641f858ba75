//! Serialized forms of the catalogue: JSON files, the operator API and messages between processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::change;
use crate::check;
use crate::entry;
use crate::group;

/// The serialized form of [`entry::Class`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// See [`entry::Class::Idempotent`].
    Idempotent,
    /// See [`entry::Class::NonIdempotent`].
    NonIdempotent,
    /// See [`entry::Class::Download`].
    Download,
}

/// The serialized form of [`entry::Preference`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// See [`entry::Preference::FastDetection`].
    FastDetection,
    /// See [`entry::Preference::FewFalseEjections`].
    FewFalseEjections,
}

/// The serialized form of [`entry::Limits`]; a missing key takes the default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The default deadline in milliseconds.
    pub deadline_ms: u32,
    /// The largest request body in bytes.
    pub body_bytes: u64,
    /// Requests a second from one caller.
    pub caller_rate: u32,
    /// Requests a second on each route.
    pub route_rate: u32,
    /// Requests a second for the service.
    pub service_rate: u32,
}

impl Default for Limits {
    fn default() -> Self {
        entry::Limits::default().into()
    }
}

/// The serialized form of [`entry::Route`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that a request names, or any host.
    #[serde(default)]
    pub host: Option<String>,
    /// The start of the path.
    pub path_prefix: String,
    /// The class of this route's requests, or that of the service.
    #[serde(default)]
    pub class: Option<Class>,
}

/// The serialized form of [`entry::Entry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of the service.
    pub service: String,
    /// The firm or team that answers for the service.
    pub owner: String,
    /// The class of requests on routes that state none.
    pub class: Class,
    /// What the owner weighs more.
    pub preference: Preference,
    /// The number of healthy servers below which no ejection may bring the service.
    pub floor: u32,
    /// The limits of the service.
    #[serde(default)]
    pub limits: Limits,
    /// The routes that lead to the service.
    pub routes: Vec<Route>,
}

/// The serialized form of [`group::Member`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node that keeps the replica.
    pub node: String,
    /// The incarnation of the node when it joined.
    pub incarnation: u64,
}

/// The serialized form of [`group::Group`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The shard whose registers the group keeps.
    pub shard: u32,
    /// Raised by one with each replaced or added member, and with a reset.
    pub epoch: u64,
    /// Whether the members vote without the registers of earlier epochs; the first epoch always
    /// does, also when it was stored by a release without this field.
    #[serde(default)]
    pub founding: bool,
    /// The members in ascending order.
    pub members: Vec<Member>,
}

/// What nodes hold of the replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The catalogue revision.
    pub revision: u64,
    /// Raised with each change of a register group.
    pub group_version: u64,
    /// The entries in ascending order of their service.
    pub entries: Vec<Entry>,
    /// The register groups in ascending order of their shard.
    pub groups: Vec<Group>,
}

/// The catalogue as the operator API shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The revision of the entries.
    pub revision: u64,
    /// The entries in ascending order of their service.
    pub entries: Vec<Entry>,
}

/// The serialized form of [`change::Change`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Chosen by the operator's client; a resend carries the same id.
    pub change_id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision that the change was made from.
    pub base_revision: u64,
    /// The entries that replace all earlier ones.
    pub entries: Vec<Entry>,
}

/// A catalogue file: the entries of some or all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The entries.
    pub entries: Vec<Entry>,
}

/// The serialized form of [`check::Finding`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The path of the key, such as `entries[2].routes[0].path_prefix`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// The answer to a change whose entries are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// What is wrong, in the order of the entries.
    pub findings: Vec<Finding>,
}

impl From<check::Finding> for Finding {
    fn from(finding: check::Finding) -> Self {
        Self { key: finding.key, problem: finding.problem, remedy: finding.remedy }
    }
}

impl From<Class> for entry::Class {
    fn from(class: Class) -> Self {
        match class {
            Class::Idempotent => Self::Idempotent,
            Class::NonIdempotent => Self::NonIdempotent,
            Class::Download => Self::Download,
        }
    }
}

impl From<entry::Class> for Class {
    fn from(class: entry::Class) -> Self {
        match class {
            entry::Class::Idempotent => Self::Idempotent,
            entry::Class::NonIdempotent => Self::NonIdempotent,
            entry::Class::Download => Self::Download,
        }
    }
}

impl From<Preference> for entry::Preference {
    fn from(preference: Preference) -> Self {
        match preference {
            Preference::FastDetection => Self::FastDetection,
            Preference::FewFalseEjections => Self::FewFalseEjections,
        }
    }
}

impl From<entry::Preference> for Preference {
    fn from(preference: entry::Preference) -> Self {
        match preference {
            entry::Preference::FastDetection => Self::FastDetection,
            entry::Preference::FewFalseEjections => Self::FewFalseEjections,
        }
    }
}

impl From<Limits> for entry::Limits {
    fn from(limits: Limits) -> Self {
        Self {
            deadline: Duration::from_millis(u64::from(limits.deadline_ms)),
            body_bytes: limits.body_bytes,
            caller_rate: limits.caller_rate,
            route_rate: limits.route_rate,
            service_rate: limits.service_rate,
        }
    }
}

impl From<entry::Limits> for Limits {
    fn from(limits: entry::Limits) -> Self {
        Self {
            deadline_ms: u32::try_from(limits.deadline.as_millis()).unwrap_or(u32::MAX),
            body_bytes: limits.body_bytes,
            caller_rate: limits.caller_rate,
            route_rate: limits.route_rate,
            service_rate: limits.service_rate,
        }
    }
}

impl From<Route> for entry::Route {
    fn from(route: Route) -> Self {
        Self {
            host: route.host,
            path_prefix: route.path_prefix,
            class: route.class.map(Into::into),
        }
    }
}

impl From<entry::Route> for Route {
    fn from(route: entry::Route) -> Self {
        Self {
            host: route.host,
            path_prefix: route.path_prefix,
            class: route.class.map(Into::into),
        }
    }
}

impl From<Entry> for entry::Entry {
    fn from(entry: Entry) -> Self {
        Self {
            service: entry.service,
            owner: entry.owner,
            class: entry.class.into(),
            preference: entry.preference.into(),
            floor: entry.floor,
            limits: entry.limits.into(),
            routes: entry.routes.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<entry::Entry> for Entry {
    fn from(entry: entry::Entry) -> Self {
        Self {
            service: entry.service,
            owner: entry.owner,
            class: entry.class.into(),
            preference: entry.preference.into(),
            floor: entry.floor,
            limits: entry.limits.into(),
            routes: entry.routes.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Member> for group::Member {
    fn from(member: Member) -> Self {
        Self { node: member.node, incarnation: member.incarnation }
    }
}

impl From<group::Member> for Member {
    fn from(member: group::Member) -> Self {
        Self { node: member.node, incarnation: member.incarnation }
    }
}

impl From<Group> for group::Group {
    fn from(group: Group) -> Self {
        let members = group.members.into_iter().map(Into::into).collect();
        let founding = group.founding || group.epoch == 1;
        Self { shard: group.shard, epoch: group.epoch, founding, members }
    }
}

impl From<group::Group> for Group {
    fn from(group: group::Group) -> Self {
        let members = group.members.into_iter().map(Into::into).collect();
        Self { shard: group.shard, epoch: group.epoch, founding: group.founding, members }
    }
}

impl From<Change> for change::Change {
    fn from(change: Change) -> Self {
        Self {
            id: change.change_id,
            author: change.author,
            base: change.base_revision,
            entries: change.entries.into_iter().map(Into::into).collect(),
        }
    }
}
