//! A request reported as not run has not run, and a booking runs at most once.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Guards against a refused connection that is reported as if the request may have run.
#[test]
fn outcome_connect_refused() {
    let node = Node::start(&[]);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let body = serde_json::json!({"service": "bookings", "server": "s1", "incarnation": 1,
        "address": closed, "slots": 5, "revision": 0});
    call(node.admin_address, "POST", "/v1/servers", &[], body.to_string().as_bytes());
    let response = node.call("POST", "/bookings", &[], b"x");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(response.header("retry-after").is_some());
}

/// Guards against a broken exchange that is reported as not run although the server received bytes.
#[test]
fn outcome_reset() {
    // The server closes the connection at the start of the request, within its body, and after it.
    for max_bytes_read in [1, 300, 100_000] {
        let node = Node::start(&[]);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stop_requested = Arc::new(AtomicBool::new(false));
        let listener_stop_requested = Arc::clone(&stop_requested);
        let listener_thread = spawn(move || {
            let mut received_count = 0;
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                if listener_stop_requested.load(Ordering::Relaxed) {
                    return received_count;
                }
                let mut buffer = vec![0; max_bytes_read];
                // The owner also connects without a request, to check whether the process has
                // exited.
                if stream.read(&mut buffer).unwrap_or(0) > 0 {
                    received_count += 1;
                }
            }
            received_count
        });
        let body = serde_json::json!({"service": "bookings", "server": "s1", "incarnation": 1,
            "address": address, "slots": 5, "revision": 0});
        call(node.admin_address, "POST", "/v1/servers", &[], body.to_string().as_bytes());
        let response = node.call("POST", "/bookings", &[], &[b'x'; 60_000]);
        assert_eq!((response.status, response.outcome()), (502, "unknown"), "{max_bytes_read}");
        stop_requested.store(true, Ordering::Relaxed);
        drop(std::net::TcpStream::connect(address).unwrap());
        assert_eq!(listener_thread.join().unwrap(), 1, "{max_bytes_read}");
    }
}

/// Guards against a booking that is sent to a second server after it may have run on the first.
#[test]
fn outcome_booking_once() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let close_without_response =
        |_: &crate::support::ReceivedRequest, _: &mut std::net::TcpStream| false;
    let servers = [
        Server::start(&owner, "bookings", "s1", close_without_response),
        Server::start(&owner, "bookings", "s2", close_without_response),
        Server::start(&entry, "bookings", "s3", close_without_response),
    ];
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    for number in 0..12 {
        let response = entry.call("POST", &format!("/bookings?n={number}"), &[], b"x");
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
    }
    let runs: usize = servers.iter().map(|server| server.received_requests().len()).sum();
    assert_eq!(runs, 12);
}

/// Guards against a booking that is sent on a pooled connection that the server has closed as idle.
#[test]
fn outcome_pooled_closed() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let server = Server::start(&owner, "bookings", "s1", |received, stream| {
        write(stream, &received.build_ok_response("booked"));
        false
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    for number in 0..20 {
        let path = format!("/bookings?n={number}");
        let response = entry.call("POST", &path, &[], b"x");
        assert_eq!((response.status, response.outcome()), (200, "answered"));
    }
    let received = server.received_requests();
    assert_eq!(received.len(), 20);
    assert!(received.iter().all(|received| received.request_index == 0));
}

/// Guards against a lookup that fails because the server closed the pooled connection while it was
/// idle.
#[test]
fn outcome_pooled_closed_idempotent() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.build_ok_response("free"));
        received.request_index < 1
    });
    for _ in 0..20 {
        assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
        sleep(Duration::from_millis(20));
    }
    assert!(
        server.received_requests().iter().any(|received| received.request_index == 1),
        "no connection was reused"
    );
}

/// Guards against a request that fails or is sent twice because the server closed the pooled
/// connection while it was idle. Also covers bodies too large to be sent a second time.
#[test]
fn outcome_pooled_closed_while_idle() {
    let node = Node::start_seeded(&[], 1, 1);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        let idle = stream.try_clone().unwrap();
        spawn(move || {
            sleep(Duration::from_millis(100));
            let _ = idle.shutdown(std::net::Shutdown::Both);
        });
        write(stream, &received.build_ok_response("free"))
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
    let received = server.received_requests();
    assert_eq!(received.len(), 20);
    assert!(
        received.iter().any(|received| received.request_index == 1),
        "no connection was reused"
    );
}

