//! Protects backend servers from requests that crash them.
//!
//! A request that was running when its server crashed has a strike at every owner of its service. It then
//! runs as a trial only ([`super::trials`]), and under a claim where these are granted. A trial that ends in
//! a crash convicts the request, and one that ends well clears the strikes from before.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_event::clock::wall_ms;
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_record::message;
use arbutuslane_record::prelude::{Coordinator, Decision, Identity, Strike, Strikes, Verdict, key};
use arbutuslane_record::strike::Crash;
use arbutuslane_wire::peer;
use futures_util::future::join_all;
use ntex::time::{sleep, timeout_checked};
use rand::seq::SliceRandom;

use crate::announce::Server;
use crate::peers;
use crate::settings::Source;
use crate::shared::Shared;
use crate::traffic::{Failure, Pool, Refusal, RefusalCause, Worker};

use super::{departures, keyed};

/// How long an owner waits for other owners to acknowledge a strike before it returns the failure
/// of the request.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(200);

/// The time between two comparisons of strikes with a keeper.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// How often a comparison is repeated at once when no keeper responds.
const MAX_REPEATS: u32 = 2;

/// The number of keepers that a repeated comparison is made with at the same time.
const REPEATED_KEEPERS: usize = 4;

/// The longest wait for the response to a comparison.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(600);

/// The error of a message that an instance of earlier code cannot read.
const MALFORMED: &str = "status 400 Bad Request";

/// The longest wait for a connection that probes whether a server's process has ended.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The delays before each probe connection. A process that ends closes its connections before its
/// listening socket, so that the first probe can still succeed; for this reason a request crashed a
/// third server in one run of the night test.
const PROBE_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
];

/// The delay before the probe connection after a response that ended with its connection, as most such
/// responses of a sound server do.
const CLOSE_PROBE_DELAYS: [Duration; 1] = [Duration::from_millis(100)];

/// The strikes that this node knows as an owner.
#[derive(Debug, Default)]
pub(crate) struct StrikeTable(Mutex<Strikes>);

/// The exclusive claim under which a request with a strike runs.
///
/// A drop withdraws the claim, unless the request was dispatched and may still run. A claim that is
/// not withdrawn expires with the strike.
pub(crate) struct ExclusiveClaim {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    coordinator: Coordinator,
    dispatched: bool,
}

impl StrikeTable {
    /// Locks the table.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Strikes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExclusiveClaim {
    /// Records that the request is about to be sent, so that a drop does not withdraw the claim.
    pub(crate) fn dispatch(&mut self) {
        self.dispatched = true;
    }

    /// Withdraws the claim of a request that has ended or did not run.
    pub(crate) fn release(mut self) {
        self.dispatched = false;
    }
}

impl Drop for ExclusiveClaim {
    fn drop(&mut self) {
        if !self.dispatched {
            let (group, request) = (self.coordinator.group(), self.coordinator.withdraw());
            drop(keyed::send(&self.shared, &self.pool, group, &request));
        }
    }
}

/// Returns whether claims can be granted: by register groups, which only the control instances of a
/// catalogue assign.
pub(super) fn has_claims(shared: &Shared) -> bool {
    shared.settings.source == Source::Catalogue
}

/// Returns the restriction under which a request may run; refuses a quarantined one.
pub(super) fn verdict(worker: &Worker, identity: Identity) -> Result<Verdict, Refusal> {
    if !identity.is_known() {
        return Ok(Verdict::Unrestricted);
    }
    let now = worker.shared.clock.now();
    match worker.shared.cluster.strikes.lock().verdict(now, identity) {
        Verdict::Quarantined { until } => Err(quarantined(until.saturating_sub(now))),
        verdict => Ok(verdict),
    }
}

/// Obtains the exclusive claim of a request with a strike; returns `None` when the request has no
/// strike. Waits for the claim for at most half of `remaining`.
pub(crate) async fn claim_exclusive_run(
    worker: &Worker,
    service: &str,
    identity: Identity,
    remaining: Duration,
) -> Result<Option<ExclusiveClaim>, Refusal> {
    if verdict(worker, identity)? == Verdict::Unrestricted || !has_claims(&worker.shared) {
        return Ok(None);
    }
    let request = identity.request;
    let key = key::of(service, &format!("strike-{request:016x}"));
    let timeout = keyed::CLAIM_TIMEOUT.min(remaining / 2);
    let claimed = keyed::claim(worker, key, request, message::Kind::Exclusive, timeout).await;
    let Some((coordinator, Some(Decision::Dispatch))) = claimed else {
        let error = "this request has crashed a server and runs one at a time";
        return Err(Refusal {
            cause: RefusalCause::Final,
            try_other_server: false,
            ..Refusal::not_run(error)
        });
    };
    let (shared, pool) = (Arc::clone(&worker.shared), Rc::clone(&worker.pool));
    let claim = ExclusiveClaim { shared, pool, coordinator, dispatched: false };
    // Another owner may have reported a crash while the claim was pending.
    verdict(worker, identity)?;
    Ok(Some(claim))
}

