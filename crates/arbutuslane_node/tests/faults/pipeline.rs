//! Pipelining: requests that a caller sends before the previous response.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server};

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
