//! Requests with long bodies.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, caller, encode_request, open_connection};

/// The size in bytes of a long body; it is far above the size of any buffer.
const LONG_BODY: usize = 900_000;

/// Returns a body in which a lost or repeated part shows.
fn body(length: usize) -> Vec<u8> {
    (0..=u8::MAX).cycle().step_by(7).take(length).collect()
}

/// Returns `body` in the chunked transfer coding.
fn chunked(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(70_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Guards against an upload that is lost when its server refuses it although another server is
/// free, and against one that is changed or runs twice on the way.
#[test]
fn upload_refused_elsewhere() {
    let owners = [Node::start(&[]), Node::start(&[])];
    let entry = Node::start(&[owners[0].peer_address, owners[1].peer_address]);
    let refusing = Server::start(&owners[0], "photos", "s1", |received, stream| {
        write(stream, &received.build_response("503 Busy", "arbutuslane-outcome: not-run\r\n", ""))
    });
    let accepting = Server::start(&owners[1], "photos", "s2", |received, stream| {
        write(stream, &received.build_ok_response("stored"))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    let body = body(LONG_BODY);
    let mut sent = 0;
    // The retry budget allows the first retry, and the refusing server is avoided after it.
    while refusing.received_requests().is_empty() && sent < 200 {
        let head = "POST /photos HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut stream = open_connection(entry.caller_address);
        stream.write_all(&[head.as_bytes(), &chunked(&body)].concat()).unwrap();
        let response = caller::read_response(&mut stream, false).unwrap();
        assert_eq!((response.status, response.text().as_str()), (200, "stored"));
        sent += 1;
    }
    assert_eq!(refusing.received_requests().len(), 1);
    let stored = accepting.received_requests();
    assert_eq!(stored.len(), sent);
    assert!(stored.iter().all(|received| received.body == body));
}

/// Guards against a body that is sent to an owner which refuses the request, and against an upload
/// that fails because the owner that was asked first is busy.
#[test]
fn upload_owner_busy() {
    let owners = [Node::start(&[]), Node::start(&[])];
    let entry = Node::start(&[owners[0].peer_address, owners[1].peer_address]);
    let released = Arc::new(AtomicBool::new(false));
    let until = Arc::clone(&released);
    let busy = Server::start(&owners[0], "photos", "s1", move |received, stream| {
        if received.path.contains("occupy") {
            wait_until(|| until.load(Ordering::Relaxed));
        }
        write(stream, &received.build_ok_response("stored"))
    });
    let occupying: Vec<_> = (0..5)
        .map(|number| {
            let address = owners[0].caller_address;
            let path = format!("/photos/occupy/{number}");
            spawn(move || crate::support::call(address, "POST", &path, &[], b"x").status)
        })
        .collect();
    wait_until(|| busy.received_requests().len() == 5);
    let free = Server::start(&owners[1], "photos", "s2", |received, stream| {
        write(stream, &received.build_ok_response("stored"))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    let body = body(LONG_BODY);
    let mut sent = 0;
    while owners[0].metric("arbutuslane_offers_refused_total") == 0 && sent < 200 {
        assert_eq!(entry.call("POST", "/photos", &[], &body).status, 200);
        sent += 1;
    }
    assert_eq!(owners[0].metric("arbutuslane_refused_body_bytes_total"), 0);
    assert_eq!(free.received_requests().len(), sent);
    released.store(true, Ordering::Relaxed);
    assert!(occupying.into_iter().all(|thread| thread.join().unwrap() == 200));
}

/// Guards against a caller that sends its body slowly, or stops in the middle, and meanwhile
/// occupies a slot; and against a response that leaves open whether the request ran.
#[test]
fn upload_stalled() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "photos", "s1", |received, stream| {
        write(stream, &received.build_ok_response("stored"))
    });
    let headers = [("arbutuslane-deadline-ms", "600")];
    let request = encode_request("POST", "/photos", &headers, &body(LONG_BODY));
    let mut stalled = Vec::new();
    // More than the server has slots.
    for _ in 0..8 {
        let mut stream = open_connection(node.caller_address);
        stream.write_all(&request[..LONG_BODY / 2]).unwrap();
        stalled.push(stream);
    }
    assert_eq!(node.call("POST", "/photos", &[], &body(LONG_BODY)).status, 200);
    for mut stream in stalled {
        let response = caller::read_response(&mut stream, false).unwrap();
        assert_eq!((response.status, response.outcome()), (408, "not-run"));
    }
    assert_eq!(server.received_requests().len(), 1);
    assert_eq!(server.accepted_connections(), 1);
    wait_until(|| node.metric("arbutuslane_held_body_bytes") == 0);
}

/// Guards against a malformed body that reaches a server, and against an unclear response to it.
#[test]
fn upload_malformed() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "photos", "s1", |received, stream| {
        write(stream, &received.build_ok_response("stored"))
    });
    let head = "POST /photos HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    for broken in ["zz\r\nhello\r\n0\r\n\r\n", "5\r\nhelloworld\r\n0\r\n\r\n"] {
        let mut stream = open_connection(node.caller_address);
        stream.write_all(format!("{head}{broken}").as_bytes()).unwrap();
        let response = caller::read_response(&mut stream, false);
        assert!(response.is_none_or(|response| response.status == 400), "{broken}");
    }
    wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    assert!(server.received_requests().is_empty(), "{:?}", server.received_requests());
}

/// Guards against memory that grows with the number of uploads: beyond the part of the memory that
/// holds bodies, they are streamed.
#[test]
fn upload_memory() {
    const MEMORY_MB: u32 = 32;
    let owner = Node::start_with_memory(&[], MEMORY_MB);
    let entry = Node::start_with_memory(&[owner.peer_address], MEMORY_MB);
    let _server = Server::start(&owner, "photos", "s1", |received, stream| {
        sleep(Duration::from_millis(20));
        write(stream, &received.build_ok_response(&received.body.len().to_string()))
    });
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 1);
    let before = [&entry, &owner].map(Node::peak_memory);
    let uploads: Vec<_> = (0..40)
        .map(|_| {
            let address = entry.caller_address;
            spawn(move || {
                let headers = [("arbutuslane-deadline-ms", "15000")];
                crate::support::call(address, "POST", "/photos", &headers, &body(LONG_BODY))
            })
        })
        .collect();
    for upload in uploads {
        let response = upload.join().unwrap();
        // A streamed upload cannot go back into the queue after a refusal.
        let result = (response.status, response.outcome());
        assert!(matches!(result, (200, _) | (503, "not-run")), "{result:?} {}", response.text());
    }
    assert!(entry.metric("arbutuslane_streamed_bodies_total") > 0);
    for (node, before) in [&entry, &owner].into_iter().zip(before) {
        let used = node.peak_memory() - before;
        println!("peak memory {before} bytes before the uploads, {used} more during them");
        assert!(used < u64::from(MEMORY_MB) << 20, "{used} bytes");
    }
    wait_until(|| {
        [&entry, &owner].iter().all(|node| node.metric("arbutuslane_held_body_bytes") == 0)
    });
}

