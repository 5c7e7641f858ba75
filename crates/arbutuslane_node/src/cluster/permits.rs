//! Judges the health of this node's servers and keeps permits for their ejection.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::id::ServerId;
use arbutuslane_event::event::Draft;
use arbutuslane_health::detector::Suspicion;
use arbutuslane_health::ejection::Input;
use arbutuslane_record::message::{Request, Response};
use arbutuslane_record::prelude::{Group, Permit, key};
use arbutuslane_wire::peer;
use ntex::time::sleep;
use rand::RngExt;

use super::watch::{Look, Watch};
use crate::announce::Server;
use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// How often the health of servers is judged; the ages of requests in flight are evidence.
const JUDGEMENT: Duration = Duration::from_millis(50);

/// How long before the end of a lease the server returns to use: one period of the judgement.
const EARLY: Duration = JUDGEMENT;

/// The longest wait for a replica's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// The permits that are held or wanted, in ascending order of the server.
type Permits = Rc<RefCell<Vec<(ServerId, Permit)>>>;

/// Judges servers and claims, renews and gives up permits until the process ends.
pub(crate) async fn work(shared: Arc<Shared>, pool: Rc<Pool>) {
    let permits = Permits::default();
    let mut watch = Watch::default();
    loop {
        let configuration = shared.configuration();
        let servers = shared.servers.all();
        for server in &servers {
            let Some(entry) = configuration.entry(&server.service) else { continue };
            let claim = server.condition.judge(entry.preference);
            let severity = claim.map(|suspicion| suspicion.severity);
            // A return after trials shows before the permit is given up, an ejection after it is
            // granted.
            watch_server(&shared, &permits, server, &mut watch, claim);
            keep(&shared, &pool, &permits, server, severity, entry.floor);
            watch_server(&shared, &permits, server, &mut watch, claim);
        }
        watch.retain(|id| servers.iter().any(|server| server.id == id));
        permits.borrow_mut().retain(|(id, _)| servers.iter().any(|server| server.id == *id));
        sleep(JUDGEMENT).await;
    }
}

/// Records an event when the server was ejected, returned or kept in use at the floor.
fn watch_server(
    shared: &Shared,
    permits: &Permits,
    server: &Server,
    watch: &mut Watch,
    claim: Option<Suspicion>,
) {
    let now = shared.clock.now();
    let list = permits.borrow();
    let permit = list.binary_search_by(|(id, _)| id.cmp(&server.id)).ok();
    let permit = permit.map(|index| &list[index].1).filter(|permit| permit.is_held(now + EARLY));
    let look =
        Look { claim, ejected: server.condition.view().0, permit: permit.map(Permit::number) };
    if let Some(kind) = watch.look(&server.id, look, now) {
        let draft = Draft::new(kind).service(&server.service).server(&server.id);
        shared.events.record(draft);
    }
}

/// Returns the register group of a service's permits.
fn group(shared: &Shared, service: &str) -> Option<Group> {
    let groups = shared.cluster.registers.groups();
    let shards = u32::try_from(groups.len()).ok().filter(|shards| *shards > 0)?;
    let shard = key::shard(key::of(service, "permits"), shards);
    groups.iter().find(|group| group.shard == shard).cloned()
}

/// Moves the permit of one server; `severity` is set while the server awaits one.
fn keep(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    permits: &Permits,
    server: &Arc<Server>,
    severity: Option<u32>,
    floor: u32,
) {
    let ejected = server.condition.view().0;
    let mut list = permits.borrow_mut();
    let index = list.binary_search_by(|(id, _)| id.cmp(&server.id));
    let Some(group) = group(shared, &server.service) else {
        if ejected {
            server.condition.apply(Input::Lost);
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
        let permit = Permit::want(&server.service, &server.id, attempt, severity);
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
    let held = permit.is_held(now + EARLY);
    if held != ejected {
        let input = if held { Input::Granted } else { Input::Lost };
        server.condition.apply(input);
    }
    if let Some(request) = request {
        send(shared, pool, permits, server, &group, &Request::Permit(request));
    }
}

/// Sends a request to every member of the group; the answers reach the permit.
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
                shared.cluster.register(&shared, &request)
            } else {
                let Some(address) = shared.cluster.address(&node) else { return };
                match peers::ask(&shared, &pool, address, &message, ANSWER_WAIT).await {
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
