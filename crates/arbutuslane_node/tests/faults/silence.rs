//! Established connections that go silent while new ones work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::support::server::write;
use crate::support::{Node, Server};

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
