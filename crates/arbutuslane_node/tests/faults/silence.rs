//! Servers that stop responding, on established connections only or on all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Guards against lookups that keep failing on pooled connections which no longer respond, while
/// new connections work.
#[test]
fn silence_reused_connections() {
    let node = Node::start(&[]);
    let is_silent = Arc::new(AtomicBool::new(false));
    let server_is_silent = Arc::clone(&is_silent);
    let server = Server::start(&node, "slots", "s1", move |received, stream| {
        // Only connections that have carried a request before stop responding.
        if server_is_silent.load(Ordering::Relaxed) && received.request_index > 0 {
            sleep(Duration::from_secs(15));
            return false;
        }
        write(stream, &received.build_ok_response("free"))
    });
    for _ in 0..10 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    }
    is_silent.store(true, Ordering::Relaxed);
    let deadline = [("arbutuslane-deadline-ms", "300")];
    let mut failed_requests = 0;
    for _ in 0..20 {
        let response = node.call("GET", "/slots", &deadline, b"");
        match response.status {
            200 => {}
            504 => failed_requests += 1,
            status => panic!("status {status}"),
        }
    }
    // Each of the two traffic threads may lose one request before it drops its connections.
    assert!(failed_requests <= 2, "{failed_requests} requests failed");
    assert!(server.accepted_connections() > 1);
}

/// Guards against a lookup that fails because one server received it and does not respond, although
/// another server would.
#[test]
fn silence_other_server() {
    let node = Node::start(&[]);
    let _silent_server = Server::start(&node, "slots", "s1", |_, _| {
        sleep(Duration::from_secs(15));
        false
    });
    let _responsive_server = Server::start(&node, "slots", "s2", |received, stream| {
        write(stream, &received.build_ok_response("free"))
    });
    for _ in 0..6 {
        let response = node.call("GET", "/slots", &[("arbutuslane-deadline-ms", "1000")], b"");
        assert_eq!((response.status, response.text().as_str()), (200, "free"));
    }
}

/// Guards against a booking that runs twice or hangs when its server does not respond.
#[test]
fn silence_booking() {
    let node = Node::start(&[]);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&node, "bookings", name, |_, _| {
                sleep(Duration::from_secs(15));
                false
            })
        })
        .collect();
    let response = node.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "400")], b"x");
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    assert_eq!(servers.iter().map(|server| server.received_requests().len()).sum::<usize>(), 1);
}

/// Guards against a lookup that fails because its attempt at a slow server was cancelled before
/// another server accepted it. All other servers are full, and the slow one responds before the
/// deadline.
#[test]
fn silence_others_full() {
    let node = Node::start_seeded(&[], 1, 1);
    let released = Arc::new(AtomicBool::new(false));
    let server_released = Arc::clone(&released);
    let full_server = Server::start(&node, "slots", "s1", move |received, stream| {
        while !server_released.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(5));
        }
        write(stream, &received.build_ok_response("held"))
    });
    let caller_address = node.caller_address;
    let occupying_calls: Vec<_> = (0..5)
        .map(|_| spawn(move || call(caller_address, "GET", "/slots/hold", &[], b"").status))
        .collect();
    wait_until(|| full_server.received_requests().len() == 5);
    let _slow_server = Server::start(&node, "slots", "s2", |received, stream| {
        if received.path.contains("slow") {
            sleep(Duration::from_millis(700));
        }
        write(stream, &received.build_ok_response("free"))
    });
    // These requests set the usual latency that the slow request is compared with.
    for _ in 0..20 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    }
    let deadline = [("arbutuslane-deadline-ms", "3000")];
    let response = node.call("GET", "/slots/slow", &deadline, b"");
    assert_eq!((response.status, response.text().as_str()), (200, "free"));
    assert!(node.metric("arbutuslane_retries_total") > 0, "no other server was tried");
    assert_eq!(full_server.received_requests().len(), 5);
    released.store(true, Ordering::Relaxed);
    for thread in occupying_calls {
        assert_eq!(thread.join().unwrap(), 200);
    }
}

/// Guards against a lookup that fails because its attempt at a slow server was given up when another server
/// had accepted it, which then ends without a response.
#[test]
fn silence_second_cut() {
    let node = Node::start(&[]);
    let slow_runs = Arc::new(AtomicUsize::new(0));
    let start = |name: &str| {
        let slow_runs = Arc::clone(&slow_runs);
        Server::start(&node, "slots", name, move |received, stream| {
            if !received.path.contains("slow") {
                return write(stream, &received.build_ok_response("free"));
            }
            if slow_runs.fetch_add(1, Ordering::Relaxed) > 0 {
                sleep(Duration::from_millis(200));
                return false;
            }
            sleep(Duration::from_millis(900));
            write(stream, &received.build_ok_response("slow"))
        })
    };
    let _servers = [start("s1"), start("s2")];
    for _ in 0..20 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    }
    let deadline = [("arbutuslane-deadline-ms", "3000")];
    let response = node.call("GET", "/slots/slow", &deadline, b"");
    assert_eq!((response.status, response.text().as_str()), (200, "slow"));
    assert_eq!(slow_runs.load(Ordering::Relaxed), 2, "no other server was tried");
}
