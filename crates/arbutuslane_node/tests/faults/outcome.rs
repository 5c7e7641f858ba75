//! A request that is reported as not run did not run, and a booking runs at most once.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Guards against a refused connection that is reported as a possible run.
#[test]
fn outcome_connect_refused() {
    let node = Node::start(&[]);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let body = serde_json::json!({"service": "bookings", "server": "s1", "incarnation": 1,
        "address": closed, "slots": 5, "revision": 0});
    call(node.admin, "POST", "/v1/servers", &[], body.to_string().as_bytes());
    let response = node.call("POST", "/bookings", &[], b"x");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(response.field("retry-after").is_some());
}

/// Guards against a broken exchange that is reported as not run although bytes were received.
#[test]
fn outcome_reset() {
    // The server breaks off before the request, in its body, and after it.
    for taken in [1, 300, 100_000] {
        let node = Node::start(&[]);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ended = Arc::new(AtomicBool::new(false));
        let ending = Arc::clone(&ended);
        let accepted = spawn(move || {
            let mut accepted = 0;
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                if ending.load(Ordering::Relaxed) {
                    return accepted;
                }
                let mut rest = vec![0; taken];
                // The owner connects without a request to find out whether the process is gone.
                if stream.read(&mut rest).unwrap_or(0) > 0 {
                    accepted += 1;
                }
            }
            accepted
        });
        let body = serde_json::json!({"service": "bookings", "server": "s1", "incarnation": 1,
            "address": address, "slots": 5, "revision": 0});
        call(node.admin, "POST", "/v1/servers", &[], body.to_string().as_bytes());
        let response = node.call("POST", "/bookings", &[], &[b'x'; 60_000]);
        assert_eq!((response.status, response.outcome()), (502, "unknown"), "{taken}");
        ended.store(true, Ordering::Relaxed);
        drop(std::net::TcpStream::connect(address).unwrap());
        assert_eq!(accepted.join().unwrap(), 1, "{taken}");
    }
}

/// Guards against a booking that is sent to a second server after it may have run on the first.
#[test]
fn outcome_booking_once() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let breaks = |_: &crate::support::Received, _: &mut std::net::TcpStream| false;
    let servers = [
        Server::start(&owner, "bookings", "s1", breaks),
        Server::start(&owner, "bookings", "s2", breaks),
        Server::start(&entry, "bookings", "s3", breaks),
    ];
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    for number in 0..12 {
        let response = entry.call("POST", &format!("/bookings?n={number}"), &[], b"x");
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
    }
    let runs: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(runs, 12);
}

/// Guards against a booking on a connection that its server has closed as idle.
#[test]
fn outcome_pooled_closed() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let server = Server::start(&owner, "bookings", "s1", |received, stream| {
        write(stream, &received.ok("booked"));
        false
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    for number in 0..20 {
        let path = format!("/bookings?n={number}");
        let response = entry.call("POST", &path, &[], b"x");
        assert_eq!((response.status, response.outcome()), (200, "answered"));
    }
    let received = server.received();
    assert_eq!(received.len(), 20);
    assert!(received.iter().all(|received| received.turn == 0));
}

/// Guards against a lookup that fails because an idle connection was closed meanwhile.
#[test]
fn outcome_pooled_closed_idempotent() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.ok("free"));
        received.turn < 1
    });
    for _ in 0..20 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
        sleep(Duration::from_millis(20));
    }
    assert!(server.received().iter().any(|received| received.turn == 1), "nothing was reused");
}

/// Guards against a request that fails or is sent twice because its server closed the pooled
/// connection while it was idle, also when the body can be sent only once.
#[test]
fn outcome_pooled_closed_while_idle() {
    let node = Node::start_with(&[], 1, 1);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        let idle = stream.try_clone().unwrap();
        spawn(move || {
            sleep(Duration::from_millis(100));
            let _ = idle.shutdown(std::net::Shutdown::Both);
        });
        write(stream, &received.ok("free"))
    });
    for number in 0..10 {
        for body in [vec![], vec![b'x'; 100_000]] {
            let path = format!("/slots?n={number}&length={}", body.len());
            let response = node.call("PUT", &path, &[], &body);
            assert_eq!((response.status, response.outcome()), (200, "answered"), "{path}");
            if !body.is_empty() {
                sleep(Duration::from_millis(150));
            }
        }
    }
    let received = server.received();
    assert_eq!(received.len(), 20);
    assert!(received.iter().any(|received| received.turn == 1), "nothing was reused");
}

