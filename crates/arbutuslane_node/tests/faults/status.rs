//! Servers whose responses have a status that is none, or none of a final response.

use std::thread::spawn;

use crate::keys::start_fleet;
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Response, Server};

/// What stands in the place of the status. The last ones are codes that precede a final response, or that
/// have no meaning.
const CODES: [&str; 14] =
    ["000", "0", "099", "20", "2000", "1000", "+20", "-20", " 20", "2 0", "", "101", "199", "600"];

/// The number of cases that run at a time, each with two nodes.
const PARALLEL_CASES: usize = 5;

fn start_server(node: &Node, service: &str, name: &str, code: &'static str) -> Server {
    Server::start(node, service, name, move |received, stream| {
        write(stream, &received.build_response(&format!("{code} Odd"), "", "odd"))
    })
}

/// Asserts that the caller got no answer of a server.
fn assert_refused(response: &Response, case: &str) {
    assert_eq!(response.status, 502, "{case}: {response:?}");
    assert_eq!(response.outcome(), "unknown", "{case}");
    assert!(!response.text().contains("odd"), "{case}");
}

/// Guards against an answer with a status that is none which reaches a caller, as a success or at all: of a
/// lookup, a booking, an upload and a download, also from the server of another node.
#[test]
fn status_odd() {
    for codes in CODES.chunks(PARALLEL_CASES) {
        let cases: Vec<_> = codes.iter().map(|code| spawn(|| check_code(code))).collect();
        for case in cases {
            case.join().unwrap();
        }
    }
}

fn check_code(code: &'static str) {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let _servers = [
        start_server(&owner, "slots", "s1", code),
        start_server(&owner, "slots", "s2", code),
        start_server(&owner, "bookings", "s3", code),
        start_server(&owner, "reports", "s4", code),
    ];
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 4);
    let long_body = vec![b'b'; 100_000];
    for (node, at) in [(&owner, "owner"), (&entry, "entry")] {
        for (method, path, body) in [
            ("GET", "/slots", &b""[..]),
            ("POST", "/bookings", b"x"),
            ("POST", "/bookings", &long_body),
            ("GET", "/download/x", b""),
        ] {
            let case = format!("{code:?} {method} {path} at the {at}");
            assert_refused(&node.call(method, path, &[], body), &case);
        }
    }
}

/// Guards against a booking under a key whose answer has a status that is none, and which is kept and
/// repeated as a success.
#[test]
fn status_odd_keyed() {
    let nodes = start_fleet(3);
    let server = start_server(&nodes[0], "bookings", "s1", "000");
    wait_until(|| nodes[1..].iter().all(|node| node.metric("arbutuslane_remote_servers") == 1));
    for node in &nodes {
        let response = node.call("POST", "/bookings", &[("idempotency-key", "order")], b"x");
        assert_refused(&response, "keyed");
    }
    assert_eq!(server.received_requests().len(), 1);
}
