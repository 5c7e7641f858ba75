//! The backend servers that announced themselves to this node, and their leases.

mod server;
#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use arbutuslane_core::id::{Incarnation, ServerId};
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_limit::gate::Order;
use arbutuslane_limit::places::Places;
use arbutuslane_wire::announce::Announcement;

use crate::condition::ServerHealth;
use crate::metrics::AnnouncementOutcome;
use crate::state_file::StateFile;
use crate::traffic::{Admission, BodyAdmission};

pub(crate) use server::Server;

/// The number of announcements that a server sends in the time of one lease.
pub(crate) const RENEWALS_PER_LEASE: f64 = 2.5;

/// How long a departed incarnation is refused, so that a delayed renewal does not restore it.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// The highest number of slots that an announcement may state.
const MAX_SLOTS: u32 = 4_096;

/// The backend servers of this node in ascending order of their names.
#[derive(Debug)]
pub(crate) struct ServerTable {
    clock: Clock,
    /// The time after the last renewal for which a lease is valid.
    lease: Duration,
    /// Whether servers that fail most requests are tried last.
    tries_suspects_last: bool,
    /// The bytes of request bodies that each server is given at a time; `None` without a bound.
    server_body_bytes: Option<u64>,
    /// The order in which requests start at a server.
    order: Order,
    /// A number that rises with every change that affects the choice of servers.
    version: AtomicU64,
    servers: RwLock<Vec<Arc<Server>>>,
    /// The incarnations that left, with the time of their departure.
    departed: RwLock<Vec<(ServerId, Incarnation, Time)>>,
    /// What outlasts a restart.
    state: Arc<StateFile>,
}

/// The reason why an announcement is refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AnnouncementError {
    /// The address is not an IP address with a port.
    #[error("address is not an IP address with a port")]
    Address,
    /// The number of slots is outside its range.
    #[error("slots must be between 1 and {MAX_SLOTS}")]
    Slots,
    /// A name is empty or too long.
    #[error("service and server must have 1 to 128 characters")]
    Name,
    /// A newer incarnation is known, or this one has left or announced another address or service.
    #[error("incarnation {known} of this server is known; announce with a higher one")]
    Incarnation {
        /// The known incarnation.
        known: Incarnation,
    },
}

impl ServerTable {
    /// Returns an empty table.
    pub(crate) fn new(clock: Clock, lease: Duration, tries_suspects_last: bool) -> Self {
        Self {
            clock,
            lease,
            tries_suspects_last,
            server_body_bytes: None,
            order: Order::default(),
            version: AtomicU64::new(1),
            servers: RwLock::default(),
            departed: RwLock::default(),
            state: Arc::default(),
        }
    }

    /// Returns the table changed to keep in `state` which servers left or drained, and to treat
    /// those that did so before the start as if they had done so now.
    #[must_use]
    pub(crate) fn with_state(self, state: Arc<StateFile>) -> Self {
        let now = self.clock.now();
        let left = state.left_earlier().into_iter();
        let departed = left.map(|(server, incarnation)| (server, incarnation, now)).collect();
        Self { departed: RwLock::new(departed), state, ..self }
    }

    /// Bounds the bytes of request bodies that each server is given at a time.
    pub(crate) fn with_body_limit(self, server_body_bytes: Option<u64>) -> Self {
        Self { server_body_bytes, ..self }
    }

    /// Returns this table with another order of requests.
    pub(crate) fn with_order(mut self, order: Order) -> Self {
        self.order = order;
        self
    }

    /// Returns a number that rises whenever a server is added, drains or is removed.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    /// Applies an announcement or a renewal at `now`.
    pub(crate) fn announce(
        &self,
        announcement: &Announcement,
        now: Time,
    ) -> Result<AnnouncementOutcome, AnnouncementError> {
        let address = announcement.address.parse().map_err(|_| AnnouncementError::Address)?;
        if announcement.slots == 0 || announcement.slots > MAX_SLOTS {
            return Err(AnnouncementError::Slots);
        }
        for name in [&announcement.service, &announcement.server] {
            if name.is_empty() || name.len() > 128 {
                return Err(AnnouncementError::Name);
            }
        }
        self.check_departed(announcement, now)?;
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        let index = servers.binary_search_by(|server| server.id.cmp(&announcement.server));
        if let Ok(index) = index {
            let known = &servers[index];
            let is_unchanged = known.address == address && known.service == announcement.service;
            if known.incarnation == announcement.incarnation && is_unchanged {
                let is_latest = known.apply_announcement(announcement, now);
                if announcement.draining && self.close(known) {
                    return Ok(AnnouncementOutcome::Draining);
                }
                return Ok(if is_latest {
                    AnnouncementOutcome::Renewed
                } else {
                    AnnouncementOutcome::Late
                });
            }
            if known.incarnation >= announcement.incarnation {
                return Err(AnnouncementError::Incarnation { known: known.incarnation });
            }
        }
        // Two names at one address are two starts of one server, of which the later one counts.
        let newer = servers
            .iter()
            .find(|known| known.address == address && known.incarnation > announcement.incarnation);
        if let Some(newer) = newer {
            return Err(AnnouncementError::Incarnation { known: newer.incarnation });
        }
        let draining = announcement.draining
            || self.state.drained_earlier(&announcement.server, announcement.incarnation);
        let server = Arc::new(Server {
            id: announcement.server.clone(),
            service: announcement.service.clone(),
            incarnation: announcement.incarnation,
            address,
            admission: Arc::new(
                Admission::new(announcement.slots, self.clock).with_order(self.order),
            ),
            bodies: self.server_body_bytes.map(|limit| Arc::new(BodyAdmission::new(limit))),
            streams: Places::new(usize::MAX),
            unread: Default::default(),
            health: ServerHealth::new(&announcement.server, self.clock, self.tries_suspects_last),
            lease: self.lease,
            renewed_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(announcement.sequence),
            draining: AtomicBool::new(draining),
            refusing: AtomicBool::new(false),
            end_reported: AtomicBool::new(false),
            echoes_ids: AtomicBool::new(false),
            latency_us: AtomicU32::new(0),
            reuse: Default::default(),
            limit: Default::default(),
        });
        server.renew(now);
        if draining {
            self.state.record_draining(&server.id, server.incarnation);
            server.admission.close();
        }
        if let Some(warming_ms) = announcement.warming_ms {
            server.health.set_ramp(Duration::from_millis(warming_ms));
        }
        match index {
            Ok(index) => servers[index] = server,
            Err(index) => servers.insert(index, server),
        }
        servers.retain(|known| known.address != address || known.id == announcement.server);
        drop(servers);
        self.bump_version();
        Ok(AnnouncementOutcome::New)
    }

