//! Sends messages to peers, and tells nodes and the other control instances what is accepted.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use arbutuslane_item::border;
use arbutuslane_item::border::agreement::{self, Request};
use arbutuslane_item::distribution::{Branch, RELAY_TIMEOUT, ROUND_INTERVAL};
use arbutuslane_item::prelude::{Item, Position};
use arbutuslane_item::transfer::MAX_HASHES;
use arbutuslane_wire::peer::{Answer, Message};
use arbutuslane_wire::{codec, header};
use ntex::client::Client;
use ntex::time::{Millis, sleep};

use super::core::Core;

/// The timeout of a request to one peer. It covers several round trips and syncs of a slow disk.
pub(super) const PEER_TIMEOUT: Millis = Millis(1_000);

/// The largest accepted response of a peer.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The largest number of items that are pushed to nodes; of more items the nodes get the hashes and
/// fetch them in parts, because the whole may take longer than a request on the link of a node.
const MAX_PUSHED_ITEMS: usize = 32;

/// Sends `message` to another control instance and returns its response, or `None` when the request
/// fails.
pub(super) async fn send_request(
    core: &Core,
    client: &Client,
    address: &str,
    message: &Message,
) -> Option<Answer> {
    send_within(core, client, address, message, PEER_TIMEOUT).await
}

async fn send_within(
    core: &Core,
    client: &Client,
    address: &str,
    message: &Message,
    timeout: Millis,
) -> Option<Answer> {
    let body = codec::encode(message).ok()?;
    let request = client.post(format!("http://{address}/v1/peer")).timeout(timeout);
    let request = match core.tokens.own_secret() {
        Some(secret) => request.header(header::TOKEN, secret),
        None => request,
    };
    let response = request.send_body(body).await.ok()?;
    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
    codec::decode(&bytes).ok()
}

/// Records that the state at `position`, which this instance proposed, is accepted, and tells the
/// other control instances and the nodes.
pub(super) fn announce_accepted(core: &Arc<Core>, client: &Client, position: &Position) {
    let new_items = core.learn(position);
    let request = Request::Accepted(agreement::Position::from(position));
    if let Ok(bytes) = codec::encode(&request) {
        for address in core.members().control.into_values() {
            let (core, client) = (Arc::clone(core), client.clone());
            let message = Message::ItemAgreement(bytes.clone());
            ntex::rt::spawn(async move {
                if send_request(&core, &client, &address, &message).await.is_none() {
                    record_failure(&core, &address);
                }
            });
        }
    }
    push_accepted(core, new_items);
}

/// Tells nodes of accepted items in the next round.
pub(super) fn push_accepted(core: &Core, items: Vec<Arc<Item>>) {
    core.outbox.add(items);
}

/// Tells the nodes what is accepted, in rounds, until the instance stops. Items that are accepted while
/// a round begins go into the next one together.
pub(super) async fn run(core: Arc<Core>) {
    let client = Client::new().await;
    loop {
        let items = core.outbox.take().await;
        if let Some(message) = message_for(&items) {
            push(&core, &client, &message, items.len());
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Returns the message about accepted items. It has only the hashes of many items.
fn message_for(items: &[Arc<Item>]) -> Option<Message> {
    let relay_to = Vec::new();
    if items.len() <= MAX_PUSHED_ITEMS {
        let items = codec::encode(&border::encode(items)).ok()?;
        return Some(Message::AcceptedItems { items, relay_to });
    }
    let hashes = match items.len() > MAX_HASHES {
        true => Vec::new(),
        false => items.iter().map(|item| item.hash()).collect(),
    };
    Some(Message::AnnounceItems { hashes, relay_to })
}

/// Sends a message to all nodes, without waiting for them.
fn push(core: &Arc<Core>, client: &Client, message: &Message, items: usize) {
    let nodes = core.shuffled_nodes();
    let node_count = nodes.len();
    let branches = Branch::for_domains(nodes);
    tracing::info!(event = "items-pushed", items, nodes = node_count, messages = branches.len());
    for branch in branches {
        send_branch(core, client, message, branch);
    }
}

/// Sends a message to the relay of a branch, and around that node if it does not respond.
fn send_branch(core: &Arc<Core>, client: &Client, message: &Message, branch: Branch) {
    let Some(message) = message.relayed(branch.others.clone()) else { return };
    let (core, client) = (Arc::clone(core), client.clone());
    ntex::rt::spawn(async move {
        let (address, timeout) = (branch.relay.to_string(), RELAY_TIMEOUT.into());
        if send_within(&core, &client, &address, &message, timeout).await.is_some() {
            return;
        }
        record_failure(&core, &address);
        for branch in branch.after_failure() {
            send_branch(&core, &client, &message, branch);
        }
    });
}

fn record_failure(core: &Core, peer: &str) {
    core.counters.push_failures.fetch_add(1, Ordering::Relaxed);
    tracing::info!(event = "push-failed", peer);
}
