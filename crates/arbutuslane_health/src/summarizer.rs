//! How an entry summarizes the servers of a service.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;

use crate::histogram::Histogram;
use crate::summary::{CLASSES, Summary, index};

/// Summarizes the servers of one service at an entry.
///
/// The summary for a server's owner leaves the server itself out: in a service of six, a straggler
/// would otherwise raise the 90th percentile that it is measured against.
#[derive(Debug, Clone, Default)]
pub struct Summarizer {
    servers: Vec<Server>,
    flights: Vec<Flight>,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    id: u64,
    server: u64,
    class: Class,
    sent: Time,
}

#[derive(Debug, Clone)]
struct Server {
    id: ServerId,
    summarized: [Option<Time>; CLASSES],
    classes: [Option<Box<Cell>>; CLASSES],
}

#[derive(Debug, Clone)]
struct Cell {
    latencies: Histogram,
    recent: Recent,
    /// The 90th percentile of the peers when it was last computed; decides what is slow.
    p90: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    total: f32,
    failed: f32,
    slow: f32,
    at: Time,
}

/// The half-life of the quantiles: long enough for a few hundred requests of a small service.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// The least time between summaries for one server.
const EVERY: Duration = Duration::from_millis(500);

/// The least time between summaries for a server that looks slow.
const EVERY_URGENT: Duration = Duration::from_millis(200);

/// The half-life of the recent shares, which follow a slowdown of the whole service.
const RECENT_HALF_LIFE: f32 = 0.15;

impl Summarizer {
    /// Takes in that request `id` was sent to the owner of `server`.
    ///
    /// A request in flight that is older than the 90th percentile counts as slow, so that a
    /// slowdown of the whole service is known before its first slow responses arrive.
    pub fn sent(&mut self, server: &str, class: Class, id: u64, now: Time) {
        let server = hash::of_bytes(server.as_bytes());
        self.flights.push(Flight { id, server, class, sent: now });
    }

    /// Takes in that request `id` has ended in any way.
    pub fn ended(&mut self, id: u64) {
        if let Some(place) = self.flights.iter().position(|flight| flight.id == id) {
            self.flights.swap_remove(place);
        }
    }

    /// Returns the summary to attach to a request to the owner of `server`, when one is due: 0.5 s
    /// after the last one, or 0.2 s when the server looks slow to this entry.
    ///
    /// `allow` is asked whether the node's limit of 20 summaries a second leaves one, and is told
    /// whether the server looks slow. It keeps half of its burst for such servers: they get few
    /// requests, and would otherwise be compared with peers of seconds ago.
    pub fn due(
        &mut self,
        server: &str,
        class: Class,
        now: Time,
        allow: impl FnOnce(bool) -> bool,
    ) -> Option<Summary> {
        let place = self.place(server).ok()?;
        let is_urgent = self.looks_slow(place, class, now);
        let every = if is_urgent { EVERY_URGENT } else { EVERY };
        let last = self.servers[place].summarized[index(class)];
        if last.is_some_and(|last| now.saturating_sub(last) < every) || !allow(is_urgent) {
            return None;
        }
        self.servers[place].summarized[index(class)] = Some(now);
        self.summary(server, class, now)
    }

    /// Takes in the end of a request: `latency` is that at the owner.
    pub fn observe(
        &mut self,
        server: &str,
        class: Class,
        latency: Duration,
        success: bool,
        now: Time,
    ) {
        let cell = self.cell(server, class);
        cell.recent.decay(now);
        cell.recent.total += 1.0;
        if !success {
            cell.recent.failed += 1.0;
            return;
        }
        if cell.p90.is_some_and(|p90| latency > p90) {
            cell.recent.slow += 1.0;
        }
        cell.latencies.add(latency, now);
    }

    /// Takes in that the owner of `server`, which is in use, refused a request as not run.
    ///
    /// It counts as slow: when the peers are full, a slow server that works is worth more than its
    /// ejection.
    pub fn refused(&mut self, server: &str, class: Class, now: Time) {
        let cell = self.cell(server, class);
        cell.recent.decay(now);
        cell.recent.total += 1.0;
        cell.recent.slow += 1.0;
    }

    /// Returns the summary of the other servers for the owner of `server`, or nothing when none of
    /// them has answered a request of `class`.
    pub fn summary(&mut self, server: &str, class: Class, now: Time) -> Option<Summary> {
        let mut merged = Histogram::new(HALF_LIFE);
        let mut recent = Recent::default();
        for other in &mut self.servers {
            let Some(cell) = &mut other.classes[index(class)] else { continue };
            if other.id == server {
                continue;
            }
            cell.latencies.decay(now);
            cell.recent.decay(now);
            merged.merge(&cell.latencies);
            recent.total += cell.recent.total;
            recent.failed += cell.recent.failed;
            recent.slow += cell.recent.slow;
        }
        let weight = merged.weight();
        if weight < 1.0 {
            return None;
        }
        let p90 = merged.quantile(0.9);
        if let Ok(place) = self.place(server)
            && let Some(cell) = &mut self.servers[place].classes[index(class)]
        {
            cell.p90 = Some(p90);
        }
        let own = hash::of_bytes(server.as_bytes());
        for flight in &self.flights {
            if flight.class == class
                && flight.server != own
                && now.saturating_sub(flight.sent) > p90
            {
                recent.total += 1.0;
                recent.slow += 1.0;
            }
        }
        let total = recent.total.max(f32::MIN_POSITIVE);
        Some(Summary {
            class,
            weight,
            median: merged.quantile(0.5),
            p90,
            recent: recent.total,
            failed: (recent.failed / total).min(1.0),
            slow: (recent.slow / total).min(1.0),
        })
    }

    /// Returns whether a request to the server is older than the 90th percentile of its peers, or
    /// most recent ones took longer.
    fn looks_slow(&self, place: usize, class: Class, now: Time) -> bool {
        let server = &self.servers[place];
        let Some(cell) = &server.classes[index(class)] else { return false };
        let Some(p90) = cell.p90 else { return false };
        if cell.recent.slow > cell.recent.total / 2.0 {
            return true;
        }
        let own = hash::of_bytes(server.id.as_bytes());
        self.flights.iter().any(|flight| {
            flight.server == own && flight.class == class && now.saturating_sub(flight.sent) > p90
        })
    }

    fn cell(&mut self, server: &str, class: Class) -> &mut Cell {
        let place = match self.place(server) {
            Ok(place) => place,
            Err(place) => {
                let fresh = Server {
                    id: server.to_string(),
                    summarized: [None; CLASSES],
                    classes: Default::default(),
                };
                self.servers.insert(place, fresh);
                place
            }
        };
        self.servers[place].classes[index(class)].get_or_insert_with(|| {
            Box::new(Cell {
                latencies: Histogram::new(HALF_LIFE),
                recent: Recent::default(),
                p90: None,
            })
        })
    }

    fn place(&self, server: &str) -> Result<usize, usize> {
        self.servers.binary_search_by(|known| known.id.as_str().cmp(server))
    }

    /// Forgets the servers that are not in `kept`, which is sorted.
    pub fn retain(&mut self, kept: &[ServerId]) {
        self.servers.retain(|server| kept.binary_search(&server.id).is_ok());
    }
}

impl Recent {
    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.at).as_secs_f32();
        self.at = now;
        let keep = (-elapsed / RECENT_HALF_LIFE).exp2();
        self.total *= keep;
        self.failed *= keep;
        self.slow *= keep;
    }
}