/// Records that a request ran without a crash, and clears its strikes that were known when the run began,
/// here and at the other owners.
pub(crate) fn record_good_run(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    service: &str,
    identity: Identity,
    known: &[Crash],
) {
    let cleared = {
        let mut strikes = shared.cluster.strikes.lock();
        strikes.record_served(shared.clock.now(), identity);
        strikes.clear(identity, known)
    };
    if cleared.is_empty() {
        return;
    }
    let message = message_of(shared, &cleared);
    let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
    let service = service.to_string();
    let _task = ntex::rt::spawn(async move { broadcast(&shared, &pool, &service, &message).await });
}

/// A check whether the process of a server has ended, after the end of a connection to it.
pub(crate) struct CrashCheck {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    server: Arc<Server>,
    probe_delays: &'static [Duration],
}

impl CrashCheck {
    /// Returns the check after a connection that broke during an exchange.
    pub(crate) fn after_failure(
        shared: &Arc<Shared>,
        pool: &Rc<Pool>,
        server: &Arc<Server>,
    ) -> Self {
        let (shared, pool, server) = (Arc::clone(shared), Rc::clone(pool), Arc::clone(server));
        Self { shared, pool, server, probe_delays: &PROBE_DELAYS }
    }

    /// Returns the check after a connection whose end was the end of a response.
    pub(crate) fn after_close(shared: &Arc<Shared>, pool: &Rc<Pool>, server: &Arc<Server>) -> Self {
        let probe_delays = &CLOSE_PROBE_DELAYS;
        Self { probe_delays, ..Self::after_failure(shared, pool, server) }
    }

    /// Records a strike against a request at every owner of the service if the process has ended; returns
    /// whether it has. `known` are the crashes that counted against the request when its run began.
    pub(crate) async fn strike_if_crashed(self, identity: Identity, known: &[Crash]) -> bool {
        if !identity.is_known() || !self.has_ended().await {
            return false;
        }
        let Self { shared, pool, server, .. } = self;
        let now = shared.clock.now();
        let (strike, verdict) = {
            let mut strikes = shared.cluster.strikes.lock();
            strikes.sweep(now);
            let Identity { request, variant } = identity;
            let (server, incarnation) = (server.id.clone(), server.incarnation);
            let crash = Crash { server, incarnation, variant };
            let strike = Strike::new(request, crash).at(wall_ms()).after(known);
            let strike = strikes.strike(now, strike.in_domain(&shared.settings.domain));
            (strike, strikes.verdict(now, identity))
        };
        record_strike(&shared, &server, identity, verdict, now);
        let message = message_of(&shared, &[strike]);
        let broadcast = broadcast(&shared, &pool, &server.service, &message);
        if timeout_checked(BROADCAST_TIMEOUT, broadcast).await.is_err() {
            tracing::warn!(event = "strike-late", server = server.id);
        }
        true
    }

    /// Returns whether the process has ended: it refuses connections or has a newer incarnation. A
    /// probe without an answer proves no crash, because a server that is slow or cut off by the
    /// network does not answer either.
    async fn has_ended(&self) -> bool {
        let Self { shared, pool, server, probe_delays } = self;
        for delay in *probe_delays {
            sleep(*delay).await;
            let current = shared.servers.get(&server.id);
            if current.is_some_and(|current| current.incarnation > server.incarnation) {
                return true;
            }
            match pool.connect(server.address, PROBE_CONNECT_TIMEOUT).await {
                Err(Failure::Connect(_)) => return true,
                Err(_) => return false,
                Ok(_) => {}
            }
        }
        false
    }
}

/// Records the events of a strike and of the quarantine that follows it.
fn record_strike(
    shared: &Shared,
    server: &Server,
    identity: Identity,
    verdict: Verdict,
    now: Time,
) {
    let fingerprint = format!("{:016x}", identity.request);
    let (strikes, quarantine) = match verdict {
        Verdict::Quarantined { until } => (2, Some(until.saturating_sub(now))),
        Verdict::Unrestricted | Verdict::Exclusive { .. } => (1, None),
    };
    let kind = Kind::Strike { fingerprint: fingerprint.clone(), strikes };
    shared.events.record(Draft::new(kind).service(&server.service).server(&server.id));
    if let Some(remaining) = quarantine {
        let kind = Kind::RequestQuarantined { fingerprint, for_s: remaining.as_secs() };
        shared.events.record(Draft::new(kind).service(&server.service));
    }
}

