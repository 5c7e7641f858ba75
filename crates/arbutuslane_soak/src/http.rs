//! Requests and responses over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response with its undecoded head.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and header fields, in lower case.
    pub head: String,
    /// The bytes of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the body arrived in full: its stated length, or its last chunk.
    pub complete: bool,
}

/// Reads the head of a message, of which `rest` arrived before. Returns the head in lower case and
/// the bytes after it, or `None` when the connection ends earlier.
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

/// Reads until `bytes` has at least `length` bytes; returns whether they arrived.
pub fn read_body(stream: &mut TcpStream, bytes: &mut Vec<u8>, length: usize) -> bool {
    while bytes.len() < length {
        if read_more(stream, bytes).is_none() {
            return false;
        }
    }
    true
}

/// Appends the next bytes of `stream`; returns `None` when none arrive.
fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 << 10];
    let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
    bytes.extend_from_slice(&chunk[..length]);
    Some(())
}

/// Reads one response; returns `None` when the connection ends before its head is complete.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let (head, mut body) = read_head(stream, Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = field(&head, "content-length").and_then(|text| text.parse().ok());
    let complete = match length {
        Some(length) => {
            let complete = read_body(stream, &mut body, length);
            body.truncate(length);
            complete
        }
        None => read_chunks(stream, &mut body),
    };
    Some(Response { status, head, body, complete })
}

/// Replaces a chunked body by its content; returns whether the last chunk arrived.
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

/// Sends a request on a new connection.
///
/// Returns `None` when no complete response arrives. `timeout` bounds the connection's setup and
/// each read.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_response(&mut stream).filter(|response| response.complete)
}

/// Sends a request with default header fields: a POST when there is a body, otherwise a GET.
pub fn call_default(
    address: SocketAddr,
    target: &str,
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    call(address, method, target, &[("host", "soak")], body.as_bytes(), timeout)
}

/// Returns the value of a header field; `head` and `name` are in lower case.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(known, _)| *known == name).map(|(_, value)| value.trim())
}

/// Returns the body of the response to a request, which is the same at every server.
pub fn expected_body(id: &str, path: &str) -> Vec<u8> {
    let repeat = 1 + id.bytes().map(usize::from).sum::<usize>() % 400;
    format!("{id} {path};").repeat(repeat).into_bytes()
}

/// Returns the body of the upload `id`: some tens to some hundreds of kilobytes, so that it needs more
/// than one buffer on its way.
pub fn upload_body(id: &str) -> Vec<u8> {
    let length = 40_000 + id.bytes().map(usize::from).sum::<usize>() % 400 * 500;
    id.bytes().cycle().take(length).collect()
}
