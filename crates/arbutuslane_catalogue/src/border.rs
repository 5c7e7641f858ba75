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
    /// See [`entry::Class::Upload`].
    Upload,
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

/// The serialized form of [`entry::Limits`]; a missing key has the default value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The deadline of requests whose caller sets none, in milliseconds.
    pub deadline_ms: u32,
    /// The maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// The requests per second from one caller.
    pub caller_rate: u32,
    /// The requests per second on each route.
    pub route_rate: u32,
    /// The requests per second for the service.
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
    /// The host that requests must name; `None` matches any host.
    #[serde(default)]
    pub host: Option<String>,
    /// The prefix of the request path.
    pub path_prefix: String,
    /// The class of requests on this route; `None` means the class of the service.
    #[serde(default)]
    pub class: Option<Class>,
}

/// The serialized form of [`entry::Entry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of the service.
    pub service: String,
    /// The firm or team that is responsible for the service.
    pub owner: String,
    /// The class of requests on routes that set none.
    pub class: Class,
    /// Whether ejection favours fast detection or few false ejections.
    pub preference: Preference,
    /// The minimum number of healthy servers; no ejection may reduce the service below it.
    pub floor: u32,
    /// The request limits of the service.
    #[serde(default)]
    pub limits: Limits,
    /// The routes that lead to the service.
    pub routes: Vec<Route>,
}

/// The serialized form of [`group::Member`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node that stores the replica.
    pub node: String,
    /// The incarnation of the node when it joined the group.
    pub incarnation: u64,
}

/// The serialized form of [`group::Group`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The shard whose registers the group stores.
    pub shard: u32,
    /// The epoch of the group; each replaced or added member and each reset raises it by one.
    pub epoch: u64,
    /// Whether the members vote without the registers of earlier epochs. Always true for the first
    /// epoch, also when a release without this field stored it.
    #[serde(default)]
    pub founding: bool,
    /// The members in ascending order.
    pub members: Vec<Member>,
}

/// The part of the replicated state that nodes have a copy of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision of the catalogue.
    pub revision: u64,
    /// The version of the register groups, which increases with each change of a group.
    pub group_version: u64,
    /// The entries in ascending order of their service.
    pub entries: Vec<Entry>,
    /// The register groups in ascending order of their shard.
    pub groups: Vec<Group>,
}

/// The catalogue as the operator API returns it.
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
    /// The id that the operator's client chose; a resend carries the same id.
    pub change_id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision on which the change is based.
    pub base_revision: u64,
    /// The entries that replace all entries of the base revision.
    pub entries: Vec<Entry>,
}

/// A catalogue file: the entries of some or all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The entries in the order of the file.
    pub entries: Vec<Entry>,
}

/// The serialized form of [`check::Finding`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The path of the invalid key, such as `entries[2].routes[0].path_prefix`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// The response to a change whose entries are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// The findings, in the order in which [`check::entries`] returns them.
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
            Class::Upload => Self::Upload,
        }
    }
}

impl From<entry::Class> for Class {
    fn from(class: entry::Class) -> Self {
        match class {
            entry::Class::Idempotent => Self::Idempotent,
            entry::Class::NonIdempotent => Self::NonIdempotent,
            entry::Class::Download => Self::Download,
            entry::Class::Upload => Self::Upload,
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
