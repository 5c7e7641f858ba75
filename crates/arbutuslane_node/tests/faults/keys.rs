//! The same idempotency key through several nodes: one run, and the first response or unknown.

use std::io::Write;
use std::thread::{sleep, spawn};
use std::time::Duration;

use arbutuslane_catalogue::border::{Group, Member, Snapshot};
use arbutuslane_wire::peer::gossip::{Message, Payload};
use arbutuslane_wire::{codec, peer};

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Response, Server, call, caller, open, request};

pub(crate) const SHARDS: u32 = 4;

/// Starts `size` nodes and gives them register groups of all of them, as control does.
pub(crate) fn fleet(size: usize) -> Vec<Node> {
    let mut nodes = vec![Node::start(&[])];
    let seed = nodes[0].peers;
    for _ in 1..size {
        nodes.push(Node::start(&[seed]));
    }
    wait_until(|| nodes.iter().all(|node| node.status()["members"] == size));
    offer(&nodes, 1);
    wait_until(|| nodes.iter().all(|node| node.status()["voting_replicas"] == SHARDS));
    nodes
}

/// Sends the first node a configuration with register groups of all nodes.
fn offer(nodes: &[Node], version: u64) {
    let mut members = Vec::new();
    for node in nodes {
        let status = node.status();
        let name = status["node"].as_str().unwrap().to_string();
        members.push(Member { node: name, incarnation: status["incarnation"].as_u64().unwrap() });
    }
    members.sort_by(|left, right| left.node.cmp(&right.node));
    let groups = (0..SHARDS)
        .map(|shard| Group { shard, epoch: 1, founding: true, members: members.clone() })
        .collect();
    let mut snapshot: Snapshot = serde_json::from_str(Node::catalogue()).unwrap();
    snapshot.group_version = version;
    snapshot.groups = groups;
    let bytes = codec::encode(&snapshot).unwrap().into();
    let payload = Payload::Snapshot { pos: (snapshot.revision, version), bytes };
    let message = peer::Message::Gossip(Message::Offer(payload));
    let body = codec::encode(&message).unwrap();
    let token = [("arbutuslane-token", "secret")];
    let response = call(nodes[0].peers, "POST", "/v1/peer", &token, &body);
    assert_eq!(response.status, 200);
}

/// Starts a server of bookings at `node` that takes `pause` for a run, and makes it known to all.
fn server(nodes: &[Node], at: usize, pause: Duration) -> Server {
    let server = Server::start(&nodes[at], "bookings", "s1", move |received, stream| {
        sleep(pause);
        write(stream, &received.respond("201 Created", "x-booking: 7\r\n", "booked"))
    });
    for (index, node) in nodes.iter().enumerate() {
        wait_until(|| index == at || node.metric("arbutuslane_remote_servers") == 1);
    }
    server
}

fn book(node: &Node, key: &str) -> Response {
    node.call("POST", "/bookings", &[("idempotency-key", key)], b"x")
}

/// Guards against two nodes that run the same key at the same time, and a resend that gets another
/// response than the first.
#[test]
fn begin_two_nodes_at_once() {
    let nodes = fleet(3);
    let server = server(&nodes, 0, Duration::from_millis(300));
    let (first, second) = (nodes[1].callers, nodes[2].callers);
    let send = |address| {
        let fields = [("idempotency-key", "order-1")];
        spawn(move || call(address, "POST", "/bookings", &fields, b"x"))
    };
    let (left, right) = (send(first), send(second));
    let mut outcomes = Vec::new();
    for response in [left.join().unwrap(), right.join().unwrap()] {
        outcomes.push((response.status, response.outcome().to_string()));
    }
    assert!(server.received().len() <= 1, "{outcomes:?}");
    // Both may lose when each gets a part of the replicas; a resend then runs.
    wait_until(|| book(&nodes[0], "order-1").status == 201);
    assert_eq!(server.received().len(), 1, "{outcomes:?}");
    for node in &nodes {
        let resend = book(node, "order-1");
        assert_eq!((resend.status, resend.outcome()), (201, "answered"));
        assert_eq!(resend.field("arbutuslane-replayed"), Some("true"));
        assert_eq!(resend.field("x-booking"), Some("7"));
        assert_eq!(resend.text(), "booked");
    }
    assert_eq!(server.received().len(), 1);
}

