//! Faults of servers and nodes that could give a caller an incomplete response or one meant for
//! another caller, and callers that disconnect.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, ReceivedRequest, Server, caller, encode_request, open_connection};

/// Guards against forwarding a response that carries the exchange id of another request.
#[test]
fn response_swapped() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        let mut other = received.clone();
        other.headers.retain(|(name, _)| name != "arbutuslane-exchange");
        let foreign_header = ("arbutuslane-exchange".to_string(), "0".repeat(32));
        other.headers.push(foreign_header);
        write(stream, &other.build_ok_response("another caller's booking"))
    });
    let response = node.call("POST", "/bookings", &[], b"mine");
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert!(!response.text().contains("another caller"));
    assert_eq!(server.received_requests().len(), 1);
    assert_eq!(node.metric("arbutuslane_wrong_exchange_total"), 1);
}

/// Guards against a server's duplicate response that reaches the next caller.
#[test]
fn response_twice() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        let mut both_responses = received.build_ok_response(&format!("for {}", received.path));
        let second_response = received.build_ok_response(&format!("second for {}", received.path));
        both_responses.extend_from_slice(&second_response);
        write(stream, &both_responses)
    });
    for number in 0..20 {
        let path = format!("/slots?n={number}");
        let response = node.call("GET", &path, &[], b"");
        assert_eq!((response.status, response.text()), (200, format!("for {path}")));
    }
    // Each connection has an unread second response, so none of them may be reused.
    assert!(server.received_requests().iter().all(|received| received.request_index == 0));
}

/// Guards against a duplicate response that arrives after its connection went back to the pool.
#[test]
fn response_twice_late() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        let sent = write(stream, &received.build_ok_response(&format!("for {}", received.path)));
        sleep(Duration::from_millis(30));
        sent && write(stream, &received.build_ok_response(&format!("second for {}", received.path)))
    });
    for number in 0..20 {
        let path = format!("/slots?n={number}");
        let response = node.call("GET", &path, &[], b"");
        // The duplicate arrives on an idle connection after the wait, and otherwise possibly during
        // the next request.
        if number % 2 == 0 {
            sleep(Duration::from_millis(60));
        }
        // If the duplicate arrives while the next request waits on that connection, that request
        // fails with status 502.
        assert!(!response.text().contains("second"), "{}", response.text());
        assert!(response.status == 502 || response.text() == format!("for {path}"));
    }
}

/// Guards against a response that arrives after its deadline and is used for the next request.
#[test]
fn response_late() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        if received.path.contains("late") {
            sleep(Duration::from_millis(400));
        }
        write(stream, &received.build_ok_response(&format!("for {}", received.path)))
    });
    assert_eq!(node.call("GET", "/slots?warm", &[], b"").status, 200);
    let late = node.call("GET", "/slots?late", &[("arbutuslane-deadline-ms", "150")], b"");
    assert_eq!((late.status, late.outcome()), (504, "unknown"));
    // The late response is sent during these requests, 400 ms after its own request arrived.
    for number in 0..10 {
        let path = format!("/slots?n={number}");
        assert_eq!(node.call("GET", &path, &[], b"").text(), format!("for {path}"));
        sleep(Duration::from_millis(60));
    }
    // The server received at least the 12 requests above; a repeated one counts again.
    assert!(server.received_requests().len() >= 12);
}

/// Guards against a body that is shorter than its content length and is forwarded as complete.
#[test]
fn response_cut_length() {
    for path in ["/bookings", "/slots", "/download/x"] {
        let node = Node::start(&[]);
        // The service `reports` serves the paths below `/download`.
        let service_name = path.trim_start_matches('/').replace("download/x", "reports");
        let _server = Server::start(&node, &service_name, "s1", |received, stream| {
            let full_response = received.build_ok_response(&"a".repeat(200_000));
            write(stream, &full_response[..full_response.len() / 2]);
            false
        });
        let response = node.call("GET", path, &[], b"");
        assert!(!response.is_complete, "{path}");
        assert!(response.body.iter().all(|byte| *byte == b'a'), "{path}");
        assert!(response.body.len() < 200_000, "{path}");
    }
}

/// Guards against a chunked body without its last chunk that is forwarded as complete.
#[test]
fn response_cut_clean() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        let exchange_id = received.header("arbutuslane-exchange").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\narbutuslane-exchange: {exchange_id}\r\n");
        let body = "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
        write(stream, format!("{head}{body}").as_bytes());
        false
    });
    let response = node.call("GET", "/slots", &[], b"");
    assert!(!response.is_complete);
    assert!(response.text().is_empty() || response.text() == "hello", "{}", response.text());
}

/// Guards against a body that is delimited only by the end of the connection, which hides a
/// truncation.
#[test]
fn response_unframed() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        let exchange_id = received.header("arbutuslane-exchange").unwrap();
        let text = format!("HTTP/1.1 200 OK\r\narbutuslane-exchange: {exchange_id}\r\n\r\nhalf of");
        write(stream, text.as_bytes());
        false
    });
    let response = node.call("GET", "/slots", &[], b"");
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert!(!response.text().contains("half of"));
}

