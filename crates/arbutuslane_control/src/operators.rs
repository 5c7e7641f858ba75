//! The operator API.

use std::sync::{Arc, PoisonError};

use arbutuslane_catalogue::border::{self, Catalogue, Findings};
use arbutuslane_catalogue::change::{self, Outcome};
use arbutuslane_catalogue::check;
use arbutuslane_consensus::input::Refusal as ReconfigureRefusal;
use arbutuslane_consensus::prelude::Reconfigure;
use arbutuslane_event::border::Page;
use arbutuslane_wire::operator::{
    Accepted, Conflict, GroupEpoch, GroupReset, History, Membership, NotLeader, Record, Refusal,
};
use ntex::http::StatusCode;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::body;
use crate::engine::{Handle, ResetRefusal, Response};
use crate::token::Tokens;
use crate::watch;

/// The largest accepted request body. A catalogue of the target size (600 services) takes under
/// 1 MB.
const MAX_BODY_BYTES: usize = 8 << 20;

/// State shared by the request handlers.
pub(crate) struct Shared {
    pub(crate) engine: Handle,
    pub(crate) tokens: Tokens,
}

type State = web::types::State<Arc<Shared>>;

/// Adds the routes of the operator API.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/v1/catalogue").route(web::get().to(catalogue)))
        .service(web::resource("/v1/history").route(web::get().to(history)))
        .service(web::resource("/v1/status").route(web::get().to(status)))
        .service(web::resource("/v1/events").route(web::get().to(events)))
        .service(web::resource("/v1/changes").route(web::post().to(change)))
        .service(web::resource("/v1/groups/{shard}/reset").route(web::post().to(reset)))
        .service(web::resource("/v1/instances").route(web::post().to(reconfigure)));
}

