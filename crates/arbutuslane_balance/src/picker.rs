//! Chooses a server for each request.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::id::{DomainName, NodeId, ServerId};
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;
use rand::RngExt;

use crate::candidate::{Candidate, Load, Serving};
use crate::estimate::Estimate;

/// The properties of a request on which the choice of a server depends.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The class of the request.
    pub class: Class,
    /// The servers to which the request has already been sent; none of them is chosen again.
    pub tried: &'a [ServerId],
}

/// The chosen server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// The name of the server.
    pub server: ServerId,
    /// The owner of the server.
    pub owner: NodeId,
    /// Whether the request is offered to an ejected server as a trial. If the owner refuses it, the
    /// request is sent to another server without a charge to the retry budget.
    pub is_trial: bool,
}

/// The parameters of the score; measurements compare other values with the default.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The largest factor by which latency raises or lowers a score; 1 ignores latency.
    pub latency_limit: f64,
    /// The success rate below which a server's score rises no further.
    pub success_floor: f64,
    /// The half-life of reports of other entries' requests, as a multiple of the mean latency. Once
    /// the requests that a report counted have finished, it says little about the load.
    pub report_half_life: f64,
    /// The factor by which the score of a server in another domain must be lower for it to be
    /// chosen over a local server with free slots.
    pub remote_penalty: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { latency_limit: 1.2, success_floor: 0.25, report_half_life: 1.0, remote_penalty: 4.0 }
    }
}

/// Chooses servers of one service for one entry.
#[derive(Debug, Clone)]
pub struct Picker {
    domain: DomainName,
    weights: Weights,
    peers: Vec<Peer>,
    unreachable: Vec<Backoff>,
    /// The mean latency over all servers in seconds.
    latency: f64,
    /// The number of responses that the mean latency counts, at most `MEAN_LATENCY_RESPONSES`.
    responses: u32,
    eligible: Vec<usize>,
}

#[derive(Debug, Clone)]
struct Peer {
    candidate: Candidate,
    is_local: bool,
    blocked_until: Time,
    estimate: Estimate,
}

#[derive(Debug, Clone)]
struct Backoff {
    owner: NodeId,
    failures: u32,
    until: Time,
}

/// One request in this many is offered to an ejected server; non-idempotent requests are excepted.
const REQUESTS_PER_TRIAL: u32 = 100;

/// The number of responses over which the mean latency of the service is taken.
const MEAN_LATENCY_RESPONSES: u32 = 100;

/// The first back-off after an owner could not be reached; it doubles up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// The longest back-off. It equals the lease of server announcements (2.5 s): by then the server
/// has announced itself to another owner, or this owner is reachable again.
const MAX_BACKOFF: Duration = Duration::from_millis(2_500);

