//! The body of a request on its way to the next hop.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ntex::http::Payload;
use ntex::io::Io;
use ntex::util::Bytes;

use super::Failure;

/// The body of a request.
#[derive(Debug, Clone)]
pub(crate) enum Upload {
    /// No body.
    Empty,
    /// A body that is held whole, so it can be sent again.
    Whole(Bytes),
    /// A body that is passed on as it comes and can be sent once.
    Stream(Rc<Stream>),
}

/// A body that is passed on as it comes.
#[derive(Debug)]
pub(crate) struct Stream {
    payload: RefCell<Payload>,
    length: Option<u64>,
    limit: u64,
    started: Cell<bool>,
}

impl Upload {
    /// Returns a body that is passed on as it comes and breaks off above `limit` bytes.
    pub(crate) fn stream(payload: Payload, length: Option<u64>, limit: u64) -> Self {
        let payload = RefCell::new(payload);
        Self::Stream(Rc::new(Stream { payload, length, limit, started: Cell::new(false) }))
    }

    /// Returns whether the body can still be sent whole.
    pub(crate) fn replayable(&self) -> bool {
        match self {
            Self::Empty | Self::Whole(_) => true,
            Self::Stream(stream) => !stream.started.get(),
        }
    }

    /// Returns the header line that frames the body.
    pub(super) fn framing_field(&self, method_has_body: bool) -> String {
        match self {
            Self::Empty if method_has_body => "content-length: 0\r\n".to_string(),
            Self::Empty => String::new(),
            Self::Whole(bytes) => format!("content-length: {}\r\n", bytes.len()),
            Self::Stream(stream) => match stream.length {
                Some(length) => format!("content-length: {length}\r\n"),
                None => "transfer-encoding: chunked\r\n".to_string(),
            },
        }
    }

    /// Writes the body to `io`.
    pub(super) async fn send(self, io: Rc<Io>) -> Result<(), Failure> {
        match self {
            Self::Empty => Ok(()),
            Self::Whole(bytes) => {
                io.encode_bytes(bytes).map_err(|_| Failure::Closed)?;
                io.flush(false).await.map_err(|_| Failure::Closed)
            }
            Self::Stream(stream) => stream.send(&io).await,
        }
    }
}

impl Stream {
    async fn send(&self, io: &Io) -> Result<(), Failure> {
        self.started.set(true);
        let mut payload = self.payload.borrow_mut().take();
        let mut sent = 0;
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|_| Failure::CallerGone)?;
            if chunk.is_empty() {
                continue;
            }
            sent += chunk.len() as u64;
            if sent > self.limit {
                return Err(Failure::BodyTooLarge);
            }
            if self.length.is_none() {
                let size = format!("{:x}\r\n", chunk.len());
                io.encode_slice(size.as_bytes()).map_err(|_| Failure::Closed)?;
            }
            io.encode_bytes(chunk).map_err(|_| Failure::Closed)?;
            if self.length.is_none() {
                io.encode_slice(b"\r\n").map_err(|_| Failure::Closed)?;
            }
            io.flush(false).await.map_err(|_| Failure::Closed)?;
        }
        match self.length {
            Some(length) if length != sent => Err(Failure::CallerGone),
            Some(_) => Ok(()),
            None => {
                io.encode_slice(b"0\r\n\r\n").map_err(|_| Failure::Closed)?;
                io.flush(false).await.map_err(|_| Failure::Closed)
            }
        }
    }
}
