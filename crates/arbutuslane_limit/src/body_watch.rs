//! Decides when the body of a response is cut because its server or its reader is too slow.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// How long a server may send nothing of a body that its reader waits for.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a reader may take nothing of a body that its server is still sending. A system with
/// 4 MB of unsent bytes takes more only after a third of them was sent, which a reader of 100 kB/s
/// needs 13 s for.
pub const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// How long after its deadline a body may be read from its server. A body that the server has
/// ready, but that a slow reader held up, ends within this time.
pub const LATE_TIME: Duration = Duration::from_millis(500);

/// How long a server may send nothing after the deadline. A lost packet is sent again after 200 ms.
pub const LATE_PAUSE: Duration = Duration::from_millis(250);

/// What a body waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blocked {
    /// The server has sent no more bytes.
    ByServer,
    /// There is no room for more bytes until the reader takes some.
    ByReader,
}

/// Why a body is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The server has sent nothing for [`STALL_TIMEOUT`].
    Stalled,
    /// The reader has taken nothing for [`READ_TIMEOUT`].
    Unread,
    /// The body has not ended although its deadline has passed.
    Late,
}

/// What follows for a body that is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The body waits; the next decision is due at this time.
    Wait(Time),
    /// The body is cut.
    Cut(Reason),
}

/// The times that limit how long one body is read from its server.
///
/// After the deadline, a body with a stated length continues as long as its server and its reader
/// make progress, because its end is known. A body without one may have no end, and is cut.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::body_watch::{Blocked, BodyWatch, LATE_TIME, Reason, Step};
///
/// let deadline = Duration::from_secs(2);
/// let mut watch = BodyWatch::new(Some(deadline), false, Duration::ZERO);
/// let step = watch.step(Blocked::ByReader, Duration::ZERO, Duration::from_secs(1));
/// assert_eq!(step, Step::Wait(deadline));
/// let step = watch.step(Blocked::ByReader, Duration::ZERO, deadline + LATE_TIME);
/// assert_eq!(step, Step::Cut(Reason::Late));
/// ```
#[derive(Debug, Clone)]
pub struct BodyWatch {
    deadline: Option<Time>,
    has_length: bool,
    blocked: Blocked,
    since: Time,
}

impl BodyWatch {
    /// Returns the watch of a body that starts at `now`. `has_length` states whether its length is
    /// known.
    pub fn new(deadline: Option<Time>, has_length: bool, now: Time) -> Self {
        Self { deadline, has_length, blocked: Blocked::ByServer, since: now }
    }

    /// Returns whether the body is read faster than its reader takes it, to see whether it ends.
    pub fn reads_ahead(&self, now: Time) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline && now < deadline + LATE_TIME)
    }

    /// Records bytes from the server.
    pub fn record_received(&mut self, now: Time) {
        self.blocked = Blocked::ByServer;
        self.since = now;
    }

    /// Returns what follows for a body that is blocked and whose reader last took bytes at
    /// `read_at`.
    pub fn step(&mut self, blocked: Blocked, read_at: Time, now: Time) -> Step {
        if self.blocked != blocked {
            self.blocked = blocked;
            self.since = now;
        }
        let (mut end, mut reason) = match blocked {
            Blocked::ByServer => (self.since + STALL_TIMEOUT, Reason::Stalled),
            Blocked::ByReader => (self.since.max(read_at) + READ_TIMEOUT, Reason::Unread),
        };
        for late_end in [self.late_end(), self.pause_end()].into_iter().flatten() {
            if late_end < end {
                (end, reason) = (late_end, Reason::Late);
            }
        }
        if now >= end {
            return Step::Cut(reason);
        }
        // Reading ahead starts at the deadline.
        match self.deadline {
            Some(deadline) if now < deadline => Step::Wait(end.min(deadline)),
            _ => Step::Wait(end),
        }
    }

    /// Returns when a body without a stated length is cut.
    fn late_end(&self) -> Option<Time> {
        self.deadline.filter(|_| !self.has_length).map(|deadline| deadline + LATE_TIME)
    }

    /// Returns when a body is cut whose server sends nothing after the deadline.
    fn pause_end(&self) -> Option<Time> {
        let deadline = self.deadline.filter(|_| self.blocked == Blocked::ByServer);
        deadline.map(|deadline| deadline.max(self.since) + LATE_PAUSE)
    }
}
