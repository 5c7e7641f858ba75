//! Pipelining: requests that a caller sends before the previous response.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use arbutuslane_core::rng;
use rand::RngExt;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, caller, open_connection};

fn lookup_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h.example\r\narbutuslane-deadline-ms: 9000\r\n\r\n")
}

/// Reads from `stream` until the text contains `end_marker`, and returns the text read so far when
/// the stream ends or a read takes longer than 20 s.
fn read_until(stream: &mut TcpStream, end_marker: &str) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(end_marker) {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
            _ => return text,
        }
    }
    text
}

/// Guards against a pipelined lookup that waits for the response to the previous one. The server
/// responds only when all three lookups have arrived; the responses must still come in order.
#[test]
fn pipeline_side_by_side() {
    let node = Node::start(&[]);
    let arrived = Arc::new(AtomicUsize::new(0));
    let arrivals = Arc::clone(&arrived);
    let _server = Server::start(&node, "slots", "s1", move |received, stream| {
        arrivals.fetch_add(1, Ordering::SeqCst);
        wait_until(|| arrivals.load(Ordering::SeqCst) >= 3);
        let name = received.path.rsplit('/').next().unwrap_or_default();
        write(stream, &received.build_ok_response(&format!("body-{name}-end")))
    });
    let mut stream = TcpStream::connect(node.caller_address).unwrap();
    let requests: String = ["/slots/1", "/slots/2", "/slots/3"].map(lookup_request).concat();
    stream.write_all(requests.as_bytes()).unwrap();
    let text = read_until(&mut stream, "body-3-end");
    let positions: Vec<Option<usize>> =
        ["body-1-end", "body-2-end", "body-3-end"].map(|body| text.find(body)).to_vec();
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{text}");
    assert_eq!(arrived.load(Ordering::SeqCst), 3);
}

