//! What a running node holds of the system.

use std::io::{Read, Write};

use crate::support::server::write;
use crate::support::{Node, Server, open, request};

/// Guards against a runtime that falls back on io_uring.
#[test]
fn process_no_uring() {
    let node = Node::start(&[]);
    let _server =
        Server::start(&node, "slots", "s1", |received, stream| write(stream, &received.ok("free")));
    assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    let mut files = 0;
    for entry in std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap() {
        let Ok(target) = std::fs::read_link(entry.unwrap().path()) else { continue };
        files += 1;
        assert!(!target.to_string_lossy().contains("io_uring"), "{}", target.display());
    }
    assert!(files > 3);
}

/// Guards against a body that is collected in memory; the bound is that of the design page.
#[test]
fn process_memory() {
    const LENGTH: usize = 1 << 30;
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let _server = Server::start(&owner, "reports", "s1", |received, stream| {
        let echo = received.field("arbutuslane-exchange").unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\narbutuslane-exchange: {echo}\r\ncontent-length: {LENGTH}\r\n\r\n"
        );
        let block = vec![b'a'; 1 << 20];
        write(stream, head.as_bytes()) && (0..LENGTH >> 20).all(|_| write(stream, &block))
    });
    crate::support::node::wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let before = [resident(&owner, "VmHWM"), resident(&entry, "VmHWM")];
    let mut stream = open(entry.callers);
    stream.write_all(&request("GET", "/download/x", &[("connection", "close")], b"")).unwrap();
    let mut received = 0;
    let mut block = vec![0; 1 << 20];
    while let Ok(length) = stream.read(&mut block) {
        if length == 0 {
            break;
        }
        received += length;
    }
    assert!(received > LENGTH);
    for (node, before) in [&owner, &entry].into_iter().zip(before) {
        let added = resident(node, "VmHWM") - before;
        println!("added {added} KiB");
        assert!(added < 16 << 10, "{added} KiB");
    }
}

/// Guards against a request that waits because the reader of the node's log has stopped.
#[test]
fn process_log_unread() {
    /// What a pipe holds, at least; the writer waits beyond it.
    const PIPE: usize = 60_000;
    let mut node = Node::start_unread();
    // Each request leaves one line of more than 200 bytes, at most 400 lines a second.
    for number in 0..1_500 {
        assert_eq!(node.call("GET", "/none", &[], b"").status, 404, "request {number}");
    }
    let mut unread = vec![0; PIPE];
    node.child.stdout.as_mut().unwrap().read_exact(&mut unread).unwrap();
    assert!(String::from_utf8_lossy(&unread).contains("event=request"));
}

/// Returns a memory figure of the node's process in KiB.
fn resident(node: &Node, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
