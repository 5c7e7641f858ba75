//! Handles gossip messages and carries out the effects of the gossip state machine.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_member::prelude::{Effect, Message, Response};
use arbutuslane_wire::peer;

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// Handles a gossip message and returns the response to it.
pub(crate) async fn handle_gossip(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    message: peer::gossip::Message,
) -> Option<Response> {
    if matches!(message, peer::gossip::Message::Digest(_)) {
        shared.cluster.control_contact().record_gossip(shared.clock.now());
    }
    let id = shared.cluster.next_request_id();
    let message: Message = message.into();
    let effects = shared.cluster.membership().gossip.handle(shared.clock.now(), id, message);
    run_effects(shared, pool, effects, Some(id)).await
}

/// Carries out effects in the background.
pub(crate) fn spawn(shared: &Arc<Shared>, pool: &Rc<Pool>, effects: Vec<Effect>) {
    if effects.is_empty() {
        return;
    }
    let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
    let _task = ntex::rt::spawn(async move { run_effects(&shared, &pool, effects, None).await });
}

/// Carries out effects; returns the response to the incoming request `id` if there is one.
///
/// Calls that the response does not depend on run in the background. Only the response to a request
/// to probe a third node depends on a call: its first effects contain no response.
async fn run_effects(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    effects: Vec<Effect>,
    id: Option<u64>,
) -> Option<Response> {
    let mut effects = effects;
    loop {
        let mut response = None;
        let mut calls = Vec::new();
        for effect in effects {
            match effect {
                Effect::Respond { request: other, response: content } if Some(other) == id => {
                    response = Some(content);
                }
                Effect::Respond { .. } => {}
                Effect::Apply(payload) => shared.cluster.install(shared.clock.now(), payload),
                Effect::StandingChanged { node, incarnation, standing } => {
                    tracing::info!(event = "member", node, incarnation, standing = ?standing);
                }
                call @ Effect::Call { .. } => calls.push(call),
            }
        }
        let needs_call = id.is_some() && response.is_none();
        let mut awaited = None;
        for call in calls {
            if needs_call && awaited.is_none() {
                awaited = Some(call);
                continue;
            }
            let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
            let _task = ntex::rt::spawn(async move {
                let effects = send_call(&shared, &pool, call).await;
                spawn(&shared, &pool, effects);
            });
        }
        match awaited {
            Some(call) => effects = send_call(shared, pool, call).await,
            None => return response,
        }
    }
}

/// Sends one request and returns the effects of its response.
async fn send_call(shared: &Arc<Shared>, pool: &Rc<Pool>, call: Effect) -> Vec<Effect> {
    let Effect::Call { call, address, message, timeout } = call else { return Vec::new() };
    let message = peer::Message::Gossip(message.into());
    let timeout = timeout.max(Duration::from_millis(1));
    let response = match address.parse() {
        Ok(address) => match peers::send(shared, pool, address, &message, timeout).await {
            Ok(peer::Answer::Gossip(answer)) => Some(answer.into()),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(event = "peer-unreachable", peer = %address, error);
                None
            }
        },
        Err(_) => None,
    };
    if matches!(response, Some(Response::Digest { .. })) {
        shared.cluster.control_contact().record_gossip(shared.clock.now());
    }
    let mut membership = shared.cluster.membership();
    let membership = &mut *membership;
    membership.gossip.handle_response(shared.clock.now(), &mut membership.rng, call, response)
}
