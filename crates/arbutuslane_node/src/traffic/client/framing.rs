//! Decodes the framing of response bodies.

use std::cell::Cell;

use ntex::codec::Decoder;
use ntex::util::{Bytes, BytesMut};

use super::head::Framing;

/// The longest chunk-size or trailer line in bytes.
const LINE_BYTES: usize = 4 << 10;

/// The most trailer lines after the last chunk; their content is dropped.
const TRAILER_LINES: u8 = 32;

/// A piece of a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// The next bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A body whose framing is broken.
#[derive(Debug, thiserror::Error)]
#[error("response body has a malformed chunk")]
pub(crate) struct Error;

/// Decodes one body.
#[derive(Debug)]
pub(crate) struct Codec {
    state: Cell<State>,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Counted(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer(u8),
    Ended,
}

impl Codec {
    /// Returns a codec for a body with `framing`, or nothing where its end cannot be verified.
    pub(crate) fn new(framing: Framing) -> Option<Self> {
        let state = match framing {
            Framing::Empty => State::Ended,
            Framing::Length(length) => State::Counted(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => return None,
        };
        Some(Self { state: Cell::new(state) })
    }
}

impl Decoder for Codec {
    type Item = Part;
    type Error = Error;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Part>, Error> {
        loop {
            let state = match self.state.get() {
                State::Ended | State::Counted(0) => return Ok(Some(Part::End)),
                State::Counted(left) => {
                    return Ok(take(source, left).map(|(data, left)| {
                        self.state.set(State::Counted(left));
                        Part::Data(data)
                    }));
                }
                State::Chunk(0) => State::ChunkEnd,
                State::Chunk(left) => {
                    return Ok(take(source, left).map(|(data, left)| {
                        self.state.set(State::Chunk(left));
                        Part::Data(data)
                    }));
                }
                State::Size => {
                    let Some(line) = take_line(source)? else { return Ok(None) };
                    match chunk_size(&line)? {
                        0 => State::Trailer(0),
                        size => State::Chunk(size),
                    }
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(source)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Error);
                    }
                    State::Size
                }
                State::Trailer(lines) => {
                    let Some(line) = take_line(source)? else { return Ok(None) };
                    match line.is_empty() {
                        true => State::Ended,
                        false if lines >= TRAILER_LINES => return Err(Error),
                        false => State::Trailer(lines + 1),
                    }
                }
            };
            self.state.set(state);
        }
    }
}

/// Takes at most `left` bytes and returns them with what is left after them.
fn take(source: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    if source.is_empty() {
        return None;
    }
    let length = usize::try_from(left).unwrap_or(usize::MAX).min(source.len());
    let data = if length == source.len() { source.take() } else { source.split_to(length) };
    Some((data, left - length as u64))
}

/// Takes a line without its CRLF.
fn take_line(source: &mut BytesMut) -> Result<Option<Vec<u8>>, Error> {
    let Some(end) = source.iter().position(|byte| *byte == b'\n') else {
        return if source.len() > LINE_BYTES { Err(Error) } else { Ok(None) };
    };
    if end == 0 || source[end - 1] != b'\r' || end > LINE_BYTES {
        return Err(Error);
    }
    let line = source[..end - 1].to_vec();
    source.advance_to(end + 1);
    Ok(Some(line))
}

/// Parses a chunk-size line; extensions after a semicolon are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| Error)?.trim_end();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Error);
    }
    u64::from_str_radix(digits, 16).map_err(|_| Error)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode_all(framing: Framing, source: &[u8], step: usize) -> Result<(Vec<u8>, bool), Error> {
        let codec = Codec::new(framing).unwrap();
        let mut buffer = BytesMut::new();
        let mut body = Vec::new();
        for piece in source.chunks(step) {
            buffer.extend_from_slice(piece);
            loop {
                match codec.decode(&mut buffer)? {
                    Some(Part::Data(data)) => body.extend_from_slice(&data),
                    Some(Part::End) => return Ok((body, true)),
                    None => break,
                }
            }
        }
        Ok((body, false))
    }

    /// Guards against a body that is lost or torn where the network splits it.
    #[test]
    fn decode_chunked_split() {
        let source = b"4;x=y\r\nabcd\r\nA\r\n0123456789\r\n0\r\ntrailer: x\r\n\r\n";
        for step in 1..source.len() {
            let (body, complete) = decode_all(Framing::Chunked, source, step).unwrap();
            assert_eq!((body.as_slice(), complete), (b"abcd0123456789".as_slice(), true));
        }
    }

    /// Guards against a cut body that looks complete.
    #[test]
    fn decode_cut() {
        let source = b"4\r\nabcd\r\n0\r\n\r\n";
        for end in 1..source.len() {
            assert!(!decode_all(Framing::Chunked, &source[..end], 3).unwrap().1, "{end}");
        }
        assert!(!decode_all(Framing::Length(5), b"abcd", 2).unwrap().1);
    }

    /// Guards against chunk sizes that overflow or hide a second response.
    #[test]
    fn decode_malformed() {
        for source in ["g\r\n", "-1\r\n", "\r\n", "4\nabcd", "1\r\nab\r\n", "11111111111111111\r\n"]
        {
            assert!(decode_all(Framing::Chunked, source.as_bytes(), 64).is_err(), "{source}");
        }
    }
}
