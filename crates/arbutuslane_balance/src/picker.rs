//! The choice of a server for one request.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::id::{DomainName, NodeId, ServerId};
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;
use rand::RngExt;

use crate::candidate::{Candidate, Load, Serving};
use crate::estimate::Estimate;

/// What the choice depends on besides the state of the servers.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The class of the request.
    pub class: Class,
    /// The servers that the request has already been sent to; none of them is chosen again.
    pub tried: &'a [ServerId],
}

/// The chosen server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// The server.
    pub server: ServerId,
    /// Its owner.
    pub owner: NodeId,
    /// Whether the request is offered to an ejected server as a trial. When the owner declines it,
    /// the request is sent on without a charge to the retry budget.
    pub trial: bool,
}

/// How much each part of the score counts; measurements compare others with the default.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// The largest factor by which latency raises or lowers a score; 1 ignores latency.
    pub latency_limit: f64,
    /// The success rate below which a server's score rises no further.
    pub success_floor: f64,
    /// The share of the mean latency in which reports of other entries' work lose half their weight:
    /// a report says little about the load after the requests that it counted have finished.
    pub report_half_life: f64,
    /// A server of another domain is chosen over one with room in the own domain only when its
    /// score is lower by this factor.
    pub remote_penalty: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { latency_limit: 1.2, success_floor: 0.25, report_half_life: 1.0, remote_penalty: 2.0 }
    }
}

/// Chooses servers of one service for one entry.
#[derive(Debug, Clone)]
pub struct Picker {
    domain: DomainName,
    weights: Weights,
    peers: Vec<Peer>,
    unreachable: Vec<Backoff>,
    latency: f64,
    /// The responses that the mean latency counts.
    answers: u32,
    eligible: Vec<usize>,
}

#[derive(Debug, Clone)]
struct Peer {
    candidate: Candidate,
    local: bool,
    blocked_until: Time,
    estimate: Estimate,
}

#[derive(Debug, Clone)]
struct Backoff {
    owner: NodeId,
    failures: u32,
    until: Time,
}

/// The share of requests (non-idempotent ones excepted) that is offered to ejected servers, one in this many.
const TRIAL_ONE_IN: u32 = 100;

/// The responses over which the mean latency of the service is taken.
const LATENCY_ANSWERS: u32 = 100;

/// The first back-off of an owner that could not be reached; it doubles up to `BACKOFF_MAX`.
const BACKOFF_FIRST: Duration = Duration::from_millis(200);

/// The longest back-off, equal to the server announcement lease (2.5 s): by then the server has
/// announced itself to another owner, or this one is back.
const BACKOFF_MAX: Duration = Duration::from_millis(2_500);