/// Guards against a server's own statement that it did not run the request which is lost, and
/// against a bare 503 that is taken for such a statement.
#[test]
fn outcome_shed() {
    let node = Node::start(&[]);
    let states = AtomicBool::new(true);
    let server = Server::start(&node, "bookings", "s1", move |received, stream| {
        let fields = if states.swap(false, Ordering::Relaxed) {
            "arbutuslane-outcome: not-run\r\nretry-after: 7\r\n"
        } else {
            "retry-after: 7\r\n"
        };
        write(stream, &received.respond("503 Busy", fields, ""))
    });
    let stated = node.call("POST", "/bookings", &[], b"x");
    assert_eq!((stated.status, stated.outcome()), (503, "not-run"));
    assert_eq!(stated.field("retry-after"), Some("7"));
    let bare = node.call("POST", "/bookings", &[], b"x");
    assert_eq!((bare.status, bare.outcome()), (503, "answered"));
    assert_eq!(server.received().len(), 2);
}

/// A seed of the node's random choices.
const SHED_FIRST: u64 = 1;

/// Guards against a server that refuses quickly, looks idle for it and draws all requests.
#[test]
fn outcome_shed_elsewhere() {
    // With one thread and this seed the server that sheds is the first to be chosen.
    let node = Node::start_with(&[], 1, SHED_FIRST);
    let sheds = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.respond("503 Busy", "arbutuslane-outcome: not-run\r\n", ""))
    });
    let runs = Server::start(&node, "bookings", "s2", |received, stream| {
        write(stream, &received.ok("booked"))
    });
    let mut answered = 0;
    for _ in 0..40 {
        // The retry budget allows a part of the refused requests to run elsewhere.
        let response = node.call("POST", "/bookings", &[], b"x");
        match (response.status, response.outcome()) {
            (200, "answered") => answered += 1,
            (503, "not-run") => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(runs.received().len(), answered);
    assert!(!sheds.received().is_empty());
    assert!(node.metric("arbutuslane_retries_total") > 0);
    assert!(answered >= 30, "{answered} of 40 answered");
}

/// Guards against a deadline that is ignored at the entry, in the owner's queue or at the server.
#[test]
fn outcome_deadline() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let server = Server::start(&owner, "bookings", "s1", |received, stream| {
        sleep(Duration::from_millis(600));
        write(stream, &received.ok("booked"))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let passed = entry.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "0")], b"x");
    assert_eq!((passed.status, passed.outcome()), (503, "not-run"));
    let at_server = entry.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "200")], b"x");
    assert_eq!((at_server.status, at_server.outcome()), (504, "unknown"));
    assert_eq!(server.received().len(), 1);
    let stated = server.received()[0].field("arbutuslane-deadline-ms").unwrap().parse::<u64>();
    assert!(stated.unwrap() <= 200);
    // All five slots are taken, so the sixth request waits at the owner until its deadline.
    let callers = entry.callers;
    let busy: Vec<_> = (0..5)
        .map(|_| spawn(move || call(callers, "POST", "/bookings", &[], b"x").status))
        .collect();
    wait_until(|| server.received().len() == 6);
    let queued = entry.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "100")], b"late");
    assert_eq!((queued.status, queued.outcome()), (503, "not-run"));
    for thread in busy {
        assert_eq!(thread.join().unwrap(), 200);
    }
    assert!(server.received().iter().all(|received| received.body != b"late"));
}

/// Guards against an owner that failed before the request and makes it look like a possible run.
#[test]
fn outcome_owner_gone() {
    let mut owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let server = Server::start(&owner, "bookings", "s1", |received, stream| {
        write(stream, &received.ok("booked"))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    owner.child.kill().unwrap();
    owner.child.wait().unwrap();
    let response = entry.call("POST", "/bookings", &[], b"x");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(server.received().is_empty());
}
