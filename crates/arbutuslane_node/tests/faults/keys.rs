//! Requests with the same idempotency key through several nodes: one run, and each resend gets the
//! first response or the outcome `unknown`.

use std::io::Write;
use std::thread::{sleep, spawn};
use std::time::Duration;

use arbutuslane_catalogue::border::{Group, Member, Snapshot};
use arbutuslane_wire::peer::gossip::{Message, Payload};
use arbutuslane_wire::{codec, peer};

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Response, Server, call, caller, encode_request, open_connection};

pub(crate) const SHARD_COUNT: u32 = 4;

/// Starts `size` nodes and assigns all of them to each register group, as control does.
pub(crate) fn start_fleet(size: usize) -> Vec<Node> {
    let mut nodes = vec![Node::start(&[])];
    let seed = nodes[0].peer_address;
    for _ in 1..size {
        nodes.push(Node::start(&[seed]));
    }
    wait_until(|| nodes.iter().all(|node| node.status()["members"] == size));
    send_configuration(&nodes, 1);
    wait_until(|| nodes.iter().all(|node| node.status()["voting_replicas"] == SHARD_COUNT));
    nodes
}

/// Sends the first node a configuration whose register groups consist of all nodes.
fn send_configuration(nodes: &[Node], version: u64) {
    let mut members = Vec::new();
    for node in nodes {
        let status = node.status();
        let name = status["node"].as_str().unwrap().to_string();
        members.push(Member { node: name, incarnation: status["incarnation"].as_u64().unwrap() });
    }
    members.sort_by(|left, right| left.node.cmp(&right.node));
    let groups = (0..SHARD_COUNT)
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
    let response = call(nodes[0].peer_address, "POST", "/v1/peer", &token, &body);
    assert_eq!(response.status, 200);
}

/// Starts a server for bookings at the node with index `owner_index` and waits until all nodes know
/// it. Each run takes `processing_time`.
fn start_booking_server(nodes: &[Node], owner_index: usize, processing_time: Duration) -> Server {
    let server = Server::start(&nodes[owner_index], "bookings", "s1", move |received, stream| {
        sleep(processing_time);
        write(stream, &received.build_response("201 Created", "x-booking: 7\r\n", "booked"))
    });
    for (index, node) in nodes.iter().enumerate() {
        wait_until(|| index == owner_index || node.metric("arbutuslane_remote_servers") == 1);
    }
    server
}

fn book(node: &Node, key: &str) -> Response {
    node.call("POST", "/bookings", &[("idempotency-key", key)], b"x")
}

/// Guards against two nodes that run the same key at the same time, and against a resend that gets
/// a different response from the first.
#[test]
fn begin_two_nodes_at_once() {
    let nodes = start_fleet(3);
    let server = start_booking_server(&nodes, 0, Duration::from_millis(300));
    let (first_address, second_address) = (nodes[1].caller_address, nodes[2].caller_address);
    let send = |address| {
        let headers = [("idempotency-key", "order-1")];
        spawn(move || call(address, "POST", "/bookings", &headers, b"x"))
    };
    let (left, right) = (send(first_address), send(second_address));
    let mut outcomes = Vec::new();
    for response in [left.join().unwrap(), right.join().unwrap()] {
        outcomes.push((response.status, response.outcome().to_string()));
    }
    assert!(server.received_requests().len() <= 1, "{outcomes:?}");
    // Both may fail when each gets a minority of the replicas; a resend then runs.
    wait_until(|| book(&nodes[0], "order-1").status == 201);
    assert_eq!(server.received_requests().len(), 1, "{outcomes:?}");
    for node in &nodes {
        let resend = book(node, "order-1");
        assert_eq!((resend.status, resend.outcome()), (201, "answered"));
        assert_eq!(resend.header("arbutuslane-replayed"), Some("true"));
        assert_eq!(resend.header("x-booking"), Some("7"));
        assert_eq!(resend.text(), "booked");
    }
    assert_eq!(server.received_requests().len(), 1);
}

/// Guards against one key that is accepted for two different requests.
#[test]
fn begin_other_request() {
    let nodes = start_fleet(3);
    let server = start_booking_server(&nodes, 0, Duration::ZERO);
    assert_eq!(book(&nodes[1], "order-1").status, 201);
    let other = nodes[2].call("POST", "/bookings", &[("idempotency-key", "order-1")], b"y");
    assert_eq!((other.status, other.outcome()), (422, "not-run"));
    assert_eq!(server.received_requests().len(), 1);
}

