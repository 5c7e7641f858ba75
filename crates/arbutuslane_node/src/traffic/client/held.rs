//! A request body, or the start of one, that is held in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use ntex::util::{Bytes, BytesMut};

use arbutuslane_limit::memory::{Memory, Reservation};

/// The size of the parts in which a body is held. Parts of one size keep the unused memory of a
/// growing body below this size.
const SEGMENT_BYTES: usize = 64 << 10;

/// A request body, or the start of one, that is held in memory and can be sent more than once.
#[derive(Debug)]
pub(crate) struct HeldBody {
    /// All segments but the last one.
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    /// `None` for a message of this node, whose size is bounded otherwise.
    reservation: Option<Reservation>,
}

/// The segments of a body that is sent only once: their memory is released as they are sent.
#[derive(Debug)]
pub(super) struct Segments {
    unsent: VecDeque<Bytes>,
    reservation: Option<Reservation>,
}

impl HeldBody {
    /// Returns an empty body that will use a part of `memory`.
    pub(crate) fn new(memory: &Arc<Memory>) -> Self {
        let reservation = Some(memory.reserve());
        Self { full: Vec::new(), last: BytesMut::new(), length: 0, reservation }
    }

    /// Appends `chunk`; returns false and appends nothing if the memory is used up.
    #[must_use]
    pub(crate) fn push(&mut self, chunk: &[u8]) -> bool {
        let is_held = self.reservation.as_mut().is_none_or(|held| held.grow(chunk.len()));
        if is_held {
            self.push_unreserved(chunk);
        }
        is_held
    }

    /// Appends `chunk` although the memory may be used up.
    pub(crate) fn push_unreserved(&mut self, mut chunk: &[u8]) {
        self.length += chunk.len();
        while !chunk.is_empty() {
            if self.last.len() >= SEGMENT_BYTES {
                let next = BytesMut::with_capacity(SEGMENT_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next).freeze());
            }
            let room = SEGMENT_BYTES - self.last.len();
            let (now, later) = chunk.split_at(chunk.len().min(room));
            self.last.extend_from_slice(now);
            chunk = later;
        }
    }

    /// Returns the number of bytes held.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns the first segment, which holds the whole body if that is short.
    pub(crate) fn first_segment(&self) -> &[u8] {
        self.segment(0).unwrap_or_default()
    }

    /// Returns the segment `index`, or `None` after the last one.
    pub(crate) fn segment(&self, index: usize) -> Option<&[u8]> {
        match self.full.get(index) {
            Some(segment) => Some(segment),
            None if index == self.full.len() && !self.last.is_empty() => Some(&self.last),
            None => None,
        }
    }
}

impl Segments {
    /// Removes and returns the first segment. Its memory stays reserved, because its owner keeps it.
    pub(super) fn take_first(&mut self) -> Bytes {
        self.unsent.pop_front().unwrap_or_default()
    }

    /// Removes and returns the segment that is sent next, or `None` after the last one.
    pub(super) fn next_unsent(&mut self) -> Option<Bytes> {
        let segment = self.unsent.pop_front()?;
        if let Some(held) = &mut self.reservation {
            held.shrink(segment.len());
        }
        Some(segment)
    }
}

impl From<HeldBody> for Segments {
    fn from(body: HeldBody) -> Self {
        let HeldBody { full, last, reservation, .. } = body;
        let mut unsent = VecDeque::from(full);
        if !last.is_empty() {
            unsent.push_back(last.freeze());
        }
        Self { unsent, reservation }
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        Self { full: vec![bytes], last: BytesMut::new(), length, reservation: None }
    }
}
