//! The agreement of the control instances on the catalogue: requests between them and the responses.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuslane_item::border;
use arbutuslane_item::border::agreement::{self, Kind, Request, Response};
use arbutuslane_item::prelude::{Item, Update};
use arbutuslane_item::replication::Status;
use arbutuslane_item::voter;
use arbutuslane_wire::codec;
use arbutuslane_wire::peer::{Answer, Message};
use futures_util::StreamExt;
use futures_util::future::{self, Either};
use futures_util::stream::FuturesUnordered;
use ntex::client::Client;
use ntex::time::sleep;

use super::core::Core;
use super::leader::Decision;
use super::push::send_request;

/// The longest time that [`collect_statuses`] waits for the other instances.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a request to another control instance and returns its response, or `None` when the request
/// fails.
pub(super) async fn request(
    core: &Core,
    client: &Client,
    address: &str,
    request: &Request,
) -> Option<Response> {
    let message = Message::ItemAgreement(codec::encode(request).ok()?);
    match send_request(core, client, address, &message).await? {
        Answer::ItemAgreement(bytes) => codec::decode(&bytes).ok(),
        _ => None,
    }
}

/// Responds to a request of another control instance; returns `None` for a malformed one.
pub(super) async fn handle(core: &Arc<Core>, bytes: &[u8]) -> Option<Answer> {
    let response = match codec::decode(bytes).ok()? {
        Request::Status => Response::Status(agreement::Status::from(&core.status())),
        Request::Promise(ballot) => {
            let status = core.promise(&ballot.into()).await;
            Response::Status(agreement::Status::from(&status))
        }
        Request::Store(update) => store(core, &update.into()).await,
        Request::Fetch { buckets, kind } => update_for(core, &buckets, kind),
        Request::Accepted(position) => {
            let position = position.into();
            if core.replication().stored().position < position {
                core.repair_soon.store(true, Ordering::Relaxed);
            }
            core.learn(&position);
            Response::Accepted
        }
        Request::Change(items) => decide_as_leader(core, border::decode(items)).await,
    };
    Some(Answer::ItemAgreement(codec::encode(&response).ok()?))
}

async fn store(core: &Core, update: &Update) -> Response {
    match core.store(update).await {
        // Earlier releases know no voters, and lead only while there are none.
        Ok(true) if update.electorate.is_empty() => Response::Stored(core.settings.name.clone()),
        Ok(true) => Response::StoredBy(agreement::Voter::from(core.replication().own())),
        Ok(false) => Response::Unavailable,
        Err(refusal) => Response::Refused(refusal.into()),
    }
}

fn update_for(core: &Core, buckets: &[u64], kind: Kind) -> Response {
    let replication = core.replication();
    let state = match kind {
        Kind::Stored => Some(replication.stored()),
        Kind::Accepted => replication.accepted_state(),
    };
    match state {
        Some(state) => Response::Update(agreement::Update::from(&state.update_for(buckets))),
        None => Response::Unavailable,
    }
}

/// Decides on a change that another instance received, if this one leads as far as it knows.
async fn decide_as_leader(core: &Arc<Core>, items: Vec<Arc<Item>>) -> Response {
    if !core.replication().leads() || core.is_stopping() {
        return Response::Unavailable;
    }
    match core.order(items).await {
        Decision::Accepted => Response::Accepted,
        Decision::Invalid(reason) => Response::Invalid(reason),
        Decision::Unavailable => Response::Unavailable,
    }
}

/// Requests the update to a state of the instance at `address` from the state of this one.
pub(super) async fn fetch(
    core: &Core,
    client: &Client,
    address: &str,
    kind: Kind,
) -> Option<Update> {
    let buckets = core.replication().stored().table.buckets().to_vec();
    match request(core, client, address, &Request::Fetch { buckets, kind }).await? {
        Response::Update(update) => Some(update.into()),
        _ => None,
    }
}

/// Sends a request whose response is the status of the instance at `address`.
pub(super) async fn request_status(
    core: &Core,
    client: &Client,
    address: &str,
    message: &Request,
) -> Option<Status> {
    match request(core, client, address, message).await? {
        Response::Status(status) => Some(status.into()),
        _ => None,
    }
}

/// Returns the statuses of this instance and of others, as soon as enough for a quorum count and at
/// the latest after [`STATUS_TIMEOUT`].
pub(super) async fn collect_statuses(core: &Arc<Core>, client: &Client) -> Vec<Status> {
    let own = core.status();
    let requests = core.members().control.into_values().map(|address| {
        let (core, client) = (Arc::clone(core), client.clone());
        async move { request_status(&core, &client, &address, &Request::Status).await }
    });
    let quorum = core.replication().quorum();
    let mut statuses = vec![own];
    collect(requests, STATUS_TIMEOUT, |status| {
        statuses.push(status);
        voter::is_quorum(&statuses, quorum)
    })
    .await;
    statuses
}

/// Returns the statuses of this instance and of all others that respond in time.
pub(super) async fn collect_all_statuses(core: &Arc<Core>, client: &Client) -> Vec<Status> {
    let members = core.members().control;
    let requests =
        members.values().map(|address| request_status(core, client, address, &Request::Status));
    let mut statuses = vec![core.status()];
    collect(requests, STATUS_TIMEOUT, |status| {
        statuses.push(status);
        false
    })
    .await;
    statuses
}

/// Passes the results of `requests` to `is_enough` in the order in which they arrive, until it returns
/// true or `timeout` has passed. Returns whether it returned true.
pub(super) async fn collect<T>(
    requests: impl IntoIterator<Item = impl Future<Output = Option<T>>>,
    timeout: Duration,
    mut is_enough: impl FnMut(T) -> bool,
) -> bool {
    let mut responses: FuturesUnordered<_> = requests.into_iter().collect();
    let mut deadline = std::pin::pin!(sleep(timeout));
    loop {
        match future::select(responses.next(), deadline.as_mut()).await {
            Either::Left((Some(response), _)) => {
                if response.is_some_and(&mut is_enough) {
                    return true;
                }
            }
            Either::Left((None, _)) | Either::Right(_) => return false,
        }
    }
}
