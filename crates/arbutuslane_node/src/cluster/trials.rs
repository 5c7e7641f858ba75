//! Trials: runs of requests that may crash servers, at the servers of this node.
//!
//! The decisions are in [`arbutuslane_record::trial`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::millis;
use arbutuslane_record::prelude::{Identity, Verdict};
use arbutuslane_record::strike::{Crash, Fingerprint};
use arbutuslane_record::trial::{self, Arbiter};
use arbutuslane_wire::peer;

use crate::announce::Server;
use crate::peers;
use crate::shared::Shared;
use crate::traffic::{Pool, Refusal, Worker};

use super::strikes;

/// The longest wait for the response of an arbiter.
const ARBITER_TIMEOUT: Duration = Duration::from_millis(150);

/// The number of nodes that are asked until one responds.
const MAX_ARBITERS: usize = 2;

/// How long a trial may run beyond the deadline of its request, until its end is known.
const END_MARGIN: Duration = Duration::from_secs(1);

/// The trials at the servers of this node, and those of the fleet for which it is the arbiter.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    /// The servers that run a trial.
    servers: Mutex<Vec<ServerId>>,
    arbiter: Mutex<Arbiter>,
}

/// The run of a request that may crash its server.
///
/// A drop ends the trial, unless the request was dispatched and may still run: then it counts until the
/// time limit of the request.
pub(crate) struct Trial {
    /// The crashes that counted against the request when the run began.
    pub(crate) known: Vec<Crash>,
    place: Place,
    arbiter: Option<Node>,
    request: Fingerprint,
    is_running: bool,
}

/// The place of the only trial at a server.
struct Place {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    server: ServerId,
}

/// A node that is asked for trials.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Node {
    Own,
    Peer(SocketAddr),
}

impl Trials {
    fn servers(&self) -> MutexGuard<'_, Vec<ServerId>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a trial may run, as the arbiter of its request.
    pub(crate) fn grant(&self, shared: &Shared, trial: trial::Trial, duration: Duration) -> bool {
        let mut arbiter = self.arbiter.lock().unwrap_or_else(PoisonError::into_inner);
        arbiter.grant(shared.clock.now(), trial, duration)
    }

    /// Records the end of a trial, as its arbiter.
    pub(crate) fn release(&self, request: Fingerprint, server: &str) {
        let mut arbiter = self.arbiter.lock().unwrap_or_else(PoisonError::into_inner);
        arbiter.release(request, server);
    }
}

impl Trial {
    /// Records that the request is about to be sent.
    pub(crate) fn dispatch(&mut self) {
        self.is_running = true;
    }

    /// Ends the trial, whose outcome is known or which did not run.
    pub(crate) fn end(mut self) {
        self.is_running = false;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Some(arbiter) = self.arbiter.take().filter(|_| !self.is_running) else { return };
        let Place { shared, pool, server } = &self.place;
        let Node::Peer(address) = arbiter else {
            return shared.cluster.trials.release(self.request, server);
        };
        let message = peer::Message::EndTrial { request: self.request, server: server.clone() };
        let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
        // Without it, the arbiter takes the trial for ended after the time limit of the request.
        let _task = ntex::rt::spawn(async move {
            let _ = peers::send(&shared, &pool, address, &message, ARBITER_TIMEOUT).await;
        });
    }
}

impl Place {
    fn take(worker: &Worker, server: &Server) -> Option<Self> {
        let mut servers = worker.shared.cluster.trials.servers();
        if servers.contains(&server.id) {
            return None;
        }
        servers.push(server.id.clone());
        let (shared, pool) = (Arc::clone(&worker.shared), Rc::clone(&worker.pool));
        Some(Self { shared, pool, server: server.id.clone() })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.cluster.trials.servers().retain(|server| *server != self.server);
    }
}

/// Refuses a request at once that may not run at a server now: it is quarantined, or a trial of it could
/// not begin.
pub(crate) fn check(worker: &Worker, server: &Server, identity: Identity) -> Result<(), Refusal> {
    match strikes::verdict(worker, identity)? {
        Verdict::Exclusive { .. } if !may_begin(worker, server, identity) => Err(Refusal::trial()),
        _ => Ok(()),
    }
}

