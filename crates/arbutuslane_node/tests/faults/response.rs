//! Faults of backend servers that could give a caller an incomplete or a stranger's response.

use std::io::Write;
use std::thread::sleep;
use std::time::Duration;

use crate::support::server::write;
use crate::support::{Node, Server, caller, open, request};

/// Guards against a response that is passed on although it names another exchange.
#[test]
fn response_swapped() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        let mut other = received.clone();
        other.fields.retain(|(name, _)| name != "arbutuslane-exchange");
        let stranger = ("arbutuslane-exchange".to_string(), "0".repeat(32));
        other.fields.push(stranger);
        write(stream, &other.ok("another caller's booking"))
    });
    let response = node.call("POST", "/bookings", &[], b"mine");
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert!(!response.text().contains("another caller"));
    assert_eq!(server.received().len(), 1);
    assert_eq!(node.metric("arbutuslane_wrong_exchange_total"), 1);
}

/// Guards against the second response of a server that reaches the next caller.
#[test]
fn response_twice() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        let mut both = received.ok(&format!("for {}", received.path));
        let second = received.ok(&format!("second for {}", received.path));
        both.extend_from_slice(&second);
        write(stream, &both)
    });
    for number in 0..20 {
        let path = format!("/slots?n={number}");
        let response = node.call("GET", &path, &[], b"");
        assert_eq!((response.status, response.text()), (200, format!("for {path}")));
    }
    // Every connection holds a second response, so none may carry another request.
    assert!(server.received().iter().all(|received| received.turn == 0));
}

/// Guards against a second response that arrives only after its connection was kept for reuse.
#[test]
fn response_twice_late() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        let sent = write(stream, &received.ok(&format!("for {}", received.path)));
        sleep(Duration::from_millis(30));
        sent && write(stream, &received.ok(&format!("second for {}", received.path)))
    });
    for number in 0..20 {
        let path = format!("/slots?n={number}");
        let response = node.call("GET", &path, &[], b"");
        if number % 2 == 0 {
            sleep(Duration::from_millis(60));
        }
        // A request that met the second response in mid-exchange has no answer at all.
        assert!(!response.text().contains("second"), "{}", response.text());
        assert!(response.status == 502 || response.text() == format!("for {path}"));
    }
}

/// Guards against a response that comes after its deadline and is taken for the next one.
#[test]
fn response_late() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        if received.path.contains("late") {
            sleep(Duration::from_millis(400));
        }
        write(stream, &received.ok(&format!("for {}", received.path)))
    });
    assert_eq!(node.call("GET", "/slots?warm", &[], b"").status, 200);
    let late = node.call("GET", "/slots?late", &[("arbutuslane-deadline-ms", "150")], b"");
    assert_eq!((late.status, late.outcome()), (504, "unknown"));
    for number in 0..10 {
        let path = format!("/slots?n={number}");
        assert_eq!(node.call("GET", &path, &[], b"").text(), format!("for {path}"));
        sleep(Duration::from_millis(60));
    }
    assert!(server.received().len() >= 12);
}

/// Guards against a body cut below its stated length that ends like a complete one.
#[test]
fn response_cut_length() {
    for service in ["/bookings", "/slots", "/download/x"] {
        let node = Node::start(&[]);
        let name = service.trim_start_matches('/').replace("download/x", "reports");
        let _server = Server::start(&node, &name, "s1", |received, stream| {
            let whole = received.ok(&"a".repeat(200_000));
            write(stream, &whole[..whole.len() / 2]);
            false
        });
        let response = node.call("GET", service, &[], b"");
        assert!(!response.complete, "{service}");
        assert!(response.body.iter().all(|byte| *byte == b'a'), "{service}");
        assert!(response.body.len() < 200_000, "{service}");
    }
}

/// Guards against a chunked body without its last chunk that ends like a complete one.
#[test]
fn response_cut_clean() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        let echo = received.field("arbutuslane-exchange").unwrap();
        let head = format!("HTTP/1.1 200 OK\r\narbutuslane-exchange: {echo}\r\n");
        let body = "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
        write(stream, format!("{head}{body}").as_bytes());
        false
    });
    let response = node.call("GET", "/slots", &[], b"");
    assert!(!response.complete);
    assert!(response.text().is_empty() || response.text() == "hello", "{}", response.text());
}

/// Guards against a body whose end is only the end of the connection, so a cut is invisible.
#[test]
fn response_unframed() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        let echo = received.field("arbutuslane-exchange").unwrap();
        let text = format!("HTTP/1.1 200 OK\r\narbutuslane-exchange: {echo}\r\n\r\nhalf of");
        write(stream, text.as_bytes());
        false
    });
    let response = node.call("GET", "/slots", &[], b"");
    assert_eq!((response.status, response.outcome()), (502, "unknown"));
    assert!(!response.text().contains("half of"));
}

/// Guards against a half-sent request that reaches a server as a complete one.
#[test]
fn request_cut() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.ok("booked"))
    });
    // Below and above the size that the entry holds, and in chunks.
    for length in [1_000, 500_000] {
        let whole = request("POST", "/bookings", &[], &vec![b'b'; length]);
        let mut stream = open(node.callers);
        stream.write_all(&whole[..whole.len() - 100]).unwrap();
        drop(stream);
    }
    let mut stream = open(node.callers);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(format!("{head}5\r\nhello\r\n").as_bytes()).unwrap();
    drop(stream);
    crate::support::node::wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    sleep(Duration::from_millis(200));
    assert!(server.received().is_empty(), "{:?}", server.received());
}

/// Guards against work that goes on, and a slot that stays taken, after its caller left.
#[test]
fn caller_gone() {
    let node = Node::start(&[]);
    let (closed, seen) = std::sync::mpsc::channel();
    let server = Server::start(&node, "bookings", "s1", move |_, stream| {
        use std::io::Read;
        let ended = matches!(stream.read(&mut [0; 16]), Ok(0) | Err(_));
        let _ = closed.send(ended);
        false
    });
    let mut stream = open(node.callers);
    stream.write_all(&request("POST", "/bookings", &[], b"x")).unwrap();
    crate::support::node::wait_until(|| server.received().len() == 1);
    drop(stream);
    assert!(seen.recv_timeout(Duration::from_secs(4)).unwrap(), "connection still open");
    crate::support::node::wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    assert_eq!(node.status()["servers"][0]["in_flight"], 0);
}

/// Guards against a body that looks complete when the node in the middle is killed.
#[test]
fn node_killed() {
    let mut owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let _server = Server::start(&owner, "slots", "s1", |received, stream| {
        let whole = received.ok(&"a".repeat(400_000));
        write(stream, &whole[..whole.len() / 2]);
        sleep(Duration::from_secs(8));
        write(stream, &whole[whole.len() / 2..])
    });
    crate::support::node::wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let mut stream = open(entry.callers);
    stream.write_all(&request("GET", "/slots", &[], b"")).unwrap();
    crate::support::node::wait_until(|| owner.metric("arbutuslane_in_flight") == 1);
    sleep(Duration::from_millis(200));
    owner.child.kill().unwrap();
    let response = caller::read(&mut stream, false).unwrap_or_default();
    assert!(!response.complete);
    assert!(response.body.len() < 400_000);
}
