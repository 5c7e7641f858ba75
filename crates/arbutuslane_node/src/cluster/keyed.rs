//! The stage of the request path that claims the idempotency key of a request before its dispatch.

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_record::message::{Kind, Request, Response as Reply, StoredResponse};
use arbutuslane_record::prelude::{Coordinator, Decision, Group, Key, key};
use arbutuslane_record::store::MAX_ANSWER_BYTES;
use arbutuslane_wire::{header, peer};
use ntex::channel::mpsc;
use ntex::http::{Response, StatusCode};
use ntex::util::{Bytes, BytesMut};
use rand::RngExt;

use crate::peers;
use crate::shared::Shared;
use crate::timeout::within;
use crate::traffic::{Outcome, Pool, Refusal, RoutedRequest, ServerResponse, Worker, status};

#[cfg(test)]
mod tests;

/// The longest wait for a majority of replicas: many times the round trip between failure domains.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of the claim stage: whether a request may be dispatched.
pub(crate) enum KeyClaim {
    /// The request has no key or may be repeated without harm, so that it needs no claim.
    Free,
    /// The key is claimed for this request, which may be dispatched.
    Held(ClaimedKey),
    /// The stored response to an earlier request with the key.
    Replay(Response),
}

/// A claimed idempotency key.
pub(crate) struct ClaimedKey {
    coordinator: Coordinator,
}

/// The response of a keyed request, as it goes to the caller.
pub(crate) enum KeyedResponse {
    /// The response was read whole and is stored for replays.
    Whole(Response),
    /// The response is streamed to the caller and not stored.
    Relayed(Box<ServerResponse>),
}

/// Claims the idempotency key of a request that is not idempotent.
pub(crate) async fn claim_key(
    worker: &Worker,
    routed: &RoutedRequest,
) -> Result<KeyClaim, Refusal> {
    let field = routed.request.headers.get(header::IDEMPOTENCY_KEY);
    let Some(key_text) = field.filter(|_| !routed.class.is_repeatable()) else {
        return Ok(KeyClaim::Free);
    };
    let key = key::of(&routed.service, &String::from_utf8_lossy(key_text.as_bytes()));
    let remaining = routed.deadline.remaining(worker.shared.clock.now());
    let timeout = CLAIM_TIMEOUT.min(remaining / 2);
    let claimed = claim(worker, key, routed.identity.request, Kind::Booking, timeout).await;
    let Some((coordinator, decision)) = claimed else { return Err(no_group()) };
    if decision == Some(Decision::Dispatch) {
        return Ok(KeyClaim::Held(ClaimedKey { coordinator }));
    }
    match decision {
        Some(Decision::Replay(stored)) => Ok(KeyClaim::Replay(replay(&stored)?)),
        Some(Decision::Unknown) => {
            let error = "an earlier request with this idempotency key runs or has run";
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, error);
            Err(Refusal { try_other_server: false, ..refusal })
        }
        Some(Decision::Mismatch) => {
            let error = "this idempotency key belongs to a different request";
            let remedy = "use a new key for a new request";
            Err(Refusal::rejected(StatusCode::UNPROCESSABLE_ENTITY, error, remedy))
        }
        _ => Err(no_quorum()),
    }
}

/// Claims a register; withdraws the claim unless the decision is to dispatch. Returns `None` when
/// the shard of the key has no register group.
///
/// After `timeout`, the decision depends on the replies that have arrived.
pub(crate) async fn claim(
    worker: &Worker,
    key: Key,
    fingerprint: u64,
    kind: Kind,
    timeout: Duration,
) -> Option<(Coordinator, Option<Decision>)> {
    let groups = worker.shared.cluster.registers.groups();
    let shards = u32::try_from(groups.len()).ok().filter(|shards| *shards > 0)?;
    let shard = key::shard(key, shards);
    let group = groups.iter().find(|group| group.shard == shard)?;
    let attempt = rand::rng().random();
    let (mut coordinator, claim) =
        Coordinator::claim(group.clone(), key, attempt, fingerprint, kind);
    let replies = send(&worker.shared, &worker.pool, group, &Request::Claim(claim));
    let decide = async {
        while let Some((node, reply)) = replies.recv().await {
            if let Some(decision) = coordinator.replied(&node, &reply) {
                return Some(decision);
            }
        }
        None
    };
    let decided = within(timeout, decide).await;
    let decision = decided.ok().flatten().or_else(|| coordinator.expired());
    if decision != Some(Decision::Dispatch) {
        drop(send(&worker.shared, &worker.pool, group, &coordinator.withdraw()));
    }
    Some((coordinator, decision))
}

