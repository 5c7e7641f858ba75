//! Keeps the items in force up to date: adopts items that control instances push, and repairs gaps
//! by comparison.

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

/// The mean time between two comparisons with a control instance while the fleet has at most
/// [`FEW_NODES`] nodes.
const COMPARE_INTERVAL: Duration = Duration::from_millis(700);

/// The number of nodes above which each node compares less often, so that the control instances
/// serve about 300 comparisons a second at most.
const FEW_NODES: usize = 200;

/// The time between two comparisons of a node that has no configuration yet.
const STARTUP_COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// The longest wait for the response of one peer.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(600);

/// The result of a comparison with one process.
#[derive(Debug, PartialEq, Eq)]
enum ComparisonOutcome {
    /// The process has all items; `adopted` of them were new here.
    Complete { adopted: usize },
    /// The process may lack accepted items; `adopted` of those that it has were new here.
    Incomplete { adopted: usize },
    /// The response could not be decoded.
    Unreadable,
    /// There was no response.
    Failed { error: String },
}

impl ComparisonOutcome {
    /// Returns the label of the outcome in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::Incomplete { .. } => "incomplete",
            Self::Unreadable => "unreadable",
            Self::Failed { .. } => "failed",
        }
    }
}

/// Compares the items in force with those of other processes until this one ends.
pub(crate) async fn run(shared: Arc<Shared>, pool: Rc<Pool>) {
    // Whether a control instance gave all items in the last comparison.
    let mut got_all_items = true;
    // Each comparison goes to the next control instance, because a minority of the instances may
    // lack items that the others have accepted. The start is random, so that nodes use different
    // instances; its range only needs to be well above the number of instances.
    let mut comparison_number: usize = rand::rng().random_range(0..1_000);
    loop {
        let now_got_all_items = compare(&shared, &pool, comparison_number).await;
        comparison_number += 1;
        if now_got_all_items != got_all_items {
            got_all_items = now_got_all_items;
            tracing::info!(
                event = "configuration-source",
                reached = got_all_items,
                known = shared.is_configured()
            );
        }
        let event = match got_all_items {
            true => shared.cluster.control_contact().record_success(shared.clock.now()),
            false => shared.cluster.control_contact().record_failure(shared.clock.now()),
        };
        shared.record_contact(event);
        if !shared.is_configured() {
            sleep(STARTUP_COMPARE_INTERVAL).await;
            continue;
        }
        let nodes = shared.cluster.membership().gossip.table().members().count();
        let jitter = rand::rng().random_range(0.8..1.2);
        let slowdown = (nodes as f64 / FEW_NODES as f64).max(1.0);
        sleep(COMPARE_INTERVAL.mul_f64(jitter * slowdown)).await;
    }
}

/// Puts encoded items from another process into force; returns the number of those that were new, or
/// `None` when they cannot be decoded.
pub(crate) fn adopt_encoded(shared: &Shared, bytes: &[u8]) -> Option<usize> {
    let items: Vec<Item> = border::decode(codec::decode(bytes).ok()?);
    Some(shared.adopt_items(items))
}

/// Returns the items of this node in the buckets whose hashes differ from `peer_hashes`, the bucket
/// hashes of a peer.
pub(crate) fn difference(shared: &Shared, peer_hashes: &[u64]) -> peer::Answer {
    let configuration = shared.configuration();
    let items = configuration.items().difference(peer_hashes);
    peer::Answer::Items {
        // The responder may also be a node.
        instance: shared.settings.node.clone(),
        complete: shared.has_all_items(),
        items: codec::encode(&border::encode(&items)).unwrap_or_default(),
        // Only control instances use this list, in comparisons with one another.
        accepted: Vec::new(),
    }
}

/// Compares with a control instance, with a second one when the first does not give all items, and
/// with another node when neither does; returns whether a control instance gave all items.
///
/// `comparison_number` selects the first control instance.
async fn compare(shared: &Arc<Shared>, pool: &Rc<Pool>, comparison_number: usize) -> bool {
    let (control, nodes) = peer_addresses(shared);
    let start = comparison_number % control.len().max(1);
    for address in control[start..].iter().chain(&control[..start]).take(2) {
        if compare_with(shared, pool, *address).await {
            return true;
        }
    }
    if let Some(address) = nodes.first() {
        compare_with(shared, pool, *address).await;
    }
    false
}

/// Compares the items with those of the process at `address`; returns whether that process reported
/// its items as complete and this node adopted those that differ.
async fn compare_with(shared: &Arc<Shared>, pool: &Rc<Pool>, address: SocketAddr) -> bool {
    let started_at = shared.clock.now();
    let buckets = shared.configuration().items().buckets().to_vec();
    let message = peer::Message::SyncItems { buckets, unaccepted: false };
    let answer = peers::send(shared, pool, address, &message, COMPARE_TIMEOUT).await;
    let (outcome, bytes) = match answer {
        Ok(peer::Answer::Items { complete, items, .. }) => {
            // The items of an incomplete peer are valid, but it may lack some that were accepted
            // before it started.
            let outcome = match (adopt_encoded(shared, &items), complete) {
                (Some(adopted), true) => ComparisonOutcome::Complete { adopted },
                (Some(adopted), false) => ComparisonOutcome::Incomplete { adopted },
                (None, _) => ComparisonOutcome::Unreadable,
            };
            (outcome, items.len())
        }
        Ok(_) => (ComparisonOutcome::Unreadable, 0),
        Err(error) => (ComparisonOutcome::Failed { error }, 0),
    };
    shared.metrics.count_comparison(outcome.name(), bytes);
    if outcome != (ComparisonOutcome::Complete { adopted: 0 }) {
        let took_ms = shared.clock.now().saturating_sub(started_at).as_millis();
        tracing::info!(event = "compared", peer = %address, ?outcome, bytes, took_ms);
    }
    let is_complete = matches!(outcome, ComparisonOutcome::Complete { .. });
    if is_complete {
        shared.set_has_all_items();
    }
    is_complete
}

/// Returns the known control instances in a fixed order, or the configured ones when none is known,
/// and the nodes in random order.
fn peer_addresses(shared: &Shared) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut control, mut nodes) = (Vec::new(), Vec::new());
    for known in shared.cluster.membership().gossip.table().members() {
        let Ok(address) = known.record.peers.parse() else { continue };
        if known.record.node == shared.settings.node {
            continue;
        }
        // A control instance has no listener for callers.
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