impl Picker {
    /// Returns a picker without candidates for an entry in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self::with_weights(domain, Weights::default())
    }

    /// Returns a picker without candidates for an entry in `domain`, with the given weights.
    pub fn with_weights(domain: DomainName, weights: Weights) -> Self {
        Self {
            domain,
            weights,
            peers: Vec::new(),
            unreachable: Vec::new(),
            latency: 0.02,
            responses: 0,
            eligible: Vec::new(),
        }
    }

    /// Replaces the candidates. Measurements of a server with an unchanged incarnation are kept.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let mut peers: Vec<Peer> = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let known = self.find(&candidate.server).map(|index| &self.peers[index]);
            let estimate = match known {
                Some(peer) if peer.candidate.incarnation == candidate.incarnation => {
                    let mut estimate = peer.estimate.clone();
                    // Membership is slower than the reports on responses, but an entry that sends a
                    // server no requests learns only from membership that it is back in use.
                    if peer.candidate.serving != candidate.serving {
                        estimate.serving = candidate.serving;
                    }
                    estimate
                }
                _ => Estimate::new(candidate.serving, Time::ZERO),
            };
            let blocked_until = self
                .unreachable
                .iter()
                .find(|backoff| backoff.owner == candidate.owner)
                .map_or(Time::ZERO, |backoff| backoff.until);
            let is_local = candidate.domain == self.domain;
            peers.push(Peer { candidate, is_local, blocked_until, estimate });
        }
        peers.sort_unstable_by(|left, right| left.candidate.server.cmp(&right.candidate.server));
        peers.dedup_by(|right, left| right.candidate.server == left.candidate.server);
        self.peers = peers;
        let owners = &self.peers;
        self.unreachable
            .retain(|backoff| owners.iter().any(|peer| peer.candidate.owner == backoff.owner));
    }

    /// Chooses a server for a request, or returns `None` when no candidate is left.
    pub fn pick(&mut self, request: &Request<'_>, now: Time, rng: &mut Rng) -> Option<Pick> {
        if request.class.is_repeatable()
            && request.tried.is_empty()
            && let Some(pick) = self.pick_trial(now, rng)
        {
            return Some(pick);
        }
        let mut eligible = std::mem::take(&mut self.eligible);
        self.select(&mut eligible, request.tried, |peer| peer.blocked_until <= now);
        if eligible.is_empty() {
            // No other servers are left, and an owner in back-off may be reachable again.
            self.select(&mut eligible, request.tried, |_| true);
        }
        // Moves the local servers to the front.
        let mut local_count = 0;
        for index in 0..eligible.len() {
            if self.peers[eligible[index]].is_local {
                eligible.swap(local_count, index);
                local_count += 1;
            }
        }
        let local_best = self.best_of_two(&eligible[..local_count], now, rng);
        let remote_best = self.best_of_two(&eligible[local_count..], now, rng);
        self.eligible = eligible;
        let chosen = match (local_best, remote_best) {
            (Some(local_best), Some(remote_best)) => {
                let peer = &self.peers[local_best.0];
                let has_room = peer.estimate.utilization(
                    peer.candidate.slots,
                    self.latency,
                    &self.weights,
                    now,
                ) < 1.0;
                // While the local servers are busy, one in another domain may be faster.
                let prefers_local = has_room && Mechanism::LocalPreference.is_on();
                let penalty = if prefers_local { self.weights.remote_penalty } else { 1.0 };
                if local_best.1 <= remote_best.1 * penalty { local_best.0 } else { remote_best.0 }
            }
            (Some((index, _)), None) | (None, Some((index, _))) => index,
            (None, None) => return None,
        };
        // After a back-off, one request at a time probes whether the owner is reachable again.
        if !self.unreachable.is_empty() {
            let owner = &self.peers[chosen].candidate.owner;
            if self.unreachable.iter().any(|backoff| backoff.owner == *owner) {
                let owner = owner.clone();
                self.block(&owner, now + INITIAL_BACKOFF);
            }
        }
        Some(self.pick_of(chosen, false))
    }

    /// Returns the server with this name, or `None` when it is no open candidate.
    pub fn pick_named(&self, server: &str) -> Option<Pick> {
        let index = self.find(server)?;
        let is_open = self.peers[index].estimate.serving == Serving::Open;
        is_open.then(|| self.pick_of(index, false))
    }

    /// Fills `eligible` with the indexes of the open servers that are not in `tried` and for which
    /// `is_allowed` returns true.
    fn select(
        &self,
        eligible: &mut Vec<usize>,
        tried: &[ServerId],
        is_allowed: impl Fn(&Peer) -> bool,
    ) {
        eligible.clear();
        for (index, peer) in self.peers.iter().enumerate() {
            let is_open = peer.estimate.serving == Serving::Open && is_allowed(peer);
            if is_open && !tried.contains(&peer.candidate.server) {
                eligible.push(index);
            }
        }
    }

    /// Records that a request was sent to `server`.
    pub fn sent(&mut self, server: &str, _now: Time) {
        if let Some(index) = self.find(server) {
            self.peers[index].estimate.own_in_flight += 1;
        }
    }

    /// Records that a request to `server` succeeded, failed or was cancelled.
    ///
    /// `latency` is measured at the owner; it is `None` when the request did not run or was
    /// cancelled.
    pub fn record_response(
        &mut self,
        server: &str,
        now: Time,
        latency: Option<Duration>,
        success: bool,
    ) {
        let Some(index) = self.find(server) else { return };
        let estimate = &mut self.peers[index].estimate;
        estimate.own_in_flight = estimate.own_in_flight.saturating_sub(1);
        let Some(latency) = latency else { return };
        estimate.record_outcome(Some(latency), success, now);
        if success {
            // At first all responses have equal weight, so that a few show the service's usual
            // latency.
            self.responses = (self.responses + 1).min(MEAN_LATENCY_RESPONSES);
            let weight = 1.0 / f64::from(self.responses);
            self.latency += weight * (latency.as_secs_f64() - self.latency);
        }
        if !self.unreachable.is_empty() {
            let owner = self.peers[index].candidate.owner.clone();
            self.reachable(&owner);
        }
    }

    /// Records that the owner of `server` refused a request because the server is full. Other
    /// servers are preferred for some 100 ms. [`Picker::record_response`] has to be called as well.
    pub fn refused(&mut self, server: &str, now: Time) {
        if let Some(index) = self.find(server) {
            self.peers[index].estimate.record_refusal(now);
        }
    }

    /// Records the load that the owner of `server` reported on a response.
    pub fn report(&mut self, server: &str, load: &Load, now: Time) {
        let Some(index) = self.find(server) else { return };
        self.peers[index].candidate.slots = load.slots;
        self.peers[index].estimate.record_report(load, now);
    }

    /// Returns when the owner of `server` last reported its load, or `None` when the server is
    /// unknown.
    pub fn last_report_at(&self, server: &str) -> Option<Time> {
        self.find(server).map(|index| self.peers[index].estimate.reported_at)
    }

    /// Records a change of `server`'s state that membership announced.
    pub fn set_serving(&mut self, server: &str, serving: Serving) {
        let Some(index) = self.find(server) else { return };
        self.peers[index].candidate.serving = serving;
        self.peers[index].estimate.serving = serving;
    }

    /// Excludes the servers of an owner that could not be reached for a back-off, which doubles
    /// from 200 ms to 2.5 s.
    pub fn unreachable(&mut self, owner: &str, now: Time) {
        let backoff = match self.unreachable.iter().position(|backoff| backoff.owner == owner) {
            Some(index) => &mut self.unreachable[index],
            None => {
                let fresh = Backoff { owner: owner.to_string(), failures: 0, until: Time::ZERO };
                self.unreachable.push(fresh);
                let last = self.unreachable.len() - 1;
                &mut self.unreachable[last]
            }
        };
        // Concurrent requests to one owner fail together and count as one failure.
        if backoff.until > now {
            return;
        }
        let wait = (INITIAL_BACKOFF * (1 << backoff.failures.min(8))).min(MAX_BACKOFF);
        backoff.failures += 1;
        backoff.until = now + wait;
        let until = backoff.until;
        self.block(owner, until);
    }

    /// Ends the back-off of an owner that has responded.
    pub fn reachable(&mut self, owner: &str) {
        self.unreachable.retain(|backoff| backoff.owner != owner);
        self.block(owner, Time::ZERO);
    }

    /// Returns the candidates in the order of their ids.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.peers.iter().map(|peer| &peer.candidate)
    }

    fn block(&mut self, owner: &str, until: Time) {
        for peer in &mut self.peers {
            if peer.candidate.owner == owner {
                peer.blocked_until = until;
            }
        }
    }

    fn pick_trial(&self, now: Time, rng: &mut Rng) -> Option<Pick> {
        let is_ejected =
            |peer: &&Peer| peer.estimate.serving == Serving::Ejected && peer.blocked_until <= now;
        let count = self.peers.iter().filter(is_ejected).count();
        if count == 0 || rng.random_range(0..REQUESTS_PER_TRIAL) != 0 {
            return None;
        }
        let chosen = rng.random_range(0..count);
        let index =
            (0..self.peers.len()).filter(|index| is_ejected(&&self.peers[*index])).nth(chosen)?;
        Some(self.pick_of(index, true))
    }

    /// Returns the index and score of the better one of two random peers.
    fn best_of_two(&self, indexes: &[usize], now: Time, rng: &mut Rng) -> Option<(usize, f64)> {
        let score = |index: usize| {
            let peer = &self.peers[index];
            (index, peer.estimate.score(peer.candidate.slots, self.latency, &self.weights, now))
        };
        match indexes {
            [] => None,
            [only] => Some(score(*only)),
            _ => {
                let first = rng.random_range(0..indexes.len());
                let mut second = rng.random_range(0..indexes.len() - 1);
                if second >= first {
                    second += 1;
                }
                let (first, second) = (score(indexes[first]), score(indexes[second]));
                Some(if second.1 < first.1 { second } else { first })
            }
        }
    }

    fn pick_of(&self, index: usize, is_trial: bool) -> Pick {
        let candidate = &self.peers[index].candidate;
        Pick { server: candidate.server.clone(), owner: candidate.owner.clone(), is_trial }
    }

    fn find(&self, server: &str) -> Option<usize> {
        self.peers.binary_search_by(|peer| peer.candidate.server.as_str().cmp(server)).ok()
    }
}
