//! Raw HTTP/1.1 over blocking sockets, so that a test sees exactly what the node sent.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response as it was received.
#[derive(Debug, Clone, Default)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the framing of the body says that it is complete.
    pub(crate) complete: bool,
}

impl Response {
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn outcome(&self) -> &str {
        self.field("arbutuslane-outcome").unwrap_or("none")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Opens a connection whose reads fail after 20 s, so that a fault cannot hang a test.
pub(crate) fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Returns the bytes of a request.
pub(crate) fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the response.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Response {
    let mut stream = open(address);
    stream.write_all(&request(method, path, fields, body)).unwrap();
    read(&mut stream, method == "HEAD").unwrap_or_default()
}

/// Reads one response, or nothing when the connection ends before a complete head.
pub(crate) fn read(stream: &mut TcpStream, to_head: bool) -> Option<Response> {
    let mut buffer = Vec::new();
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if !more(stream, &mut buffer) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut rest = buffer.split_off(end + 4);
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut response = Response { status, ..Response::default() };
    for line in lines {
        let (name, value) = line.split_once(':')?;
        response.fields.push((name.to_string(), value.trim().to_string()));
    }
    if to_head || status == 204 {
        response.complete = true;
        return Some(response);
    }
    let length = response.field("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            while rest.len() < length && more(stream, &mut rest) {}
            response.complete = rest.len() == length;
            response.body = rest;
        }
        None => read_chunks(stream, &mut rest, &mut response),
    }
    Some(response)
}

fn read_chunks(stream: &mut TcpStream, rest: &mut Vec<u8>, response: &mut Response) {
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            if !more(stream, rest) {
                return;
            }
            continue;
        };
        let text = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return };
        while rest.len() < end + size + 4 {
            if !more(stream, rest) {
                response.body.extend_from_slice(&rest[(end + 2).min(rest.len())..]);
                return;
            }
        }
        response.body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest.drain(..end + size + 4);
        if size == 0 {
            response.complete = true;
            return;
        }
    }
}

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 64 << 10];
    loop {
        return match stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(length) => {
                buffer.extend_from_slice(&chunk[..length]);
                true
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => false,
        };
    }
}