/// Guards against losing a server's statement that it did not run a request, and against treating a
/// 503 without that statement as if it had one.
#[test]
fn outcome_shed() {
    let node = Node::start(&[]);
    let states_outcome = AtomicBool::new(true);
    let server = Server::start(&node, "bookings", "s1", move |received, stream| {
        let headers = if states_outcome.swap(false, Ordering::Relaxed) {
            "arbutuslane-outcome: not-run\r\nretry-after: 7\r\n"
        } else {
            "retry-after: 7\r\n"
        };
        write(stream, &received.build_response("503 Busy", headers, ""))
    });
    let with_statement = node.call("POST", "/bookings", &[], b"x");
    assert_eq!((with_statement.status, with_statement.outcome()), (503, "not-run"));
    assert_eq!(with_statement.header("retry-after"), Some("7"));
    let without_statement = node.call("POST", "/bookings", &[], b"x");
    assert_eq!((without_statement.status, without_statement.outcome()), (503, "answered"));
    assert_eq!(server.received_requests().len(), 2);
}

/// Seed with which a node with one traffic thread chooses the shedding server first.
const SHEDDING_SERVER_FIRST_SEED: u64 = 1;

/// Guards against a server that sheds requests quickly, therefore looks idle and attracts all
/// others.
#[test]
fn outcome_shed_elsewhere() {
    let node = Node::start_seeded(&[], 1, SHEDDING_SERVER_FIRST_SEED);
    let shedding_server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.build_response("503 Busy", "arbutuslane-outcome: not-run\r\n", ""))
    });
    let responsive_server = Server::start(&node, "bookings", "s2", |received, stream| {
        write(stream, &received.build_ok_response("booked"))
    });
    let mut answered = 0;
    for _ in 0..40 {
        // The retry budget lets some of the refused requests run on the other server.
        let response = node.call("POST", "/bookings", &[], b"x");
        match (response.status, response.outcome()) {
            (200, "answered") => answered += 1,
            (503, "not-run") => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(responsive_server.received_requests().len(), answered);
    assert!(!shedding_server.received_requests().is_empty());
    assert!(node.metric("arbutuslane_retries_total") > 0);
    assert!(answered >= 30, "{answered} of 40 answered");
}

/// Guards against a deadline that the entry, the owner's queue or the server does not observe.
#[test]
fn outcome_deadline() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let server = Server::start(&owner, "bookings", "s1", |received, stream| {
        sleep(Duration::from_millis(600));
        write(stream, &received.build_ok_response("booked"))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let expired = entry.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "0")], b"x");
    assert_eq!((expired.status, expired.outcome()), (503, "not-run"));
    let at_server = entry.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "200")], b"x");
    assert_eq!((at_server.status, at_server.outcome()), (504, "unknown"));
    assert_eq!(server.received_requests().len(), 1);
    let forwarded_deadline =
        server.received_requests()[0].header("arbutuslane-deadline-ms").unwrap().parse::<u64>();
    assert!(forwarded_deadline.unwrap() <= 200);
    // All five slots are occupied, so the sixth request waits at the owner until its deadline.
    let caller_address = entry.caller_address;
    let occupying_calls: Vec<_> = (0..5)
        .map(|_| spawn(move || call(caller_address, "POST", "/bookings", &[], b"x").status))
        .collect();
    wait_until(|| server.received_requests().len() == 6);
    let queued = entry.call("POST", "/bookings", &[("arbutuslane-deadline-ms", "100")], b"late");
    assert_eq!((queued.status, queued.outcome()), (503, "not-run"));
    for thread in occupying_calls {
        assert_eq!(thread.join().unwrap(), 200);
    }
    assert!(server.received_requests().iter().all(|received| received.body != b"late"));
}

/// Guards against a request that is reported as possibly run although its owner had failed before.
#[test]
fn outcome_owner_gone() {
    let mut owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let server = Server::start(&owner, "bookings", "s1", |received, stream| {
        write(stream, &received.build_ok_response("booked"))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    owner.child.kill().unwrap();
    owner.child.wait().unwrap();
    let response = entry.call("POST", "/bookings", &[], b"x");
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert!(server.received_requests().is_empty());
}