/// Guards against a pipelined booking that starts before the previous request is answered. If that
/// response closes the connection, the caller sends the booking again.
#[test]
fn pipeline_booking_waits() {
    let node = Node::start(&[]);
    let booking_runs = Arc::new(AtomicUsize::new(0));
    let runs = Arc::clone(&booking_runs);
    let _booking_server = Server::start(&node, "bookings", "b1", move |received, stream| {
        runs.fetch_add(1, Ordering::SeqCst);
        write(stream, &received.build_ok_response("body-booked-end"))
    });
    let runs_seen = Arc::clone(&booking_runs);
    let _lookup_server = Server::start(&node, "slots", "s1", move |received, stream| {
        std::thread::sleep(Duration::from_millis(200));
        let runs_before = runs_seen.load(Ordering::SeqCst);
        write(stream, &received.build_ok_response(&format!("body-{runs_before}-end")))
    });
    let mut stream = TcpStream::connect(node.caller_address).unwrap();
    let booking = lookup_request("/bookings/1")
        .replace("GET", "POST")
        .replace("\r\n\r\n", "\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(format!("{}{booking}", lookup_request("/slots/1")).as_bytes()).unwrap();
    let text = read_until(&mut stream, "body-booked-end");
    assert!(text.contains("body-0-end"), "the booking ran first: {text}");
    assert!(text.contains("body-booked-end"), "{text}");
}

/// The size in bytes of a request that fills a body in [`quoting_body`].
const QUOTED_BYTES: usize = 64;

/// Returns a body that consists of lookups, so that a request begins at each multiple of
/// [`QUOTED_BYTES`].
fn quoting_body(length: usize) -> Vec<u8> {
    let head = "GET /slots/quoted HTTP/1.1\r\nhost: h\r\nx: ";
    let padding = "x".repeat(QUOTED_BYTES - head.len() - 4);
    let lookup = format!("{head}{padding}\r\n\r\n");
    assert_eq!(lookup.len(), QUOTED_BYTES);
    lookup.bytes().cycle().take(length).collect()
}

/// Sends an upload in pieces of random sizes, with pauses around the time after which a node looks for
/// requests, and returns the status of the response.
fn send_upload(address: std::net::SocketAddr, body: &[u8], is_chunked: bool, seed: u64) -> u16 {
    let mut rng = rng::seeded(seed);
    let (framing, end) = match is_chunked {
        true => {
            (format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n", body.len()), "\r\n0\r\n\r\n")
        }
        false => (format!("content-length: {}\r\n\r\n", body.len()), ""),
    };
    let deadline = "arbutuslane-deadline-ms: 15000";
    let head = format!("POST /photos HTTP/1.1\r\nhost: h\r\n{deadline}\r\n{framing}");
    let mut stream = open_connection(address);
    stream.write_all(head.as_bytes()).unwrap();
    let mut rest = body;
    while !rest.is_empty() {
        let is_short = rng.random_range(0..2) == 0;
        let quoted = rng.random_range(1..=if is_short { 8 } else { 4_000 });
        let (piece, after) = rest.split_at(rest.len().min(quoted * QUOTED_BYTES));
        stream.write_all(piece).unwrap();
        rest = after;
        if is_short {
            sleep(Duration::from_millis(rng.random_range(0..12)));
        }
    }
    stream.write_all(end.as_bytes()).unwrap();
    caller::read_response(&mut stream, false).map_or(0, |response| response.status)
}

/// Guards against text in the body of an upload that a node takes for requests and runs.
#[test]
fn pipeline_text_in_body() {
    const BODY_BYTES: usize = 800 << 10;
    let node = Node::start(&[]);
    let uploads = Server::start(&node, "photos", "p1", |received, stream| {
        write(stream, &received.build_ok_response("stored"))
    });
    let lookups = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.build_ok_response("unasked"))
    });
    let body = Arc::new(quoting_body(BODY_BYTES));
    let callers: Vec<_> = (0..8_u64)
        .map(|caller| {
            let (address, body) = (node.caller_address, Arc::clone(&body));
            spawn(move || {
                for upload in 0..4 {
                    let is_chunked = upload % 2 == 1;
                    let status = send_upload(address, &body, is_chunked, caller * 100 + upload);
                    assert_eq!(status, 200, "caller {caller}, upload {upload}");
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    assert_eq!(lookups.received_requests().len(), 0, "requests were run that no caller sent");
    let stored = uploads.received_requests();
    assert_eq!(stored.len(), 32);
    assert!(stored.iter().all(|received| received.body == *body));
}

/// Guards against text that a node takes for requests after a body whose framing broke, or that
/// never ended.
#[test]
fn pipeline_text_after_broken_body() {
    let node = Node::start(&[]);
    let _uploads = Server::start(&node, "photos", "p1", |received, stream| {
        write(stream, &received.build_ok_response("stored"))
    });
    let lookups = Server::start(&node, "slots", "s1", |received, stream| {
        write(stream, &received.build_ok_response("unasked"))
    });
    let quoted = quoting_body(10 * QUOTED_BYTES);
    for (framing, body_start) in [
        ("transfer-encoding: chunked", "5\r\nhello\r\nzz\r\n"),
        ("transfer-encoding: chunked", "5\r\nhelloXX"),
        ("transfer-encoding: chunked", "5\r\nhello\r\n0\r\nx: trailer\r\n\r\n"),
        ("content-length: 100000", "hello"),
        ("expect: 100-continue\r\ncontent-length: 100000", "hello"),
    ] {
        let mut stream = open_connection(node.caller_address);
        let deadline = "arbutuslane-deadline-ms: 500";
        let head = format!("POST /photos HTTP/1.1\r\nhost: h\r\n{deadline}\r\n{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        for piece in [body_start.as_bytes(), &quoted] {
            sleep(Duration::from_millis(30));
            // The node may have closed the connection.
            let _ = stream.write_all(piece);
        }
        sleep(Duration::from_millis(60));
    }
    wait_until(|| node.metric("arbutuslane_in_flight") == 0);
    assert_eq!(lookups.received_requests().len(), 0, "requests were run that no caller sent");
}

/// Guards against lookups that wait for the response to a booking whose whole body has arrived.
#[test]
fn pipeline_after_body() {
    let node = Node::start(&[]);
    let lookups = Arc::new(AtomicUsize::new(0));
    let arrivals = Arc::clone(&lookups);
    let _lookup_server = Server::start(&node, "slots", "s1", move |received, stream| {
        arrivals.fetch_add(1, Ordering::SeqCst);
        write(stream, &received.build_ok_response("body-looked-end"))
    });
    let _booking_server = Server::start(&node, "bookings", "b1", move |received, stream| {
        wait_until(|| lookups.load(Ordering::SeqCst) == 1);
        write(stream, &received.build_ok_response("body-booked-end"))
    });
    let mut stream = TcpStream::connect(node.caller_address).unwrap();
    let booking = lookup_request("/bookings/1")
        .replace("GET", "POST")
        .replace("\r\n\r\n", "\r\ncontent-length: 5\r\n\r\nhello");
    stream.write_all(format!("{booking}{}", lookup_request("/slots/1")).as_bytes()).unwrap();
    let text = read_until(&mut stream, "body-looked-end");
    let positions = ["body-booked-end", "body-looked-end"].map(|body| text.find(body));
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{text}");
}
