//! Requests that crash backend servers: strikes between owners, and runs one at a time.

use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_record::message;
use arbutuslane_record::prelude::{Coordinator, Decision, Strikes, Verdict, key};
use arbutuslane_wire::peer;
use futures_util::future::join_all;
use ntex::time::{sleep, timeout_checked};

use crate::announce::Server;
use crate::peers;
use crate::shared::Shared;
use crate::traffic::{Choice, Failure, Pool, Refusal, Worker};

use super::keyed;

/// How long the owner waits for other owners to take a strike before it reports the failure.
const SPREAD_WAIT: Duration = Duration::from_millis(200);

/// The longest wait for a connection that tells whether a server's process is gone.
const CONNECT_WAIT: Duration = Duration::from_millis(200);

/// The waits before each connection. A process that ends closes its connections before its listening
/// socket, so that the first connection can still succeed; one night had a third crash for it.
const PROBE_WAITS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
];

/// The fingerprint of a request whose entry states none.
const NONE: u64 = 0;

/// The strikes that this owner knows.
#[derive(Debug, Default)]
pub(crate) struct Known(Mutex<Strikes>);

/// The claim under which a struck request runs.
///
/// When dropped it is withdrawn, unless the request was dispatched and may run still. A kept claim
/// expires with the strike.
pub(crate) struct Alone {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    coordinator: Coordinator,
    dispatched: bool,
}

impl Known {
    /// Locks the strikes.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Strikes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Alone {
    /// Keeps the claim from here on, because the request is about to be sent.
    pub(crate) fn dispatch(&mut self) {
        self.dispatched = true;
    }

    /// Gives the claim up, because the request has ended or did not run.
    pub(crate) fn release(mut self) {
        self.dispatched = false;
    }
}

impl Drop for Alone {
    fn drop(&mut self) {
        if !self.dispatched {
            let (group, request) = (self.coordinator.group(), self.coordinator.withdraw());
            drop(keyed::send(&self.shared, &self.pool, group, &request));
        }
    }
}

/// Refuses a quarantined request; returns whether a request may run under a claim only.
pub(crate) fn check(worker: &Worker, fingerprint: u64) -> Result<bool, Refusal> {
    if fingerprint == NONE {
        return Ok(false);
    }
    let now = worker.shared.clock.now();
    match worker.shared.cluster.strikes.lock().verdict(now, fingerprint) {
        Verdict::Free => Ok(false),
        Verdict::Alone => Ok(true),
        Verdict::Quarantined { until } => Err(quarantined(until.saturating_sub(now))),
    }
}

/// Decides whether a request may run; returns the claim under which a struck one does. Waits for
/// the claim for at most half of `remaining`.
pub(crate) async fn admit(
    worker: &Worker,
    service: &str,
    fingerprint: u64,
    remaining: Duration,
) -> Result<Option<Alone>, Refusal> {
    if !check(worker, fingerprint)? {
        return Ok(None);
    }
    let key = key::of(service, &format!("strike-{fingerprint:016x}"));
    let wait = keyed::CLAIM_WAIT.min(remaining / 2);
    let claimed = keyed::claim(worker, key, fingerprint, message::Kind::Exclusive, wait).await;
    let Some((coordinator, Some(Decision::Dispatch))) = claimed else {
        let error = "this request has crashed a server and runs one at a time";
        return Err(Refusal { choice: Choice::Final, elsewhere: false, ..Refusal::not_run(error) });
    };
    let (shared, pool) = (Arc::clone(&worker.shared), Rc::clone(&worker.pool));
    let alone = Alone { shared, pool, coordinator, dispatched: false };
    // Another crash may have been told while the claim was made.
    check(worker, fingerprint)?;
    Ok(Some(alone))
}

/// Forgets the strikes of a request that ran without a crash, here and at other owners.
pub(crate) fn passed(worker: &Worker, service: &str, fingerprint: u64) {
    worker.shared.cluster.strikes.lock().clear(fingerprint);
    let message = peer::Message::ClearStrikes { service: service.to_string(), fingerprint };
    let (shared, pool) = (Arc::clone(&worker.shared), Rc::clone(&worker.pool));
    let service = service.to_string();
    let _task = ntex::rt::spawn(async move { tell(&shared, &pool, &service, &message).await });
}

