//! Replicates items to the other control instances, counts their copies and pushes accepted items
//! to the nodes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuslane_item::border;
use arbutuslane_item::prelude::Item;
use arbutuslane_wire::peer::{Answer, Message};
use arbutuslane_wire::{codec, header};
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use ntex::client::Client;
use ntex::time::{Millis, sleep};

use super::core::Core;

/// The timeout of a request to one peer. It covers several round trips and syncs of a slow disk.
const PEER_TIMEOUT: Millis = Millis(1_000);

/// The longest time that [`fetch_missing_items`] waits for the other instances.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(800);

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

/// Sends `message` to a peer and returns its response, or `None` when the request fails.
async fn send_request(
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
pub(super) fn replicate_items(core: &Arc<Core>, client: &Client, items: &[Item]) {
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
    items: &[Item],
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
fn record_copies(core: &Arc<Core>, client: &Client, instance: &str, items: &[Item]) {
    let accepted = core.replication().record_stored(instance, items);
    core.publish_accepted(&accepted);
    push_accepted(core, client, accepted, true);
}

/// Records items that another instance reports as accepted, and writes the new ones to the disk.
/// With `push_to_nodes`, also pushes the new ones to the nodes.
pub(super) fn record_accepted(
    core: &Arc<Core>,
    client: &Client,
    items: Vec<Item>,
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

/// Sends accepted items to nodes and, with `to_control`, to the other control instances.
fn push_accepted(core: &Arc<Core>, client: &Client, items: Vec<Item>, to_control: bool) {
    let items = core.to_push(items);
    if items.is_empty() {
        return;
    }
    let Ok(bytes) = codec::encode(&border::encode(&items)) else { return };
    let members = core.members();
    let mut targets: Vec<String> = members.nodes.into_values().take(MAX_PUSHED_NODES).collect();
    if to_control {
        targets.extend(members.control.into_values());
    }
    for address in targets {
        let (core, client) = (Arc::clone(core), client.clone());
        let message = Message::AcceptedItems { items: bytes.clone() };
        ntex::rt::spawn(async move {
            if send_request(&core, &client, &address, &message).await.is_none() {
                core.counters.push_failures.fetch_add(1, Ordering::Relaxed);
                tracing::debug!(event = "push-failed", peer = address);
            }
        });
    }
}

/// Fetches and stores the items of the other instances that this one lacks. Returns how many
/// instances that hold every accepted change took part, including this one.
pub(super) async fn fetch_missing_items(core: &Arc<Core>, client: &Client) -> usize {
    let buckets = core.replication().table().buckets().to_vec();
    let message = Message::SyncItems { buckets, unaccepted: true };
    let own_complete = usize::from(core.replication().is_complete());
    let needed = core.replication().copies();
    let mut responses = FuturesUnordered::new();
    for address in core.members().control.into_values() {
        let (core, client, message) = (Arc::clone(core), client.clone(), message.clone());
        responses.push(async move { send_request(&core, &client, &address, &message).await });
    }
    let mut complete = own_complete;
    let deadline = sleep(COMPARE_TIMEOUT);
    let mut deadline = std::pin::pin!(deadline);
    loop {
        let next = futures_util::future::select(responses.next(), deadline.as_mut()).await;
        let futures_util::future::Either::Left((Some(answer), _)) = next else { return complete };
        let Some(Answer::Items { instance, complete: peer_complete, items, accepted }) = answer
        else {
            continue;
        };
        let (Ok(items), Ok(accepted)) = (codec::decode(&items), codec::decode(&accepted)) else {
            continue;
        };
        let items = border::decode(items);
        let stored = store_received(core, client, items, border::decode(accepted)).await;
        if !peer_complete || !stored {
            continue;
        }
        complete += 1;
        if core.replication().record_complete_source(&instance) {
            core.disk.record_complete().await;
            tracing::info!(event = "recovered", instances = needed);
        }
        if complete >= needed && own_complete == 1 {
            return complete;
        }
    }
}

/// Merges the items of another instance; returns whether the new ones are durable here.
async fn store_received(
    core: &Arc<Core>,
    client: &Client,
    items: Vec<Item>,
    accepted: Vec<Item>,
) -> bool {
    let new_items = core.replication().merge_items(items);
    record_accepted(core, client, accepted, true);
    if new_items.is_empty() {
        return true;
    }
    let stored = core.store(new_items.clone()).await;
    if stored {
        let own_name = core.settings.name.clone();
        record_copies(core, client, &own_name, &new_items);
    }
    stored
}

/// Runs repair rounds, which make up for lost messages, until a planned stop begins.
pub(super) async fn run_repair(core: Arc<Core>) {
    let client = Client::new().await;
    let mut round = 0_u32;
    let mut previously_pending: Vec<Item> = Vec::new();
    while !core.is_stopping() {
        sleep(REPAIR_INTERVAL).await;
        round = round.wrapping_add(1);
        if !core.replication().is_complete() || round.is_multiple_of(ROUNDS_PER_COMPARE) {
            fetch_missing_items(&core, &client).await;
        }
        // An item is sent again only if it was already pending in the previous round.
        let pending = core.replication().pending();
        let overdue: Vec<Item> =
            pending.iter().filter(|item| previously_pending.contains(item)).cloned().collect();
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
