//! The stage that claims the idempotency key of a request before it is dispatched.

use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::hash;
use arbutuslane_record::message::{Answer as Kept, Kind, Request, Response as Reply};
use arbutuslane_record::prelude::{Coordinator, Decision, Group, Key, key};
use arbutuslane_record::store::ANSWER_LIMIT;
use arbutuslane_wire::{header, peer};
use ntex::channel::mpsc;
use ntex::http::{Response, StatusCode};
use ntex::time::timeout_checked;
use ntex::util::{Bytes, BytesMut};
use rand::RngExt;

use crate::peers;
use crate::shared::Shared;
use crate::traffic::{self, Answer, Outcome, Pool, Refusal, Routed, Worker};

/// The longest wait for a majority: many times the round trip between failure domains.
pub(crate) const CLAIM_WAIT: Duration = Duration::from_millis(500);

/// The bytes of a request's body that its fingerprint covers.
pub(crate) const FINGERPRINT_BYTES: usize = 16 << 10;

/// Whether a request may be dispatched.
pub(crate) enum Begun {
    /// It carries no key, or repetition does no harm.
    Free,
    /// Its key is claimed.
    Held(Held),
    /// The response to an earlier request with the key.
    Replay(Response),
}

/// A claimed key.
pub(crate) struct Held {
    coordinator: Coordinator,
}

/// What to send to the caller.
pub(crate) enum Finished {
    /// The response, which was read whole and is kept.
    Whole(Response),
    /// The response, which is passed on as it comes and not kept.
    Relayed(Box<Answer>),
}

/// Claims the key of `routed`, where it has one and needs it.
pub(crate) async fn begin(worker: &Worker, routed: &Routed) -> Result<Begun, Refusal> {
    let field = routed.request.headers.get(header::IDEMPOTENCY_KEY);
    let Some(text) = field.filter(|_| routed.class == Class::NonIdempotent) else {
        return Ok(Begun::Free);
    };
    let key = key::of(&routed.service, &String::from_utf8_lossy(text.as_bytes()));
    let remaining = routed.deadline.remaining(worker.shared.clock.now());
    let wait = CLAIM_WAIT.min(remaining / 2);
    let claimed = claim(worker, key, routed.fingerprint, Kind::Booking, wait).await;
    let Some((coordinator, decision)) = claimed else { return Err(no_group()) };
    if decision == Some(Decision::Dispatch) {
        return Ok(Begun::Held(Held { coordinator }));
    }
    match decision {
        Some(Decision::Replay(kept)) => Ok(Begun::Replay(replay(&kept))),
        Some(Decision::Unknown) => {
            let error = "an earlier request with this idempotency key runs or has run";
            let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, error);
            Err(Refusal { elsewhere: false, ..refusal })
        }
        Some(Decision::Mismatch) => {
            let error = "this idempotency key belongs to a different request";
            let remedy = "use a new key for a new request";
            Err(Refusal::rejected(StatusCode::UNPROCESSABLE_ENTITY, error, remedy))
        }
        _ => Err(no_quorum()),
    }
}

/// Claims a register; withdraws the attempt unless it may dispatch. Returns nothing when the key's
/// shard has no group.
pub(crate) async fn claim(
    worker: &Worker,
    key: Key,
    fingerprint: u64,
    kind: Kind,
    wait: Duration,
) -> Option<(Coordinator, Option<Decision>)> {
    let groups = worker.shared.cluster.registers.groups();
    let shards = u32::try_from(groups.len()).ok().filter(|shards| *shards > 0)?;
    let shard = key::shard(key, shards);
    let group = groups.iter().find(|group| group.shard == shard)?;
    let attempt = rand::rng().random();
    let (mut coordinator, claim) =
        Coordinator::claim(group.clone(), key, attempt, fingerprint, kind);
    let replies = send(&worker.shared, &worker.pool, group, &Request::Claim(claim));
    let deciding = async {
        while let Some((node, reply)) = replies.recv().await {
            if let Some(decision) = coordinator.replied(&node, &reply) {
                return Some(decision);
            }
        }
        None
    };
    let decided = timeout_checked(wait, deciding).await;
    let decision = decided.ok().flatten().or_else(|| coordinator.expired());
    if decision != Some(Decision::Dispatch) {
        drop(send(&worker.shared, &worker.pool, group, &coordinator.withdraw()));
    }
    Some((coordinator, decision))
}

