//! HTTP/2 with prior knowledge, in raw frames, so that a test sees exactly what the node sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, open};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const GO_AWAY: u8 = 7;
const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// `:status: 200` in the static table of HPACK.
const STATUS_200: u8 = 0x88;

struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: Vec<u8>,
}

/// A connection that has sent the preface and its settings.
fn connect(address: SocketAddr) -> TcpStream {
    let mut stream = open(address);
    // In two parts, so that the node has to wait for the rest of the preface.
    stream.write_all(b"PRI * HT").unwrap();
    sleep(Duration::from_millis(20));
    stream.write_all(b"TP/2.0\r\n\r\nSM\r\n\r\n").unwrap();
    send(&mut stream, SETTINGS, 0, 0, &[]);
    stream
}

fn send(stream: &mut TcpStream, kind: u8, flags: u8, id: u32, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = vec![length[1], length[2], length[3], kind, flags];
    frame.extend_from_slice(&id.to_be_bytes());
    frame.extend_from_slice(payload);
    stream.write_all(&frame).unwrap();
}

/// Sends a request: GET without a body, POST with one.
fn request(stream: &mut TcpStream, id: u32, path: &str, body: &[u8]) {
    // Indexed :method and :scheme, literal :path and :authority.
    let method = if body.is_empty() { 0x82 } else { 0x83 };
    let mut block = vec![method, 0x86, 0x04, u8::try_from(path.len()).unwrap()];
    block.extend_from_slice(path.as_bytes());
    block.extend_from_slice(b"\x01\x04test");
    let end = if body.is_empty() { END_STREAM } else { 0 };
    send(stream, HEADERS, END_HEADERS | end, id, &block);
    if !body.is_empty() {
        send(stream, DATA, END_STREAM, id, body);
    }
}

fn receive(stream: &mut TcpStream) -> Option<Frame> {
    let mut head = [0; 9];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
    let mut payload = vec![0; usize::try_from(length).unwrap()];
    stream.read_exact(&mut payload).ok()?;
    let id = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    Some(Frame { kind: head[3], flags: head[4], stream: id, payload })
}

/// Reads until `count` streams have ended with status 200; returns their bodies by stream, and
/// whether the node asked to open no new stream.
fn responses(stream: &mut TcpStream, count: usize) -> (Vec<(u32, Vec<u8>)>, bool) {
    let (mut bodies, mut ended, mut left): (Vec<(u32, Vec<u8>)>, usize, bool) = Default::default();
    while ended < count {
        let frame = receive(stream).expect("interrupted");
        match frame.kind {
            SETTINGS if frame.flags & ACK == 0 => send(stream, SETTINGS, ACK, 0, &[]),
            HEADERS => {
                assert_eq!(frame.payload[0], STATUS_200);
                bodies.push((frame.stream, Vec::new()));
            }
            DATA => {
                let body = bodies.iter_mut().find(|(id, _)| *id == frame.stream).unwrap();
                body.1.extend_from_slice(&frame.payload);
            }
            GO_AWAY => left = true,
            _ => continue,
        }
        ended += usize::from(matches!(frame.kind, HEADERS | DATA) && frame.flags & END_STREAM != 0);
    }
    bodies.sort();
    (bodies, left)
}

fn echo(node: &Node, service: &str, name: &str) -> Server {
    Server::start(node, service, name, |received, stream| {
        if received.path.contains("slow") {
            sleep(Duration::from_millis(1_500));
        }
        let host = received.field("host").unwrap_or_default();
        let body = String::from_utf8_lossy(&received.body).into_owned();
        write(stream, &received.ok(&format!("{} {host} {body}", received.path)))
    })
}

/// Guards against a listener that refuses HTTP/2, mixes the streams of a connection up, or takes
/// HTTP/2 on the listeners of the fleet itself.
#[test]
fn http2_streams() {
    let node = Node::start(&[]);
    let servers = [echo(&node, "slots", "s1"), echo(&node, "bookings", "s2")];
    let mut stream = connect(node.callers);
    request(&mut stream, 1, "/slots/slow", b"");
    request(&mut stream, 3, "/slots/b", b"");
    request(&mut stream, 5, "/bookings", b"hall");
    let (bodies, left) = responses(&mut stream, 3);
    let text = |body: &[u8]| String::from_utf8_lossy(body).into_owned();
    let bodies: Vec<_> = bodies.iter().map(|(id, body)| (*id, text(body))).collect();
    let expected = [(1, "/slots/slow test "), (3, "/slots/b test "), (5, "/bookings test hall")];
    assert_eq!(bodies, expected.map(|(id, body)| (id, body.to_string())));
    assert!(!left);
    let runs: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(runs, 3);
    let mut other = open(node.peers);
    other.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").unwrap();
    let mut start = [0; 8];
    other.read_exact(&mut start).unwrap();
    assert_eq!(&start, b"HTTP/1.1");
}

/// Guards against a planned stop that cuts streams in flight, or never tells the caller to leave.
#[test]
fn http2_planned_stop() {
    let mut node = Node::start(&[]);
    let server = echo(&node, "slots", "s1");
    let mut stream = connect(node.callers);
    request(&mut stream, 1, "/slots/slow", b"");
    wait_until(|| server.received().len() == 1);
    node.terminate();
    wait_until(|| node.status()["stopping"] == true);
    request(&mut stream, 3, "/slots/b", b"");
    let (bodies, left) = responses(&mut stream, 2);
    assert_eq!(bodies.len(), 2);
    assert!(left);
    assert!(node.child.wait().unwrap().success());
    // Closed, and no further stream was opened or ended.
    while let Some(frame) = receive(&mut stream) {
        assert_ne!(frame.kind, HEADERS);
    }
}

/// Guards against a truncated body that looks complete because its stream ends in order.
#[test]
fn http2_truncated_body() {
    let node = Node::start(&[]);
    let _server = Server::start(&node, "bookings", "s1", |received, stream| {
        let mut response = received.ok(&"x".repeat(100_000));
        response.truncate(60_000);
        write(stream, &response);
        false
    });
    let mut stream = connect(node.callers);
    request(&mut stream, 1, "/bookings", b"hall");
    let (mut started, mut received) = (false, 0);
    while let Some(frame) = receive(&mut stream) {
        match frame.kind {
            SETTINGS if frame.flags & ACK == 0 => send(&mut stream, SETTINGS, ACK, 0, &[]),
            HEADERS => started = frame.payload[0] == STATUS_200,
            DATA => {
                assert_eq!(frame.flags & END_STREAM, 0, "the body was ended");
                received += frame.payload.len();
            }
            _ => {}
        }
    }
    assert!(started && received < 100_000, "{received}");
}
