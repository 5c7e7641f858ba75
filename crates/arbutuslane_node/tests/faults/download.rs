//! Downloads that break are continued byte-exact from another server.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::support::server::write;
use crate::support::{Node, Received, Server};

const LENGTH: usize = 600_000;

fn content() -> Vec<u8> {
    (0..LENGTH).map(|position| u8::try_from(position * 31 % 251).unwrap()).collect()
}

/// Answers like a server that honours ranges; breaks off after `most` body bytes.
fn serve(received: &Received, tag: &str, most: usize) -> (Vec<u8>, bool) {
    let content = content();
    let echo = received.field("arbutuslane-exchange").unwrap();
    let matches = received.field("if-range").is_none_or(|condition| condition == tag);
    let range = received.field("range").filter(|_| matches);
    let start = range.map(|range| range["bytes=".len()..range.len() - 1].parse::<usize>().unwrap());
    let (status, offset) = match start {
        Some(start) => ("206 Partial Content", start),
        None => ("200 OK", 0),
    };
    let mut head = format!(
        "HTTP/1.1 {status}\r\narbutuslane-exchange: {echo}\r\netag: {tag}\r\ncontent-length: {}\r\n",
        LENGTH - offset
    );
    if start.is_some() {
        head.push_str(&format!("content-range: bytes {offset}-{}/{LENGTH}\r\n", LENGTH - 1));
    }
    let mut bytes = format!("{head}\r\n").into_bytes();
    let end = LENGTH.min(offset + most);
    bytes.extend_from_slice(&content[offset..end]);
    (bytes, end == LENGTH)
}

/// Guards against a resumed download with missing, repeated or foreign bytes.
#[test]
fn download_resumed() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let servers: Vec<Server> = [(&owner, "s1"), (&entry, "s2"), (&owner, "s3")]
        .into_iter()
        .map(|(node, name)| {
            Server::start(node, "reports", name, |received, stream| {
                let (bytes, complete) = serve(received, "\"v1\"", 250_000);
                write(stream, &bytes) && complete
            })
        })
        .collect();
    crate::support::node::wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    for _ in 0..5 {
        let response = entry.call("GET", "/download/x", &[], b"");
        assert!(response.complete);
        assert!(response.body == content());
    }
    assert_eq!(entry.metric("arbutuslane_resumed_downloads_total"), 10);
    assert!(servers.iter().all(|server| !server.received().is_empty()));
}

/// Guards against a download that is put together from two versions of a file.
#[test]
fn download_changed() {
    let node = Node::start(&[]);
    let asked = Arc::new(AtomicU64::new(0));
    let _servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            let asked = Arc::clone(&asked);
            Server::start(&node, "reports", name, move |received, stream| {
                let version = asked.fetch_add(1, Ordering::Relaxed);
                let (bytes, complete) = serve(received, &format!("\"v{version}\""), 250_000);
                write(stream, &bytes) && complete
            })
        })
        .collect();
    let response = node.call("GET", "/download/x", &[], b"");
    assert!(!response.complete);
    assert!(response.body.len() <= 250_000);
    assert!(content().starts_with(&response.body));
    assert_eq!(asked.load(Ordering::Relaxed), 2);
}

/// Guards against a resumed download without a strong entity tag, whose bytes may differ.
#[test]
fn download_weak_tag() {
    let node = Node::start(&[]);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&node, "reports", name, |received, stream| {
                let (bytes, complete) = serve(received, "W/\"v1\"", 250_000);
                write(stream, &bytes) && complete
            })
        })
        .collect();
    let response = node.call("GET", "/download/x", &[], b"");
    assert!(!response.complete);
    assert_eq!(servers.iter().map(|server| server.received().len()).sum::<usize>(), 1);
}

/// Guards against a HEAD response that loses the length of the download.
#[test]
fn download_head() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "reports", "s1", |received, stream| {
        write(stream, &serve(received, "\"v1\"", 0).0)
    });
    let response = node.call("HEAD", "/download/x", &[], b"");
    let length = LENGTH.to_string();
    assert_eq!((response.status, response.field("content-length")), (200, Some(length.as_str())));
}