    /// Stops new work for a server that states that it leaves; returns whether it accepted new work.
    pub(crate) fn close(&self, server: &Server) -> bool {
        if server.draining.swap(true, Ordering::AcqRel) {
            return false;
        }
        self.state.record_draining(&server.id, server.incarnation);
        server.admission.close();
        self.bump_version();
        true
    }

    /// Stops new work for an incarnation of a server that drained before the start of this node, also
    /// if it has not announced itself yet.
    pub(crate) fn recover_drain(&self, server: &str, incarnation: Incarnation) {
        self.state.add_drained_earlier(server, incarnation);
        if let Some(known) = self.get(server).filter(|known| known.incarnation == incarnation) {
            self.close(&known);
        }
    }

    /// Stops new work for a server; returns whether it is known.
    pub(crate) fn drain(&self, server: &str) -> bool {
        let Some(server) = self.get(server) else { return false };
        self.state.record_draining(&server.id, server.incarnation);
        server.draining.store(true, Ordering::Release);
        server.admission.close();
        self.bump_version();
        true
    }

    /// Removes a server at once; returns whether it was known.
    ///
    /// A later announcement of the stated incarnation is refused even when the server is not known,
    /// because this node may have restarted since it knew the server.
    pub(crate) fn leave(&self, server: &str, incarnation: Option<Incarnation>, now: Time) -> bool {
        let known = self.get(server);
        // A delayed departure of an earlier incarnation does not concern the current one.
        if let (Some(known), Some(stated)) = (&known, incarnation)
            && known.incarnation > stated
        {
            return true;
        }
        if let (None, Some(incarnation)) = (&known, incarnation) {
            self.state.record_left(server, incarnation);
            let mut departed = self.departed.write().unwrap_or_else(PoisonError::into_inner);
            departed.push((server.to_string(), incarnation, now));
        }
        if !self.drain(server) {
            return false;
        }
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        let index = servers.binary_search_by(|known| known.id.as_str().cmp(server));
        let Ok(index) = index else { return false };
        let removed = servers.remove(index);
        self.state.record_left(&removed.id, removed.incarnation);
        let mut departed = self.departed.write().unwrap_or_else(PoisonError::into_inner);
        departed.push((removed.id.clone(), removed.incarnation, now));
        self.bump_version();
        true
    }

    /// Removes servers that have not renewed for four lease times, and old departures. Returns the
    /// servers whose lease has ended since the last call, with the time since their last renewal.
    pub(crate) fn expire(&self, now: Time) -> Vec<(Arc<Server>, Duration)> {
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        let mut expired = Vec::new();
        for server in servers.iter() {
            let ended = !server.is_leased(now);
            if server.end_reported.swap(ended, Ordering::Relaxed) != ended && ended {
                let renewed = Duration::from_millis(server.renewed_ms.load(Ordering::Acquire));
                expired.push((Arc::clone(server), now.saturating_sub(renewed)));
            }
        }
        servers.retain(|server| {
            let renewed = Duration::from_millis(server.renewed_ms.load(Ordering::Acquire));
            now < renewed + self.lease * 4
        });
        let mut departed = self.departed.write().unwrap_or_else(PoisonError::into_inner);
        departed.retain(|(_, _, left)| now < *left + DEPARTURE_RETENTION);
        self.bump_version();
        expired
    }

    /// Returns a server by name.
    pub(crate) fn get(&self, server: &str) -> Option<Arc<Server>> {
        let servers = self.servers.read().unwrap_or_else(PoisonError::into_inner);
        let index = servers.binary_search_by(|known| known.id.as_str().cmp(server)).ok()?;
        Some(Arc::clone(&servers[index]))
    }

    /// Returns the number of servers of `service`.
    pub(crate) fn count(&self, service: &str) -> usize {
        let servers = self.servers.read().unwrap_or_else(PoisonError::into_inner);
        servers.iter().filter(|server| server.service == service).count()
    }

    /// Returns all servers.
    pub(crate) fn all(&self) -> Vec<Arc<Server>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn bump_version(&self) {
        self.version.fetch_add(1, Ordering::AcqRel);
    }

    fn check_departed(
        &self,
        announcement: &Announcement,
        now: Time,
    ) -> Result<(), AnnouncementError> {
        let departed = self.departed.read().unwrap_or_else(PoisonError::into_inner);
        for (server, incarnation, left) in departed.iter() {
            let recent = now < *left + DEPARTURE_RETENTION;
            if *server == announcement.server && announcement.incarnation <= *incarnation && recent
            {
                return Err(AnnouncementError::Incarnation { known: *incarnation });
            }
        }
        Ok(())
    }
}
