//! Which idle connections to a backend server a request may reuse.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::time::Time;

/// The longest idle time of a connection that a repeatable request reuses. Such a request is sent
/// again on another connection if this one was closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The idle time for which a connection to any server is trusted. Servers state their idle timeouts in
/// whole seconds.
const MIN_TRUSTED: Duration = Duration::from_millis(200);

/// The longest idle time for which a connection is trusted.
const MAX_TRUSTED: Duration = Duration::from_secs(5);

/// The factor between the idle time that a connection has outlasted and the one that is trusted.
const GROWTH: u32 = 2;

/// How long requests that run at most once use new connections, and nothing is learned, after a reused
/// connection broke or carried a response to another request. What happened to one connection, such as a
/// server that forgets idle ones, also happens to others.
const SUSPENSION: Duration = Duration::from_secs(30);

/// The reuse of the idle connections to one server.
///
/// A new connection costs the server time in a slot. A reused one may have been closed or forgotten
/// by the server; whether the server has run a request on it is then unknown, and a request that
/// runs at most once is lost. Such a request therefore reuses a connection only as long as others were
/// seen to last, which the requests that may be repeated find out without harm.
#[derive(Debug, Clone)]
pub struct Reuse {
    /// The idle time for which connections are trusted.
    trusted: Duration,
    /// The time at which a reused connection broke.
    broken_at: Option<Time>,
    /// The time at which a connection carried a response to another request.
    crossed_at: Option<Time>,
}

impl Default for Reuse {
    fn default() -> Self {
        Self { trusted: MIN_TRUSTED, broken_at: None, crossed_at: None }
    }
}

impl Reuse {
    /// Returns how long a connection may have been idle that a request of `class` reuses, or `None`
    /// if the request needs a new connection.
    pub fn max_idle(&self, class: Class, now: Time) -> Option<Duration> {
        if class.is_repeatable() {
            return Some(MAX_IDLE_TIME);
        }
        let is_suspended = is_recent(self.broken_at, now) || is_recent(self.crossed_at, now);
        let may_reuse = !is_suspended && Mechanism::ConnectionReuse.is_on();
        may_reuse.then_some(self.trusted)
    }

    /// Records that a connection carried a whole exchange after it had been idle for `idle`.
    pub fn record_kept(&mut self, idle: Duration, now: Time) {
        if !is_recent(self.broken_at, now) {
            self.trusted = self.trusted.max((idle * GROWTH).min(MAX_TRUSTED));
        }
    }

    /// Records that a connection broke in the exchange that followed an idle time of `idle`, or in its
    /// first one (`None`).
    ///
    /// A server that also breaks new connections fails its requests, whether they reuse one or not.
    pub fn record_broken(&mut self, idle: Option<Duration>, now: Time) {
        let Some(idle) = idle else {
            self.broken_at = None;
            return;
        };
        if idle > MIN_TRUSTED {
            self.trusted = self.trusted.min(idle / (GROWTH * GROWTH)).max(MIN_TRUSTED);
        }
        self.broken_at = Some(now);
    }

    /// Records that a connection carried a response to another request.
    pub fn record_crossed(&mut self, now: Time) {
        self.crossed_at = Some(now);
    }
}

/// Returns whether what happened at the time `at` still bears on connections at `now`.
fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now < at + SUSPENSION)
}
