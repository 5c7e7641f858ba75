//! Limits the bytes that the other side sends before its response head is complete.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read while a response head is awaited. The body that follows a head of the
/// largest size, as far as it is read together with the head, stays below it.
const MAX_BYTES_BEFORE_HEAD: u64 = 256 << 10;

/// The bytes that may still be read before the head of the current response is complete, or `None` after
/// it.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadAllowance(Rc<Cell<Option<u64>>>);

/// A socket that fails when more bytes arrive than the allowance of a response head.
///
/// `hyper` skips interim responses for as long as bytes arrive, without a pause. A server that sends them
/// without end would stop all other work of the thread.
#[derive(Debug)]
pub(super) struct HeadLimitedStream {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl HeadAllowance {
    /// Starts the allowance of the next response head.
    pub(super) fn start(&self) {
        self.0.set(Some(MAX_BYTES_BEFORE_HEAD));
    }

    /// Ends the limit, because the head is complete.
    pub(super) fn end(&self) {
        self.0.set(None);
    }

    /// Counts bytes that were read; returns an error if they exceed the allowance.
    fn consume(&self, bytes: usize) -> Result<(), Error> {
        let Some(left) = self.0.get() else { return Ok(()) };
        match left.checked_sub(bytes as u64) {
            Some(left) => {
                self.0.set(Some(left));
                Ok(())
            }
            None => {
                let message = "too many bytes before the end of the response head";
                Err(Error::new(ErrorKind::InvalidData, message))
            }
        }
    }
}

impl HeadLimitedStream {
    pub(super) fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.allowance.consume(buffer.filled().len() - before))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a limit that counts a body, or that an earlier response has used up.
    #[test]
    fn consume_limited() {
        let allowance = HeadAllowance::default();
        let half = usize::try_from(MAX_BYTES_BEFORE_HEAD / 2).unwrap();
        for _ in 0..3 {
            allowance.start();
            assert!(allowance.consume(half).is_ok());
            allowance.end();
            assert!(allowance.consume(half * 10).is_ok());
        }
        allowance.start();
        assert!(allowance.consume(half * 2).is_ok());
        assert!(allowance.consume(1).is_err());
    }
}