/// Guards against a key that serves two different requests.
#[test]
fn begin_other_request() {
    let nodes = fleet(3);
    let server = server(&nodes, 0, Duration::ZERO);
    assert_eq!(book(&nodes[1], "order-1").status, 201);
    let other = nodes[2].call("POST", "/bookings", &[("idempotency-key", "order-1")], b"y");
    assert_eq!((other.status, other.outcome()), (422, "not-run"));
    assert_eq!(server.received().len(), 1);
}

/// Guards against a second run after a response that was lost on the way.
#[test]
fn begin_lost_response() {
    let nodes = fleet(3);
    let server = Server::start(&nodes[0], "bookings", "s1", |_, _| false);
    for node in &nodes[1..] {
        wait_until(|| node.metric("arbutuslane_remote_servers") == 1);
    }
    for node in [1, 2, 0] {
        let response = book(&nodes[node], "order-1");
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
        assert!(response.field("retry-after").is_some());
    }
    assert_eq!(server.received().len(), 1);
}

/// Guards against a second run after the node that claimed the key died in mid-request.
#[test]
fn begin_first_node_killed() {
    let mut nodes = fleet(3);
    let server = server(&nodes, 0, Duration::from_millis(1_500));
    let first = nodes[2].callers;
    let lost =
        spawn(move || call(first, "POST", "/bookings", &[("idempotency-key", "order-1")], b"x"));
    wait_until(|| server.received().len() == 1);
    nodes.pop().unwrap().child.kill().unwrap();
    assert_eq!(lost.join().unwrap().status, 0);
    for node in [1, 0, 1] {
        let response = book(&nodes[node], "order-1");
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
    }
    assert_eq!(server.received().len(), 1);
}

/// Guards against a dispatch without a majority of the replicas.
#[test]
fn begin_no_majority() {
    let mut nodes = fleet(3);
    let server = server(&nodes, 0, Duration::ZERO);
    nodes.truncate(1);
    let response = book(&nodes[0], "order-1");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(server.received().len(), 0);
    // A request without a key needs no register.
    assert_eq!(nodes[0].call("POST", "/bookings", &[], b"x").status, 201);
}

/// Guards against a restarted replica that votes with empty memory or does not recover.
#[test]
fn pulled_restarted_replica() {
    let mut nodes = fleet(3);
    let server = server(&nodes, 0, Duration::ZERO);
    assert_eq!(book(&nodes[1], "order-1").status, 201);
    nodes[2].kill_and_restart();
    wait_until(|| nodes[2].status()["voting_replicas"] == SHARDS);
    assert!(nodes[2].status()["registers"].as_u64() >= Some(1));
    wait_until(|| nodes[2].metric("arbutuslane_remote_servers") == 1);
    let resend = book(&nodes[2], "order-1");
    assert_eq!((resend.status, resend.field("arbutuslane-replayed")), (201, Some("true")));
    assert_eq!(server.received().len(), 1);
}

/// Guards against a keyed booking that runs without a record while no groups are assigned yet.
#[test]
fn begin_no_groups() {
    let nodes = [Node::start(&[])];
    let server = server(&nodes, 0, Duration::ZERO);
    let response = book(&nodes[0], "order-1");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(server.received().is_empty());
    // Without a key there is nothing to record.
    assert_eq!(nodes[0].call("POST", "/bookings", &[], b"x").status, 201);
}

/// Guards against a claim that fails because it took over a pooled connection of lookups, while
/// the answer of every remaining replica is needed.
#[test]
fn begin_beside_lookups() {
    let mut nodes = fleet(3);
    let lookups = Server::start(&nodes[1], "slots", "s2", |received, stream| {
        write(stream, &received.ok("free"))
    });
    let bookings = Server::start(&nodes[1], "bookings", "s1", |received, stream| {
        write(stream, &received.ok("booked"))
    });
    wait_until(|| nodes[0].metric("arbutuslane_remote_servers") == 2);
    nodes.pop();
    // One connection, so that one traffic thread with its pool carries all of them.
    let mut stream = open(nodes[0].callers);
    let mut call = |method: &str, path: &str, key: &str| {
        let bytes = request(method, path, &[("idempotency-key", key)], b"x");
        stream.write_all(&bytes).unwrap();
        caller::read(&mut stream, false).unwrap()
    };
    for number in 0..20 {
        assert_eq!(call("GET", "/slots", "").status, 200);
        let response = call("POST", "/bookings", &format!("order-{number}"));
        assert_eq!((response.status, response.outcome()), (200, "answered"), "{number}");
    }
    assert_eq!((lookups.received().len(), bookings.received().len()), (20, 20));
}
