//! The main loop of the control thread.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::time::{Time, millis};
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_member::prelude::{Server, State};
use arbutuslane_record::message::{Request, Response};
use arbutuslane_wire::peer;
use ntex::time::sleep;

use crate::settings::Source;
use crate::shared::{RemoteServer, Shared};
use crate::traffic::Pool;
use crate::{configuration, peers};

use super::{bursts, departures, items, permits, report, strikes};

/// The time between two steps of gossip and configuration.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two rounds of maintenance: expired leases and registers, idle connections, and
/// pulls of recovering replicas.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest wait for a page of registers from another replica.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs gossip, puts configurations in force and recovers replicas until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let pool = Pool::new();
    let _bursts = ntex::rt::spawn(bursts::run(Arc::clone(&shared)));
    let _departures = ntex::rt::spawn(departures::run(Arc::clone(&shared), Rc::clone(&pool)));
    let _strikes = ntex::rt::spawn(strikes::run(Arc::clone(&shared), Rc::clone(&pool)));
    let _permits = ntex::rt::spawn(permits::run(Arc::clone(&shared), Rc::clone(&pool)));
    let from_items = shared.settings.source == Source::Items;
    if from_items {
        let _items = ntex::rt::spawn(items::run(Arc::clone(&shared), Rc::clone(&pool)));
    } else {
        let _report = ntex::rt::spawn(report::run(Arc::clone(&shared), Rc::clone(&pool)));
    }
    let mut next_maintenance = Time::ZERO;
    let mut fetches = 0;
    let mut published_hash = 0;
    loop {
        let now = shared.clock.now();
        step(&shared, &pool, &mut published_hash);
        if now >= next_maintenance {
            next_maintenance = now + MAINTENANCE_INTERVAL;
            maintain(&shared, &pool);
        }
        let control = shared.control();
        if !from_items && !control.is_empty() && shared.cluster.control_contact().is_due(now) {
            if let Some(address) = control.get(fetches % control.len()).copied() {
                let (shared, pool) = (Arc::clone(&shared), Rc::clone(&pool));
                let _task = ntex::rt::spawn(async move {
                    configuration::fetch(&shared, &pool, address).await;
                });
            }
            fetches += 1;
        }
        sleep(STEP_INTERVAL).await;
    }
}

/// Puts the newest configuration that gossip permits into force.
pub(crate) fn put_in_force(shared: &Shared) {
    let Some(snapshot) = shared.cluster.in_force() else { return };
    let current = shared.configuration();
    let in_force = (current.snapshot().revision, current.snapshot().group_version);
    if (snapshot.revision, snapshot.group_version) <= in_force {
        return;
    }
    let revision = snapshot.revision;
    let previous_revision = shared.configuration().revision();
    // The register groups can also change without a new revision.
    if shared.adopt(Arc::unwrap_or_clone(snapshot).into()) && revision > previous_revision {
        shared.events.record(Kind::RevisionInForce { revision });
    }
}

/// Advances gossip, and publishes the configuration in force and the servers of other nodes.
fn step(shared: &Arc<Shared>, pool: &Rc<Pool>, published_hash: &mut u64) {
    let now = shared.clock.now();
    let effects = {
        let mut membership = shared.cluster.membership();
        let membership = &mut *membership;
        membership.gossip.set_servers(now, own_servers(shared, now));
        membership.gossip.tick(now, &mut membership.rng)
    };
    super::peers::spawn(shared, pool, effects);
    put_in_force(shared);
    let hash = shared.cluster.membership().gossip.table().hash();
    if hash != *published_hash {
        *published_hash = hash;
        shared.set_remote_servers(remote_servers(shared));
    }
}

/// Ends expired leases, registers and connections, and starts the pulls of recovering replicas.
fn maintain(shared: &Arc<Shared>, pool: &Rc<Pool>) {
    let now = shared.clock.now();
    shared.reload_token();
    for (server, silence) in shared.servers.expire(now) {
        let silent_ms = millis(silence);
        let draft = Draft::new(Kind::LeaseLost { silent_ms });
        shared.events.record(draft.service(&server.service).server(&server.id));
    }
    shared.cluster.registers.sweep(now);
    pool.expire();
    for (node, request) in shared.cluster.registers.pulls() {
        let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
        let _task = ntex::rt::spawn(async move { pull(&shared, &pool, &node, &request).await });
    }
}

/// Sends one pull of a recovering replica to `node` and hands the response to the replica.
async fn pull(shared: &Arc<Shared>, pool: &Rc<Pool>, node: &str, request: &Request) {
    let Some(address) = shared.cluster.peer_address(node) else { return };
    let message = peer::Message::Register(request.clone().into());
    let answer = peers::send(shared, pool, address, &message, PULL_TIMEOUT).await;
    let Ok(peer::Answer::Register(answer)) = answer else { return };
    let response: Response = answer.into();
    shared.cluster.registers.handle_pull_response(shared.clock.now(), node, request, &response);
}

/// Returns the servers that this node announces to the fleet.
fn own_servers(shared: &Shared, now: Time) -> Vec<Server> {
    let mut servers = Vec::new();
    if shared.stop.has_withdrawn_servers() {
        return servers;
    }
    for server in shared.servers.all() {
        // A stopping node lists its servers until they have announced themselves to another node.
        if !server.is_open(now) {
            continue;
        }
        servers.push(Server {
            id: server.id.clone(),
            incarnation: server.incarnation,
            service: server.service.clone(),
            slots: server.admission.occupancy().2,
            state: match server.health.availability() {
                (true, _) => State::Ejected,
                (false, ramp) if ramp < 100 => State::Cold,
                _ => State::Serving,
            },
        });
    }
    servers
}

/// Returns the backend servers that the other members own.
fn remote_servers(shared: &Shared) -> Vec<RemoteServer> {
    let membership = shared.cluster.membership();
    let mut remote_servers = Vec::new();
    for known in membership.gossip.table().members() {
        let record = &known.record;
        let Ok(address) = record.peers.parse() else { continue };
        if record.node == shared.settings.node {
            continue;
        }
        for server in &record.servers {
            remote_servers.push(RemoteServer {
                service: server.service.clone(),
                server: server.id.clone(),
                incarnation: server.incarnation,
                slots: server.slots,
                owner: record.node.clone(),
                address,
                domain: record.domain.clone(),
            });
        }
    }
    remote_servers
}
