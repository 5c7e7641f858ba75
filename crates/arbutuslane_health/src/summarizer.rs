//! Summarizes the performance of a service's servers at an entry.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;

use crate::histogram::Histogram;
use crate::summary::Summary;

/// Summarizes the servers of one service at an entry.
///
/// The summary for a server's owner excludes the server itself: in a service of six, a straggler
/// would otherwise raise the 90th percentile that it is compared with.
#[derive(Debug, Clone, Default)]
pub struct Summarizer {
    servers: Vec<ServerStats>,
    in_flight: Vec<InFlight>,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    id: u64,
    server: u64,
    class: Class,
    sent: Time,
}

#[derive(Debug, Clone)]
struct ServerStats {
    id: ServerId,
    /// When the last summary of each class was sent to the server's owner.
    summarized_at: [Option<Time>; Class::COUNT],
    classes: [Option<Box<ClassStats>>; Class::COUNT],
}

#[derive(Debug, Clone)]
struct ClassStats {
    latencies: Histogram,
    recent: Recent,
    /// The most recently computed 90th percentile of the peers, above which a request is slow.
    p90: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    total: f32,
    failed: f32,
    slow: f32,
    at: Time,
}

/// The half-life of the quantiles, in which a small service gets a few hundred requests.
const QUANTILE_HALF_LIFE: Duration = Duration::from_secs(10);

/// The least time between summaries for one server.
const MIN_SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

/// The least time between summaries for a server that looks slow.
const MIN_URGENT_SUMMARY_INTERVAL: Duration = Duration::from_millis(200);

/// The half-life of the recent shares, in seconds. It is short, because these shares have to follow
/// a slowdown of the whole service.
const RECENT_HALF_LIFE_S: f32 = 0.15;

impl Summarizer {
    /// Records that request `id` was sent to the owner of `server`.
    ///
    /// A request in flight that is older than the 90th percentile counts as slow, so that a
    /// slowdown of the whole service is detected before its first slow responses arrive.
    pub fn sent(&mut self, server: &str, class: Class, id: u64, now: Time) {
        let server = hash::of_bytes(server.as_bytes());
        self.in_flight.push(InFlight { id, server, class, sent: now });
    }

    /// Records that request `id` has ended, with any outcome.
    pub fn ended(&mut self, id: u64) {
        if let Some(index) = self.in_flight.iter().position(|request| request.id == id) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Returns the summary to attach to a request to the owner of `server`, or `None` when none is
    /// due. One is due 0.5 s after the last one, or after 0.2 s when the server looks slow to this
    /// entry.
    ///
    /// `allow` returns whether the node's limit of 20 summaries per second permits one; its
    /// argument is whether the server looks slow. Half of the limit's burst is reserved for such
    /// servers: they get few requests, and would otherwise be compared with summaries that are
    /// seconds old.
    pub fn due_summary(
        &mut self,
        server: &str,
        class: Class,
        now: Time,
        allow: impl FnOnce(bool) -> bool,
    ) -> Option<Summary> {
        let index = self.index_of(server).ok()?;
        let is_urgent = self.looks_slow(index, class, now);
        let interval = if is_urgent { MIN_URGENT_SUMMARY_INTERVAL } else { MIN_SUMMARY_INTERVAL };
        let last = self.servers[index].summarized_at[class.index()];
        if last.is_some_and(|last| now.saturating_sub(last) < interval) || !allow(is_urgent) {
            return None;
        }
        self.servers[index].summarized_at[class.index()] = Some(now);
        self.summary(server, class, now)
    }

    /// Records the end of a request; `latency` is measured at the owner.
    pub fn observe(
        &mut self,
        server: &str,
        class: Class,
        latency: Duration,
        success: bool,
        now: Time,
    ) {
        let stats = self.stats(server, class);
        stats.recent.decay(now);
        stats.recent.total += 1.0;
        if !success {
            stats.recent.failed += 1.0;
            return;
        }
        if stats.p90.is_some_and(|p90| latency > p90) {
            stats.recent.slow += 1.0;
        }
        stats.latencies.add(latency, now);
    }

    /// Records that the owner of `server`, which is in use, refused a request as not run.
    ///
    /// The request counts as slow: while the peers are full, a slow server that works is better
    /// than an ejected one.
    pub fn refused(&mut self, server: &str, class: Class, now: Time) {
        let stats = self.stats(server, class);
        stats.recent.decay(now);
        stats.recent.total += 1.0;
        stats.recent.slow += 1.0;
    }

    /// Returns the summary of the other servers for the owner of `server`, or `None` when none of
    /// them has recently completed a request of `class`.
    pub fn summary(&mut self, server: &str, class: Class, now: Time) -> Option<Summary> {
        let mut merged = Histogram::new(QUANTILE_HALF_LIFE);
        let mut recent = Recent::default();
        for other in &mut self.servers {
            let Some(stats) = &mut other.classes[class.index()] else { continue };
            if other.id == server {
                continue;
            }
            stats.latencies.decay(now);
            stats.recent.decay(now);
            merged.merge(&stats.latencies);
            recent.total += stats.recent.total;
            recent.failed += stats.recent.failed;
            recent.slow += stats.recent.slow;
        }
        let weight = merged.weight();
        if weight < 1.0 {
            return None;
        }
        let p90 = merged.quantile(0.9);
        if let Ok(index) = self.index_of(server)
            && let Some(stats) = &mut self.servers[index].classes[class.index()]
        {
            stats.p90 = Some(p90);
        }
        let server_hash = hash::of_bytes(server.as_bytes());
        for request in &self.in_flight {
            if request.class == class
                && request.server != server_hash
                && now.saturating_sub(request.sent) > p90
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

    /// Returns whether a request in flight at the server is older than the 90th percentile of its
    /// peers, or most recent requests took longer than that.
    fn looks_slow(&self, index: usize, class: Class, now: Time) -> bool {
        let server = &self.servers[index];
        let Some(stats) = &server.classes[class.index()] else { return false };
        let Some(p90) = stats.p90 else { return false };
        if stats.recent.slow > stats.recent.total / 2.0 {
            return true;
        }
        let server_hash = hash::of_bytes(server.id.as_bytes());
        self.in_flight.iter().any(|request| {
            request.server == server_hash
                && request.class == class
                && now.saturating_sub(request.sent) > p90
        })
    }

    fn stats(&mut self, server: &str, class: Class) -> &mut ClassStats {
        let index = match self.index_of(server) {
            Ok(index) => index,
            Err(index) => {
                let fresh = ServerStats {
                    id: server.to_string(),
                    summarized_at: [None; Class::COUNT],
                    classes: Default::default(),
                };
                self.servers.insert(index, fresh);
                index
            }
        };
        self.servers[index].classes[class.index()].get_or_insert_with(|| {
            Box::new(ClassStats {
                latencies: Histogram::new(QUANTILE_HALF_LIFE),
                recent: Recent::default(),
                p90: None,
            })
        })
    }

    /// Returns the index of the server, or the index at which to insert it.
    fn index_of(&self, server: &str) -> Result<usize, usize> {
        self.servers.binary_search_by(|known| known.id.as_str().cmp(server))
    }

    /// Removes the servers that are not in `servers`, which must be sorted.
    pub fn retain(&mut self, servers: &[ServerId]) {
        self.servers.retain(|server| servers.binary_search(&server.id).is_ok());
    }
}

impl Recent {
    fn decay(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.at).as_secs_f32();
        self.at = now;
        let factor = (-elapsed / RECENT_HALF_LIFE_S).exp2();
        self.total *= factor;
        self.failed *= factor;
        self.slow *= factor;
    }
}