impl ClaimedKey {
    /// Completes the claim, with the response if that is short enough to be stored. Withdraws the
    /// claim of a request that did not run.
    pub(crate) async fn finish(
        self,
        worker: &Worker,
        result: Result<ServerResponse, Refusal>,
    ) -> Result<KeyedResponse, Refusal> {
        let group = self.coordinator.group().clone();
        let server_response = match result {
            Ok(server_response) => server_response,
            Err(refusal) => {
                // A request that may have run keeps its claim, so that a resend does not run.
                if refusal.outcome == Outcome::NotRun {
                    let request = self.coordinator.withdraw();
                    drop(send(&worker.shared, &worker.pool, &group, &request));
                }
                return Err(refusal);
            }
        };
        let is_storable = server_response.head_content_length.is_none()
            && server_response
                .body
                .length()
                .is_some_and(|length| length <= MAX_ANSWER_BYTES as u64);
        if !is_storable {
            let request = self.coordinator.complete(None);
            drop(send(&worker.shared, &worker.pool, &group, &request));
            return Ok(KeyedResponse::Relayed(Box::new(server_response)));
        }
        let (status, headers) = (server_response.status, server_response.headers.clone());
        let body = collect_body(server_response).await?;
        let mut stored = StoredResponse {
            status: status.as_u16(),
            headers: Vec::new(),
            body: body.to_vec().into(),
        };
        for (name, value) in &headers {
            if let Ok(value) = value.to_str() {
                stored.headers.push((name.as_str().to_string(), value.to_string()));
            }
        }
        let response = respond(&stored)?.finish_with(body);
        let request = self.coordinator.complete(Some(stored));
        drop(send(&worker.shared, &worker.pool, &group, &request));
        Ok(KeyedResponse::Whole(response))
    }
}

/// Sends a request to every member of `group`; the replies arrive at the returned receiver.
///
/// The requests continue when the receiver is dropped, so that every member learns of a claim.
pub(crate) fn send(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    group: &Group,
    request: &Request,
) -> mpsc::Receiver<(String, Reply)> {
    let (sender, receiver) = mpsc::channel();
    for member in &group.members {
        let node = member.node.clone();
        if node == shared.settings.node {
            let reply = shared.cluster.handle_register(shared, request);
            let _ = sender.send((node, reply));
            continue;
        }
        let Some(address) = shared.cluster.peer_address(&node) else { continue };
        let message = peer::Message::Register(request.clone().into());
        let (shared, pool, sender) = (Arc::clone(shared), Rc::clone(pool), sender.clone());
        let _task = ntex::rt::spawn(async move {
            let answer = peers::send(&shared, &pool, address, &message, CLAIM_TIMEOUT * 2).await;
            if let Ok(peer::Answer::Register(answer)) = answer {
                let _ = sender.send((node, answer.into()));
            }
        });
    }
    receiver
}

/// Refuses a keyed request while control has assigned no register groups: without a register, a
/// resend could run a second time.
fn no_group() -> Refusal {
    let error = "no register group is assigned for idempotency keys; \
                 control assigns them once enough nodes are known";
    Refusal { try_other_server: false, ..Refusal::not_run(error) }
}

fn no_quorum() -> Refusal {
    let error = "no majority of the replicas for this idempotency key is reachable";
    Refusal { try_other_server: false, ..Refusal::not_run(error) }
}

async fn collect_body(server_response: ServerResponse) -> Result<Bytes, Refusal> {
    let mut stream = server_response.body;
    let mut body = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| stream.poll_next(cx)).await {
        let chunk = chunk.map_err(|failure| {
            let error = format!("the response broke off: {failure}");
            Refusal { try_other_server: false, ..Refusal::unknown(StatusCode::BAD_GATEWAY, error) }
        })?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The builder of a response whose body is known in full.
struct BufferedResponse(ntex::http::ResponseBuilder);

impl BufferedResponse {
    fn finish_with(mut self, body: Bytes) -> Response {
        self.0.body(body)
    }
}

/// Returns a kept response, or the refusal if what is kept is none.
fn respond(stored: &StoredResponse) -> Result<BufferedResponse, Refusal> {
    let Some(status) = status::of_final(stored.status) else {
        let error = format!("the response that is kept has the status {}", stored.status);
        let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, error);
        return Err(Refusal { try_other_server: false, ..refusal });
    };
    let mut builder = Response::build(status);
    for (name, value) in &stored.headers {
        // The response builder sets the length from the body.
        if name != "content-length" {
            builder.header(name.as_str(), value.as_str());
        }
    }
    builder.set_header(header::OUTCOME, header::OUTCOME_ANSWERED);
    Ok(BufferedResponse(builder))
}

fn replay(stored: &StoredResponse) -> Result<Response, Refusal> {
    let mut response = respond(stored)?;
    response.0.set_header(header::REPLAYED, "true");
    Ok(response.finish_with(Bytes::copy_from_slice(&stored.body)))
}
