//! Requests for items whose responses count also when they arrive late.
//!
//! On a node whose link is full in one direction each response is late. If it were dropped, each
//! comparison would begin anew and none would ever end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use arbutuslane_item::distribution::{LATE_RESPONSE_TIMEOUT, RESPONSE_TIMEOUT};
use arbutuslane_wire::peer::{Answer, Message};
use tokio::sync::oneshot;

use crate::peers;
use crate::shared::Shared;
use crate::timeout::within;
use crate::traffic::Pool;

use super::adopt_encoded;

/// Sends a request for items, and waits [`RESPONSE_TIMEOUT`] for the response. It goes on in the
/// background then, and puts the items of its response into force.
pub(super) async fn send(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    address: SocketAddr,
    message: Message,
) -> Result<Answer, String> {
    let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
    let (sender, receiver) = oneshot::channel();
    let _task = ntex::rt::spawn(async move {
        let answer = peers::send(&shared, &pool, address, &message, LATE_RESPONSE_TIMEOUT).await;
        // Once accepted items have been found, others must not come into force.
        if let Err(Ok(answer)) = sender.send(answer)
            && !asks_unaccepted(&message)
        {
            adopt(&shared, address, answer);
        }
    });
    match within(RESPONSE_TIMEOUT, receiver).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err("the request was dropped".to_string()),
        Err(_) => Err("no response in time".to_string()),
    }
}

fn asks_unaccepted(message: &Message) -> bool {
    matches!(
        message,
        Message::SyncItems { unaccepted: true, .. } | Message::FetchItems { unaccepted: true, .. }
    )
}

/// Puts the items of a late response into force, and has those fetched that it names.
fn adopt(shared: &Shared, address: SocketAddr, answer: Answer) {
    let (items, hashes) = match answer {
        Answer::Items { items, hashes, .. } => (items, hashes),
        Answer::Fetched(items) => (items, Vec::new()),
        _ => return,
    };
    let fetched = adopt_encoded(shared, &items);
    tracing::info!(event = "compared-late", peer = %address, fetched, named = hashes.len());
    if !hashes.is_empty() {
        shared.announced.add(hashes);
    }
}
