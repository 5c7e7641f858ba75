//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.get(1).map_or("", String::as_str)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.split_whitespace().map(str::to_string).collect(),
        ..Message::default()
    };
    message.status = message.line.get(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(Some(message)) };
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads the body that `message` announces; fails if it is cut.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(())
}

/// Returns the bytes of a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    if headers.iter().all(|(name, _)| !name.eq_ignore_ascii_case("host")) {
        text.push_str("Host: standin\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the whole response within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&request(method, target, headers, body))?;
    let mut reader = BufReader::new(stream);
    let mut response = loop {
        let head = read_head(&mut reader)?.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
        if head.status >= 200 {
            break head;
        }
    };
    read_body(&mut reader, &mut response)?;
    Ok(response)
}