/// Finds out whether a server whose connection broke is gone; if so, strikes the request at every
/// owner of the service.
pub(crate) async fn crashed(worker: &Worker, server: &Server, fingerprint: u64) -> bool {
    if fingerprint == NONE {
        return false;
    }
    let shared = &worker.shared;
    if !is_gone(worker, server).await {
        return false;
    }
    let now = shared.clock.now();
    shared.cluster.strikes.lock().strike(now, fingerprint, &server.id, server.incarnation);
    let verdict = shared.cluster.strikes.lock().verdict(now, fingerprint);
    record(shared, server, fingerprint, verdict, now);
    let message = peer::Message::Strike {
        service: server.service.clone(),
        server: server.id.clone(),
        incarnation: server.incarnation,
        fingerprints: vec![fingerprint],
    };
    let telling = tell(shared, &worker.pool, &server.service, &message);
    if timeout_checked(SPREAD_WAIT, telling).await.is_err() {
        tracing::warn!(event = "strike-late", server = server.id);
    }
    true
}

/// Records the events of a strike.
fn record(shared: &Shared, server: &Server, fingerprint: u64, verdict: Verdict, now: Time) {
    let fingerprint = format!("{fingerprint:016x}");
    let (strikes, quarantine) = match verdict {
        Verdict::Quarantined { until } => (2, Some(until.saturating_sub(now))),
        Verdict::Free | Verdict::Alone => (1, None),
    };
    let kind = Kind::Strike { fingerprint: fingerprint.clone(), strikes };
    shared.events.record(Draft::new(kind).service(&server.service).server(&server.id));
    if let Some(rest) = quarantine {
        let kind = Kind::RequestQuarantined { fingerprint, for_s: rest.as_secs() };
        shared.events.record(Draft::new(kind).service(&server.service));
    }
}

/// Returns whether the process of a server has ended: it refuses connections or has a newer
/// incarnation. A server that is merely slow or cut off gives no answer, which proves no crash.
async fn is_gone(worker: &Worker, server: &Server) -> bool {
    for wait in PROBE_WAITS {
        sleep(wait).await;
        let newer = worker.shared.servers.get(&server.id);
        if newer.is_some_and(|known| known.incarnation > server.incarnation) {
            return true;
        }
        match worker.pool.connect(server.address, CONNECT_WAIT).await {
            Err(Failure::Connect(_)) => return true,
            Err(_) => return false,
            Ok(_) => {}
        }
    }
    false
}

/// Takes the strikes that another owner tells.
pub(crate) fn told(
    shared: &Shared,
    now: Time,
    server: &str,
    incarnation: u64,
    fingerprints: &[u64],
) {
    let mut strikes = shared.cluster.strikes.lock();
    strikes.sweep(now);
    for fingerprint in fingerprints {
        strikes.strike(now, *fingerprint, server, incarnation);
    }
}

/// Sends a message to the owners of the other servers of a service and waits for all of them.
async fn tell(shared: &Arc<Shared>, pool: &Rc<Pool>, service: &str, message: &peer::Message) {
    let remotes = shared.remotes();
    let remotes = remotes.iter().filter(|remote| remote.service == service);
    let mut owners: Vec<_> = remotes.map(|remote| remote.address).collect();
    owners.sort_unstable();
    owners.dedup();
    let asks = owners.iter().map(|owner| peers::ask(shared, pool, *owner, message, SPREAD_WAIT));
    join_all(asks).await;
}

fn quarantined(rest: Duration) -> Refusal {
    let seconds = u32::try_from(rest.as_secs()).unwrap_or(u32::MAX).saturating_add(1);
    Refusal {
        choice: Choice::Final,
        elsewhere: false,
        retry_after: Some(seconds),
        ..Refusal::not_run("this request has crashed two servers and is quarantined")
    }
}
