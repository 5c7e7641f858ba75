//! Requests that crash the servers that run them.
//!
//! A crash is a strike against the request that was running. The owners of the service's other
//! servers learn of it before the caller does, so that a resend finds the strike wherever it goes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use ntex::http::StatusCode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_record::strike::{STRIKES, Verdict};
use arbutuslane_wire::peer;

use crate::announce::Server;
use crate::peers;
use crate::shared::Shared;

use super::refusal::{Choice, Refusal};
use super::worker::Worker;

/// The longest wait until the other owners have confirmed a strike.
const TELL: Duration = Duration::from_millis(200);

/// The longest wait for the new connection that tells a crash from a broken connection.
const PROBE: Duration = Duration::from_millis(100);

/// Refuses a request that has crashed two servers.
pub(crate) fn check(shared: &Shared, fingerprint: Option<u64>) -> Result<(), Refusal> {
    let Some(fingerprint) = fingerprint else { return Ok(()) };
    let now = shared.clock.now();
    let Verdict::Quarantined { until } = shared.strikes().verdict(now, fingerprint) else {
        return Ok(());
    };
    let seconds = u32::try_from(until.saturating_sub(now).as_secs()).unwrap_or(u32::MAX);
    Err(Refusal {
        retry_after: Some(seconds.saturating_add(1)),
        elsewhere: false,
        choice: Choice::Crashed,
        ..Refusal::not_run(format!("this request has crashed {STRIKES} servers"))
    })
}

/// Records a strike when `server` has crashed, and returns whether it has.
pub(crate) async fn after_failure(
    worker: &Worker,
    server: &Arc<Server>,
    fingerprint: Option<u64>,
) -> bool {
    let shared = &worker.shared;
    if !crashed(shared, server).await {
        return false;
    }
    let Some(fingerprint) = fingerprint else { return true };
    let now = shared.clock.now();
    shared.strikes().strike(now, fingerprint, &server.id, server.incarnation);
    let strikes = match shared.strikes().verdict(now, fingerprint) {
        Verdict::Quarantined { .. } => 2,
        Verdict::Free | Verdict::Alone => 1,
    };
    let kind = Kind::Strike { fingerprint: format!("{fingerprint:016x}"), strikes };
    shared.events.record(Draft::new(kind).service(&server.service).server(&server.id));
    let message = peer::Message::Strike {
        service: server.service.clone(),
        server: server.id.clone(),
        incarnation: server.incarnation,
        fingerprints: vec![fingerprint],
    };
    tell(worker, &server.service, &message).await;
    true
}

/// Forgets the strikes of a request that has run without a crash.
pub(crate) async fn after_success(worker: &Worker, server: &Server, fingerprint: Option<u64>) {
    let Some(fingerprint) = fingerprint else { return };
    let now = worker.shared.clock.now();
    if worker.shared.strikes().verdict(now, fingerprint) == Verdict::Free {
        return;
    }
    worker.shared.strikes().clear(fingerprint);
    let service = server.service.clone();
    let message = peer::Message::ClearStrikes { service, fingerprint };
    tell(worker, &server.service, &message).await;
}

/// Returns whether the process of `server` is gone: it takes no connection or was replaced.
async fn crashed(shared: &Shared, server: &Server) -> bool {
    if shared.servers.get(&server.id).is_some_and(|now| now.incarnation != server.incarnation) {
        return true;
    }
    // A server that is merely slow or cut off gives no answer, which proves no crash.
    matches!(timeout(PROBE, TcpStream::connect(server.address)).await, Ok(Err(_)))
}

/// Sends `message` to the owners of the other servers of `service`.
async fn tell(worker: &Worker, service: &str, message: &peer::Message) {
    let remotes = worker.shared.remotes();
    let mut owners: Vec<SocketAddr> = remotes
        .iter()
        .filter(|remote| remote.service == service)
        .map(|remote| remote.address)
        .collect();
    owners.sort_unstable();
    owners.dedup();
    let asking = owners
        .into_iter()
        .map(|owner| peers::ask(&worker.shared, &worker.pool, owner, message, TELL));
    for answer in join_all(asking).await {
        if let Err(error) = answer {
            tracing::warn!(event = "strike-untold", service, error);
        }
    }
}

/// Returns the status of a request whose server crashed while it ran.
pub(crate) fn refusal() -> Refusal {
    Refusal {
        elsewhere: false,
        choice: Choice::Crashed,
        ..Refusal::unknown(StatusCode::BAD_GATEWAY, "the server crashed while it ran the request")
    }
}
