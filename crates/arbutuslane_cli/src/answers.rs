//! Decodes the statuses and events of control instances and nodes, whose formats differ.

use std::collections::BTreeMap;

use arbutuslane_event::border;
use arbutuslane_wire::{operator, status};
use serde::Deserialize;

/// A response to GET `/v1/status`.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum StatusResponse {
    /// The format of control instances. All its fields are required, so it is tried first.
    Control(operator::Status),
    /// The format of nodes, which list the servers that they own.
    Owner(NodeStatus),
    /// The common format. All its fields have defaults, so it is tried last.
    Common(status::Status),
}

/// The status of a node.
#[derive(Debug, Deserialize)]
pub(crate) struct NodeStatus {
    node: String,
    domain: String,
    incarnation: u64,
    revision: u64,
    stopping: bool,
    servers: Vec<OwnedServer>,
}

/// A backend server in the status of a node.
#[derive(Debug, Deserialize)]
struct OwnedServer {
    server: String,
    service: String,
    leased: bool,
    draining: bool,
    #[serde(default)]
    ejected: bool,
    slots: u32,
    in_flight: u32,
}

/// A response to GET `/v1/events`.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum EventsResponse {
    /// The format of nodes, and of control instances that record typed events.
    Page(border::Page),
    /// Events without causal timestamps.
    Plain(operator::Events),
}

impl From<StatusResponse> for status::Status {
    fn from(status: StatusResponse) -> Self {
        let control = match status {
            StatusResponse::Common(status) => return status,
            StatusResponse::Owner(owner) => return owner.into(),
            StatusResponse::Control(control) => control,
        };
        let mut members = Vec::new();
        for instance in control.instances {
            members.push(status::Member {
                instance: instance.name,
                role: "control".to_string(),
                state: if instance.reachable { "alive" } else { "suspected" }.to_string(),
                ..status::Member::default()
            });
        }
        for node in control.nodes {
            members.push(status::Member {
                instance: node.node,
                role: "node".to_string(),
                state: "alive".to_string(),
                revision: node.revision,
                ..status::Member::default()
            });
        }
        Self {
            instance: control.name,
            role: "control".to_string(),
            revision: control.revision,
            isolated: control.isolated,
            log: Some(status::Log {
                state: control.role,
                term: control.term,
                leader: control.leader,
                committed: control.applied,
            }),
            members,
            ..Self::default()
        }
    }
}

impl From<NodeStatus> for status::Status {
    fn from(node: NodeStatus) -> Self {
        let mut services: BTreeMap<String, status::Service> = BTreeMap::new();
        for owned in node.servers.into_iter().filter(|owned| owned.leased) {
            let service = services.entry(owned.service.clone()).or_default();
            service.service = owned.service;
            let state = match (owned.draining, owned.ejected) {
                (true, _) => "draining",
                (false, true) => "ejected",
                (false, false) => "serving",
            };
            service.draining += u32::from(owned.draining);
            service.live += u32::from(!owned.draining);
            service.ejected += u32::from(state == "ejected");
            service.servers.push(status::Server {
                server: owned.server,
                owner: node.node.clone(),
                state: state.to_string(),
                slots: owned.slots,
                in_flight: owned.in_flight,
            });
        }
        Self {
            instance: node.node,
            role: "node".to_string(),
            domain: node.domain,
            incarnation: node.incarnation,
            revision: node.revision,
            stopping: node.stopping,
            services: services.into_values().collect(),
            ..Self::default()
        }
    }
}

impl EventsResponse {
    /// Converts the events of `instance` after sequence number `since` to a page.
    pub(crate) fn page(self, instance: &str, since: u64) -> border::Page {
        let events = match self {
            Self::Page(page) => return page,
            Self::Plain(plain) => plain.events,
        };
        let next = events.last().map_or(since, |event| event.sequence);
        let events = events.into_iter().map(|event| border::Event {
            stamp: border::Stamp { wall_ms: event.at_ms, counter: 0 },
            instance: instance.to_string(),
            sequence: event.sequence,
            kind: event.kind,
            service: None,
            server: None,
            fields: parse_pairs(&event.detail),
        });
        border::Page {
            instance: instance.to_string(),
            started_ms: 0,
            next,
            dropped: 0,
            events: events.collect(),
        }
    }
}

/// Returns the `key=value` pairs of `detail`; words without a key are joined under `detail`.
fn parse_pairs(detail: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut words_without_key = Vec::new();
    for word in detail.split_whitespace() {
        match word.split_once('=') {
            Some((key, value)) => {
                pairs.insert(key.to_string(), value.to_string());
            }
            None => words_without_key.push(word),
        }
    }
    if !words_without_key.is_empty() {
        pairs.insert("detail".to_string(), words_without_key.join(" "));
    }
    pairs
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against decoding the status of a control instance as that of an empty node.
    #[test]
    fn status_control() {
        let sent = operator::Status {
            name: "c1".to_string(),
            role: "leader".to_string(),
            revision: 4,
            nodes: vec![operator::NodeRevision { node: "n1".to_string(), revision: 3, age_ms: 20 }],
            ..operator::Status::default()
        };
        let text = serde_json::to_string(&sent).unwrap();
        let status: status::Status = serde_json::from_str::<StatusResponse>(&text).unwrap().into();
        assert_eq!((status.instance.as_str(), status.revision), ("c1", 4));
        assert_eq!((status.members[0].revision, status.log.unwrap().state.as_str()), (3, "leader"));
    }

    /// Guards against counting a server without a lease as capacity.
    #[test]
    fn status_owner() {
        let server = |name: &str, leased: bool, draining: bool| {
            format!(
                "{{\"server\": \"{name}\", \"service\": \"slots\", \"leased\": {leased}, \
                 \"draining\": {draining}, \"slots\": 5, \"in_flight\": 0}}"
            )
        };
        let text = format!(
            "{{\"node\": \"n1\", \"domain\": \"d\", \"incarnation\": 1, \"revision\": 3, \
             \"stopping\": false, \"members\": 6, \"servers\": [{}, {}, {}]}}",
            server("a", true, false),
            server("b", false, false),
            server("c", true, true)
        );
        let status: status::Status = serde_json::from_str::<StatusResponse>(&text).unwrap().into();
        assert_eq!((status.instance.as_str(), status.role.as_str()), ("n1", "node"));
        assert_eq!((status.services[0].live, status.services[0].draining), (1, 1));
    }

    /// Guards against events that are requested repeatedly or lost because the page names the
    /// wrong next sequence number.
    #[test]
    fn page_plain() {
        let text = "{\"events\": [{\"sequence\": 5, \"at_ms\": 9, \"kind\": \"leader-changed\", \
                    \"detail\": \"leader=c2 term=3 after silence\"}]}";
        let events: EventsResponse = serde_json::from_str(text).unwrap();
        let page = events.page("c1", 4);
        assert_eq!((page.next, page.events[0].fields["leader"].as_str()), (5, "c2"));
        assert_eq!(page.events[0].fields["detail"], "after silence");
        let empty: EventsResponse = serde_json::from_str("{\"events\": []}").unwrap();
        assert_eq!(empty.page("c1", 4).next, 4);
    }
}
