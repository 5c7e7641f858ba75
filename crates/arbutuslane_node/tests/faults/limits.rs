//! Limits on heads and bodies, and typed errors.

use std::io::Write;

use crate::support::server::write;
use crate::support::{Node, Server, call, caller, open};

/// Guards against a body above the limit of its service that reaches a server, or is cut silently.
#[test]
fn limits_body() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.ok(&received.body.len().to_string()))
    });
    let allowed = node.call("POST", "/bookings", &[], &vec![b'x'; 1_000_000]);
    assert_eq!((allowed.status, allowed.text().as_str()), (200, "1000000"));
    let mut stream = open(node.callers);
    stream
        .write_all(b"POST /bookings HTTP/1.1\r\nhost: t\r\ncontent-length: 1000001\r\n\r\n")
        .unwrap();
    let stated = caller::read(&mut stream, false).unwrap();
    assert_eq!((stated.status, stated.outcome()), (413, "not-run"));
    assert!(stated.text().contains("remedy"), "{}", stated.text());
    let mut stream = open(node.callers);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let chunk = [format!("{:x}\r\n", 500_000).into_bytes(), vec![b'x'; 500_000]].concat();
    for _ in 0..3 {
        let _ = stream.write_all(&chunk).and_then(|()| stream.write_all(b"\r\n"));
    }
    let chunked = caller::read(&mut stream, false).unwrap();
    assert_eq!((chunked.status, chunked.outcome()), (413, "unknown"));
    assert_eq!(server.received().len(), 1);
}

/// Guards against a head without bound, and against a malformed one that reaches a server.
#[test]
fn limits_head() {
    let node = Node::start(&[]);
    let server =
        Server::start(&node, "slots", "s1", |received, stream| write(stream, &received.ok("free")));
    let long = "a".repeat(40_000);
    let large = node.call("GET", "/slots", &[("x-long", &long)], b"");
    assert_eq!((large.status, large.outcome()), (431, "not-run"));
    for head in [
        "GET /slots\r\n\r\n",
        "POST /slots HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /slots HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
    ] {
        let mut stream = open(node.callers);
        stream.write_all(head.as_bytes()).unwrap();
        let response = caller::read(&mut stream, false).unwrap_or_default();
        assert_ne!(response.status, 200, "{head}");
    }
    assert!(server.received().is_empty(), "{:?}", server.received());
}

/// Guards against a forwarded request or a peer message without the fleet's token.
#[test]
fn limits_token() {
    let node = Node::start(&[]);
    for fields in [&[][..], &[("arbutuslane-token", "guess")][..]] {
        for path in ["/v1/peer", "/v1/forward/slots"] {
            assert_eq!(call(node.peers, "POST", path, fields, b"x").status, 401, "{path}");
        }
    }
}

/// Guards against an error that does not say what to do.
#[test]
fn limits_route() {
    let node = Node::start(&[]);
    let response = node.call("GET", "/nothing", &[], b"");
    assert_eq!((response.status, response.outcome()), (404, "not-run"));
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert!(body["error"].is_string() && body["remedy"].is_string());
}
