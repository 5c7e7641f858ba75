//! Decides which connection of a listener gives way when there is no room for another one.

use std::cmp::Reverse;
use std::time::Duration;

use arbutuslane_core::time::Time;

/// How long a connection stays open whose peer reads nothing of a response.
pub const MAX_UNREAD: Duration = Duration::from_secs(2);

/// How long a connection has to be idle so that it gives way before one that sends a body.
pub const MIN_IDLE: Duration = Duration::from_secs(1);

/// The connections of one listener, at most `limit` of them.
///
/// When the limit is reached, a new connection takes the place of another one, in this order:
///
/// 1. the oldest one that has sent no complete request head, or whose only requests were rejected;
/// 2. the one that has been idle for the longest time, and for at least [`MIN_IDLE`];
/// 3. the one that holds most of a body whose request has not been accepted;
/// 4. the one that has been idle for the longest time.
///
/// A connection with an accepted request never gives way until there is a response, because a server
/// may run the request. While a response is delivered, the connection gives way only if its peer has
/// read nothing for [`MAX_UNREAD`], and then after the first kind.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::connections::{Opening, Table, Use};
///
/// let mut table = Table::new(2);
/// let all_read = |_| Use::default();
/// assert_eq!(table.open(1, Duration::from_secs(1), all_read), Opening::Added);
/// assert_eq!(table.open(2, Duration::from_secs(2), all_read), Opening::Added);
/// table.begin(1, Duration::from_secs(3));
/// table.accept(1);
/// assert_eq!(table.open(3, Duration::from_secs(4), all_read), Opening::Replaced(2));
/// ```
#[derive(Debug)]
pub struct Table<K> {
    limit: usize,
    /// In the order of their ids.
    entries: Vec<Entry<K>>,
}

/// What a connection holds now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Use {
    /// The bytes of bodies whose requests have not been accepted.
    pub held: usize,
    /// How long bytes for the peer have been waiting of which it has taken none; `None` if there are
    /// none.
    pub unread_for: Option<Duration>,
}

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It may still be refused.
    Undecided,
    /// A server may run it.
    Accepted,
    /// It has its response, which is being delivered.
    Answered,
}

/// The order in which connections give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Unused,
    Unread,
    Idle,
    Undecided,
    RecentlyUsed,
}

/// What became of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening<K> {
    /// There was room for it.
    Added,
    /// It takes the place of another connection, which has to be closed.
    Replaced(K),
    /// All connections have accepted requests, so the new one has to be closed.
    Refused,
}

#[derive(Debug)]
struct Entry<K> {
    id: K,
    /// The time of the last change: when the connection was opened, or when its last request began
    /// or ended.
    since: Time,
    /// Whether a request of the connection has been accepted.
    is_useful: bool,
    /// The requests whose heads have arrived, and which have not ended.
    begun: u32,
    /// Those of them that were accepted.
    accepted: u32,
    /// Those of the accepted ones whose responses are being delivered.
    answered: u32,
}

impl<K: Copy + Ord> Table<K> {
    /// Returns an empty table for `limit` connections, at least one.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), entries: Vec::new() }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the most connections that the table holds.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adds the connection `id`, which was opened at `now`, and removes the one that gives way.
    /// `use_of` returns what another connection holds.
    pub fn open(&mut self, id: K, now: Time, use_of: impl Fn(K) -> Use) -> Opening<K> {
        let replaced = match self.entries.len() < self.limit {
            true => None,
            false => match self.least_useful(now, use_of) {
                Some(index) => Some(self.entries.remove(index).id),
                None => return Opening::Refused,
            },
        };
        let entry = Entry { id, since: now, is_useful: false, begun: 0, accepted: 0, answered: 0 };
        match self.position(id) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
        replaced.map_or(Opening::Added, Opening::Replaced)
    }

    /// Removes the connection `id`.
    pub fn close(&mut self, id: K) {
        if let Ok(index) = self.position(id) {
            self.entries.remove(index);
        }
    }

    /// Records that the head of a request has arrived; returns false if the connection has given
    /// way.
    pub fn begin(&mut self, id: K, now: Time) -> bool {
        let Ok(index) = self.position(id) else { return false };
        let entry = &mut self.entries[index];
        if entry.begun == 0 {
            entry.since = now;
        }
        entry.begun += 1;
        true
    }

    /// Returns the number of requests of the connection `id` that have begun and not ended.
    pub fn begun(&self, id: K) -> u32 {
        self.position(id).map_or(0, |index| self.entries[index].begun)
    }

    /// Records that a request that has begun may be offered to a server; returns false if the
    /// connection has given way, so that the request has to be refused.
    pub fn accept(&mut self, id: K) -> bool {
        let Ok(index) = self.position(id) else { return false };
        let entry = &mut self.entries[index];
        entry.accepted += 1;
        entry.is_useful = true;
        true
    }

    /// Records that an accepted request has its response, which is to be delivered.
    pub fn answer(&mut self, id: K) {
        if let Ok(index) = self.position(id) {
            self.entries[index].answered += 1;
        }
    }

    /// Records the end of a request in the state `last`.
    pub fn end(&mut self, id: K, last: RequestState, now: Time) {
        let Ok(index) = self.position(id) else { return };
        let entry = &mut self.entries[index];
        entry.begun = entry.begun.saturating_sub(1);
        if last == RequestState::Undecided {
            return;
        }
        entry.accepted = entry.accepted.saturating_sub(1);
        if last == RequestState::Answered {
            entry.answered = entry.answered.saturating_sub(1);
        }
        entry.since = now;
    }

    fn position(&self, id: K) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id)
    }

    /// Returns the index of the connection that gives way first, if any may.
    fn least_useful(&self, now: Time, use_of: impl Fn(K) -> Use) -> Option<usize> {
        let mut first = None;
        for (index, entry) in self.entries.iter().enumerate() {
            if entry.accepted > entry.answered {
                continue;
            }
            let Use { held, unread_for } = use_of(entry.id);
            let rank = match unread_for {
                Some(unread_for) if unread_for < MAX_UNREAD => continue,
                Some(_) => Rank::Unread,
                None if entry.answered > 0 => continue,
                None => entry.rank(now),
            };
            let key = (rank, Reverse(held), entry.since);
            if first.is_none_or(|(least, _)| key < least) {
                first = Some((key, index));
            }
        }
        first.map(|(_, index)| index)
    }
}

impl<K> Entry<K> {
    /// Returns the rank of a connection without an accepted request, and without a response that is
    /// being delivered.
    fn rank(&self, now: Time) -> Rank {
        match (self.begun, self.is_useful) {
            (0, false) => Rank::Unused,
            (0, true) if now >= self.since + MIN_IDLE => Rank::Idle,
            (0, true) => Rank::RecentlyUsed,
            _ => Rank::Undecided,
        }
    }
}
