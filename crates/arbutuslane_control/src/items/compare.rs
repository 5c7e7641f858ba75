//! Compares the items of this instance with those of other processes: responds to comparisons, and
//! fetches the items that this instance lacks from the other control instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arbutuslane_item::border;
use arbutuslane_item::prelude::Item;
use arbutuslane_item::table::Difference;
use arbutuslane_item::transfer::{MAX_COMPARED_ITEMS, MAX_HASHES, Pull};
use arbutuslane_wire::codec;
use arbutuslane_wire::peer::{Answer, Message};
use futures_util::StreamExt;
use futures_util::future::{self, Either};
use futures_util::stream::FuturesUnordered;
use ntex::client::Client;
use ntex::time::sleep;

use super::core::Core;
use super::replicate::{record_accepted, record_copies, send_request};

/// The longest time that [`fetch_missing_items`] waits for the other instances. What arrives until
/// then is kept.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(800);

/// Another instance whose items this one has fetched.
struct Source {
    instance: String,
    /// Whether this instance now has every change that was accepted before the other one started.
    is_complete: bool,
}

/// The response of another instance to a comparison.
struct Comparison {
    source: Source,
    items: Vec<Arc<Item>>,
    accepted: Vec<Arc<Item>>,
    hashes: Vec<u64>,
    /// In ascending order.
    accepted_hashes: Vec<u64>,
    more: bool,
}

/// Returns the items that the requester lacks according to the hashes of its buckets, or their hashes
/// when there are more than `max_items`. With `unaccepted`, which control instances set, these
/// include items that are not accepted yet.
pub(super) fn missing_items(
    core: &Core,
    buckets: &[u64],
    unaccepted: bool,
    max_items: Option<usize>,
) -> Answer {
    let replication = core.replication();
    let accepted = replication.accepted().difference(buckets);
    let (differing, accepted, complete) = match unaccepted {
        true => (replication.table().difference(buckets), accepted, replication.is_complete()),
        // A node applies only accepted items. After a restart or the loss of its disk, this
        // instance may not know all of them yet.
        false => (accepted, Difference::default(), replication.knows_all_accepted()),
    };
    let instance = core.settings.name.clone();
    if max_items.is_none_or(|max| differing.len().max(accepted.len()) <= max) {
        return Answer::Items {
            instance,
            complete,
            items: encode(differing.items(), unaccepted || max_items.is_none()),
            accepted: encode(accepted.items(), true),
            hashes: Vec::new(),
            accepted_hashes: Vec::new(),
            more: false,
        };
    }
    let (hashes, accepted_hashes) =
        (differing.first_hashes(MAX_HASHES), accepted.first_hashes(MAX_HASHES));
    let more = hashes.len() < differing.len() || accepted_hashes.len() < accepted.len();
    let (items, accepted) = (encode([], true), encode([], true));
    Answer::Items { instance, complete, items, accepted, hashes, accepted_hashes, more }
}

/// Returns the items with the hashes that a process requests.
pub(super) fn requested_items(core: &Core, hashes: &[u64], unaccepted: bool) -> Answer {
    let replication = core.replication();
    let table = match unaccepted {
        true => replication.table(),
        false => replication.accepted(),
    };
    Answer::Fetched(encode(&table.with_hashes(hashes), unaccepted))
}

/// Encodes items. Nodes do not need the texts of the declarations; control instances do, and nodes
/// of earlier releases, which state no largest number of items, compute hashes from them.
fn encode<'a>(items: impl IntoIterator<Item = &'a Arc<Item>>, with_text: bool) -> Vec<u8> {
    let items = match with_text {
        true => border::encode(items),
        false => border::encode_without_text(items),
    };
    codec::encode(&items).unwrap_or_default()
}

