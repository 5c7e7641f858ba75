//! A server that leaves, drains or stops renewing its lease gets no new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, ReceivedRequest, Server, call};

fn respond_done(received: &ReceivedRequest, stream: &mut std::net::TcpStream) -> bool {
    write(stream, &received.build_ok_response("done"))
}

/// Guards against dispatch to a server whose lease has expired because its leave message was lost
/// or never sent.
#[test]
fn leave_lease_expired() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let server = Server::start(&owner, "bookings", "s1", respond_done);
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    assert_eq!(entry.call("POST", "/bookings", &[], b"x").status, 200);
    server.stop_renewing();
    wait_until(|| owner.status()["servers"][0]["leased"] == false);
    let runs_before = server.received_requests().len();
    for node in [&owner, &entry] {
        let response = node.call("POST", "/bookings", &[], b"x");
        assert_eq!((response.status, response.outcome()), (503, "not-run"));
    }
    assert_eq!(server.received_requests().len(), runs_before);
}

/// Guards against dispatch to a server that has left, and against a delayed renewal that brings it
/// back.
#[test]
fn leave_announced() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", respond_done);
    assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    server.stop_renewing();
    let incarnation = node.status()["servers"][0]["incarnation"].clone();
    assert_eq!(call(node.admin_address, "DELETE", "/v1/servers/s1", &[], b"").status, 204);
    let delayed = serde_json::json!({"service": "slots", "server": "s1", "address": server.address,
        "incarnation": incarnation, "slots": 5, "revision": 0});
    let renewed =
        call(node.admin_address, "POST", "/v1/servers", &[], delayed.to_string().as_bytes());
    assert_eq!(renewed.status, 409);
    let runs_before = server.received_requests().len();
    let response = node.call("GET", "/slots", &[], b"");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(server.received_requests().len(), runs_before);
}

/// Sends an announcement of the server under `incarnation`; returns the status of the response.
fn announce(node: &Node, server: &Server, incarnation: &serde_json::Value, draining: bool) -> u16 {
    let announcement = serde_json::json!({"service": "slots", "server": server.name,
        "address": server.address, "incarnation": incarnation, "slots": 5, "revision": 0,
        "draining": draining});
    let body = announcement.to_string();
    call(node.admin_address, "POST", "/v1/servers", &[], body.as_bytes()).status
}

/// Guards against a server that gets work again after its departure was confirmed, because its node,
/// which has no disk, was killed and started twice before a delayed renewal arrived.
#[test]
fn leave_node_killed() {
    for drains in [false, true] {
        let others = [Node::start(&[]), Node::start(&[])];
        let mut owner = Node::start(&[others[0].peer_address, others[1].peer_address]);
        let server = Server::start(&owner, "slots", "s1", respond_done);
        wait_until(|| others[0].metric("arbutuslane_remote_servers") == 1);
        server.stop_renewing();
        // The last renewal may still be on its way.
        sleep(Duration::from_millis(400));
        let incarnation = owner.status()["servers"][0]["incarnation"].clone();
        match drains {
            true => assert_eq!(announce(&owner, &server, &incarnation, true), 200),
            false => {
                let left = call(owner.admin_address, "DELETE", "/v1/servers/s1", &[], b"");
                assert_eq!(left.status, 204);
            }
        }
        for _ in 0..2 {
            owner.kill_and_restart();
            let status = announce(&owner, &server, &incarnation, false);
            assert_eq!(status, if drains { 200 } else { 409 });
            for node in [&owner, &others[0]] {
                let response = node.call("GET", "/slots", &[], b"");
                assert_eq!((response.status, response.outcome()), (503, "not-run"));
            }
        }
        assert!(server.received_requests().is_empty());
        // A later start of the server is used.
        let later = (incarnation.as_u64().unwrap() + 1).into();
        assert_eq!(announce(&owner, &server, &later, false), 200);
        assert_eq!(owner.call("GET", "/slots", &[], b"").status, 200);
    }
}

/// Guards against a departure that is confirmed late because no other instance can be reached, and
/// against announcements that are refused for long after a start because of that.
#[test]
fn leave_alone() {
    let other = Node::start(&[]);
    let mut owner = Node::start(&[other.peer_address]);
    let server = Server::start(&owner, "slots", "s1", respond_done);
    server.stop_renewing();
    other.signal("STOP");
    let left = call(owner.admin_address, "DELETE", "/v1/servers/s1", &[], b"");
    assert_eq!(left.status, 204);
    owner.kill_and_restart();
    let next = serde_json::json!(u64::MAX);
    wait_until(|| announce(&owner, &server, &next, false) == 200);
    other.signal("CONT");
}

/// Guards against a drain that interrupts requests in flight or dispatches queued ones.
#[test]
fn leave_drained() {
    let node = Node::start(&[]);
    let release_responses = Arc::new(AtomicBool::new(false));
    let responses_released = Arc::clone(&release_responses);
    let server = Server::start(&node, "bookings", "s1", move |received, stream| {
        while !responses_released.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(5));
        }
        write(stream, &received.build_ok_response("booked"))
    });
    let caller_address = node.caller_address;
    let send = move || call(caller_address, "POST", "/bookings", &[], b"x");
    let running: Vec<_> = (0..5).map(|_| spawn(send)).collect();
    wait_until(|| server.received_requests().len() == 5);
    let queued = spawn(send);
    wait_until(|| node.status()["servers"][0]["queued"] == 1);
    assert_eq!(call(node.admin_address, "POST", "/v1/servers/s1/drain", &[], b"").status, 204);
    release_responses.store(true, Ordering::Relaxed);
    for thread in running {
        assert_eq!(thread.join().unwrap().status, 200);
    }
    let refused = queued.join().unwrap();
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(server.received_requests().len(), 5);
}

/// Guards against two owners that both dispatch to a server which moved from one to the other.
#[test]
fn leave_owner_died() {
    let mut first = Node::start(&[]);
    let second = Node::start(&[first.peer_address]);
    let server = Server::start_unannounced("s1", respond_done);
    server.announce(&[first.admin_address, second.admin_address], "slots");
    wait_until(|| second.metric("arbutuslane_remote_servers") == 1);
    first.child.kill().unwrap();
    first.child.wait().unwrap();
    wait_until(|| second.status()["servers"].as_array().is_some_and(|servers| !servers.is_empty()));
    assert_eq!(second.call("GET", "/slots", &[], b"").status, 200);
}

/// Guards against a lost server that an operator cannot trace afterwards in events and metrics.
#[test]
fn leave_events() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", respond_done);
    assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    server.stop_renewing();
    let event_kinds = || {
        let page: serde_json::Value =
            serde_json::from_slice(&node.get_admin("/v1/events?since=0").unwrap().body).unwrap();
        let events = page["events"].as_array().unwrap().clone();
        let kind = |event: serde_json::Value| event["kind"].as_str().unwrap().to_string();
        events.into_iter().map(kind).collect::<Vec<String>>()
    };
    wait_until(|| event_kinds().len() == 3);
    assert_eq!(event_kinds(), ["start", "server-announced", "lease-lost"]);
    let metrics = node.get_admin("/metrics").unwrap().text();
    let expected_line =
        "arbutuslane_request_seconds_count{service=\"slots\",class=\"idempotent\"} 1";
    assert!(metrics.contains(expected_line), "{metrics}");
}
