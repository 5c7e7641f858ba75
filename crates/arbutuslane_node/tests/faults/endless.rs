//! Servers that send bytes without end, in a head or in a body, until the other side closes.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::{ReceivedRequest, write};
use crate::support::{Node, Server, encode_request, open_connection};

/// The time that the callers allow for a response, in milliseconds.
const DEADLINE_MS: &str = "700";

/// The most memory that a node may need for endless bytes.
const MAX_ADDED_BYTES: u64 = 16 << 20;

/// The most times that a caller reads from a body before the test fails.
const MAX_READS: u32 = 5_000;

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

/// Returns a response head that echoes the exchange id and states that the body is chunked.
fn chunked_head(received: &ReceivedRequest) -> String {
    let exchange = received.header("arbutuslane-exchange").unwrap();
    format!(
        "HTTP/1.1 200 OK\r\narbutuslane-exchange: {exchange}\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// Returns a chunk of a body.
fn chunk() -> String {
    format!("{:x}\r\n{}\r\n", 16 << 10, "a".repeat(16 << 10))
}

fn send_request(node: &Node, path: &str) -> TcpStream {
    let mut stream = open_connection(node.caller_address);
    let headers = [("arbutuslane-deadline-ms", DEADLINE_MS)];
    stream.write_all(&encode_request("GET", path, &headers, b"")).unwrap();
    stream
}

/// Waits until the slot of the server is free, and checks how much memory the node used since it used
/// `memory_before`.
fn assert_freed(node: &Node, memory_before: u64) {
    wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    wait_until(|| node.status()["servers"][0]["in_flight"] == 0);
    let added = node.peak_memory().saturating_sub(memory_before);
    assert!(added < MAX_ADDED_BYTES, "{added} bytes");
}

/// Waits until an outcome has been recorded as evidence against the server.
fn assert_blamed(node: &Node, service: &str) {
    let failures = format!("arbutuslane_server_failures{{service=\"{service}\",server=\"s1\"}}");
    wait_until(|| node.metric(&failures) >= 1);
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
        assert_freed(&node, memory_before);
        assert_blamed(&node, "slots");
    }
}

/// Guards against a head that arrives a byte at a time and keeps its caller waiting or its slot in use.
#[test]
fn head_trickling() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |_, stream| {
        let mut is_open = write(stream, b"HTTP/1.1 200 OK\r\nx-field: ");
        while is_open {
            sleep(Duration::from_millis(5));
            is_open = write(stream, b"a");
        }
        false
    });
    let memory_before = node.peak_memory();
    let response = node.call("GET", "/slots", &[("arbutuslane-deadline-ms", DEADLINE_MS)], b"");
    assert_eq!((response.status, response.outcome()), (504, "unknown"));
    assert_freed(&node, memory_before);
    assert_blamed(&node, "slots");
}

/// Guards against a body without end that fills the memory, keeps its caller or its slot beyond the
/// deadline, or looks complete.
#[test]
fn body_endless() {
    let trailer = format!("x-trailer: {}\r\n", "a".repeat(200));
    let cases = [
        ("/slots", "slots", "", chunk()),
        ("/slots", "slots", "0\r\n", trailer),
        ("/slots", "slots", "4;x=", "a".repeat(1_000)),
        ("/download/x", "reports", "", chunk()),
    ];
    for (path, service, start, unit) in cases {
        let node = Node::start(&[]);
        let head = move |received: &ReceivedRequest| chunked_head(received) + start;
        let _server = start_server(&node, service, head, &unit);
        let memory_before = node.peak_memory();
        let mut stream = send_request(&node, path);
        let mut bytes = vec![0; 64 << 10];
        let (mut last, mut reads) = (Vec::new(), 0);
        while let Ok(length) = stream.read(&mut bytes)
            && length > 0
        {
            last = bytes[..length].to_vec();
            reads += 1;
            assert!(reads < MAX_READS, "{path}: the body does not end");
            // Keeps the caller slower than the server, as a caller on a network is.
            sleep(Duration::from_millis(2));
        }
        assert!(!last.ends_with(b"0\r\n\r\n"), "{path}: the body looks complete");
        assert_freed(&node, memory_before);
    }
}

/// Guards against a slot that stays in use beyond the deadline because a caller reads nothing of a body.
#[test]
fn body_endless_unread() {
    for (path, service) in [("/slots", "slots"), ("/download/x", "reports")] {
        let node = Node::start(&[]);
        let _server = start_server(&node, service, chunked_head, &chunk());
        let memory_before = node.peak_memory();
        let stream = send_request(&node, path);
        assert_freed(&node, memory_before);
        drop(stream);
    }
}

/// Guards against a body without end that keeps the slot of a server of another node.
#[test]
fn body_endless_remote() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let _server = start_server(&owner, "slots", chunked_head, &chunk());
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let memory_before = owner.peak_memory();
    let _stream = send_request(&entry, "/slots");
    wait_until(|| entry.metric("arbutuslane_in_flight") == 0);
    assert_freed(&owner, memory_before);
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

/// Guards against many bodies without end at once that together use more memory than the node has for
/// bodies, while their callers read slowly.
#[test]
fn body_endless_many() {
    let memory_mb = 64;
    let node = Node::start_with_memory(&[], memory_mb);
    let block = chunk().into_bytes();
    let servers: Vec<Server> = (0..12)
        .map(|number| {
            let block = block.clone();
            Server::start(&node, "reports", &format!("s{number}"), move |received, stream| {
                let mut is_open = write(stream, chunked_head(received).as_bytes());
                while is_open {
                    is_open = write(stream, &block);
                }
                false
            })
        })
        .collect();
    let mut callers: Vec<TcpStream> =
        (0..36).map(|number| send_request(&node, &format!("/download/{number}"))).collect();
    let mut bytes = vec![0; 4 << 10];
    for caller in &mut callers {
        let _ = caller.read(&mut bytes);
    }
    wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    assert!(node.peak_memory() < u64::from(memory_mb) << 20, "{} bytes", node.peak_memory());
    drop(servers);
}
