//! The HTTP/2 frames of a client (RFC 9113), as bytes.

use std::net::TcpStream;

use crate::http;

/// The preface of a client, and settings without a change.
pub fn preface() -> Vec<u8> {
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(settings(&[]));
    bytes
}

/// The setting of the size of each stream's window.
pub const INITIAL_WINDOW_SIZE: u16 = 4;

/// The flag that acknowledges settings or a ping.
const ACK: u8 = 0x1;
/// The flag of the last frame that a stream carries.
const END_STREAM: u8 = 0x1;
/// The flag of the last frame of a header block.
const END_HEADERS: u8 = 0x4;

/// The types of frames.
mod kind {
    pub(super) const DATA: u8 = 0;
    pub(super) const HEADERS: u8 = 1;
    pub(super) const RST_STREAM: u8 = 3;
    pub(super) const SETTINGS: u8 = 4;
    pub(super) const PING: u8 = 6;
    pub(super) const GO_AWAY: u8 = 7;
    pub(super) const CONTINUATION: u8 = 9;
}

/// Whether a header block ends with its frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Block {
    /// It ends.
    Whole,
    /// Continuations follow.
    Continued,
}

/// Returns a SETTINGS frame.
pub fn settings(values: &[(u16, u32)]) -> Vec<u8> {
    let mut payload = Vec::new();
    for (id, value) in values {
        payload.extend(id.to_be_bytes());
        payload.extend(value.to_be_bytes());
    }
    frame(kind::SETTINGS, 0, 0, &payload)
}

/// Returns the acknowledgement of settings.
pub fn settings_ack() -> Vec<u8> {
    frame(kind::SETTINGS, ACK, 0, &[])
}

/// Returns a PING frame.
pub fn ping() -> Vec<u8> {
    frame(kind::PING, 0, 0, &[7; 8])
}

/// Returns the head of a GET request with `fields`, which ends the stream.
pub fn get(stream: u32, host: &str, path: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let payload = request_block(true, host, path, fields);
    frame(kind::HEADERS, END_HEADERS | END_STREAM, stream, &payload)
}

/// Reads frames until one ends the stream `id`; returns false if the stream or the connection ends
/// otherwise. `rest` holds the bytes that were read beyond the last frame.
pub fn read_to_end(connection: &mut TcpStream, rest: &mut Vec<u8>, id: u32) -> bool {
    const HEAD_BYTES: usize = 9;
    loop {
        if !http::read_body(connection, rest, HEAD_BYTES) {
            return false;
        }
        let length = u32::from_be_bytes([0, rest[0], rest[1], rest[2]]) as usize;
        let (kind, flags) = (rest[3], rest[4]);
        let stream = u32::from_be_bytes([rest[5], rest[6], rest[7], rest[8]]);
        if !http::read_body(connection, rest, HEAD_BYTES + length) {
            return false;
        }
        rest.drain(..HEAD_BYTES + length);
        match kind {
            kind::GO_AWAY => return false,
            kind::RST_STREAM if stream == id => return false,
            kind::HEADERS | kind::DATA if stream == id && flags & END_STREAM != 0 => return true,
            _ => {}
        }
    }
}

/// Returns the head of a POST request with `fields`.
pub fn post(stream: u32, host: &str, path: &str, fields: &[(&str, &str)], block: Block) -> Vec<u8> {
    let flags = if block == Block::Whole { END_HEADERS } else { 0 };
    frame(kind::HEADERS, flags, stream, &request_block(false, host, path, fields))
}

/// Returns a CONTINUATION frame with one field of `length` bytes, after which others follow.
pub fn continuation(stream: u32, length: usize) -> Vec<u8> {
    let mut payload = Vec::new();
    push_field(&mut payload, b"x-more", &vec![b'a'; length]);
    frame(kind::CONTINUATION, 0, stream, &payload)
}

/// Returns a DATA frame of `length` bytes that does not end its stream.
pub fn data(stream: u32, length: usize) -> Vec<u8> {
    frame(kind::DATA, 0, stream, &vec![b'a'; length])
}

/// Returns a frame that cancels a stream.
pub fn reset(stream: u32) -> Vec<u8> {
    const CANCEL: u32 = 8;
    frame(kind::RST_STREAM, 0, stream, &CANCEL.to_be_bytes())
}

fn request_block(is_get: bool, host: &str, path: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    /// Indexed fields of the static table (RFC 7541, appendix A).
    const METHOD_GET: u8 = 0x82;
    const METHOD_POST: u8 = 0x83;
    const SCHEME_HTTP: u8 = 0x86;
    let mut block = vec![if is_get { METHOD_GET } else { METHOD_POST }, SCHEME_HTTP];
    push_field(&mut block, b":path", path.as_bytes());
    push_field(&mut block, b":authority", host.as_bytes());
    for (name, value) in fields {
        push_field(&mut block, name.as_bytes(), value.as_bytes());
    }
    block
}

/// Appends a literal field without indexing and without Huffman coding (RFC 7541, section 6.2.2).
fn push_field(block: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    block.push(0);
    for text in [name, value] {
        push_length(block, text.len());
        block.extend_from_slice(text);
    }
}

/// Appends an integer with a prefix of seven bits (RFC 7541, section 5.1).
fn push_length(block: &mut Vec<u8>, length: usize) {
    const PREFIX: usize = 0x7f;
    if length < PREFIX {
        block.push(length.to_le_bytes()[0]);
        return;
    }
    block.push(0x7f);
    let mut rest = length - PREFIX;
    while rest >= 0x80 {
        block.push((rest % 0x80).to_le_bytes()[0] | 0x80);
        rest /= 0x80;
    }
    block.push(rest.to_le_bytes()[0]);
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_be_bytes();
    let mut bytes = vec![length[1], length[2], length[3], kind, flags];
    bytes.extend(stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}
