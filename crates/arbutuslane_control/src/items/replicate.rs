//! Sends items to the other control instances and to the nodes, and collects copies.

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

/// The longest wait for one peer; several round trips and syncs of a slow disk.
const PEER_WAIT: Millis = Millis(1_000);

/// The longest wait for the instances whose items a read needs.
const READ_WAIT: Duration = Duration::from_millis(800);

/// The largest answer of a peer in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// The time between two rounds of repair: items that are not known to be accepted are sent again,
/// and an instance that lost its disk asks the others.
const REPAIR: Duration = Duration::from_millis(300);

/// One round of repair in this many compares tables with all instances.
const COMPARE_EVERY: u32 = 3;

/// The most nodes that one instance tells of a change at once; nodes ask for what they miss.
const PUSH_NODES: usize = 128;

/// Sends `message` to a peer and returns its answer.
async fn ask(core: &Core, client: &Client, address: &str, message: &Message) -> Option<Answer> {
    let body = codec::encode(message).ok()?;
    let request = client.post(format!("http://{address}/v1/peer")).timeout(PEER_WAIT);
    let request = match core.tokens.own() {
        Some(secret) => request.header(header::TOKEN, secret),
        None => request,
    };
    let response = request.send_body(body).await.ok()?;
    let bytes = response.body().limit(ANSWER_BYTES).await.ok()?;
    codec::decode(&bytes).ok()
}

/// Writes `items` here and at the other instances until enough hold them; newly accepted items are
/// told to the nodes.
pub(super) fn spread(core: &Arc<Core>, client: &Client, items: &[Item]) {
    if items.is_empty() {
        return;
    }
    let (here, own) = (Arc::clone(core), core.settings.name.clone());
    let (pushing, stored) = (client.clone(), items.to_vec());
    ntex::rt::spawn(async move {
        if here.store(stored.clone()).await {
            take_copies(&here, &pushing, &own, &stored);
        }
    });
    for (name, address) in core.members().control {
        let (core, client, items) = (Arc::clone(core), client.clone(), items.to_vec());
        ntex::rt::spawn(async move {
            store_at(&core, &client, &name, &address, &items).await;
        });
    }
}

async fn store_at(core: &Arc<Core>, client: &Client, name: &str, address: &str, items: &[Item]) {
    let Ok(bytes) = codec::encode(&border::encode(items)) else { return };
    let answer = ask(core, client, address, &Message::StoreItems { items: bytes }).await;
    let Some(Answer::Stored { instance, contradicting }) = answer else {
        tracing::debug!(event = "store-failed", peer = name, items = items.len());
        return;
    };
    if let Ok(settled) = codec::decode(&contradicting) {
        accept(core, client, border::decode(settled), false);
    }
    take_copies(core, client, &instance, items);
}

/// Counts the copies of `instance` and tells the nodes what is accepted by them.
fn take_copies(core: &Arc<Core>, client: &Client, instance: &str, items: &[Item]) {
    let accepted = core.replication().stored(instance, items);
    core.note_accepted(&accepted);
    push(core, client, &accepted, true);
}

/// Takes items that another instance knows to be accepted.
pub(super) fn accept(core: &Arc<Core>, client: &Client, items: Vec<Item>, push_on: bool) {
    let fresh = core.replication().accept(items);
    core.note_accepted(&fresh);
    if push_on {
        push(core, client, &fresh, false);
    }
    if fresh.is_empty() {
        return;
    }
    let disk = core.disk.clone();
    ntex::rt::spawn(async move { disk.store(fresh).await });
}

/// Tells nodes, and other control instances where `to_control` is set, of accepted items.
fn push(core: &Arc<Core>, client: &Client, items: &[Item], to_control: bool) {
    if items.is_empty() {
        return;
    }
    let Ok(bytes) = codec::encode(&border::encode(items)) else { return };
    let members = core.members();
    let mut targets: Vec<String> = members.nodes.into_values().take(PUSH_NODES).collect();
    if to_control {
        targets.extend(members.control.into_values());
    }
    for address in targets {
        let (core, client) = (Arc::clone(core), client.clone());
        let message = Message::AcceptedItems { items: bytes.clone() };
        ntex::rt::spawn(async move {
            if ask(&core, &client, &address, &message).await.is_none() {
                core.counters.push_failures.fetch_add(1, Ordering::Relaxed);
                tracing::debug!(event = "push-failed", peer = address);
            }
        });
    }
}

/// Takes over what the other instances hold; returns how many complete instances answered, this one
/// included.
pub(super) async fn compare(core: &Arc<Core>, client: &Client) -> usize {
    let buckets = core.replication().table().buckets().to_vec();
    let message = Message::SyncItems { buckets, unaccepted: true };
    let own = usize::from(core.replication().is_complete());
    let needed = core.replication().copies();
    let mut asking = FuturesUnordered::new();
    for address in core.members().control.into_values() {
        let (core, client, message) = (Arc::clone(core), client.clone(), message.clone());
        asking.push(async move { ask(&core, &client, &address, &message).await });
    }
    let mut complete = own;
    let deadline = sleep(READ_WAIT);
    let mut deadline = std::pin::pin!(deadline);
    loop {
        let next = futures_util::future::select(asking.next(), deadline.as_mut()).await;
        let futures_util::future::Either::Left((Some(answer), _)) = next else { return complete };
        let Some(Answer::Items { instance, complete: sound, items, accepted }) = answer else {
            continue;
        };
        let (Ok(items), Ok(accepted)) = (codec::decode(&items), codec::decode(&accepted)) else {
            continue;
        };
        let items = border::decode(items);
        let stored = take(core, client, items, border::decode(accepted)).await;
        if !sound || !stored {
            continue;
        }
        complete += 1;
        if core.replication().heard(&instance) {
            core.disk.note_complete().await;
            tracing::info!(event = "recovered", instances = needed);
        }
        if complete >= needed && own == 1 {
            return complete;
        }
    }
}

/// Takes over what one other instance holds; returns whether it is on the disk here.
async fn take(core: &Arc<Core>, client: &Client, items: Vec<Item>, accepted: Vec<Item>) -> bool {
    let fresh = core.replication().take(items);
    accept(core, client, accepted, true);
    if fresh.is_empty() {
        return true;
    }
    let stored = core.store(fresh.clone()).await;
    if stored {
        let own = core.settings.name.clone();
        take_copies(core, client, &own, &fresh);
    }
    stored
}

/// Repairs what messages missed, until the process ends.
pub(super) async fn work(core: Arc<Core>) {
    let client = Client::new().await;
    let mut round = 0_u32;
    let mut waiting: Vec<Item> = Vec::new();
    while !core.is_stopping() {
        sleep(REPAIR).await;
        round = round.wrapping_add(1);
        if !core.replication().is_complete() || round.is_multiple_of(COMPARE_EVERY) {
            compare(&core, &client).await;
        }
        // An item is sent again only when it was already waiting in the round before.
        let pending = core.replication().pending();
        let again: Vec<Item> =
            pending.iter().filter(|item| waiting.contains(item)).cloned().collect();
        waiting = pending;
        if again.is_empty() {
            continue;
        }
        let own = core.settings.name.clone();
        if core.store(again.clone()).await {
            take_copies(&core, &client, &own, &again);
        }
        let members = core.members().control;
        let sending =
            members.iter().map(|(name, address)| store_at(&core, &client, name, address, &again));
        join_all(sending).await;
    }
}
