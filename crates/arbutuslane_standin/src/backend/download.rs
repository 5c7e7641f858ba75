//! Serves downloads: deterministic bytes with a strong entity tag, in ranges on request.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::http::body::{Body, BodySize, MessageBody};
use ntex::http::{Method, Request, Response, StatusCode};
use ntex::io::IoRef;
use ntex::util::Bytes;

use crate::content;

use super::Cut;

/// The size of the chunks of a body.
const CHUNK_BYTES: u64 = 32 << 10;

/// The body of a download.
struct Download {
    name: String,
    offset: u64,
    end: u64,
    /// The offset at which the body is cut off, and the connection that is closed then.
    cut: Option<(u64, Option<IoRef>)>,
    size: BodySize,
}

/// Responds to a request for `rest`, which is `<name>/<length>` with or without a query; the length
/// is in bytes.
pub(super) fn handle(request: &Request, rest: &str, cut: Cut) -> Response {
    let Some((name, length)) = rest.rsplit_once('/') else {
        return Response::new(StatusCode::NOT_FOUND);
    };
    let Ok(length) = length.split('?').next().unwrap_or_default().parse::<u64>() else {
        return Response::new(StatusCode::NOT_FOUND);
    };
    let tag = format!("\"{name}-{length}\"");
    let field = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    // Only the range `bytes=N-` is served, with N below the length and an `if-range` field that
    // matches, if there is one. Any other range is ignored and the whole body is sent.
    let start = match (field("range"), field("if-range")) {
        (Some(range), condition) if condition.is_none_or(|condition| condition == tag) => {
            range.strip_prefix("bytes=").and_then(|range| range.strip_suffix('-'))
        }
        _ => None,
    };
    let start = start.and_then(|start| start.parse::<u64>().ok()).filter(|start| *start < length);
    let mut builder = Response::build(StatusCode::OK);
    if let Some(start) = start {
        builder.status(StatusCode::PARTIAL_CONTENT);
        builder.header("content-range", format!("bytes {start}-{}/{length}", length - 1));
    }
    let offset = start.unwrap_or(0);
    let cut_at = offset + (length - offset) / 2;
    builder.header("etag", tag).header("accept-ranges", "bytes");
    builder.body(Body::from_message(Download {
        name: name.to_string(),
        offset,
        end: if request.method() == Method::HEAD { offset } else { length },
        cut: (cut != Cut::None).then(|| (cut_at, request.io().cloned())),
        // A clean cut applies to a chunked body, whose head states no length.
        size: if cut == Cut::Clean { BodySize::Stream } else { BodySize::Sized(length - offset) },
    }))
}

impl MessageBody for Download {
    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let mut end = self.end;
        if let Some((cut_at, io)) = &self.cut {
            if self.offset >= *cut_at {
                if let Some(io) = io {
                    io.close();
                }
                // The closed connection ends the response; ending a chunked body here would make
                // it look complete.
                return Poll::Pending;
            }
            end = end.min(*cut_at);
        }
        if self.offset >= end {
            return Poll::Ready(None);
        }
        let length = CHUNK_BYTES.min(end - self.offset);
        let bytes = content::bytes(&self.name, self.offset, usize::try_from(length).unwrap_or(0));
        self.offset += length;
        Poll::Ready(Some(Ok(Bytes::from(bytes))))
    }
}
