//! One backend server and its lease.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::id::{Incarnation, ServerId, ServiceName};
use arbutuslane_core::time::{Time, millis};
use arbutuslane_limit::places::Places;
use arbutuslane_limit::reuse::Reuse;
use arbutuslane_wire::announce::Announcement;
use arbutuslane_wire::load::{Report, Serving};

use crate::condition::ServerHealth;
use crate::traffic::{Admission, BodyAdmission, Failure, Readers};

/// One backend server that this node owns.
#[derive(Debug)]
pub(crate) struct Server {
    /// The name of the server.
    pub(crate) id: ServerId,
    /// The service that the server belongs to.
    pub(crate) service: ServiceName,
    /// The incarnation of the server.
    pub(crate) incarnation: Incarnation,
    /// The address for requests.
    pub(crate) address: SocketAddr,
    /// The admission of requests to the slots of the server.
    pub(crate) admission: Arc<Admission>,
    /// The admission of request bodies, if the bytes that the server is given are bounded.
    pub(crate) bodies: Option<Arc<BodyAdmission>>,
    /// The requests at the server whose bodies are streamed from their senders.
    pub(crate) streams: Arc<Places>,
    /// The responses of the server that wait for their readers.
    pub(crate) unread: Readers,
    /// The health of the server as this node sees it.
    pub(crate) health: Arc<ServerHealth>,
    pub(super) lease: Duration,
    pub(super) renewed_ms: AtomicU64,
    /// The highest sequence number among the announcements of this incarnation.
    pub(super) sequence: AtomicU64,
    pub(super) draining: AtomicBool,
    /// Whether the server has refused a connection since its last announcement.
    pub(super) refusing: AtomicBool,
    /// Whether the end of the lease has been reported.
    pub(super) end_reported: AtomicBool,
    pub(super) echoes_ids: AtomicBool,
    pub(super) latency_us: AtomicU32,
    pub(super) reuse: Mutex<Reuse>,
    pub(super) limit: Mutex<StatedLimit>,
}

/// The rate that a server states in its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) enum StatedLimit {
    /// No response has arrived since this node knows the server.
    #[default]
    Unknown,
    /// The requests a second in the last response, or what an entry received before this node knew
    /// the server; `None` if the response stated no limit.
    Known(Option<f64>),
}

impl Server {
    /// Returns whether the lease is valid at `now`.
    pub(crate) fn is_leased(&self, now: Time) -> bool {
        let renewed = Duration::from_millis(self.renewed_ms.load(Ordering::Acquire));
        now < renewed + self.lease
    }

    /// Records that the server refused a connection: its process counts as ended until the next
    /// announcement.
    pub(crate) fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Returns whether the server is draining and takes no new work.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether new work may be dispatched at `now`.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.is_leased(now) && !self.is_draining() && !self.refusing.load(Ordering::Acquire)
    }

    /// Returns whether the server has echoed an exchange id.
    pub(crate) fn echoes_ids(&self) -> bool {
        self.echoes_ids.load(Ordering::Relaxed)
    }

    /// Records that the server echoes exchange ids.
    pub(crate) fn set_echoes_ids(&self) {
        self.echoes_ids.store(true, Ordering::Relaxed);
    }

    /// Returns how long a connection to the server may have been idle that a request of `class`
    /// reuses, or `None` if the request needs a new connection.
    pub(crate) fn max_idle(&self, class: Class, now: Time) -> Option<Duration> {
        self.lock_reuse().max_idle(class, now)
    }

    /// Records a response on a connection that was idle for `idle`.
    pub(crate) fn record_reuse(&self, idle: Duration, now: Time) {
        self.lock_reuse().record_kept(idle, now);
    }

    /// Records a failed exchange on a connection that was idle for `idle`, or on a new one (`None`).
    pub(crate) fn record_failure(&self, idle: Option<Duration>, failure: &Failure, now: Time) {
        match failure {
            Failure::Closed(_) => self.lock_reuse().record_broken(idle, now),
            Failure::WrongExchange if idle.is_some() => self.lock_reuse().record_crossed(now),
            _ => {}
        }
    }

    /// Applies the limit that the server states in a response, in requests a second; returns whether
    /// it differs from the one before.
    pub(crate) fn set_limit(&self, per_second: Option<f64>) -> bool {
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let known = match *limit {
            StatedLimit::Known(known) => known,
            StatedLimit::Unknown => None,
        };
        *limit = StatedLimit::Known(per_second);
        self.admission.set_limit(per_second);
        known != per_second
    }

    /// Applies a limit that the server stated before this node knew it.
    pub(crate) fn learn_limit(&self, per_second: f64) {
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        if *limit == StatedLimit::Unknown {
            *limit = StatedLimit::Known(Some(per_second));
            self.admission.set_limit(Some(per_second));
        }
    }

    /// Returns the limit that the server states, in requests a second.
    pub(crate) fn stated_limit(&self) -> Option<f64> {
        match *self.limit.lock().unwrap_or_else(PoisonError::into_inner) {
            StatedLimit::Known(limit) => limit,
            StatedLimit::Unknown => None,
        }
    }

    fn lock_reuse(&self) -> MutexGuard<'_, Reuse> {
        self.reuse.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a latency to the moving average, in which it has a weight of one eighth.
    pub(crate) fn record_latency(&self, latency: Duration) {
        let latest = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        let average = self.latency_us.load(Ordering::Relaxed);
        let next = if average == 0 { latest } else { average - average / 8 + latest / 8 };
        self.latency_us.store(next, Ordering::Relaxed);
    }

    /// Returns the load of the server, as this node reports it to entries.
    pub(crate) fn report(&self) -> Report {
        let (in_flight, queued, slots) = self.admission.occupancy();
        let (ejected, ramp_percent) = self.health.availability();
        Report {
            in_flight,
            queued,
            slots,
            latency_us: self.latency_us.load(Ordering::Relaxed),
            serving: match (self.is_draining(), ejected) {
                (true, _) => Serving::Draining,
                (false, true) => Serving::Ejected,
                (false, false) => Serving::Open,
            },
            ramp_percent,
        }
    }

    /// Renews the lease.
    pub(super) fn renew(&self, now: Time) {
        let now = millis(now);
        self.renewed_ms.fetch_max(now, Ordering::AcqRel);
        self.refusing.store(false, Ordering::Release);
    }

    /// Applies an announcement of the same incarnation; returns false and changes nothing when a
    /// later one is known.
    pub(super) fn apply_announcement(&self, announcement: &Announcement, now: Time) -> bool {
        let highest = self.sequence.fetch_max(announcement.sequence, Ordering::AcqRel);
        if announcement.sequence < highest {
            return false;
        }
        self.admission.set_slots(announcement.slots);
        self.renew(now);
        true
    }
}
