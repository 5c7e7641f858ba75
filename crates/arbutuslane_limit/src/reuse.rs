//! Which idle connections to a backend server a request may reuse.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

/// The longest idle time of a connection that a repeatable request reuses. Such a request is sent
/// again on another connection if this one was closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The longest idle time of a connection that a request which runs at most once reuses. Servers
/// state their idle timeouts in whole seconds, and some close or forget a connection well before.
const MAX_IDLE_TIME_UNREPEATABLE: Duration = Duration::from_millis(200);

/// How long requests that run at most once use new connections after a reused one broke. What broke
/// one connection, such as a server that forgets idle ones, also breaks others.
const SUSPENSION: Duration = Duration::from_secs(30);

/// The reuse of the idle connections to one server.
///
/// A new connection costs the server time in a slot. A reused one may have been closed or forgotten
/// by the server; whether the server has run a request on it is then unknown, and a request that
/// runs at most once is lost.
#[derive(Debug, Clone, Default)]
pub struct Reuse {
    broken_at: Option<Time>,
}

impl Reuse {
    /// Returns how long a connection may have been idle that a request of `class` reuses, or `None`
    /// if the request needs a new connection.
    pub fn max_idle(&self, class: Class, now: Time) -> Option<Duration> {
        if class.is_repeatable() {
            return Some(MAX_IDLE_TIME);
        }
        let is_suspended = self.broken_at.is_some_and(|at| now < at + SUSPENSION);
        (!is_suspended).then_some(MAX_IDLE_TIME_UNREPEATABLE)
    }

    /// Records that a reused connection broke, or carried a response to another request.
    pub fn record_broken(&mut self, now: Time) {
        self.broken_at = Some(now);
    }
}
