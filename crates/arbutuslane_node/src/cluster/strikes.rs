//! Requests that crash backend servers: strikes between owners, and runs one at a time.

use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_record::message::Kind;
use arbutuslane_record::prelude::{Coordinator, Decision, Strikes, Verdict, key};
use arbutuslane_wire::peer;
use futures_util::future::join_all;
use ntex::time::timeout_checked;

use crate::announce::Server;
use crate::peers;
use crate::shared::Shared;
use crate::traffic::{Choice, Pool, Refusal, Worker};

use super::keyed;

/// How long the owner waits for other owners to take a strike before it reports the failure.
const SPREAD_WAIT: Duration = Duration::from_millis(200);

/// The longest wait for a connection that tells whether a server's process is gone.
const CONNECT_WAIT: Duration = Duration::from_millis(200);

/// The fingerprint of a request whose entry states none.
const NONE: u64 = 0;

/// The strikes that this owner knows.
#[derive(Debug, Default)]
pub(crate) struct Known(Mutex<Strikes>);

/// The claim under which a struck request runs; given up when it is dropped.
pub(crate) struct Alone {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    coordinator: Coordinator,
    keep: bool,
}

impl Known {
    /// Locks the strikes.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Strikes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Alone {
    /// Keeps the claim until it expires, because the request has crashed another server.
    pub(crate) fn keep(&mut self) {
        self.keep = true;
    }
}

impl Drop for Alone {
    fn drop(&mut self) {
        if !self.keep {
            let (group, request) = (self.coordinator.group(), self.coordinator.withdraw());
            drop(keyed::send(&self.shared, &self.pool, group, &request));
        }
    }
}

/// Decides whether a request may run; returns the claim under which a struck one does.
pub(crate) async fn admit(
    worker: &Worker,
    service: &str,
    fingerprint: u64,
) -> Result<Option<Alone>, Refusal> {
    let now = worker.shared.clock.now();
    if fingerprint == NONE {
        return Ok(None);
    }
    match worker.shared.cluster.strikes.lock().verdict(now, fingerprint) {
        Verdict::Free => return Ok(None),
        Verdict::Quarantined { until } => return Err(quarantined(until.saturating_sub(now))),
        Verdict::Alone => {}
    }
    let key = key::of(service, &format!("strike-{fingerprint:016x}"));
    let claimed = keyed::claim(worker, key, fingerprint, Kind::Exclusive, keyed::CLAIM_WAIT).await;
    match claimed {
        Some((coordinator, Some(Decision::Dispatch))) => Ok(Some(Alone {
            shared: Arc::clone(&worker.shared),
            pool: Rc::clone(&worker.pool),
            coordinator,
            keep: false,
        })),
        _ => {
            let error = "this request has crashed a server and runs one at a time";
            Err(Refusal { choice: Choice::Final, elsewhere: false, ..Refusal::not_run(error) })
        }
    }
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
    let newer = shared.servers.get(&server.id);
    let newer = newer.is_some_and(|known| known.incarnation > server.incarnation);
    if !newer && worker.pool.connect(server.address, CONNECT_WAIT).await.is_ok() {
        return false;
    }
    let now = shared.clock.now();
    shared.cluster.strikes.lock().strike(now, fingerprint, &server.id, server.incarnation);
    tracing::warn!(
        event = "strike",
        server = server.id,
        fingerprint = format!("{fingerprint:016x}")
    );
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

/// Takes the strikes that another owner tells.
pub(crate) fn told(shared: &Shared, now: Time, server: &str, life: u64, fingerprints: &[u64]) {
    let mut strikes = shared.cluster.strikes.lock();
    strikes.sweep(now);
    for fingerprint in fingerprints {
        strikes.strike(now, *fingerprint, server, life);
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
