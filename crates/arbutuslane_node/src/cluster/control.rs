//! The work of the control thread.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_member::prelude::{Server, State};
use arbutuslane_record::message::{Request, Response};
use arbutuslane_wire::peer;
use ntex::time::sleep;

use crate::settings::Source;
use crate::shared::{Remote, Shared};
use crate::traffic::Pool;
use crate::{configuration, peers};

use super::{bursts, items, permits, report};

/// The time between two steps.
const STEP: Duration = Duration::from_millis(100);

/// The time between two rounds of upkeep and of pulls for recovering replicas.
const UPKEEP: Duration = Duration::from_millis(500);

/// The longest wait for a page of registers.
const PULL_WAIT: Duration = Duration::from_secs(2);

/// Runs gossip, puts configurations in force and recovers replicas until the process ends.
pub(crate) async fn work(shared: Arc<Shared>) {
    let pool = Pool::new();
    let _counting = ntex::rt::spawn(bursts::work(Arc::clone(&shared)));
    let _judging = ntex::rt::spawn(permits::work(Arc::clone(&shared), Rc::clone(&pool)));
    let from_items = shared.settings.source == Source::Items;
    if from_items {
        let _comparing = ntex::rt::spawn(items::work(Arc::clone(&shared), Rc::clone(&pool)));
    } else {
        let _reporting = ntex::rt::spawn(report::work(Arc::clone(&shared), Rc::clone(&pool)));
    }
    let mut next_upkeep = Time::ZERO;
    let mut fetches = 0;
    let mut published = 0;
    loop {
        let now = shared.clock.now();
        step(&shared, &pool, &mut published);
        if now >= next_upkeep {
            next_upkeep = now + UPKEEP;
            upkeep(&shared, &pool);
        }
        let control = shared.control();
        if !from_items && !control.is_empty() && shared.cluster.contact().is_due(now) {
            if let Some(address) = control.get(fetches % control.len()).copied() {
                let (shared, pool) = (Arc::clone(&shared), Rc::clone(&pool));
                let _task = ntex::rt::spawn(async move {
                    configuration::fetch(&shared, &pool, address).await;
                });
            }
            fetches += 1;
        }
        sleep(STEP).await;
    }
}

/// Puts the newest configuration that may be in force so.
pub(crate) fn put_in_force(shared: &Shared) {
    let Some(snapshot) = shared.cluster.in_force() else { return };
    let current = shared.configuration();
    let known = (current.snapshot().revision, current.snapshot().group_version);
    if (snapshot.revision, snapshot.group_version) <= known {
        return;
    }
    let revision = snapshot.revision;
    let before = shared.configuration().revision();
    // Register groups change without a new revision as well.
    if shared.adopt(Arc::unwrap_or_clone(snapshot).into()) && revision > before {
        shared.events.record(Kind::RevisionInForce { revision });
    }
}

fn step(shared: &Arc<Shared>, pool: &Rc<Pool>, published: &mut u64) {
    let now = shared.clock.now();
    let effects = {
        let mut member = shared.cluster.member();
        let member = &mut *member;
        member.gossip.set_servers(now, own_servers(shared, now));
        member.gossip.tick(now, &mut member.rng)
    };
    super::peers::spawn(shared, pool, effects);
    put_in_force(shared);
    let hash = shared.cluster.member().gossip.table().hash();
    if hash != *published {
        *published = hash;
        shared.set_remotes(remotes(shared));
    }
}

fn upkeep(shared: &Arc<Shared>, pool: &Rc<Pool>) {
    let now = shared.clock.now();
    shared.reload_token();
    for (server, silent) in shared.servers.expire(now) {
        let silent_ms = u64::try_from(silent.as_millis()).unwrap_or(u64::MAX);
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

async fn pull(shared: &Arc<Shared>, pool: &Rc<Pool>, node: &str, request: &Request) {
    let Some(address) = shared.cluster.address(node) else { return };
    let message = peer::Message::Register(request.clone().into());
    let answer = peers::ask(shared, pool, address, &message, PULL_WAIT).await;
    let Ok(peer::Answer::Register(answer)) = answer else { return };
    let response: Response = answer.into();
    shared.cluster.registers.pulled(shared.clock.now(), node, request, &response);
}

fn own_servers(shared: &Shared, now: Time) -> Vec<Server> {
    let mut servers = Vec::new();
    if shared.stopping() && shared.settings.withdraw_on_stop {
        return servers;
    }
    for server in shared.servers.all() {
        // A stopping node keeps its servers until they have announced themselves elsewhere.
        if !server.open(now) {
            continue;
        }
        servers.push(Server {
            id: server.id.clone(),
            incarnation: server.incarnation,
            service: server.service.clone(),
            slots: server.admission.occupancy().2,
            state: match server.condition.view() {
                (true, _) => State::Ejected,
                (false, ramp) if ramp < 100 => State::Cold,
                _ => State::Serving,
            },
        });
    }
    servers
}

fn remotes(shared: &Shared) -> Vec<Remote> {
    let member = shared.cluster.member();
    let mut remotes = Vec::new();
    for known in member.gossip.table().members() {
        let record = &known.record;
        let Ok(address) = record.peers.parse() else { continue };
        if record.node == shared.settings.node {
            continue;
        }
        for server in &record.servers {
            remotes.push(Remote {
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
    remotes
}