impl Picker {
    /// Returns a picker without candidates for an entry in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self::with_weights(domain, Weights::default())
    }

    /// Returns a picker with other weights than the default.
    pub fn with_weights(domain: DomainName, weights: Weights) -> Self {
        Self {
            domain,
            weights,
            peers: Vec::new(),
            unreachable: Vec::new(),
            latency: 0.02,
            answers: 0,
            eligible: Vec::new(),
        }
    }

    /// Replaces the candidates; what was measured of a server with the same incarnation is kept.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>) {
        let mut peers: Vec<Peer> = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let known = self.find(&candidate.server).map(|place| &self.peers[place]);
            let estimate = match known {
                Some(peer) if peer.candidate.incarnation == candidate.incarnation => {
                    let mut estimate = peer.estimate.clone();
                    // Membership is slower than reports on responses, but only membership tells an
                    // entry that sends a server nothing that the server is back in use.
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
            let local = candidate.domain == self.domain;
            peers.push(Peer { candidate, local, blocked_until, estimate });
        }
        peers.sort_unstable_by(|left, right| left.candidate.server.cmp(&right.candidate.server));
        peers.dedup_by(|right, left| right.candidate.server == left.candidate.server);
        self.peers = peers;
        let owners = &self.peers;
        self.unreachable
            .retain(|backoff| owners.iter().any(|peer| peer.candidate.owner == backoff.owner));
    }

    /// Chooses a server, or none when no candidate is left.
    pub fn pick(&mut self, request: &Request<'_>, now: Time, rng: &mut Rng) -> Option<Pick> {
        if request.class != Class::NonIdempotent
            && request.tried.is_empty()
            && let Some(pick) = self.pick_trial(now, rng)
        {
            return Some(pick);
        }
        let mut eligible = std::mem::take(&mut self.eligible);
        self.select(&mut eligible, request.tried, |peer| peer.blocked_until <= now);
        if eligible.is_empty() {
            // An owner in back-off may be back, and nothing else is left.
            self.select(&mut eligible, request.tried, |_| true);
        }
        // Places of the own domain go to the front.
        let mut local = 0;
        for place in 0..eligible.len() {
            if self.peers[eligible[place]].local {
                eligible.swap(local, place);
                local += 1;
            }
        }
        let near = self.best_of_two(&eligible[..local], now, rng);
        let far = self.best_of_two(&eligible[local..], now, rng);
        self.eligible = eligible;
        let chosen = match (near, far) {
            (Some(near), Some(far)) => {
                let peer = &self.peers[near.0];
                let has_room = peer.estimate.utilization(
                    peer.candidate.slots,
                    self.latency,
                    &self.weights,
                    now,
                ) < 1.0;
                let penalty = if has_room { self.weights.remote_penalty } else { 1.0 };
                if near.1 <= far.1 * penalty { near.0 } else { far.0 }
            }
            (Some((place, _)), None) | (None, Some((place, _))) => place,
            (None, None) => return None,
        };
        // After a back-off, one request at a time finds out whether the owner is back.
        if !self.unreachable.is_empty() {
            let owner = &self.peers[chosen].candidate.owner;
            if self.unreachable.iter().any(|backoff| backoff.owner == *owner) {
                let owner = owner.clone();
                self.block(&owner, now + BACKOFF_FIRST);
            }
        }
        Some(self.pick_of(chosen, false))
    }

    /// Fills `eligible` with the places of open servers that were not tried and that `fits` selects.
    fn select(&self, eligible: &mut Vec<usize>, tried: &[ServerId], fits: impl Fn(&Peer) -> bool) {
        eligible.clear();
        for (place, peer) in self.peers.iter().enumerate() {
            let is_open = peer.estimate.serving == Serving::Open && fits(peer);
            if is_open && !tried.contains(&peer.candidate.server) {
                eligible.push(place);
            }
        }
    }

    /// Counts a request as sent to `server`.
    pub fn sent(&mut self, server: &str, _now: Time) {
        if let Some(place) = self.find(server) {
            self.peers[place].estimate.own_in_flight += 1;
        }
    }

    /// Counts a request as answered, failed or given up.
    ///
    /// `latency` is that at the owner, and nothing when the request did not run or was given up.
    pub fn answered(&mut self, server: &str, now: Time, latency: Option<Duration>, success: bool) {
        let Some(place) = self.find(server) else { return };
        let estimate = &mut self.peers[place].estimate;
        estimate.own_in_flight = estimate.own_in_flight.saturating_sub(1);
        let Some(latency) = latency else { return };
        estimate.observe(Some(latency), success, now);
        if success {
            // The mean of all at first, so that a few requests show the scale of the service.
            self.answers = (self.answers + 1).min(LATENCY_ANSWERS);
            let weight = 1.0 / f64::from(self.answers);
            self.latency += weight * (latency.as_secs_f64() - self.latency);
        }
        if !self.unreachable.is_empty() {
            let owner = self.peers[place].candidate.owner.clone();
            self.reachable(&owner);
        }
    }

    /// Takes in that the owner of `server` refused a request because the server is full, besides
    /// [`Picker::answered`]; others are chosen first for some 100 ms.
    pub fn refused(&mut self, server: &str, now: Time) {
        if let Some(place) = self.find(server) {
            self.peers[place].estimate.refuse(now);
        }
    }

    /// Takes in the load that an owner reported on a response.
    pub fn report(&mut self, server: &str, load: &Load, now: Time) {
        let Some(place) = self.find(server) else { return };
        self.peers[place].candidate.slots = load.slots;
        self.peers[place].estimate.report(load, now);
    }

    /// Returns when the owner of `server` last reported its load.
    pub fn reported(&self, server: &str) -> Option<Time> {
        self.find(server).map(|place| self.peers[place].estimate.reported_at)
    }

    /// Takes in a change of state that membership spread.
    pub fn set_serving(&mut self, server: &str, serving: Serving) {
        let Some(place) = self.find(server) else { return };
        self.peers[place].candidate.serving = serving;
        self.peers[place].estimate.serving = serving;
    }

    /// Skips the servers of an owner that could not be reached, for a back-off that doubles from
    /// 200 ms to 2.5 s.
    pub fn unreachable(&mut self, owner: &str, now: Time) {
        let backoff = match self.unreachable.iter().position(|backoff| backoff.owner == owner) {
            Some(place) => &mut self.unreachable[place],
            None => {
                let fresh = Backoff { owner: owner.to_string(), failures: 0, until: Time::ZERO };
                self.unreachable.push(fresh);
                let last = self.unreachable.len() - 1;
                &mut self.unreachable[last]
            }
        };
        // Requests that were sent together fail together and count once.
        if backoff.until > now {
            return;
        }
        let wait = (BACKOFF_FIRST * (1 << backoff.failures.min(8))).min(BACKOFF_MAX);
        backoff.failures += 1;
        backoff.until = now + wait;
        let until = backoff.until;
        self.block(owner, until);
    }

    /// Ends the back-off of an owner that answered.
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
        if count == 0 || rng.random_range(0..TRIAL_ONE_IN) != 0 {
            return None;
        }
        let chosen = rng.random_range(0..count);
        let place =
            (0..self.peers.len()).filter(|place| is_ejected(&&self.peers[*place])).nth(chosen)?;
        Some(self.pick_of(place, true))
    }

    /// Returns the better of two random places and its score.
    fn best_of_two(&self, places: &[usize], now: Time, rng: &mut Rng) -> Option<(usize, f64)> {
        let score = |place: usize| {
            let peer = &self.peers[place];
            (place, peer.estimate.score(peer.candidate.slots, self.latency, &self.weights, now))
        };
        match places {
            [] => None,
            [only] => Some(score(*only)),
            _ => {
                let first = rng.random_range(0..places.len());
                let mut second = rng.random_range(0..places.len() - 1);
                if second >= first {
                    second += 1;
                }
                let (first, second) = (score(places[first]), score(places[second]));
                Some(if second.1 < first.1 { second } else { first })
            }
        }
    }

    fn pick_of(&self, place: usize, trial: bool) -> Pick {
        let candidate = &self.peers[place].candidate;
        Pick { server: candidate.server.clone(), owner: candidate.owner.clone(), trial }
    }

    fn find(&self, server: &str) -> Option<usize> {
        self.peers.binary_search_by(|peer| peer.candidate.server.as_str().cmp(server)).ok()
    }
}
