//! Decides which response is cut when the memory for bodies is used up.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// Identifies a response that is held for its reader.
pub type ReaderId = u64;

/// How long a reader has to have taken nothing before its response may be cut. A steady reader of
/// 400 kB/s empties a third of 2 MB, after which the system takes more bytes, in 1.7 s.
pub const MIN_UNREAD: Duration = Duration::from_secs(2);

/// How long a reader has to have taken nothing before its response may be cut while very many
/// responses wait for their readers.
pub const MIN_UNREAD_IN_CROWD: Duration = Duration::from_millis(200);

/// The responses that a node holds because their readers are slow.
///
/// When the memory is used up, the response whose reader has taken nothing for the longest time is
/// cut. Responses to idempotent requests come first, because their callers can send the request
/// again; another one is cut only when none of those is held.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::slow_readers::{MIN_UNREAD, SlowReaders};
///
/// let mut readers = SlowReaders::default();
/// let booking = readers.add(false, Duration::ZERO);
/// let lookup = readers.add(true, Duration::from_secs(1));
/// let now = Duration::from_secs(1) + MIN_UNREAD;
/// assert_eq!(readers.choose(now), Some(lookup));
/// readers.remove(lookup);
/// assert_eq!(readers.choose(now), Some(booking));
/// ```
#[derive(Debug, Default)]
pub struct SlowReaders {
    next_id: ReaderId,
    /// Sorted by id.
    readers: Vec<Reader>,
}

#[derive(Debug)]
struct Reader {
    id: ReaderId,
    is_idempotent: bool,
    read_at: Time,
    is_cut: bool,
}

impl SlowReaders {
    /// Adds a response that is held from `now` on.
    pub fn add(&mut self, is_idempotent: bool, now: Time) -> ReaderId {
        let id = self.next_id;
        self.next_id += 1;
        self.readers.push(Reader { id, is_idempotent, read_at: now, is_cut: false });
        id
    }

    /// Records that the reader of a response has taken bytes.
    pub fn record_read(&mut self, id: ReaderId, now: Time) {
        if let Ok(index) = self.find(id) {
            self.readers[index].read_at = now;
        }
    }

    /// Removes a response that is no longer held.
    pub fn remove(&mut self, id: ReaderId) {
        if let Ok(index) = self.find(id) {
            self.readers.remove(index);
        }
    }

    /// Returns whether a response was chosen to be cut.
    pub fn is_cut(&self, id: ReaderId) -> bool {
        self.find(id).is_ok_and(|index| self.readers[index].is_cut)
    }

    /// Chooses the response to cut, or none if every reader has taken bytes lately. Returns none as
    /// well while the response that was chosen before is still held, because its memory will be
    /// free soon.
    pub fn choose(&mut self, now: Time) -> Option<ReaderId> {
        if self.readers.iter().any(|reader| reader.is_cut) {
            return None;
        }
        let has_idempotent = self.readers.iter().any(|reader| reader.is_idempotent);
        let may_be_cut = |reader: &&mut Reader| {
            reader.is_idempotent == has_idempotent
                && now.saturating_sub(reader.read_at) >= MIN_UNREAD
        };
        let candidates = self.readers.iter_mut().filter(may_be_cut);
        let chosen = candidates.min_by_key(|reader| reader.read_at)?;
        chosen.is_cut = true;
        Some(chosen.id)
    }

    /// Chooses the responses to cut so that at most `limit` are held: those whose readers have taken
    /// nothing for the longest time, and for at least `min_unread`. Returns how many were chosen.
    pub fn choose_beyond(&mut self, limit: usize, min_unread: Duration, now: Time) -> usize {
        let held = self.readers.iter().filter(|reader| !reader.is_cut).count();
        let excess = held.saturating_sub(limit);
        let is_unread = |reader: &Reader| now.saturating_sub(reader.read_at) >= min_unread;
        let mut candidates: Vec<&mut Reader> = Vec::new();
        for reader in &mut self.readers {
            if excess > 0 && !reader.is_cut && is_unread(reader) {
                candidates.push(reader);
            }
        }
        candidates.sort_by_key(|reader| (!reader.is_idempotent, reader.read_at));
        candidates.truncate(excess);
        for reader in &mut candidates {
            reader.is_cut = true;
        }
        candidates.len()
    }

    /// Returns the number of responses that are held.
    pub fn len(&self) -> usize {
        self.readers.len()
    }

    /// Returns whether no response is held.
    pub fn is_empty(&self) -> bool {
        self.readers.is_empty()
    }

    fn find(&self, id: ReaderId) -> Result<usize, usize> {
        self.readers.binary_search_by_key(&id, |reader| reader.id)
    }
}
