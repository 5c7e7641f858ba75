//! Requests that a caller sends before the first one is answered.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server};

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h.example\r\narbutuslane-deadline-ms: 9000\r\n\r\n")
}

/// Reads from `stream` until the text holds `wanted` responses' ends.
fn read_until(stream: &mut TcpStream, wanted: &str) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.contains(wanted) {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..length])),
            _ => return text,
        }
    }
    text
}

/// Guards against a pipelined lookup that waits until the one before it is answered: here the first
/// is answered only when the second has arrived, and the responses still come in order.
#[test]
fn pipeline_side_by_side() {
    let node = Node::start(&[]);
    let arrived = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&arrived);
    let _server = Server::start(&node, "slots", "s1", move |received, stream| {
        counted.fetch_add(1, Ordering::SeqCst);
        wait_until(|| counted.load(Ordering::SeqCst) >= 3);
        let name = received.path.rsplit('/').next().unwrap_or_default();
        write(stream, &received.ok(&format!("body-{name}-end")))
    });
    let mut stream = TcpStream::connect(node.callers).unwrap();
    let requests: String = ["/slots/1", "/slots/2", "/slots/3"].map(get).concat();
    stream.write_all(requests.as_bytes()).unwrap();
    let text = read_until(&mut stream, "body-3-end");
    let places: Vec<Option<usize>> =
        ["body-1-end", "body-2-end", "body-3-end"].map(|body| text.find(body)).to_vec();
    assert!(places.iter().all(Option::is_some) && places.is_sorted(), "{text}");
    assert_eq!(arrived.load(Ordering::SeqCst), 3);
}

/// Guards against a pipelined booking that starts before the request in front of it is answered: when
/// that response closes the connection, the caller sends the booking again.
#[test]
fn pipeline_booking_waits() {
    let node = Node::start(&[]);
    let bookings = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&bookings);
    let _bookings = Server::start(&node, "bookings", "b1", move |received, stream| {
        counted.fetch_add(1, Ordering::SeqCst);
        write(stream, &received.ok("body-booked-end"))
    });
    let seen = Arc::clone(&bookings);
    let _slots = Server::start(&node, "slots", "s1", move |received, stream| {
        std::thread::sleep(Duration::from_millis(200));
        let before = seen.load(Ordering::SeqCst);
        write(stream, &received.ok(&format!("body-{before}-end")))
    });
    let mut stream = TcpStream::connect(node.callers).unwrap();
    let booking = get("/bookings/1")
        .replace("GET", "POST")
        .replace("\r\n\r\n", "\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(format!("{}{booking}", get("/slots/1")).as_bytes()).unwrap();
    let text = read_until(&mut stream, "body-booked-end");
    assert!(text.contains("body-0-end"), "the booking ran first: {text}");
    assert!(text.contains("body-booked-end"), "{text}");
}
