//! Interrupted downloads are resumed from another server without missing or repeated bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Duration;

use crate::support::server::write;
use crate::support::{Node, ReceivedRequest, Server};

const CONTENT_BYTES: usize = 600_000;

fn content() -> Vec<u8> {
    (0..CONTENT_BYTES).map(|position| u8::try_from(position * 31 % 251).unwrap()).collect()
}

/// Returns the response of a server that supports ranges, cut after `max_body_bytes`, and whether
/// it is complete.
fn respond_to_range(
    received: &ReceivedRequest,
    etag: &str,
    max_body_bytes: usize,
) -> (Vec<u8>, bool) {
    let content = content();
    let exchange_id = received.header("arbutuslane-exchange").unwrap();
    let matches = received.header("if-range").is_none_or(|condition| condition == etag);
    let range = received.header("range").filter(|_| matches);
    let start = range.map(|range| range["bytes=".len()..range.len() - 1].parse::<usize>().unwrap());
    let (status, offset) = match start {
        Some(start) => ("206 Partial Content", start),
        None => ("200 OK", 0),
    };
    let mut head = format!(
        "HTTP/1.1 {status}\r\narbutuslane-exchange: {exchange_id}\r\netag: {etag}\r\ncontent-length: {}\r\n",
        CONTENT_BYTES - offset
    );
    if start.is_some() {
        head.push_str(&format!(
            "content-range: bytes {offset}-{}/{CONTENT_BYTES}\r\n",
            CONTENT_BYTES - 1
        ));
    }
    let mut bytes = format!("{head}\r\n").into_bytes();
    let end = CONTENT_BYTES.min(offset + max_body_bytes);
    bytes.extend_from_slice(&content[offset..end]);
    (bytes, end == CONTENT_BYTES)
}

/// Guards against a resumed download that misses, repeats or mixes in foreign bytes.
#[test]
fn download_resumed() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let servers: Vec<Server> = [(&owner, "s1"), (&entry, "s2"), (&owner, "s3")]
        .into_iter()
        .map(|(node, name)| {
            Server::start(node, "reports", name, |received, stream| {
                let (bytes, is_complete) = respond_to_range(received, "\"v1\"", 250_000);
                write(stream, &bytes) && is_complete
            })
        })
        .collect();
    crate::support::node::wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    for _ in 0..5 {
        let response = entry.call("GET", "/download/x", &[], b"");
        assert!(response.is_complete);
        assert!(response.body == content());
    }
    assert_eq!(entry.metric("arbutuslane_resumed_downloads_total"), 10);
    assert!(servers.iter().all(|server| !server.received_requests().is_empty()));
}

/// Guards against a download assembled from two versions of a file.
#[test]
fn download_changed() {
    let node = Node::start(&[]);
    let request_count = Arc::new(AtomicU64::new(0));
    let _servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            let request_count = Arc::clone(&request_count);
            Server::start(&node, "reports", name, move |received, stream| {
                let version = request_count.fetch_add(1, Ordering::Relaxed);
                let (bytes, is_complete) =
                    respond_to_range(received, &format!("\"v{version}\""), 250_000);
                write(stream, &bytes) && is_complete
            })
        })
        .collect();
    let response = node.call("GET", "/download/x", &[], b"");
    assert!(!response.is_complete);
    assert!(response.body.len() <= 250_000);
    assert!(content().starts_with(&response.body));
    assert_eq!(request_count.load(Ordering::Relaxed), 2);
}

/// Guards against a download that is cut because its server is silent for a while and no other one has the
/// same file.
#[test]
fn download_silent() {
    let node = Node::start(&[]);
    let request_count = Arc::new(AtomicU64::new(0));
    let _servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            let request_count = Arc::clone(&request_count);
            Server::start(&node, "reports", name, move |received, stream| {
                let version = request_count.fetch_add(1, Ordering::Relaxed);
                let (bytes, _) =
                    respond_to_range(received, &format!("\"v{version}\""), CONTENT_BYTES);
                let (first, rest) = bytes.split_at(bytes.len() / 2);
                write(stream, first);
                if version == 0 {
                    sleep(Duration::from_millis(5_600));
                }
                write(stream, rest)
            })
        })
        .collect();
    let response = node.call("GET", "/download/x", &[], b"");
    assert!(response.is_complete);
    assert!(response.body == content());
    assert_eq!(request_count.load(Ordering::Relaxed), 2, "no other server was tried");
    assert_eq!(node.metric("arbutuslane_resumed_downloads_total"), 0);
}

/// Guards against resuming a download that has only a weak entity tag, with which the bytes may
/// differ.
#[test]
fn download_weak_tag() {
    let node = Node::start(&[]);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&node, "reports", name, |received, stream| {
                let (bytes, is_complete) = respond_to_range(received, "W/\"v1\"", 250_000);
                write(stream, &bytes) && is_complete
            })
        })
        .collect();
    let response = node.call("GET", "/download/x", &[], b"");
    assert!(!response.is_complete);
    assert_eq!(servers.iter().map(|server| server.received_requests().len()).sum::<usize>(), 1);
}

/// Guards against a HEAD response that loses the length of the download.
#[test]
fn download_head() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "reports", "s1", |received, stream| {
        write(stream, &respond_to_range(received, "\"v1\"", 0).0)
    });
    let response = node.call("HEAD", "/download/x", &[], b"");
    let length = CONTENT_BYTES.to_string();
    assert_eq!((response.status, response.header("content-length")), (200, Some(length.as_str())));
}
