//! Answers to gossip and register messages, and what follows from them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_member::prelude::{Answer, Effect, Message};
use arbutuslane_wire::peer;

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// Answers a gossip message.
pub(crate) async fn gossip(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    message: peer::gossip::Message,
) -> Option<Answer> {
    if matches!(message, peer::gossip::Message::Digest(_)) {
        shared.cluster.contact().heard_peer(shared.clock.now());
    }
    let ticket = shared.cluster.ticket();
    let message: Message = message.into();
    let effects = shared.cluster.member().gossip.handle(shared.clock.now(), ticket, message);
    carry_out(shared, pool, effects, Some(ticket)).await
}

/// Carries out effects in the background.
pub(crate) fn spawn(shared: &Arc<Shared>, pool: &Rc<Pool>, effects: Vec<Effect>) {
    if effects.is_empty() {
        return;
    }
    let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
    let _task = ntex::rt::spawn(async move { carry_out(&shared, &pool, effects, None).await });
}

/// Carries out effects; returns the answer to the incoming request `ticket` once there is one.
///
/// Calls that the answer does not depend on go on in the background. It depends on one in the case
/// of a probe on behalf of another node, whose first effects contain no reply.
async fn carry_out(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    effects: Vec<Effect>,
    ticket: Option<u64>,
) -> Option<Answer> {
    let mut effects = effects;
    loop {
        let mut found = None;
        let mut calls = Vec::new();
        for effect in effects {
            match effect {
                Effect::Reply { ticket: other, answer } if Some(other) == ticket => {
                    found = Some(answer);
                }
                Effect::Reply { .. } => {}
                Effect::Apply(payload) => shared.cluster.apply(shared.clock.now(), payload),
                Effect::Changed { node, incarnation, standing } => {
                    tracing::info!(event = "member", node, incarnation, standing = ?standing);
                }
                call @ Effect::Call { .. } => calls.push(call),
            }
        }
        let waiting = ticket.is_some() && found.is_none();
        let mut next = None;
        for call in calls {
            if waiting && next.is_none() {
                next = Some(call);
                continue;
            }
            let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
            let _task = ntex::rt::spawn(async move {
                let effects = perform(&shared, &pool, call).await;
                spawn(&shared, &pool, effects);
            });
        }
        match next {
            Some(call) => effects = perform(shared, pool, call).await,
            None => return found,
        }
    }
}

/// Sends one request and returns what follows from its answer.
async fn perform(shared: &Arc<Shared>, pool: &Rc<Pool>, call: Effect) -> Vec<Effect> {
    let Effect::Call { call, address, message, timeout } = call else { return Vec::new() };
    let message = peer::Message::Gossip(message.into());
    let wait = timeout.max(Duration::from_millis(1));
    let answer = match address.parse() {
        Ok(address) => match peers::ask(shared, pool, address, &message, wait).await {
            Ok(peer::Answer::Gossip(answer)) => Some(answer.into()),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(event = "peer-unreachable", peer = %address, error);
                None
            }
        },
        Err(_) => None,
    };
    if matches!(answer, Some(Answer::Digest { .. })) {
        shared.cluster.contact().heard_peer(shared.clock.now());
    }
    let mut member = shared.cluster.member();
    let member = &mut *member;
    member.gossip.answered(shared.clock.now(), &mut member.rng, call, answer)
}
