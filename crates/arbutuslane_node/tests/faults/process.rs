//! Operating system resources that a running node uses: open files, memory and pipes.

use std::io::{Read, Write};

use crate::support::server::write;
use crate::support::{Node, Server, encode_request, open_connection};

/// Guards against an async runtime that falls back to io_uring.
#[test]
fn process_no_uring() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.build_ok_response("free"))
    });
    assert_eq!(node.call("GET", "/slots", &[], b"").status, 200);
    let mut open_files = 0;
    for entry in std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap() {
        let Ok(target) = std::fs::read_link(entry.unwrap().path()) else { continue };
        open_files += 1;
        assert!(!target.to_string_lossy().contains("io_uring"), "{}", target.display());
    }
    assert!(open_files > 3);
}

/// Guards against a node that collects a body in memory. The bound is the one in the design page.
#[test]
fn process_memory() {
    const BODY_BYTES: usize = 1 << 30;
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let _server = Server::start(&owner, "reports", "s1", |received, stream| {
        let exchange_id = received.header("arbutuslane-exchange").unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\narbutuslane-exchange: {exchange_id}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        let block = vec![b'a'; 1 << 20];
        write(stream, head.as_bytes()) && (0..BODY_BYTES >> 20).all(|_| write(stream, &block))
    });
    crate::support::node::wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let peaks_before = [memory_kib(&owner, "VmHWM"), memory_kib(&entry, "VmHWM")];
    let mut stream = open_connection(entry.caller_address);
    stream
        .write_all(&encode_request("GET", "/download/x", &[("connection", "close")], b""))
        .unwrap();
    let mut received = 0;
    let mut block = vec![0; 1 << 20];
    while let Ok(length) = stream.read(&mut block) {
        if length == 0 {
            break;
        }
        received += length;
    }
    assert!(received > BODY_BYTES);
    for (node, peak_before) in [&owner, &entry].into_iter().zip(peaks_before) {
        let added_kib = memory_kib(node, "VmHWM") - peak_before;
        println!("added {added_kib} KiB");
        assert!(added_kib < 16 << 10, "{added_kib} KiB");
    }
}

/// Guards against requests that block because the reader of the node's log has stopped reading.
#[test]
fn process_log_unread() {
    /// Lower bound of a pipe's capacity; writes beyond the capacity block.
    const PIPE_BYTES: usize = 60_000;
    let mut node = Node::start_with_unread_log();
    // Each request logs one line of more than 200 bytes, at most 400 lines per second.
    for number in 0..1_500 {
        assert_eq!(node.call("GET", "/none", &[], b"").status, 404, "request {number}");
    }
    let mut unread = vec![0; PIPE_BYTES];
    node.child.stdout.as_mut().unwrap().read_exact(&mut unread).unwrap();
    assert!(String::from_utf8_lossy(&unread).contains("event=request"));
}

/// Returns the memory field `name` of the node's `/proc` status, in KiB.
fn memory_kib(node: &Node, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
