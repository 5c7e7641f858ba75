//! Messages to and from other nodes and control instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HOST, HeaderName, HeaderValue};
use ntex::http::{HeaderMap, Method, Response, StatusCode};
use ntex::util::Bytes;

use arbutuslane_record::trial::Trial;
use arbutuslane_wire::{codec, header, peer};

use crate::cluster;
use crate::shared::Shared;
use crate::traffic::{self, Echo, ExchangeOptions, Failure, Pool, Upload};

/// The largest message and response in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Sends `message` to the peer at `address` and returns the response.
pub(crate) async fn send(
    shared: &Shared,
    pool: &Rc<Pool>,
    address: SocketAddr,
    message: &peer::Message,
    timeout: Duration,
) -> Result<peer::Answer, String> {
    let body = codec::encode(message).map_err(|error| error.to_string())?;
    let bytes = post(shared, pool, address, "/v1/peer", body.into(), timeout).await?;
    codec::decode(&bytes).map_err(|error| error.to_string())
}

/// Sends `body` to a path of the peer at `address` and returns the body of a 200 response.
pub(crate) async fn post(
    shared: &Shared,
    pool: &Rc<Pool>,
    address: SocketAddr,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Bytes, String> {
    let mut headers = HeaderMap::new();
    let token = HeaderValue::from_str(&shared.token()).map_err(|error| error.to_string())?;
    headers.insert(HeaderName::from_static(header::TOKEN), token);
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| error.to_string())?;
    headers.insert(HOST, host);
    let upload = Upload::from(body);
    let request =
        traffic::Request { method: Method::POST, target: path.to_string(), headers, upload };
    let exchange = async {
        let mut idle = pool.take(address);
        let response = loop {
            let connection = match idle.take() {
                Some(connection) => connection,
                None => pool.connect(address, timeout).await?,
            };
            let request = request.clone();
            let is_reused = connection.is_reused();
            // Control instances need not echo the exchange id, so their connections are not reused.
            let options = ExchangeOptions::with_peer(Echo::Unknown, true, timeout);
            match connection.exchange(request, options).await {
                Err(Failure::ClosedUnused) if is_reused => {}
                result => break result?,
            }
        };
        let status = response.status;
        Ok::<_, Failure>((status, response.body.collect(MAX_MESSAGE_BYTES).await?))
    };
    match ntex::time::timeout_checked(timeout, exchange).await {
        Ok(Ok((StatusCode::OK, bytes))) => Ok(bytes),
        Ok(Ok((status, _))) => Err(format!("status {status}")),
        Ok(Err(failure)) => {
            pool.purge(address);
            Err(failure.to_string())
        }
        Err(()) => {
            pool.purge(address);
            Err("no response within the timeout".to_string())
        }
    }
}

/// Handles a message of another process and returns the HTTP response.
pub(crate) async fn handle(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    path: &str,
    body: &[u8],
) -> Response {
    match path {
        "/v1/peer" => {
            let Ok(message) = codec::decode::<peer::Message>(body) else {
                return Response::new(StatusCode::BAD_REQUEST);
            };
            match codec::encode(&handle_message(shared, pool, message).await) {
                Ok(bytes) => Response::build(StatusCode::OK).body(bytes),
                Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}

/// Handles a message of a node or a control instance.
async fn handle_message(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    message: peer::Message,
) -> peer::Answer {
    match message {
        peer::Message::FetchSnapshot { known_revision } => {
            let configuration = shared.configuration();
            if configuration.revision() <= known_revision {
                return peer::Answer::Unchanged;
            }
            match codec::encode(configuration.snapshot()) {
                Ok(bytes) => peer::Answer::Snapshot(bytes),
                Err(_) => peer::Answer::Unsupported,
            }
        }
        peer::Message::Gossip(message) => {
            match cluster::peers::handle_gossip(shared, pool, message).await {
                Some(answer) => peer::Answer::Gossip(answer.into()),
                None => peer::Answer::Unsupported,
            }
        }
        peer::Message::Register(message) => {
            let request = message.into();
            let response = shared.cluster.handle_register(shared, &request);
            peer::Answer::Register(response.into())
        }
        peer::Message::Strikes { strikes, buckets } => {
            cluster::strikes::merge(shared, strikes);
            cluster::strikes::answer(shared, &buckets)
        }
        peer::Message::BeginTrial { request, server, domain, max, for_ms } => {
            let trial = Trial { max, request, server, domain };
            let duration = Duration::from_millis(for_ms);
            let is_granted = shared.cluster.trials.grant(shared, trial, duration);
            peer::Answer::Trial { is_granted }
        }
        peer::Message::EndTrial { request, server } => {
            shared.cluster.trials.release(request, &server);
            peer::Answer::Done
        }
        peer::Message::SyncItems { buckets, max_items, .. } => {
            cluster::items::differing_items(shared, &buckets, max_items)
        }
        peer::Message::FetchItems { hashes, .. } => {
            cluster::items::requested_items(shared, &hashes)
        }
        peer::Message::AnnounceItems { ref hashes, ref relay_to } => {
            cluster::items::relay(shared, pool, &message, relay_to);
            shared.announced.add(hashes.clone());
            peer::Answer::Done
        }
        peer::Message::AcceptedItems { ref items, ref relay_to } => {
            cluster::items::relay(shared, pool, &message, relay_to);
            match cluster::items::adopt_encoded(shared, items) {
                Some(_) => peer::Answer::Done,
                None => peer::Answer::Unsupported,
            }
        }
        peer::Message::BorrowAllowance { requests } => match &shared.allowances {
            Some(allowances) => {
                peer::Answer::Allowance { loans: allowances.lend(shared, requests) }
            }
            None => peer::Answer::Unsupported,
        },
        peer::Message::KeepDepartures { node, departures, .. } => {
            let departures = departures.into_iter().map(Into::into).collect();
            shared.departures.keep(&node, departures, shared.clock.now());
            peer::Answer::Done
        }
        peer::Message::FetchDepartures { node, .. } => {
            let kept = shared.departures.kept(&node, shared.clock.now());
            peer::Answer::Departures(kept.into_iter().map(Into::into).collect())
        }
        peer::Message::InForce { .. } | peer::Message::ItemAgreement(_) => {
            peer::Answer::Unsupported
        }
    }
}
