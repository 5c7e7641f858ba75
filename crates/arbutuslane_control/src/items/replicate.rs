//! Replicates items to the other control instances, counts their copies and pushes accepted items
//! to the nodes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuslane_item::border;
use arbutuslane_item::prelude::Item;
use arbutuslane_item::transfer::MAX_HASHES;
use arbutuslane_wire::peer::{Answer, Message};
use arbutuslane_wire::{codec, header};
use futures_util::future::join_all;
use ntex::client::Client;
use ntex::time::{Millis, sleep};

use super::compare;
use super::core::Core;

/// The timeout of a request to one peer. It covers several round trips and syncs of a slow disk.
const PEER_TIMEOUT: Millis = Millis(1_000);

/// The largest accepted response of a peer.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The time between two repair rounds. A round sends items that are not known to be accepted again,
/// and an instance that lost its disk fetches the items of the others.
const REPAIR_INTERVAL: Duration = Duration::from_millis(300);

/// The number of repair rounds per comparison of tables with all instances.
const ROUNDS_PER_COMPARE: u32 = 3;

/// The largest number of nodes that an instance pushes a change to; the other nodes fetch the items
/// that they lack.
const MAX_PUSHED_NODES: usize = 128;

/// The largest number of items that are pushed to nodes; of more items the nodes get the hashes and
/// fetch them in parts, because the whole may take longer than a request on the link of a node.
const MAX_PUSHED_ITEMS: usize = 32;

/// Sends `message` to a peer and returns its response, or `None` when the request fails.
pub(super) async fn send_request(
    core: &Core,
    client: &Client,
    address: &str,
    message: &Message,
) -> Option<Answer> {
    let body = codec::encode(message).ok()?;
    let request = client.post(format!("http://{address}/v1/peer")).timeout(PEER_TIMEOUT);
    let request = match core.tokens.own_secret() {
        Some(secret) => request.header(header::TOKEN, secret),
        None => request,
    };
    let response = request.send_body(body).await.ok()?;
    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
    codec::decode(&bytes).ok()
}

/// Starts writing `items` to the disk of this instance and of every other one. When enough
/// instances have stored an item, it is accepted and pushed to the nodes.
pub(super) fn replicate_items(core: &Arc<Core>, client: &Client, items: &[Arc<Item>]) {
    if items.is_empty() {
        return;
    }
    let (own_core, own_name) = (Arc::clone(core), core.settings.name.clone());
    let (push_client, stored) = (client.clone(), items.to_vec());
    ntex::rt::spawn(async move {
        if own_core.store(stored.clone()).await {
            record_copies(&own_core, &push_client, &own_name, &stored);
        }
    });
    for (name, address) in core.members().control {
        let (core, client, items) = (Arc::clone(core), client.clone(), items.to_vec());
        ntex::rt::spawn(async move {
            store_at_peer(&core, &client, &name, &address, &items).await;
        });
    }
}

/// Sends `items` to another instance and, once it has stored them, counts its copies.
async fn store_at_peer(
    core: &Arc<Core>,
    client: &Client,
    name: &str,
    address: &str,
    items: &[Arc<Item>],
) {
    let Ok(bytes) = codec::encode(&border::encode(items)) else { return };
    let answer = send_request(core, client, address, &Message::StoreItems { items: bytes }).await;
    let Some(Answer::Stored { instance, contradicting }) = answer else {
        tracing::debug!(event = "store-failed", peer = name, items = items.len());
        return;
    };
    if let Ok(peer_accepted) = codec::decode(&contradicting) {
        record_accepted(core, client, border::decode(peer_accepted), false);
    }
    record_copies(core, client, &instance, items);
}

/// Counts the copies stored by `instance` and pushes the items that they make accepted.
pub(super) fn record_copies(
    core: &Arc<Core>,
    client: &Client,
    instance: &str,
    items: &[Arc<Item>],
) {
    let accepted = core.replication().record_stored(instance, items);
    core.publish_accepted(&accepted);
    push_accepted(core, client, accepted, true);
}

/// Records items that another instance reports as accepted, and writes the new ones to the disk.
/// With `push_to_nodes`, also pushes the new ones to the nodes.
pub(super) fn record_accepted(
    core: &Arc<Core>,
    client: &Client,
    items: Vec<Arc<Item>>,
    push_to_nodes: bool,
) {
    let new_items = core.replication().accept(items);
    core.publish_accepted(&new_items);
    if push_to_nodes {
        push_accepted(core, client, new_items.clone(), false);
    }
    if new_items.is_empty() {
        return;
    }
    let disk = core.disk.clone();
    ntex::rt::spawn(async move { disk.store(new_items).await });
}

/// Sends accepted items to nodes and, with `to_control`, to the other control instances. Nodes get
/// only the hashes of many items.
fn push_accepted(core: &Arc<Core>, client: &Client, items: Vec<Arc<Item>>, to_control: bool) {
    let items = core.to_push(items);
    if items.is_empty() {
        return;
    }
    let Ok(bytes) = codec::encode(&border::encode(&items)) else { return };
    let whole = Message::AcceptedItems { items: bytes };
    let to_nodes = match items.len() > MAX_PUSHED_ITEMS {
        true => announcement(&items),
        false => whole.clone(),
    };
    let members = core.members();
    for address in members.nodes.into_values().take(MAX_PUSHED_NODES) {
        push(core, client, address, to_nodes.clone());
    }
    if to_control {
        for address in members.control.into_values() {
            push(core, client, address, whole.clone());
        }
    }
}

fn announcement(items: &[Arc<Item>]) -> Message {
    let hashes = match items.len() > MAX_HASHES {
        true => Vec::new(),
        false => items.iter().map(|item| item.hash()).collect(),
    };
    Message::AnnounceItems { hashes }
}

/// Sends a message without waiting for the response.
fn push(core: &Arc<Core>, client: &Client, address: String, message: Message) {
    let (core, client) = (Arc::clone(core), client.clone());
    ntex::rt::spawn(async move {
        if send_request(&core, &client, &address, &message).await.is_none() {
            core.counters.push_failures.fetch_add(1, Ordering::Relaxed);
            tracing::debug!(event = "push-failed", peer = address);
        }
    });
}

/// Runs repair rounds, which make up for lost messages, until a planned stop begins.
pub(super) async fn run_repair(core: Arc<Core>) {
    let client = Client::new().await;
    let mut round = 0_u32;
    let mut previously_pending: Vec<Arc<Item>> = Vec::new();
    while !core.is_stopping() {
        sleep(REPAIR_INTERVAL).await;
        round = round.wrapping_add(1);
        if !core.replication().is_complete() || round.is_multiple_of(ROUNDS_PER_COMPARE) {
            compare::fetch_missing_items(&core, &client).await;
        }
        // An item is sent again only if it was already pending in the previous round.
        let pending = core.replication().pending();
        let was_pending = |item: &&Arc<Item>| {
            let found = previously_pending.binary_search_by(|known| known.key.cmp(&item.key));
            found.is_ok_and(|index| previously_pending[index] == **item)
        };
        let overdue: Vec<Arc<Item>> = pending.iter().filter(was_pending).cloned().collect();
        previously_pending = pending;
        if overdue.is_empty() {
            continue;
        }
        let own_name = core.settings.name.clone();
        if core.store(overdue.clone()).await {
            record_copies(&core, &client, &own_name, &overdue);
        }
        let members = core.members().control;
        let sending = members
            .iter()
            .map(|(name, address)| store_at_peer(&core, &client, name, address, &overdue));
        join_all(sending).await;
    }
}
