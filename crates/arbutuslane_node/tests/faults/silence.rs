//! Established connections that go silent while new ones work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Guards against lookups that keep failing on connections which no longer answer.
#[test]
fn silence_reused_connections() {
    let node = Node::start(&[]);
    let silent = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&silent);
    let server = Server::start(&node, "slots", "s1", move |received, stream| {
        // Only connections that already carried a request lose their state.
        if switch.load(Ordering::Relaxed) && received.turn > 0 {
            sleep(Duration::from_secs(15));
            return false;
        }
        write(stream, &received.ok("free"))
    });
    for _ in 0..10 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    }
    silent.store(true, Ordering::Relaxed);
    let deadline = [("arbutuslane-deadline-ms", "300")];
    let mut failed = 0;
    for _ in 0..20 {
        let response = node.call("GET", "/slots", &deadline, b"");
        match response.status {
            200 => {}
            504 => failed += 1,
            status => panic!("status {status}"),
        }
    }
    // Each of the two traffic threads may lose one request before it drops its connections.
    assert!(failed <= 2, "{failed} requests failed");
    assert!(server.connections() > 1);
}

/// Guards against a lookup that is lost because one server took it and went silent.
#[test]
fn silence_other_server() {
    let node = Node::start(&[]);
    let _silent = Server::start(&node, "slots", "s1", |_, _| {
        sleep(Duration::from_secs(15));
        false
    });
    let _works =
        Server::start(&node, "slots", "s2", |received, stream| write(stream, &received.ok("free")));
    for _ in 0..6 {
        let response = node.call("GET", "/slots", &[("arbutuslane-deadline-ms", "1000")], b"");
        assert_eq!((response.status, response.text().as_str()), (200, "free"));
    }
}

/// Guards against a booking that is run twice, or hangs, when its server goes silent.
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
    assert_eq!(servers.iter().map(|server| server.received().len()).sum::<usize>(), 1);
}

/// Guards against a lookup that fails because its attempt at a slow server was given up before another
/// server took it: all others are full, and the slow one would have answered in time.
#[test]
fn silence_others_full() {
    let node = Node::start_with(&[], 1, 1);
    let released = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&released);
    let full = Server::start(&node, "slots", "s1", move |received, stream| {
        while !held.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(5));
        }
        write(stream, &received.ok("held"))
    });
    let callers = node.callers;
    let holders: Vec<_> = (0..5)
        .map(|_| spawn(move || call(callers, "GET", "/slots/hold", &[], b"").status))
        .collect();
    wait_until(|| full.received().len() == 5);
    let _slow = Server::start(&node, "slots", "s2", |received, stream| {
        if received.path.contains("slow") {
            sleep(Duration::from_millis(700));
        }
        write(stream, &received.ok("free"))
    });
    // The usual latency that the slow request is compared with.
    for _ in 0..20 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    }
    let deadline = [("arbutuslane-deadline-ms", "3000")];
    let response = node.call("GET", "/slots/slow", &deadline, b"");
    assert_eq!((response.status, response.text().as_str()), (200, "free"));
    assert!(node.metric("arbutuslane_retries_total") > 0, "no other server was tried");
    assert_eq!(full.received().len(), 5);
    released.store(true, Ordering::Relaxed);
    for holder in holders {
        assert_eq!(holder.join().unwrap(), 200);
    }
}