/// Guards against a second run after the response of the first was lost.
#[test]
fn begin_lost_response() {
    let nodes = start_fleet(3);
    let server = Server::start(&nodes[0], "bookings", "s1", |_, _| false);
    for node in &nodes[1..] {
        wait_until(|| node.metric("arbutuslane_remote_servers") == 1);
    }
    for node in [1, 2, 0] {
        let response = book(&nodes[node], "order-1");
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
        assert!(response.header("retry-after").is_some());
    }
    assert_eq!(server.received_requests().len(), 1);
}

/// Guards against a second run after the node that claimed the key was killed during the request.
#[test]
fn begin_first_node_killed() {
    let mut nodes = start_fleet(3);
    let server = start_booking_server(&nodes, 0, Duration::from_millis(1_500));
    let first_address = nodes[2].caller_address;
    let interrupted = spawn(move || {
        call(first_address, "POST", "/bookings", &[("idempotency-key", "order-1")], b"x")
    });
    wait_until(|| server.received_requests().len() == 1);
    nodes.pop().unwrap().child.kill().unwrap();
    assert_eq!(interrupted.join().unwrap().status, 0);
    for node in [1, 0, 1] {
        let response = book(&nodes[node], "order-1");
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
    }
    assert_eq!(server.received_requests().len(), 1);
}

/// Guards against a dispatch without a majority of the replicas.
#[test]
fn begin_no_majority() {
    let mut nodes = start_fleet(3);
    let server = start_booking_server(&nodes, 0, Duration::ZERO);
    nodes.truncate(1);
    let response = book(&nodes[0], "order-1");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(server.received_requests().len(), 0);
    // A request without a key needs no register.
    assert_eq!(nodes[0].call("POST", "/bookings", &[], b"x").status, 201);
}

/// Guards against a restarted replica that votes with empty registers or does not recover them.
#[test]
fn pulled_restarted_replica() {
    let mut nodes = start_fleet(3);
    let server = start_booking_server(&nodes, 0, Duration::ZERO);
    assert_eq!(book(&nodes[1], "order-1").status, 201);
    nodes[2].kill_and_restart();
    wait_until(|| nodes[2].status()["voting_replicas"] == SHARD_COUNT);
    assert!(nodes[2].status()["registers"].as_u64() >= Some(1));
    wait_until(|| nodes[2].metric("arbutuslane_remote_servers") == 1);
    let resend = book(&nodes[2], "order-1");
    assert_eq!((resend.status, resend.header("arbutuslane-replayed")), (201, Some("true")));
    assert_eq!(server.received_requests().len(), 1);
}

/// Guards against a keyed booking that runs without a recorded claim while no register groups are
/// assigned.
#[test]
fn begin_no_groups() {
    let nodes = [Node::start(&[])];
    let server = start_booking_server(&nodes, 0, Duration::ZERO);
    let response = book(&nodes[0], "order-1");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(server.received_requests().is_empty());
    // A request without a key needs no register.
    assert_eq!(nodes[0].call("POST", "/bookings", &[], b"x").status, 201);
}

/// Guards against a claim that fails because it reuses a pooled connection of lookups, when the
/// response of every remaining replica is needed.
#[test]
fn begin_beside_lookups() {
    let mut nodes = start_fleet(3);
    let lookups = Server::start(&nodes[1], "slots", "s2", |received, stream| {
        write(stream, &received.build_ok_response("free"))
    });
    let bookings = Server::start(&nodes[1], "bookings", "s1", |received, stream| {
        write(stream, &received.build_ok_response("booked"))
    });
    wait_until(|| nodes[0].metric("arbutuslane_remote_servers") == 2);
    nodes.pop();
    // All requests use one connection, so that one traffic thread and its pool process them.
    let mut stream = open_connection(nodes[0].caller_address);
    let mut send = |method: &str, path: &str, key: &str| {
        let encoded = encode_request(method, path, &[("idempotency-key", key)], b"x");
        stream.write_all(&encoded).unwrap();
        caller::read_response(&mut stream, false).unwrap()
    };
    for number in 0..20 {
        assert_eq!(send("GET", "/slots", "").status, 200);
        let response = send("POST", "/bookings", &format!("order-{number}"));
        assert_eq!((response.status, response.outcome()), (200, "answered"), "{number}");
    }
    assert_eq!((lookups.received_requests().len(), bookings.received_requests().len()), (20, 20));
}
