//! Requests and responses over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response as it was received.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The head in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body has the length that the head states.
    pub complete: bool,
}

/// Reads a message up to its body; returns the head in lower case and the bytes after it.
pub fn read_head(stream: &mut TcpStream, rest: Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut bytes = rest;
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let body = bytes.split_off(end + 4);
            bytes.truncate(end);
            return Some((String::from_utf8_lossy(&bytes).to_ascii_lowercase(), body));
        }
        read_more(stream, &mut bytes)?;
    }
}

/// Reads until `bytes` has `length`; returns whether it came so far.
pub fn read_body(stream: &mut TcpStream, bytes: &mut Vec<u8>, length: usize) -> bool {
    while bytes.len() < length {
        if read_more(stream, bytes).is_none() {
            return false;
        }
    }
    true
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 << 10];
    let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
    bytes.extend_from_slice(&chunk[..length]);
    Some(())
}

/// Reads one response; nothing when the connection ends before its head.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let (head, mut body) = read_head(stream, Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = field(&head, "content-length").and_then(|text| text.parse().ok());
    let complete = match length {
        Some(length) => {
            let whole = read_body(stream, &mut body, length);
            body.truncate(length);
            whole
        }
        None => read_chunks(stream, &mut body),
    };
    Some(Response { status, head, body, complete })
}

/// Replaces a chunked body by its content.
fn read_chunks(stream: &mut TcpStream, body: &mut Vec<u8>) -> bool {
    let mut rest = std::mem::take(body);
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            if read_more(stream, &mut rest).is_none() {
                return false;
            }
            continue;
        };
        let size = String::from_utf8_lossy(&rest[..end]).trim().to_string();
        let Ok(size) = usize::from_str_radix(&size, 16) else { return false };
        if !read_body(stream, &mut rest, end + size + 4) {
            return false;
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest.drain(..end + size + 4);
        if size == 0 {
            return true;
        }
    }
}

/// Sends a request on a connection of its own; nothing when no complete response comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_response(&mut stream).filter(|response| response.complete)
}

/// Sends a request without other fields: a POST with a body, or a GET without.
pub fn call_plain(
    address: SocketAddr,
    target: &str,
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    call(address, method, target, &[("host", "soak")], body.as_bytes(), limit)
}

/// Returns the value of a field in a head of lower case.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(known, _)| *known == name).map(|(_, value)| value.trim())
}

/// Returns the body that every server answers a request with.
pub fn body_of(id: &str, path: &str) -> Vec<u8> {
    let repeat = 1 + id.bytes().map(usize::from).sum::<usize>() % 400;
    format!("{id} {path};").repeat(repeat).into_bytes()
}