impl Held {
    /// Ends the claim as the result of the request demands.
    pub(crate) async fn finish(
        self,
        worker: &Worker,
        result: Result<Answer, Refusal>,
    ) -> Result<Finished, Refusal> {
        let group = self.coordinator.group().clone();
        let answer = match result {
            Ok(answer) => answer,
            Err(refusal) => {
                // What may have run keeps its claim, so that a resend does not run it again.
                if refusal.outcome == Outcome::NotRun {
                    let request = self.coordinator.withdraw();
                    drop(send(&worker.shared, &worker.pool, &group, &request));
                }
                return Err(refusal);
            }
        };
        let keeps = answer.stated.is_none()
            && answer.body.length().is_some_and(|length| length <= ANSWER_LIMIT as u64);
        if !keeps {
            let request = self.coordinator.complete(None);
            drop(send(&worker.shared, &worker.pool, &group, &request));
            return Ok(Finished::Relayed(Box::new(answer)));
        }
        let (status, headers) = (answer.status, answer.headers.clone());
        let body = collect(answer).await?;
        let mut kept =
            Kept { status: status.as_u16(), headers: Vec::new(), body: body.to_vec().into() };
        for (name, value) in &headers {
            if let Ok(value) = value.to_str() {
                kept.headers.push((name.as_str().to_string(), value.to_string()));
            }
        }
        let response = respond(&kept).finish_with(body);
        let request = self.coordinator.complete(Some(kept));
        drop(send(&worker.shared, &worker.pool, &group, &request));
        Ok(Finished::Whole(response))
    }
}

/// Sends a request to every member of `group`; its replies arrive at the receiver.
///
/// All requests go on when the receiver is dropped, so that every member learns of a claim.
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
            let reply = shared.cluster.register(shared, request);
            let _ = sender.send((node, reply));
            continue;
        }
        let Some(address) = shared.cluster.address(&node) else { continue };
        let message = peer::Message::Register(request.clone().into());
        let (shared, pool, sender) = (Arc::clone(shared), Rc::clone(pool), sender.clone());
        let _task = ntex::rt::spawn(async move {
            let asked = peers::ask(&shared, &pool, address, &message, CLAIM_WAIT * 2).await;
            if let Ok(peer::Answer::Register(answer)) = asked {
                let _ = sender.send((node, answer.into()));
            }
        });
    }
    receiver
}

/// Refuses a keyed request while control has assigned no register groups: without a record nothing
/// would keep a resend from running again.
fn no_group() -> Refusal {
    let error = "no register group is assigned for idempotency keys; \
                 control assigns them once enough nodes are known";
    Refusal { elsewhere: false, ..Refusal::not_run(error) }
}

fn no_quorum() -> Refusal {
    let error = "no majority of the replicas for this idempotency key is reachable";
    Refusal { elsewhere: false, ..Refusal::not_run(error) }
}

/// Returns a hash of the method, path and query, and the first 16 KiB of the body.
pub(crate) fn fingerprint(request: &traffic::Request) -> u64 {
    let mut bytes = format!("{} {}\n", request.method, request.target).into_bytes();
    let start = request.upload.start();
    bytes.extend_from_slice(&start[..start.len().min(FINGERPRINT_BYTES)]);
    hash::of_bytes(&bytes)
}

async fn collect(answer: Answer) -> Result<Bytes, Refusal> {
    let mut stream = answer.body;
    let mut whole = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| stream.poll_next(cx)).await {
        let chunk = chunk.map_err(|failure| {
            let error = format!("the response broke off: {failure}");
            Refusal { elsewhere: false, ..Refusal::unknown(StatusCode::BAD_GATEWAY, error) }
        })?;
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// A response that is sent whole.
struct Whole(ntex::http::ResponseBuilder);

impl Whole {
    fn finish_with(mut self, body: Bytes) -> Response {
        self.0.body(body)
    }
}

fn respond(kept: &Kept) -> Whole {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let mut builder = Response::build(status);
    for (name, value) in &kept.headers {
        // The length follows from the body.
        if name != "content-length" {
            builder.header(name.as_str(), value.as_str());
        }
    }
    builder.set_header(header::OUTCOME, header::OUTCOME_ANSWERED);
    Whole(builder)
}

fn replay(kept: &Kept) -> Response {
    let mut whole = respond(kept);
    whole.0.set_header(header::REPLAYED, "true");
    whole.finish_with(Bytes::copy_from_slice(&kept.body))
}
