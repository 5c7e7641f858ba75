//! Serves requests of nodes and of the other control instances.

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_wire::peer::{Answer, Message};
use arbutuslane_wire::{codec, header};
use ntex::http::StatusCode;
use ntex::util::BytesMut;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::body;
use crate::border::Frame;
use crate::engine::{Handle, Report, Request};
use crate::token::Tokens;

/// The largest accepted request body. A snapshot of the replicated state takes a few megabytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// State shared by the request handlers.
pub(crate) struct Shared {
    pub(crate) engine: Handle,
    /// The fleet's tokens, which nodes hold too.
    pub(crate) fleet: Arc<Tokens>,
    /// The tokens that only control instances hold.
    pub(crate) control: Arc<Tokens>,
}

type State = web::types::State<Arc<Shared>>;

/// Adds the routes for peers.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/v1/peer").route(web::post().to(peer)))
        .service(web::resource("/v1/raft").route(web::post().to(raft)));
}

async fn raft(
    request: HttpRequest,
    shared: State,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let bytes = match read_authorized(&request, &shared.control, &mut payload).await {
        Ok(bytes) => bytes,
        Err(status) => return HttpResponse::build(status).finish(),
    };
    let Ok(frames) = codec::decode::<Vec<Frame>>(&bytes) else {
        return HttpResponse::BadRequest().finish();
    };
    match shared.engine.requests.send(Request::Frames(frames)) {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn peer(
    request: HttpRequest,
    shared: State,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let bytes = match read_authorized(&request, &shared.fleet, &mut payload).await {
        Ok(bytes) => bytes,
        Err(status) => return HttpResponse::build(status).finish(),
    };
    let Ok(message) = codec::decode::<Message>(&bytes) else {
        return HttpResponse::BadRequest().finish();
    };
    let answer = match message {
        Message::Gossip(message) => match shared.engine.gossip.handle_request(message).await {
            Some(answer) => Answer::Gossip(answer),
            None => return HttpResponse::GatewayTimeout().finish(),
        },
        other => handle_message(&shared, &other),
    };
    match codec::encode(&answer) {
        Ok(bytes) => HttpResponse::Ok().body(bytes),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Handles a message other than gossip.
fn handle_message(shared: &Shared, message: &Message) -> Answer {
    match message {
        Message::InForce { node, revision, votes } => {
            let mut nodes =
                shared.engine.node_reports.write().unwrap_or_else(PoisonError::into_inner);
            nodes.insert(node.clone(), Report { revision: *revision, at: Instant::now() });
            let _ = shared.engine.requests.send(Request::Votes(node.clone(), votes.clone()));
            Answer::Done
        }
        Message::FetchSnapshot { known_revision } => {
            let state = shared.engine.state.read().unwrap_or_else(PoisonError::into_inner);
            if state.revision <= *known_revision {
                return Answer::Unchanged;
            }
            let snapshot = Snapshot::from(&*state);
            drop(state);
            codec::encode(&snapshot).map_or(Answer::Unsupported, Answer::Snapshot)
        }
        _ => Answer::Unsupported,
    }
}

/// Reads the body of a request that has one of the `accepted` tokens.
async fn read_authorized(
    request: &HttpRequest,
    accepted: &Tokens,
    payload: &mut web::types::Payload,
) -> Result<BytesMut, StatusCode> {
    let presented = request.headers().get(header::TOKEN).and_then(|value| value.to_str().ok());
    if accepted.holder(presented.unwrap_or_default()).is_none() {
        return Err(StatusCode::UNAUTHORIZED);
    }
    body::read(payload, MAX_BODY_BYTES).await
}
