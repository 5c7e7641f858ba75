//! Keeps the items in force up to date: what control instances push, and repair by comparison.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_item::border;
use arbutuslane_item::item::Item;
use arbutuslane_wire::{codec, peer};
use ntex::time::sleep;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// The time between two comparisons with a control instance, while there are few nodes.
const COMPARE: Duration = Duration::from_millis(700);

/// The number of nodes from which on each compares less often, so that the control instances have
/// no more than about 300 comparisons a second to answer.
const FEW_NODES: usize = 200;

/// The time between two attempts of a node that has no configuration yet.
const FIRST: Duration = Duration::from_millis(100);

/// The longest wait for one peer.
const WAIT: Duration = Duration::from_millis(600);

/// Compares the items in force with those of other processes until this one ends.
pub(crate) async fn work(shared: Arc<Shared>, pool: Rc<Pool>) {
    let mut reached = true;
    // A minority of the control instances may lack what the others accept, so that no instance is
    // asked twice in a row. Nodes start at different ones.
    let mut turn: usize = rand::rng().random_range(0..1_000);
    loop {
        let now_reached = compare(&shared, &pool, turn).await;
        turn += 1;
        if now_reached != reached {
            reached = now_reached;
            tracing::info!(event = "configuration-source", reached, known = shared.is_configured());
        }
        let event = match reached {
            true => shared.cluster.contact().reached(shared.clock.now()),
            false => shared.cluster.contact().failed(shared.clock.now()),
        };
        shared.record_contact(event);
        if !shared.is_configured() {
            sleep(FIRST).await;
            continue;
        }
        let nodes = shared.cluster.member().gossip.table().members().count();
        let spread = rand::rng().random_range(0.8..1.2);
        let crowded = (nodes as f64 / FEW_NODES as f64).max(1.0);
        sleep(COMPARE.mul_f64(spread * crowded)).await;
    }
}

/// Takes items that a control instance tells.
pub(crate) fn told(shared: &Shared, bytes: &[u8]) -> bool {
    let Ok(items) = codec::decode::<Vec<border::Item>>(bytes) else { return false };
    let items: Vec<Item> = border::decode(items);
    shared.adopt_items(items);
    true
}

/// Returns the items in which this node's differ from a peer's.
pub(crate) fn difference(shared: &Shared, buckets: &[u64]) -> peer::Answer {
    let configuration = shared.configuration();
    let items = configuration.items().difference(buckets);
    peer::Answer::Items {
        instance: shared.settings.node.clone(),
        complete: shared.has_compared(),
        items: codec::encode(&border::encode(&items)).unwrap_or_default(),
        accepted: Vec::new(),
    }
}

/// Compares with one control instance, or with another node when two of them do not answer; returns
/// whether a control instance answered.
async fn compare(shared: &Arc<Shared>, pool: &Rc<Pool>, turn: usize) -> bool {
    let (control, nodes) = addresses(shared);
    let start = turn % control.len().max(1);
    for address in control[start..].iter().chain(&control[..start]).take(2) {
        if ask(shared, pool, *address).await {
            return true;
        }
    }
    if let Some(address) = nodes.first() {
        ask(shared, pool, *address).await;
    }
    false
}

async fn ask(shared: &Arc<Shared>, pool: &Rc<Pool>, address: SocketAddr) -> bool {
    let buckets = shared.configuration().items().buckets().to_vec();
    let message = peer::Message::SyncItems { buckets, unaccepted: false };
    match peers::ask(shared, pool, address, &message, WAIT).await {
        Ok(peer::Answer::Items { complete, items, .. }) => {
            // What a process holds that lacks items itself may be used, but is not all.
            let taken = told(shared, &items);
            if taken && complete {
                shared.set_compared();
            }
            taken && complete
        }
        Ok(_) => false,
        Err(error) => {
            tracing::debug!(event = "compare-failed", peer = %address, error);
            false
        }
    }
}

/// Returns the known control instances in a fixed order, and the nodes in random order.
fn addresses(shared: &Shared) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut control, mut nodes) = (Vec::new(), Vec::new());
    for known in shared.cluster.member().gossip.table().members() {
        let Ok(address) = known.record.peers.parse() else { continue };
        if known.record.node == shared.settings.node {
            continue;
        }
        match known.record.callers.is_empty() {
            true => control.push(address),
            false => nodes.push(address),
        }
    }
    if control.is_empty() {
        control.extend(shared.control().iter());
    }
    control.sort_unstable();
    nodes.shuffle(&mut rand::rng());
    (control, nodes)
}