/// Merges strikes that another process told.
pub(crate) fn merge(shared: &Shared, told: Vec<peer::strike::Strike>) {
    let now = shared.clock.now();
    let mut strikes = shared.cluster.strikes.lock();
    strikes.sweep(now);
    for strike in told {
        let (strike, until) = strike.into_strike(now);
        strikes.merge(now, strike, until);
    }
}

/// Returns the strikes that a process asks for, which has these hashes of its buckets.
pub(crate) fn answer(shared: &Shared, buckets: &[u64]) -> peer::Answer {
    let now = shared.clock.now();
    let strikes = shared.cluster.strikes.lock();
    let differing = if buckets.is_empty() { Vec::new() } else { strikes.differing(buckets) };
    let buckets = strikes.buckets().to_vec();
    peer::Answer::Strikes { strikes: encode(&strikes, &differing, now), buckets }
}

/// Returns the message that tells others of strikes.
fn message_of(shared: &Shared, told: &[Strike]) -> peer::Message {
    let strikes = shared.cluster.strikes.lock();
    let strikes = encode(&strikes, told, shared.clock.now());
    peer::Message::Strikes { strikes, buckets: Vec::new() }
}

fn encode(strikes: &Strikes, told: &[Strike], now: Time) -> Vec<peer::strike::Strike> {
    let until = |strike| strikes.until(strike).unwrap_or(now);
    told.iter().map(|strike| peer::strike::Strike::new(strike, until(strike), now)).collect()
}

/// Compares strikes with keepers in turn, until the process ends. A strike is told once to those that
/// are known then; what this node or others missed, they learn here.
pub(crate) async fn run(shared: Arc<Shared>, pool: Rc<Pool>) {
    loop {
        sleep(COMPARE_INTERVAL).await;
        let mut keepers = departures::keepers(&shared);
        keepers.shuffle(&mut rand::rng());
        let Some(first) = keepers.first() else { continue };
        let mut has_compared = compare_with(&shared, &pool, *first).await;
        // A node that was cut off may have silent connections, which the first requests on them close.
        for _ in 0..MAX_REPEATS {
            if has_compared {
                break;
            }
            let others = keepers.iter().take(REPEATED_KEEPERS);
            let comparisons = others.map(|keeper| compare_with(&shared, &pool, *keeper));
            has_compared = join_all(comparisons).await.contains(&true);
        }
    }
}

/// Makes this node and the instance at `address` know the same strikes; returns whether it responded.
pub(super) async fn compare_with(shared: &Shared, pool: &Rc<Pool>, address: SocketAddr) -> bool {
    let buckets = shared.cluster.strikes.lock().buckets().to_vec();
    let message = peer::Message::Strikes { strikes: Vec::new(), buckets };
    let answer = peers::send(shared, pool, address, &message, COMPARE_TIMEOUT).await;
    let theirs = match answer {
        Ok(peer::Answer::Strikes { strikes, buckets }) => {
            merge(shared, strikes);
            buckets
        }
        // Instances of another kind or of earlier code keep none.
        Ok(_) => return true,
        Err(error) => return error == MALFORMED,
    };
    let missing = shared.cluster.strikes.lock().differing(&theirs);
    if !missing.is_empty() {
        let message = message_of(shared, &missing);
        let _ = peers::send(shared, pool, address, &message, COMPARE_TIMEOUT).await;
    }
    true
}

/// Sends a message to the other owners of a service and to the keepers, and waits for all of them.
async fn broadcast(shared: &Arc<Shared>, pool: &Rc<Pool>, service: &str, message: &peer::Message) {
    let remote_servers = shared.remote_servers();
    let remote_servers = remote_servers.iter().filter(|remote| remote.service == service);
    let mut receivers = departures::keepers(shared);
    receivers.extend(remote_servers.map(|remote| remote.address));
    receivers.sort_unstable();
    receivers.dedup();
    let send =
        |address: &SocketAddr| peers::send(shared, pool, *address, message, BROADCAST_TIMEOUT);
    join_all(receivers.iter().map(send)).await;
}

fn quarantined(remaining: Duration) -> Refusal {
    let seconds = u32::try_from(remaining.as_secs()).unwrap_or(u32::MAX).saturating_add(1);
    Refusal {
        cause: RefusalCause::Final,
        try_other_server: false,
        retry_after: Some(seconds),
        ..Refusal::not_run("this request has crashed two servers and is quarantined")
    }
}
