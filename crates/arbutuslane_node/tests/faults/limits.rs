//! Limits on request heads and bodies, and error responses.

use std::io::Write;

use crate::support::server::write;
use crate::support::{Node, Server, call, caller, open_connection};

/// Guards against a body above its service's limit that reaches a server or is truncated silently.
#[test]
fn limits_body() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.build_ok_response(&received.body.len().to_string()))
    });
    let at_limit = node.call("POST", "/bookings", &[], &vec![b'x'; 1_000_000]);
    assert_eq!((at_limit.status, at_limit.text().as_str()), (200, "1000000"));
    let mut stream = open_connection(node.caller_address);
    stream
        .write_all(b"POST /bookings HTTP/1.1\r\nhost: t\r\ncontent-length: 1000001\r\n\r\n")
        .unwrap();
    let declared_too_long = caller::read_response(&mut stream, false).unwrap();
    assert_eq!((declared_too_long.status, declared_too_long.outcome()), (413, "not-run"));
    assert!(declared_too_long.text().contains("remedy"), "{}", declared_too_long.text());
    let mut stream = open_connection(node.caller_address);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let encoded_chunk = [format!("{:x}\r\n", 500_000).into_bytes(), vec![b'x'; 500_000]].concat();
    for _ in 0..3 {
        let _ = stream.write_all(&encoded_chunk).and_then(|()| stream.write_all(b"\r\n"));
    }
    let chunked_too_long = caller::read_response(&mut stream, false).unwrap();
    assert_eq!((chunked_too_long.status, chunked_too_long.outcome()), (413, "not-run"));
    assert_eq!(server.received_requests().len(), 1);
}

/// Guards against heads of unlimited size, and against a malformed head that reaches a server.
#[test]
fn limits_head() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.build_ok_response("free"))
    });
    let long_value = "a".repeat(40_000);
    let oversized_head = node.call("GET", "/slots", &[("x-long", &long_value)], b"");
    assert_eq!((oversized_head.status, oversized_head.outcome()), (431, "not-run"));
    for head in [
        "GET /slots\r\n\r\n",
        "POST /slots HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /slots HTTP/1.1\r\nhost: t\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx",
    ] {
        let mut stream = open_connection(node.caller_address);
        stream.write_all(head.as_bytes()).unwrap();
        let response = caller::read_response(&mut stream, false).unwrap_or_default();
        assert_ne!(response.status, 200, "{head}");
    }
    assert!(server.received_requests().is_empty(), "{:?}", server.received_requests());
}

/// Guards against accepting a forwarded request or a peer message without the fleet's token.
#[test]
fn limits_token() {
    let node = Node::start(&[]);
    for headers in [&[][..], &[("arbutuslane-token", "guess")][..]] {
        for path in ["/v1/peer", "/v1/forward/slots"] {
            assert_eq!(call(node.peer_address, "POST", path, headers, b"x").status, 401, "{path}");
        }
    }
}

/// Guards against an error response that states no remedy.
#[test]
fn limits_route() {
    let node = Node::start(&[]);
    let response = node.call("GET", "/nothing", &[], b"");
    assert_eq!((response.status, response.outcome()), (404, "not-run"));
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert!(body["error"].is_string() && body["remedy"].is_string());
}
