//! Judges the health of this node's servers and claims permits for their ejection.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::id::ServerId;
use arbutuslane_event::event::Draft;
use arbutuslane_health::detector::Suspicion;
use arbutuslane_health::ejection::StageEvent;
use arbutuslane_record::message::{Request, Response};
use arbutuslane_record::prelude::{Group, Permit, key};
use arbutuslane_wire::peer;
use ntex::time::sleep;
use rand::RngExt;

use super::watch::{EjectionView, EjectionWatch};
use crate::announce::Server;
use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// The time between two judgements of the health of servers. The ages of requests in flight are
/// evidence too, so that judgements do not wait for results.
const JUDGEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// How long before the end of its permit's lease a server returns to use, so that it does so at the
/// last judgement within the lease.
const RETURN_MARGIN: Duration = JUDGEMENT_INTERVAL;

/// The longest wait for the response of a replica.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The permits that are held or wanted, in ascending order of the server name.
type Permits = Rc<RefCell<Vec<(ServerId, Permit)>>>;

/// Judges servers and claims, renews and releases permits until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, pool: Rc<Pool>) {
    let permits = Permits::default();
    let mut watch = EjectionWatch::default();
    loop {
        let configuration = shared.configuration();
        let servers = shared.servers.all();
        for server in &servers {
            let Some(entry) = configuration.entry(&server.service) else { continue };
            let claim = server.health.judge(entry.preference);
            let severity = claim.map(|suspicion| suspicion.severity);
            // A return after trials is visible before the permit is released, an ejection only
            // after the permit is granted.
            record_transition(&shared, &permits, server, &mut watch, claim);
            update_permit(&shared, &pool, &permits, server, severity, entry.floor);
            record_transition(&shared, &permits, server, &mut watch, claim);
        }
        watch.retain(|id| servers.iter().any(|server| server.id == id));
        permits.borrow_mut().retain(|(id, _)| servers.iter().any(|server| server.id == *id));
        sleep(JUDGEMENT_INTERVAL).await;
    }
}

/// Records an event when the server was ejected, returned to use, or stays in use because its
/// service is at its floor.
fn record_transition(
    shared: &Shared,
    permits: &Permits,
    server: &Server,
    watch: &mut EjectionWatch,
    claim: Option<Suspicion>,
) {
    let now = shared.clock.now();
    let list = permits.borrow();
    let permit = list.binary_search_by(|(id, _)| id.cmp(&server.id)).ok();
    let permit =
        permit.map(|index| &list[index].1).filter(|permit| permit.is_held(now + RETURN_MARGIN));
    let view = EjectionView {
        claim,
        ejected: server.health.availability().0,
        permit: permit.map(Permit::number),
    };
    if let Some(kind) = watch.observe(&server.id, view, now) {
        let draft = Draft::new(kind).service(&server.service).server(&server.id);
        shared.events.record(draft);
    }
}

/// Returns the register group of a service's permits.
fn permit_group(shared: &Shared, service: &str) -> Option<Group> {
    let groups = shared.cluster.registers.groups();
    let shards = u32::try_from(groups.len()).ok().filter(|shards| *shards > 0)?;
    let shard = key::shard(key::of(service, "permits"), shards);
    groups.iter().find(|group| group.shard == shard).cloned()
}

/// Claims, renews or releases the permit of one server, and ejects or returns the server
/// accordingly. `severity` is set while the server awaits a permit.
fn update_permit(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    permits: &Permits,
    server: &Arc<Server>,
    severity: Option<u32>,
    floor: u32,
) {
    let ejected = server.health.availability().0;
    let mut list = permits.borrow_mut();
    let index = list.binary_search_by(|(id, _)| id.cmp(&server.id));
    let Some(group) = permit_group(shared, &server.service) else {
        if ejected {
            server.health.apply_permit(StageEvent::PermitLost);
        }
        return;
    };
    if severity.is_none() && !ejected {
        if let Ok(index) = index {
            let (_, mut permit) = list.remove(index);
            send(shared, pool, permits, server, &group, &Request::Permit(permit.release(&group)));
        }
        return;
    }
    let index = index.unwrap_or_else(|index| {
        let attempt = rand::rng().random();
        let severity = severity.unwrap_or_default();
        let permit = Permit::new(&server.service, &server.id, attempt, severity);
        list.insert(index, (server.id.clone(), permit));
        index
    });
    let permit = &mut list[index].1;
    if let Some(severity) = severity {
        permit.set_severity(severity);
    }
    let now = shared.clock.now();
    let headroom = shared.cluster.headroom(&server.service, floor);
    let request = permit.poll(now, &group, headroom);
    let held = permit.is_held(now + RETURN_MARGIN);
    if held != ejected {
        let event = if held { StageEvent::PermitGranted } else { StageEvent::PermitLost };
        server.health.apply_permit(event);
    }
    if let Some(request) = request {
        send(shared, pool, permits, server, &group, &Request::Permit(request));
    }
}

/// Sends a request to every member of the group and applies the responses to the permit.
fn send(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    permits: &Permits,
    server: &Arc<Server>,
    group: &Group,
    request: &Request,
) {
    let message = peer::Message::Register(request.clone().into());
    for member in &group.members {
        let node = member.node.clone();
        let (shared, pool, permits) = (Arc::clone(shared), Rc::clone(pool), Rc::clone(permits));
        let (id, group) = (server.id.clone(), group.clone());
        let (request, message) = (request.clone(), message.clone());
        let _task = ntex::rt::spawn(async move {
            let response = if node == shared.settings.node {
                shared.cluster.handle_register(&shared, &request)
            } else {
                let Some(address) = shared.cluster.peer_address(&node) else { return };
                match peers::send(&shared, &pool, address, &message, RESPONSE_TIMEOUT).await {
                    Ok(peer::Answer::Register(answer)) => answer.into(),
                    _ => return,
                }
            };
            let Response::Permit(response) = response else { return };
            let mut list = permits.borrow_mut();
            if let Ok(index) = list.binary_search_by(|(known, _)| known.cmp(&id)) {
                list[index].1.replied(&group, &node, &response);
            }
        });
    }
}
