//! The body of a request on its way to the next hop.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_limit::places::Place;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use ntex::http::Payload;

use crate::traffic::intake;

use super::held::Segments;
use super::{Failure, HeldBody};

/// The body of a request.
#[derive(Debug, Clone)]
pub(crate) enum Upload {
    /// No body.
    Empty,
    /// A body that is held in memory and can be sent again.
    Held(Rc<HeldBody>),
    /// A body that is streamed from the caller and can be sent only once.
    Stream(Rc<StreamedBody>),
}

/// A body that is streamed from the caller.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    /// The first bytes that were received before streaming started; they identify the request.
    first_segment: ntex::util::Bytes,
    /// The other bytes that were received before and have not been sent.
    prefix: RefCell<Segments>,
    payload: RefCell<Payload>,
    length: Option<u64>,
    limit: u64,
    has_started: Cell<bool>,
    sent: Cell<u64>,
    error: Cell<Option<UploadError>>,
    /// Its place among the bodies that are streamed.
    _place: Place,
}

/// The reason why a body could not be sent completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum UploadError {
    /// The caller disconnected or sent too few bytes.
    #[error("caller ended its request before it was complete")]
    CallerGone,
    /// The body exceeds the limit of the service.
    #[error("request body exceeds the limit of the service")]
    TooLarge,
}

/// A body while it is sent.
#[derive(Debug)]
pub(crate) enum OutgoingBody {
    /// A body held in memory, and the index of the segment that is sent next.
    Held(Rc<HeldBody>, usize),
    /// No body.
    Empty,
    /// A body that is streamed from the caller.
    Stream(Rc<StreamedBody>),
}

impl Upload {
    /// Returns a body whose `prefix` was received and whose rest is streamed; sending it fails above
    /// `limit` bytes.
    pub(crate) fn stream(
        prefix: HeldBody,
        payload: Payload,
        length: Option<u64>,
        limit: u64,
        place: Place,
    ) -> Self {
        let mut prefix = Segments::from(prefix);
        Self::Stream(Rc::new(StreamedBody {
            first_segment: prefix.take_first(),
            prefix: RefCell::new(prefix),
            payload: RefCell::new(payload),
            length,
            limit,
            has_started: Cell::new(false),
            sent: Cell::new(0),
            error: Cell::new(None),
            _place: place,
        }))
    }

    /// Returns the number of bytes of the body; `None` if the sender has not stated it.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Held(body) => Some(body.len() as u64),
            Self::Stream(stream) => stream.length,
        }
    }

    /// Returns whether the body can still be sent from its first byte.
    pub(crate) fn is_replayable(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Held(body) => body.len() == 0 || Mechanism::HeldBodies.is_on(),
            Self::Stream(stream) => !stream.has_started.get(),
        }
    }

    /// Returns the start of the body, as far as it was received before it is sent.
    pub(crate) fn buffered_prefix(&self) -> &[u8] {
        match self {
            Self::Empty => &[],
            Self::Held(body) => body.first_segment(),
            Self::Stream(stream) => &stream.first_segment,
        }
    }

    /// Reads the rest of a body that is streamed, because its request is refused.
    pub(crate) async fn discard_rest(&self) {
        let Self::Stream(stream) = self else { return };
        if stream.error.get().is_some() {
            return;
        }
        let mut payload = stream.payload.take();
        intake::discard(&mut payload).await;
    }

    /// Returns the failure of an exchange that was caused by its request body.
    pub(super) fn failure(&self) -> Option<Failure> {
        let Self::Stream(stream) = self else { return None };
        stream.error.get().map(|error| match error {
            UploadError::CallerGone => Failure::CallerGone,
            UploadError::TooLarge => Failure::BodyTooLarge,
        })
    }

    /// Returns the body for sending.
    pub(super) fn outgoing(&self) -> OutgoingBody {
        match self {
            Self::Empty => OutgoingBody::Empty,
            Self::Held(body) => OutgoingBody::Held(Rc::clone(body), 0),
            Self::Stream(stream) => OutgoingBody::Stream(Rc::clone(stream)),
        }
    }
}

impl From<ntex::util::Bytes> for Upload {
    fn from(bytes: ntex::util::Bytes) -> Self {
        Self::Held(Rc::new(HeldBody::from(bytes)))
    }
}

impl StreamedBody {
    /// Polls for the next bytes; fails if the body exceeds its limit or differs from its stated
    /// length.
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        let unsent = match self.has_started.replace(true) {
            false => Some(self.first_segment.clone()),
            true => self.prefix.borrow_mut().next_unsent(),
        };
        if let Some(segment) = unsent {
            self.sent.update(|sent| sent + segment.len() as u64);
            return Poll::Ready(Some(Ok(Bytes::copy_from_slice(&segment))));
        }
        loop {
            let next = ready!(self.payload.borrow_mut().poll_recv(cx));
            let sent = self.sent.get();
            return Poll::Ready(match next {
                Some(Ok(chunk)) if chunk.is_empty() => continue,
                Some(Ok(chunk)) if sent + chunk.len() as u64 > self.limit => {
                    Some(Err(self.record_error(UploadError::TooLarge)))
                }
                Some(Ok(chunk)) => {
                    self.sent.set(sent + chunk.len() as u64);
                    Some(Ok(Bytes::copy_from_slice(&chunk)))
                }
                None if self.length.is_none_or(|length| length == sent) => None,
                Some(Err(_)) | None => Some(Err(self.record_error(UploadError::CallerGone))),
            });
        }
    }

    fn record_error(&self, error: UploadError) -> UploadError {
        self.error.set(Some(error));
        error
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Held(body, next) => {
                let segment = body.segment(*next).map(Bytes::copy_from_slice);
                *next += 1;
                Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
            }
            Self::Stream(stream) => stream.poll(cx).map(|next| next.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Held(body, next) => body.segment(*next).is_none(),
            Self::Stream(stream) => stream.length == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Held(body, _) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(stream) => stream.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