/// Refuses requests to paths without a route.
pub(crate) async fn no_route(request: HttpRequest, shared: State) -> HttpResponse {
    if let Err(refused) = authorize(&request, &shared) {
        return refused;
    }
    let error = format!("no resource {} {}", request.method(), request.path());
    refuse(
        StatusCode::NOT_FOUND,
        error,
        "use /v1/catalogue, /v1/history, /v1/status, /v1/events, /v1/changes, /v1/instances or \
         /v1/groups/<shard>/reset",
    )
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CatalogueQuery {
    /// A past revision, for a rollback.
    revision: Option<u64>,
}

async fn catalogue(
    request: HttpRequest,
    shared: State,
    query: web::types::Query<CatalogueQuery>,
) -> HttpResponse {
    if let Err(refused) = authorize_read(&request, &shared).await {
        return refused;
    }
    let state = shared.engine.state.read().unwrap_or_else(PoisonError::into_inner);
    let revision = query.revision.unwrap_or(state.revision);
    let Some(entries) = state.entries_at(revision) else {
        drop(state);
        let error = format!("revision {revision} is not kept");
        return refuse(StatusCode::NOT_FOUND, error, "use a revision that /v1/history lists");
    };
    let entries = entries.into_iter().map(Into::into).collect();
    json(StatusCode::OK, &Catalogue { revision, entries })
}

async fn history(request: HttpRequest, shared: State) -> HttpResponse {
    if let Err(refused) = authorize_read(&request, &shared).await {
        return refused;
    }
    let state = shared.engine.state.read().unwrap_or_else(PoisonError::into_inner);
    let mut records = Vec::new();
    for record in &state.history {
        records.push(Record {
            revision: record.revision,
            change_id: record.change_id.clone(),
            author: record.author.clone(),
            at_ms: 0,
            services: record.edits.iter().map(|edit| edit.service.clone()).collect(),
        });
    }
    json(StatusCode::OK, &History { revision: state.revision, records })
}

async fn status(request: HttpRequest, shared: State) -> HttpResponse {
    if let Err(refused) = authorize(&request, &shared) {
        return refused;
    }
    let mut status = shared.engine.status.read().unwrap_or_else(PoisonError::into_inner).clone();
    let state = shared.engine.state.read().unwrap_or_else(PoisonError::into_inner);
    status.revision = state.revision;
    status.group_version = state.group_version;
    json(StatusCode::OK, &status)
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventsQuery {
    /// The sequence number of the last event that the client has.
    since: u64,
}

async fn events(
    request: HttpRequest,
    shared: State,
    query: web::types::Query<EventsQuery>,
) -> HttpResponse {
    if let Err(refused) = authorize(&request, &shared) {
        return refused;
    }
    json(StatusCode::OK, &Page::from(shared.engine.events.events_since(query.since)))
}

async fn change(
    request: HttpRequest,
    shared: State,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let holder = match authorize(&request, &shared) {
        Ok(holder) => holder,
        Err(refused) => return refused,
    };
    let change: border::Change = match read_json(&mut payload).await {
        Ok(change) => change,
        Err(refused) => return refused,
    };
    if !holder.is_empty() && holder != change.author {
        let error = format!("the token belongs to `{holder}`, the change to `{}`", change.author);
        return refuse(StatusCode::FORBIDDEN, error, "send the change under the token's own name");
    }
    if let Err(refused) = check_id(&change.change_id) {
        return refused;
    }
    let change = change::Change::from(change);
    let findings = check::entries(&change.entries);
    if !findings.is_empty() {
        let findings = findings.into_iter().map(Into::into).collect();
        return json(StatusCode::UNPROCESSABLE_ENTITY, &Findings { findings });
    }
    match shared.engine.change(change).await {
        Response::Outcome(Outcome::Accepted { revision }) => {
            json(StatusCode::OK, &Accepted { revision })
        }
        Response::Outcome(Outcome::Conflict { revision, winner, author }) => {
            json(StatusCode::CONFLICT, &Conflict { revision, winner, author })
        }
        Response::Outcome(Outcome::GroupReset { .. } | Outcome::MembersChanged) => refuse_used_id(),
        other => refuse_not_leader(other),
    }
}

async fn reset(
    request: HttpRequest,
    shared: State,
    shard: web::types::Path<u32>,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let holder = match authorize(&request, &shared) {
        Ok(holder) => holder,
        Err(refused) => return refused,
    };
    let reset_request: GroupReset = match read_json(&mut payload).await {
        Ok(reset_request) => reset_request,
        Err(refused) => return refused,
    };
    if let Err(refused) = check_id(&reset_request.change_id) {
        return refused;
    }
    match shared.engine.reset(reset_request.change_id, holder, *shard).await {
        Response::Outcome(Outcome::GroupReset { shard: reset_shard, epoch })
            if reset_shard == *shard =>
        {
            json(StatusCode::OK, &GroupEpoch { shard: reset_shard, epoch })
        }
        Response::Outcome(_) => refuse_used_id(),
        Response::ResetRefused(reason) => {
            let (status, error, remedy) = match reason {
                ResetRefusal::NoGroup => {
                    (StatusCode::NOT_FOUND, "the shard has no group", "use a shard of the fleet")
                }
                ResetRefusal::NoNodes => {
                    (StatusCode::CONFLICT, "no node is alive", "start nodes, then reset the group")
                }
                ResetRefusal::HasMajority => (
                    StatusCode::CONFLICT,
                    "the group has a majority or may have one, so nothing was reset",
                    "wait 30 s for the nodes' reports, and reset only if keyed bookings of the \
                     shard are still refused",
                ),
            };
            refuse(status, error.to_string(), remedy)
        }
        other => refuse_not_leader(other),
    }
}

fn check_id(change_id: &str) -> Result<(), HttpResponse> {
    if (1..=128).contains(&change_id.len()) {
        return Ok(());
    }
    let error = "change_id is empty or longer than 128 bytes".to_string();
    Err(refuse(StatusCode::UNPROCESSABLE_ENTITY, error, "use a random id, such as 32 hex digits"))
}

fn refuse_used_id() -> HttpResponse {
    let error = "the change id was used for another request".to_string();
    refuse(StatusCode::UNPROCESSABLE_ENTITY, error, "use a new change id")
}

async fn reconfigure(
    request: HttpRequest,
    shared: State,
    mut payload: web::types::Payload,
) -> HttpResponse {
    if let Err(refused) = authorize(&request, &shared) {
        return refused;
    }
    let (instance, replaces, change_id) = match read_json::<Membership>(&mut payload).await {
        Ok(Membership::Add { instance, change_id }) => (instance, None, change_id),
        Ok(Membership::Replace { name, instance, change_id }) => (instance, Some(name), change_id),
        Ok(Membership::Remove { name }) => {
            return respond_to_reconfigure(
                shared.engine.reconfigure(Reconfigure::Remove { name }).await,
            );
        }
        Err(refused) => return refused,
    };
    if let Some(Err(refused)) = change_id.as_deref().map(check_id) {
        return refused;
    }
    let addresses = watch::format_addresses(&instance, change_id.as_deref());
    let change = Reconfigure::Add { name: instance.name, addresses, replaces };
    respond_to_reconfigure(shared.engine.reconfigure(change).await)
}

fn respond_to_reconfigure(response: Response) -> HttpResponse {
    match response {
        Response::Done | Response::Outcome(Outcome::MembersChanged) => {
            HttpResponse::NoContent().finish()
        }
        Response::Outcome(_) => refuse_used_id(),
        Response::Refused(reason) => {
            let (error, remedy) = describe_refusal(reason);
            refuse(StatusCode::CONFLICT, error.to_string(), remedy)
        }
        other => refuse_not_leader(other),
    }
}

fn describe_refusal(reason: ReconfigureRefusal) -> (&'static str, &'static str) {
    match reason {
        ReconfigureRefusal::NotLeader => {
            ("this instance is not the leader", "send the request to the leader")
        }
        ReconfigureRefusal::ChangeInProgress => {
            ("another change of the instances is in progress", "try again in a second")
        }
        ReconfigureRefusal::AlreadyMember => {
            ("the instance is already a member", "use another name")
        }
        ReconfigureRefusal::NotMember => ("no such instance", "use a name that /v1/status lists"),
        ReconfigureRefusal::LastVoter => {
            ("no voting instance would be left", "add another one first")
        }
        ReconfigureRefusal::Unreachable => (
            "the voting instances that would be left are not all reachable",
            "restore the unreachable instance or remove it first",
        ),
    }
}

/// Returns the refusal of an instance that is not the leader, with the leader's address if known.
fn refuse_not_leader(response: Response) -> HttpResponse {
    let leader = match response {
        Response::NotLeader(leader) => leader,
        _ => None,
    };
    json(StatusCode::SERVICE_UNAVAILABLE, &NotLeader { leader })
}

/// Checks the operator's token and waits until this instance can serve the latest state.
async fn authorize_read(request: &HttpRequest, shared: &State) -> Result<(), HttpResponse> {
    authorize(request, shared)?;
    match shared.engine.read().await {
        Response::Readable => Ok(()),
        other => Err(refuse_not_leader(other)),
    }
}

/// Returns the name of the operator who holds the request's token, or the refusal.
fn authorize(request: &HttpRequest, shared: &State) -> Result<String, HttpResponse> {
    let presented = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let token = presented.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    shared.tokens.holder(token).ok_or_else(|| {
        let error = "the token is missing or unknown".to_string();
        refuse(StatusCode::UNAUTHORIZED, error, "send `authorization: Bearer <token>`")
    })
}

/// Reads a JSON body of bounded size; the refusal names the path of an invalid key.
async fn read_json<T: for<'a> Deserialize<'a>>(
    payload: &mut web::types::Payload,
) -> Result<T, HttpResponse> {
    let bytes = body::read(payload, MAX_BODY_BYTES).await.map_err(|status| {
        let (error, remedy) = match status {
            StatusCode::PAYLOAD_TOO_LARGE => (
                format!("the body is larger than {MAX_BODY_BYTES} bytes"),
                "send fewer or shorter entries",
            ),
            _ => ("the request body is incomplete".to_string(), "send the request again"),
        };
        refuse(status, error, remedy)
    })?;
    let mut input = serde_json::Deserializer::from_slice(&bytes);
    serde_path_to_error::deserialize(&mut input).map_err(|error| {
        let text = format!("at `{}`: {}", error.path(), error.inner());
        refuse(StatusCode::UNPROCESSABLE_ENTITY, text, "correct or remove the key")
    })
}

fn refuse(status: StatusCode, error: String, remedy: &str) -> HttpResponse {
    json(status, &Refusal { error, remedy: remedy.to_string() })
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    HttpResponse::build(status).json(value)
}