/// Guards against a new connection for each request that runs at most once, and against the loss of
/// more than one such request at a server that drops idle connections.
#[test]
fn booking_reuse() {
    let node = Node::start_seeded(&[], 1, 1);
    let drops_reused = Arc::new(AtomicBool::new(false));
    let drops = Arc::clone(&drops_reused);
    let server = Server::start(&node, "bookings", "s1", move |received, stream| {
        let is_dropped = received.request_index > 0 && drops.load(Ordering::Relaxed);
        !is_dropped && write(stream, &received.build_ok_response("booked"))
    });
    for _ in 0..100 {
        assert_eq!(node.call("POST", "/bookings", &[], b"x").status, 200);
    }
    assert!(server.accepted_connections() < 100, "no connection was reused");
    drops_reused.store(true, Ordering::Relaxed);
    let statuses: Vec<u16> =
        (0..100).map(|_| node.call("POST", "/bookings", &[], b"x").status).collect();
    let lost = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(lost, 1, "{statuses:?}");
}

/// Guards against a refusal that the caller loses, because the node closes the connection while
/// bytes of the body are unread.
#[test]
fn upload_refused_unread() {
    let node = Node::start(&[]);
    for _ in 0..5 {
        let response = node.call("POST", "/nothing", &[], &body(LONG_BODY));
        assert_eq!((response.status, response.outcome()), (404, "not-run"));
    }
}