/// Fetches and stores the items of the other instances that this one lacks. Returns how many
/// instances that hold every accepted change took part, including this one.
pub(super) async fn fetch_missing_items(core: &Arc<Core>, client: &Client) -> usize {
    let own_complete = usize::from(core.replication().is_complete());
    let needed = core.replication().copies();
    let mut responses = FuturesUnordered::new();
    for address in core.members().control.into_values() {
        let (core, client) = (Arc::clone(core), client.clone());
        responses.push(async move { fetch_from(&core, &client, &address).await });
    }
    let mut complete = own_complete;
    let deadline = sleep(COMPARE_TIMEOUT);
    let mut deadline = std::pin::pin!(deadline);
    loop {
        let next = future::select(responses.next(), deadline.as_mut()).await;
        let Either::Left((Some(source), _)) = next else { return complete };
        let Some(source) = source.filter(|source| source.is_complete) else { continue };
        complete += 1;
        if core.replication().record_complete_source(&source.instance) {
            core.disk.record_complete().await;
            tracing::info!(event = "recovered", instances = needed);
        }
        if complete >= needed && own_complete == 1 {
            return complete;
        }
    }
}

/// Fetches and stores the items that the instance at `address` has and this one lacks. Returns `None`
/// when that instance does not respond.
async fn fetch_from(core: &Arc<Core>, client: &Client, address: &str) -> Option<Source> {
    let mut pull = Pull::default();
    loop {
        let digest = core.replication().table().digest();
        let comparison = compare(core, client, address).await?;
        let mut source = comparison.source;
        let stored = store_received(core, client, comparison.items).await;
        record_accepted(core, client, comparison.accepted, true);
        pull.want(core.replication().table(), &comparison.hashes);
        while !pull.is_done() {
            fetch_part(core, client, address, &comparison.accepted_hashes, &mut pull).await?;
        }
        let accepted = core.replication().table().with_hashes(&comparison.accepted_hashes);
        record_accepted(core, client, accepted, true);
        // If nothing has changed here, another comparison would name the same items.
        if comparison.more && core.replication().table().digest() != digest {
            continue;
        }
        source.is_complete &= stored && !comparison.more;
        return Some(source);
    }
}

async fn compare(core: &Core, client: &Client, address: &str) -> Option<Comparison> {
    let message = Message::SyncItems {
        buckets: core.replication().table().buckets().to_vec(),
        unaccepted: true,
        max_items: Some(MAX_COMPARED_ITEMS),
    };
    let answer = send_request(core, client, address, &message).await?;
    let Answer::Items { instance, complete, items, accepted, hashes, more, accepted_hashes } =
        answer
    else {
        return None;
    };
    let mut accepted_hashes = accepted_hashes;
    accepted_hashes.sort_unstable();
    Some(Comparison {
        source: Source { instance, is_complete: complete },
        items: border::decode(codec::decode(&items).ok()?),
        accepted: border::decode(codec::decode(&accepted).ok()?),
        hashes,
        accepted_hashes,
        more,
    })
}

/// Fetches and stores the next part of the missing items, of which those with `accepted_hashes`, in
/// ascending order, are accepted. Returns `None` when the instance does not
/// respond or the disk does not take the items.
async fn fetch_part(
    core: &Arc<Core>,
    client: &Client,
    address: &str,
    accepted_hashes: &[u64],
    pull: &mut Pull,
) -> Option<()> {
    let started_at = Instant::now();
    let hashes = pull.next_part();
    let message = Message::FetchItems { hashes: hashes.clone(), unaccepted: true };
    let answer = send_request(core, client, address, &message).await?;
    let Answer::Fetched(bytes) = answer else { return None };
    let items: Vec<Arc<Item>> = border::decode(codec::decode(&bytes).ok()?);
    let received: Vec<u64> = items.iter().map(|item| item.hash()).collect();
    pull.record_part(&hashes, &received, started_at.elapsed());
    let stored = store_received(core, client, items.clone()).await;
    // An accepted item also replaces a different declaration of its version, so it cannot be
    // looked up in the own table later.
    let is_accepted = |item: &Arc<Item>| accepted_hashes.binary_search(&item.hash()).is_ok();
    record_accepted(core, client, items.into_iter().filter(is_accepted).collect(), true);
    stored.then_some(())
}

/// Merges the items of another instance; returns whether the new ones are durable here.
async fn store_received(core: &Arc<Core>, client: &Client, items: Vec<Arc<Item>>) -> bool {
    let new_items = core.replication().merge_items(items);
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
