//! Decodes response heads and decides how the body is framed.

use ntex::codec::Decoder;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::util::BytesMut;

/// The most header fields that a response may have.
const FIELDS: usize = 96;

/// The largest response head in bytes.
const HEAD_BYTES: usize = 32 << 10;

/// The head of a response.
#[derive(Debug)]
pub(crate) struct Head {
    /// The status of the response.
    pub(crate) status: StatusCode,
    /// All header fields as received.
    pub(crate) headers: HeaderMap,
    /// How the end of the body is found.
    pub(crate) framing: Framing,
    /// Whether the sender keeps the connection open.
    pub(crate) keep_alive: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has a stated length.
    Length(u64),
    /// The body consists of chunks and ends with an empty one.
    Chunked,
    /// The body ends with the connection, so a cut body cannot be told from a complete one.
    UntilClose,
}

/// A response head that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The head is longer than [`HEAD_BYTES`].
    #[error("response head is longer than {HEAD_BYTES} bytes")]
    TooLarge,
    /// The bytes are no HTTP/1 response head.
    #[error("malformed response head: {0}")]
    Malformed(String),
    /// The framing fields contradict each other.
    #[error("response has contradictory framing fields")]
    Framing,
}

/// Decodes one response head; interim responses are skipped.
#[derive(Debug)]
pub(crate) struct Codec {
    to_head_request: bool,
}

impl Codec {
    /// Returns a codec for the response to a request with `method`.
    pub(crate) fn new(method: &Method) -> Self {
        Self { to_head_request: method == Method::HEAD }
    }

    fn parse(&self, source: &[u8]) -> Result<Option<(usize, Head)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let length = match response.parse(source) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(Error::Malformed(error.to_string())),
        };
        let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or_else(|| Error::Malformed("bad status".to_string()))?;
        let mut headers = HeaderMap::with_capacity(response.headers.len());
        for field in response.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes())
                .map_err(|error| Error::Malformed(error.to_string()))?;
            let value = HeaderValue::from_bytes(field.value)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            headers.append(name, value);
        }
        let version = response.version.unwrap_or(0);
        let keep_alive = version == 1 && !lists(&headers, "connection", "close");
        let framing = self.framing(status, &headers)?;
        Ok(Some((length, Head { status, headers, framing, keep_alive })))
    }

    fn framing(&self, status: StatusCode, headers: &HeaderMap) -> Result<Framing, Error> {
        let length = content_length(headers)?;
        let chunked = lists(headers, "transfer-encoding", "chunked");
        if headers.contains_key("transfer-encoding") && (!chunked || length.is_some()) {
            return Err(Error::Framing);
        }
        if self.to_head_request
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED
        {
            return Ok(Framing::Empty);
        }
        Ok(match length {
            Some(0) => Framing::Empty,
            Some(length) => Framing::Length(length),
            None if chunked => Framing::Chunked,
            None => Framing::UntilClose,
        })
    }
}

impl Decoder for Codec {
    type Item = Head;
    type Error = Error;

    fn decode(&self, source: &mut BytesMut) -> Result<Option<Head>, Error> {
        loop {
            if source.is_empty() {
                return Ok(None);
            }
            let Some((length, head)) = self.parse(source)? else {
                return if source.len() > HEAD_BYTES { Err(Error::TooLarge) } else { Ok(None) };
            };
            if length > HEAD_BYTES {
                return Err(Error::TooLarge);
            }
            source.advance_to(length);
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
        }
    }
}

/// Returns whether a comma-separated field lists `token`.
pub(crate) fn lists(headers: &HeaderMap, name: &str, token: &str) -> bool {
    headers.get_all(name).any(|value| {
        value.to_str().is_ok_and(|value| {
            value.split(',').any(|element| element.trim().eq_ignore_ascii_case(token))
        })
    })
}

/// Returns the stated length, refusing repeated fields that differ.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let mut length = None;
    for value in headers.get_all("content-length") {
        let text = value.to_str().map_err(|_| Error::Framing)?;
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Error::Framing);
        }
        let value: u64 = text.parse().map_err(|_| Error::Framing)?;
        if length.is_some_and(|known| known != value) {
            return Err(Error::Framing);
        }
        length = Some(value);
    }
    Ok(length)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode(source: &str) -> Result<Option<Head>, Error> {
        Codec::new(&Method::GET).decode(&mut BytesMut::copy_from_slice(source.as_bytes()))
    }

    /// Guards against a body whose end is looked for in the wrong place.
    #[test]
    fn decode_framing() {
        let cases = [
            ("content-length: 5\r\n", Framing::Length(5)),
            ("content-length: 0\r\n", Framing::Empty),
            ("transfer-encoding: chunked\r\n", Framing::Chunked),
            ("", Framing::UntilClose),
        ];
        for (fields, framing) in cases {
            let head = decode(&format!("HTTP/1.1 200 OK\r\n{fields}\r\n")).unwrap().unwrap();
            assert_eq!(head.framing, framing, "{fields}");
        }
    }

    /// Guards against response splitting by fields that two readers resolve differently.
    #[test]
    fn decode_contradiction() {
        for fields in [
            "content-length: 5\r\ncontent-length: 6\r\n",
            "content-length: 5\r\ntransfer-encoding: chunked\r\n",
            "transfer-encoding: gzip\r\n",
            "content-length: +5\r\n",
        ] {
            let result = decode(&format!("HTTP/1.1 200 OK\r\n{fields}\r\n"));
            assert!(matches!(result, Err(Error::Framing)), "{fields}");
        }
    }

    /// Guards against an interim response that is taken for the final one.
    #[test]
    fn decode_interim() {
        let source = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 204 None\r\n\r\n";
        assert_eq!(decode(source).unwrap().unwrap().status, StatusCode::NO_CONTENT);
    }

    /// Guards against a head that grows without bound.
    #[test]
    fn decode_oversized() {
        let source = format!("HTTP/1.1 200 OK\r\nx: {}", "a".repeat(HEAD_BYTES));
        assert!(matches!(decode(&source), Err(Error::TooLarge)));
    }
}
