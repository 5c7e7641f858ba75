//! Servers that send bytes without end, in a head or in a body, until the other side closes.

use crate::support::node::wait_until;
use crate::support::server::{ReceivedRequest, write};
use crate::support::{Node, Server};

/// The time that the callers allow for a response, in milliseconds.
const DEADLINE_MS: &str = "700";

/// The most memory that a node may need for endless bytes.
const MAX_ADDED_BYTES: u64 = 16 << 20;

/// Starts a server that sends `start` and then `unit` again and again.
fn start_server(
    node: &Node,
    service: &str,
    start: impl Fn(&ReceivedRequest) -> String + Send + Sync + 'static,
    unit: &str,
) -> Server {
    let block = unit.repeat((32 << 10) / unit.len()).into_bytes();
    Server::start(node, service, "s1", move |received, stream| {
        let mut is_open = write(stream, start(received).as_bytes());
        while is_open {
            is_open = write(stream, &block);
        }
        false
    })
}

/// Waits until the slot of the server is free, and checks that the server was blamed and how much memory
/// the node used since it used `memory_before`.
fn assert_freed(node: &Node, service: &str, memory_before: u64) {
    wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    wait_until(|| node.status()["servers"][0]["in_flight"] == 0);
    let failures = format!("arbutuslane_server_failures{{service=\"{service}\",server=\"s1\"}}");
    wait_until(|| node.metric(&failures) >= 1);
    let added = node.peak_memory().saturating_sub(memory_before);
    assert!(added < MAX_ADDED_BYTES, "{added} bytes");
}

/// Guards against a head without end that fills the memory, keeps its caller waiting or its slot in use,
/// or leaves its server without blame.
#[test]
fn head_endless() {
    let cases = [
        ("fields", "HTTP/1.1 200 OK\r\n", format!("x-field: {}\r\n", "a".repeat(200))),
        ("one line", "HTTP/1.1 200 OK\r\nx-field: ", "a".repeat(1_000)),
        ("no response", "", "\u{1}\u{2}\u{3}".repeat(300)),
        ("empty lines", "", "\r\n".to_string()),
        ("interim", "", "HTTP/1.1 100 Continue\r\n\r\n".to_string()),
        ("informational", "", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".to_string()),
    ];
    for (name, start, unit) in cases {
        let node = Node::start(&[]);
        let _server = start_server(&node, "slots", |_| start.to_string(), &unit);
        let memory_before = node.peak_memory();
        let headers = [("arbutuslane-deadline-ms", DEADLINE_MS)];
        let response = node.call("GET", "/slots", &headers, b"");
        assert!(matches!(response.status, 502 | 504), "{name}: {response:?}");
        assert_eq!(response.outcome(), "unknown", "{name}");
        assert_freed(&node, "slots", memory_before);
    }
}

/// Guards against bytes after a complete response that reach a caller or keep a slot in use.
#[test]
fn body_followed_endlessly() {
    let node = Node::start(&[]);
    let complete =
        |received: &ReceivedRequest| String::from_utf8(received.build_ok_response("done")).unwrap();
    let server = start_server(&node, "slots", complete, "extra");
    for _ in 0..10 {
        let response = node.call("GET", "/slots", &[], b"");
        assert_eq!((response.status, response.text().as_str()), (200, "done"));
        wait_until(|| node.status()["servers"][0]["in_flight"] == 0);
    }
    assert!(server.received_requests().iter().all(|received| received.request_index == 0));
}