/// Begins a trial of a request at a server; returns `None` if nothing counts against the request.
pub(crate) async fn begin(
    worker: &Worker,
    server: &Server,
    identity: Identity,
    remaining: Duration,
) -> Result<Option<Trial>, Refusal> {
    let Verdict::Exclusive { trials } = strikes::verdict(worker, identity)? else {
        return Ok(None);
    };
    if !may_begin(worker, server, identity) {
        return Err(Refusal::trial());
    }
    let place = Place::take(worker, server).ok_or_else(Refusal::trial)?;
    let request = identity.request;
    let mut trial = Trial { known: Vec::new(), place, arbiter: None, request, is_running: false };
    let wanted = trial::Trial {
        max: trials,
        request,
        server: server.id.clone(),
        domain: worker.shared.settings.domain.clone(),
    };
    // Where claims are granted, one of them is enough.
    if !strikes::has_claims(&worker.shared) {
        let arbiter = ask(worker, &server.service, wanted, remaining).await;
        trial.arbiter = Some(arbiter.ok_or_else(Refusal::trial)?);
    }
    // Another owner may have told of a crash or of a good run meanwhile.
    if strikes::verdict(worker, identity)? == Verdict::Unrestricted {
        return Ok(None);
    }
    let now = worker.shared.clock.now();
    trial.known = worker.shared.cluster.strikes.lock().known(now, identity);
    Ok(Some(trial))
}

/// Returns whether a trial may begin at a server as far as this node knows: the server runs no other one, and
/// is in a failure domain where the request has crashed no server, if the service has servers in one.
fn may_begin(worker: &Worker, server: &Server, identity: Identity) -> bool {
    let shared = &worker.shared;
    if shared.cluster.trials.servers().contains(&server.id) {
        return false;
    }
    let domains = shared.cluster.strikes.lock().domains(shared.clock.now(), identity);
    let has_crashed_in = |domain: &String| domains.binary_search(domain).is_ok();
    if !has_crashed_in(&shared.settings.domain) {
        return true;
    }
    let remote_servers = shared.remote_servers();
    let mut others = remote_servers.iter().filter(|other| other.service == server.service);
    others.all(|other| has_crashed_in(&other.domain))
}

/// Asks for a trial; returns the arbiter that allows it.
async fn ask(
    worker: &Worker,
    service: &str,
    wanted: trial::Trial,
    remaining: Duration,
) -> Option<Node> {
    let shared = &worker.shared;
    let duration = remaining + END_MARGIN;
    let message = peer::Message::BeginTrial {
        request: wanted.request,
        server: wanted.server.clone(),
        domain: wanted.domain.clone(),
        max: wanted.max,
        for_ms: millis(duration),
    };
    for arbiter in arbiters(shared, service, wanted.request) {
        let Node::Peer(address) = arbiter else {
            return shared.cluster.trials.grant(shared, wanted, duration).then_some(arbiter);
        };
        let timeout = ARBITER_TIMEOUT.min(remaining / 2);
        match peers::send(shared, &worker.pool, address, &message, timeout).await {
            Ok(peer::Answer::Trial { is_granted }) => return is_granted.then_some(arbiter),
            // The next one decides while this one does not respond.
            _ => tracing::info!(event = "arbiter-silent", peer = %address),
        }
    }
    None
}

/// Returns the nodes to ask for a trial of a request: owners of servers of the service, in an order that is
/// the same at all nodes.
fn arbiters(shared: &Shared, service: &str, request: Fingerprint) -> Vec<Node> {
    let key = format!("{request:016x}");
    let rank = |node: &str| hash::weight(node, &key);
    let mut ranked = vec![(rank(&shared.settings.node), Node::Own)];
    for remote in shared.remote_servers().iter() {
        let node = Node::Peer(remote.address);
        let is_listed = ranked.iter().any(|(_, listed)| *listed == node);
        if remote.service == service && !is_listed {
            ranked.push((rank(&remote.owner), node));
        }
    }
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    ranked.into_iter().take(MAX_ARBITERS).map(|(_, node)| node).collect()
}
