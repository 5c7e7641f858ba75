//! A request that crashes servers is stopped after two crashes, through any node.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::keys::fleet;
use crate::support::node::wait_until;
use crate::support::{Node, call};

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
