//! What is normal for a service: entries summarize, owners merge.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;

use crate::histogram::Histogram;

/// How the peers of one server performed one class, as one entry saw it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Summary {
    /// The class.
    pub class: Class,
    /// The (decayed) number of requests behind the quantiles.
    pub weight: f32,
    /// The median latency of successful requests at their owners.
    pub median: Duration,
    /// The 90th percentile of that latency.
    pub p90: Duration,
    /// The (decayed) number of requests in about the last second.
    pub recent: f32,
    /// The share of those that failed.
    pub failed: f32,
    /// The share of those that were slower than the 90th percentile.
    pub slow: f32,
}

impl Summary {
    /// Returns the value of the baseline header.
    pub fn encode(&self) -> String {
        format!(
            "{},{:.1},{},{},{:.1},{:.4},{:.4}",
            index(self.class),
            self.weight,
            self.median.as_micros(),
            self.p90.as_micros(),
            self.recent,
            self.failed,
            self.slow
        )
    }

    /// Returns the summary that `value` encodes, or nothing when it is malformed or implausible.
    pub fn parse(value: &str) -> Option<Self> {
        let mut fields = value.split(',');
        let class = match fields.next()? {
            "0" => Class::Idempotent,
            "1" => Class::NonIdempotent,
            "2" => Class::Download,
            _ => return None,
        };
        let mut number = || -> Option<f32> {
            let number: f32 = fields.next()?.parse().ok()?;
            (number.is_finite() && number >= 0.0).then_some(number)
        };
        let weight = number()?;
        let median = Duration::from_micros(fields.next()?.parse().ok()?);
        let p90 = Duration::from_micros(fields.next()?.parse().ok()?);
        let mut number = || -> Option<f32> {
            let number: f32 = fields.next()?.parse().ok()?;
            (number.is_finite() && number >= 0.0).then_some(number)
        };
        let recent = number()?;
        let failed = number().filter(|share| *share <= 1.0)?;
        let slow = number().filter(|share| *share <= 1.0)?;
        let summary = Self { class, weight, median, p90, recent, failed, slow };
        (fields.next().is_none() && median <= p90).then_some(summary)
    }
}

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

const CLASSES: usize = 3;

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
        let cell = self.servers[place].classes[index(class)].get_or_insert_with(|| {
            Box::new(Cell {
                latencies: Histogram::new(HALF_LIFE),
                recent: Recent::default(),
                p90: None,
            })
        });
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

/// What an owner holds as normal for one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peers {
    /// The median latency.
    pub median: Duration,
    /// The 90th percentile of the latency.
    pub p90: Duration,
    /// The share of recent requests that failed.
    pub failed: f64,
    /// The share of recent requests that were slower than the 90th percentile.
    pub slow: f64,
}

/// The peers' baseline of one server, merged from the summaries of several entries.
///
/// Quantiles are weighted medians over the entries, so a single entry with a wrong view does not
/// move them. Shares are pooled, because one entry alone sees few requests a second.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    classes: [ClassBaseline; CLASSES],
}

#[derive(Debug, Clone, Default)]
struct ClassBaseline {
    received: Vec<Received>,
    merged: Option<Peers>,
    merged_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Received {
    entry: u64,
    summary: Summary,
    at: Time,
}

/// The number of entries whose summaries are kept; the oldest makes room.
const ENTRIES: usize = 16;

/// Quantiles of a summary are used for this long.
const KEPT: Duration = Duration::from_secs(30);

/// The shares of a summary lose half their weight in this time after its arrival.
const SHARE_HALF_LIFE: f64 = 0.3;

/// Merging is repeated at most this often.
const MERGE_EVERY: Duration = Duration::from_millis(50);

/// The number of requests below which the quantiles are not used.
const WEIGHT_FLOOR: f32 = 20.0;

/// Pseudo-observations that keep a share near its normal value while few requests are behind it.
const PRIOR: f64 = 10.0;

/// The share of requests that is normally above the 90th percentile.
const NORMAL_SLOW: f64 = 0.1;

impl Baseline {
    /// Takes in the summary that the entry with the hash `entry` sent.
    pub fn record(&mut self, entry: u64, summary: Summary, now: Time) {
        let class = &mut self.classes[index(summary.class)];
        let fresh = Received { entry, summary, at: now };
        if let Some(known) = class.received.iter_mut().find(|known| known.entry == entry) {
            *known = fresh;
        } else if class.received.len() < ENTRIES {
            class.received.push(fresh);
        } else if let Some(oldest) = class.received.iter_mut().min_by_key(|known| known.at) {
            *oldest = fresh;
        }
        if class.merged_at.is_none_or(|at| now.saturating_sub(at) >= MERGE_EVERY) {
            class.merge(now);
        }
    }

    /// Returns what is normal for `class`, or nothing while too few requests are behind it.
    pub fn peers(&self, class: Class) -> Option<Peers> {
        self.classes[index(class)].merged
    }

    /// Returns whether summaries of `class` have arrived since `since`: two, or one when only one
    /// entry sends any.
    pub fn is_fresh(&self, class: Class, since: Time) -> bool {
        let received = &self.classes[index(class)].received;
        let fresh = received.iter().filter(|received| received.at >= since).count();
        fresh >= received.len().clamp(1, 2)
    }

    /// Drops summaries that have become too old; the owner calls this about once a second.
    pub fn expire(&mut self, now: Time) {
        for class in &mut self.classes {
            class.merge(now);
        }
    }
}

impl ClassBaseline {
    fn merge(&mut self, now: Time) {
        self.merged_at = Some(now);
        self.received.retain(|received| now.saturating_sub(received.at) < KEPT);
        let weight: f32 = self.received.iter().map(|received| received.summary.weight).sum();
        if weight < WEIGHT_FLOOR {
            self.merged = None;
            return;
        }
        let (mut total, mut failed, mut slow) = (PRIOR, 0.0, PRIOR * NORMAL_SLOW);
        for received in &self.received {
            let age = now.saturating_sub(received.at).as_secs_f64();
            let summary = received.summary;
            let weight = f64::from(summary.recent) * (-age / SHARE_HALF_LIFE).exp2();
            total += weight;
            failed += weight * f64::from(summary.failed);
            slow += weight * f64::from(summary.slow);
        }
        self.merged = Some(Peers {
            median: self.weighted_median(weight, |summary| summary.median),
            p90: self.weighted_median(weight, |summary| summary.p90),
            failed: failed / total,
            slow: slow / total,
        });
    }

    fn weighted_median(&self, weight: f32, value: fn(&Summary) -> Duration) -> Duration {
        let mut values: Vec<(Duration, f32)> = self
            .received
            .iter()
            .map(|received| (value(&received.summary), received.summary.weight))
            .collect();
        values.sort_unstable_by_key(|(value, _)| *value);
        let mut left = weight / 2.0;
        for (value, weight) in &values {
            left -= weight;
            if left <= 0.0 {
                return *value;
            }
        }
        values.last().map(|(value, _)| *value).unwrap_or_default()
    }
}

pub(crate) fn index(class: Class) -> usize {
    match class {
        Class::Idempotent => 0,
        Class::NonIdempotent => 1,
        Class::Download => 2,
    }
}
