//! A request that crashes servers is stopped after two crashes, through any node.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_wire::{codec, peer};

use crate::keys::fleet;
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call, caller, open};

/// Starts a server of lookups at `node` whose process ends with a request for `/slots/crash`.
fn fragile(node: &Node, name: &str, crashes: &Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (crashes, gone) = (Arc::clone(crashes), Arc::new(AtomicUsize::new(0)));
    let ended = Arc::clone(&gone);
    spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = vec![0; 8 << 10];
            let length = stream.read(&mut head).unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            if head.starts_with("GET /slots/crash") {
                crashes.fetch_add(1, Ordering::Relaxed);
                ended.store(1, Ordering::Relaxed);
                return;
            }
            let echo = head.lines().find(|line| line.starts_with("arbutuslane-exchange"));
            let echo = echo.unwrap_or_default();
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{echo}\r\ncontent-length: 1\r\n\r\nx");
        }
    });
    announce(node.admin, name, address, gone);
    let name = name.to_string();
    wait_until(|| {
        let status = node.status();
        status["servers"].as_array().unwrap().iter().any(|server| server["server"] == name.as_str())
    });
}

fn announce(admin: SocketAddr, name: &str, address: SocketAddr, gone: Arc<AtomicUsize>) {
    let body = serde_json::json!({"service": "slots", "server": name, "incarnation": 1,
        "address": address, "slots": 5, "revision": 0});
    spawn(move || {
        while gone.load(Ordering::Relaxed) == 0 {
            call(admin, "POST", "/v1/servers", &[], body.to_string().as_bytes());
            sleep(Duration::from_millis(300));
        }
    });
}

/// Guards against a third crash by a lookup that its caller resends through different nodes, and
/// that the fleet could retry by itself.
#[test]
fn crashed_resent() {
    let nodes = fleet(3);
    let crashes = Arc::new(AtomicUsize::new(0));
    for (index, node) in nodes.iter().enumerate() {
        for number in 0..2 {
            fragile(node, &format!("s{index}{number}"), &crashes);
        }
    }
    wait_until(|| nodes.iter().all(|node| node.metric("arbutuslane_remote_servers") == 4));
    let mut seen = Vec::new();
    for attempt in 0..12 {
        let response = nodes[attempt % 3].call("GET", "/slots/crash", &[], b"");
        seen.push((response.status, response.outcome().to_string()));
    }
    assert_eq!(crashes.load(Ordering::Relaxed), 2, "{seen:?}");
    let last = seen.last().unwrap();
    assert_eq!((last.0, last.1.as_str()), (503, "not-run"));
    // Other requests run, once the lost servers are known.
    for node in &nodes {
        wait_until(|| node.call("GET", "/slots", &[], b"").status == 200);
    }
}

/// Guards against one fingerprint for all streamed uploads of a route: the crash by one would hold
/// up every other.
#[test]
fn crashed_streamed_body() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.ok(&received.body.len().to_string()))
    });
    // Without register groups a request with one strike is refused.
    let bad = [b'b'; 100_000];
    assert_eq!(strike(&node, "POST /bookings", &bad), 200);
    let refused = node.call("POST", "/bookings", &[], &bad);
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(server.received().len(), 0);
    let other = node.call("POST", "/bookings", &[], &[b'g'; 100_000]);
    assert_eq!((other.status, other.text().as_str()), (200, "100000"));
    let chunks = b"8\r\nsmall ch\r\n3\r\nunk\r\n0\r\n\r\n";
    let mut stream = open(node.callers);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(chunks).unwrap();
    assert_eq!(caller::read(&mut stream, false).unwrap().text(), "11");
}

/// Tells `node` that the request with this head and body has crashed a server.
fn strike(node: &Node, head: &str, body: &[u8]) -> u16 {
    let mut bytes = format!("{head}\n").into_bytes();
    bytes.extend_from_slice(&body[..body.len().min(16 << 10)]);
    let message = peer::Message::Strike {
        service: "bookings".to_string(),
        server: "lost".to_string(),
        incarnation: 1,
        fingerprints: vec![hash::of_bytes(&bytes)],
    };
    let body = codec::encode(&message).unwrap();
    call(node.peers, "POST", "/v1/peer", &[("arbutuslane-token", "secret")], &body).status
}