/// Guards against a partly received request that reaches a server as a complete one.
#[test]
fn request_cut() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.build_ok_response("booked"))
    });
    for length in [1_000, 500_000] {
        let full_request = encode_request("POST", "/bookings", &[], &vec![b'b'; length]);
        let mut stream = open_connection(node.caller_address);
        stream.write_all(&full_request[..full_request.len() - 100]).unwrap();
        drop(stream);
    }
    // A chunked body without its last chunk.
    let mut stream = open_connection(node.caller_address);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}5\r\nhello\r\n").as_bytes()).unwrap();
    drop(stream);
    crate::support::node::wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    // Gives a wrongly forwarded request time to arrive.
    sleep(Duration::from_millis(200));
    assert!(server.received_requests().is_empty(), "{:?}", server.received_requests());
}

/// Guards against a request that keeps running and occupying a slot after its caller disconnected.
#[test]
fn caller_gone() {
    let node = Node::start(&[]);
    let (closed_sender, closed_receiver) = std::sync::mpsc::channel();
    let server = Server::start(&node, "bookings", "s1", move |_, stream| {
        use std::io::Read;
        let is_closed = matches!(stream.read(&mut [0; 16]), Ok(0) | Err(_));
        let _ = closed_sender.send(is_closed);
        false
    });
    let mut stream = open_connection(node.caller_address);
    stream.write_all(&encode_request("POST", "/bookings", &[], b"x")).unwrap();
    crate::support::node::wait_until(|| server.received_requests().len() == 1);
    drop(stream);
    assert!(closed_receiver.recv_timeout(Duration::from_secs(4)).unwrap(), "connection still open");
    crate::support::node::wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    assert_eq!(node.status()["servers"][0]["in_flight"], 0);
}

/// Guards against a body that looks complete although the owner was killed while forwarding it.
#[test]
fn node_killed() {
    let mut owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let _server = Server::start(&owner, "slots", "s1", |received, stream| {
        let full_response = received.build_ok_response(&"a".repeat(400_000));
        write(stream, &full_response[..full_response.len() / 2]);
        // Delays the second half until after the owner is killed.
        sleep(Duration::from_secs(8));
        write(stream, &full_response[full_response.len() / 2..])
    });
    crate::support::node::wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let mut stream = open_connection(entry.caller_address);
    stream.write_all(&encode_request("GET", "/slots", &[], b"")).unwrap();
    crate::support::node::wait_until(|| owner.metric("arbutuslane_in_flight") == 1);
    // Gives the first half time to be forwarded.
    sleep(Duration::from_millis(200));
    owner.child.kill().unwrap();
    // A connection that ends before a complete head gives an empty, incomplete response.
    let response = caller::read_response(&mut stream, false).unwrap_or_default();
    assert!(!response.is_complete);
    assert!(response.body.len() < 400_000);
}

/// Guards against an earlier refusal that a faulty server writes once more on a kept connection, and
/// that is taken for the refusal of the request that the server runs there: the caller would be told
/// that it did not run, or it would run at another server.
#[test]
fn response_refused_again() {
    let node = Node::start(&[]);
    let refusal = Arc::new(Mutex::new(Vec::new()));
    let earlier = Arc::clone(&refusal);
    let handler = move |received: &ReceivedRequest, stream: &mut TcpStream| {
        let mut refusal = earlier.lock().unwrap();
        let not_run = "arbutuslane-outcome: not-run\r\nretry-after: 0\r\n";
        if received.path.contains("refuse") {
            *refusal = received.build_response("503 Busy", not_run, "");
            return write(stream, &refusal);
        }
        let again = std::mem::take(&mut *refusal);
        write(stream, &again) && write(stream, &received.build_ok_response("booked"))
    };
    let server = Server::start(&node, "bookings", "s1", handler);
    for round in 0..5 {
        let refused = node.call("POST", "/bookings/refuse", &[], b"x");
        assert_eq!((refused.status, refused.outcome()), (503, "not-run"), "round {round}");
        let booked = node.call("POST", "/bookings/run", &[], b"x");
        // Where the refusal comes first, nothing is known of the booking that ran behind it.
        let outcome = (booked.status, booked.outcome());
        assert!(matches!(outcome, (200, _) | (502, "unknown")), "round {round}: {outcome:?}");
        // A server that breaks the protocol is avoided for a while.
        wait_until(|| node.call("POST", "/bookings/run", &[], b"x").status == 200);
    }
    let runs = server.received_requests();
    let bookings = runs.iter().filter(|received| received.path.ends_with("run")).count();
    assert!(bookings >= 10, "{bookings}");
}

/// Guards against a response whose head was cut, and that reaches the caller as a whole one with an
/// empty or short body.
#[test]
fn response_head_cut() {
    let node = Node::start(&[]);
    let cut_at = Arc::new(AtomicUsize::new(0));
    let cut = Arc::clone(&cut_at);
    let server = Server::start(&node, "slots", "s1", move |received, stream| {
        let exchange_id = received.header("arbutuslane-exchange").unwrap();
        let whole = format!(
            "HTTP/1.1 200 OK\r\narbutuslane-exchange: {exchange_id}\r\nx-a: b\r\n\
             content-length: 12\r\n\r\nwhole answer"
        );
        let length = cut.load(Ordering::SeqCst).min(whole.len());
        write(stream, &whole.as_bytes()[..length]);
        length == whole.len()
    });
    for length in (0..130).step_by(4) {
        cut_at.store(length, Ordering::SeqCst);
        let response = node.call("GET", "/slots", &[], b"");
        let is_whole = response.text() == "whole answer";
        assert!(response.status != 200 || is_whole || !response.is_complete, "{length} bytes");
    }
    cut_at.store(usize::MAX, Ordering::SeqCst);
    wait_until(|| node.call("GET", "/slots", &[], b"").text() == "whole answer");
    assert!(!server.is_stopped());
}
