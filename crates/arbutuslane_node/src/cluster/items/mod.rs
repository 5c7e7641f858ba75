//! Keeps the items in force up to date: adopts items that control instances push, fetches those that
//! they announce, and repairs gaps by comparison.

mod announced;
mod completeness;
mod exchange;
mod fallback;
mod late;
mod relay;
mod serve;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;
use arbutuslane_item::border;
use arbutuslane_item::distribution::{self, STARTUP_COMPARE_INTERVAL, Sources};
use arbutuslane_item::transfer::Pull;
use arbutuslane_wire::codec;
use ntex::time::sleep;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::shared::Shared;
use crate::timeout::within;
use crate::traffic::Pool;

pub(crate) use announced::Announced;
pub(crate) use completeness::Completeness;
use fallback::StoredState;
pub(crate) use relay::relay;
pub(crate) use serve::{differing_items, requested_items};

/// The state of the task that keeps the items up to date.
struct Updater {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    /// The items that other processes have and this node lacks.
    pull: Pull,
    sources: Sources,
    /// Whether a control instance gave all items in the last comparison.
    got_all_items: bool,
    /// The states that control instances have stored, as far as they were fetched.
    stored: Vec<StoredState>,
}

/// Compares the items in force with those of other processes until this one ends.
pub(crate) async fn run(shared: Arc<Shared>, pool: Rc<Pool>) {
    // The first turn is random, so that nodes use different instances; its range only needs to be
    // well above the number of instances.
    let sources = Sources::new(shared.clock.now(), rand::rng().random_range(0..1_000));
    let pull = Pull::default();
    let stored = Vec::new();
    let mut updater = Updater { shared, pool, pull, sources, got_all_items: true, stored };
    loop {
        updater.compare().await;
        updater.wait().await;
    }
}

/// Puts encoded items from another process into force; returns the number of those that were new, or
/// `None` when they cannot be decoded.
pub(crate) fn adopt_encoded(shared: &Shared, bytes: &[u8]) -> Option<usize> {
    Some(shared.adopt_items(border::decode(codec::decode(bytes).ok()?)))
}

impl Updater {
    /// Compares with a process, with another one when the first does not give all items, and with
    /// another node while the control instances are lost.
    async fn compare(&mut self) {
        let (control, nodes) = peer_addresses(&self.shared);
        // A node without a configuration must not take it from a node that is behind.
        let peer = nodes.first().copied().filter(|_| self.shared.completeness.has_all());
        let mut reached_control = None;
        for address in self.sources.next(&control, peer, nodes.len() + 1) {
            let outcome = self.compare_with(address).await;
            if Some(address) != peer {
                reached_control = Some(outcome.is_complete());
                if outcome.has_complete_peer() {
                    self.sources.record_control(self.shared.clock.now());
                }
            }
            if outcome.is_complete() && self.shared.completeness.has_all() {
                break;
            }
        }
        if peer.is_none()
            && self.sources.asks_nodes(self.shared.clock.now())
            && let Some(address) = nodes.first()
        {
            self.compare_with(*address).await;
        }
        if !self.shared.completeness.has_all()
            && self.sources.is_last_resort(self.shared.clock.now())
        {
            self.use_fallback(&control).await;
        }
        if let Some(got_all_items) = reached_control {
            self.record_contact(got_all_items);
        }
    }

    /// Returns whether a node that has all items of a process may use them: at once in a fleet without
    /// API keys.
    fn may_rely_on_items(&self) -> bool {
        let (control, _) = peer_addresses(&self.shared);
        !self.shared.requires_keys(&self.shared.configuration())
            || self.sources.may_rely_on_keys(&control, self.shared.clock.now())
    }

    fn record_contact(&mut self, got_all_items: bool) {
        if got_all_items != self.got_all_items {
            self.got_all_items = got_all_items;
            tracing::info!(
                event = "configuration-source",
                reached = got_all_items,
                known = self.shared.is_configured()
            );
        }
        let now = self.shared.clock.now();
        let event = match got_all_items {
            true => self.shared.cluster.control_contact().record_success(now),
            false => self.shared.cluster.control_contact().record_failure(now),
        };
        self.shared.record_contact(event);
    }

    /// Waits until the next comparison is due, and fetches items that are announced meanwhile.
    async fn wait(&mut self) {
        if !self.shared.is_configured() {
            return sleep(STARTUP_COMPARE_INTERVAL).await;
        }
        let interval = distribution::compare_interval(rand::rng().random_range(0.8..1.2));
        let due = self.shared.clock.now() + interval;
        loop {
            let left = due.saturating_sub(self.shared.clock.now());
            if left == Time::ZERO {
                return;
            }
            let announced = self.shared.announced.wait();
            let Ok(hashes) = within(left, announced).await else { return };
            if hashes.is_empty() {
                return;
            }
            self.pull.want(self.shared.view().accepted(), &hashes);
            let (control, _) = peer_addresses(&self.shared);
            self.fetch(&self.sources.rotated(&control)).await;
        }
    }
}

/// Returns the known control instances in a fixed order, or the configured ones when none is known,
/// and the nodes in random order.
fn peer_addresses(shared: &Shared) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut control, nodes) = members(shared);
    let mut nodes: Vec<SocketAddr> = nodes.into_iter().map(|(_, address)| address).collect();
    if control.is_empty() {
        control.extend(shared.control().iter());
    }
    control.sort_unstable();
    nodes.shuffle(&mut rand::rng());
    (control, nodes)
}

/// Returns the control instances and the other nodes that gossip knows.
pub(crate) fn members(shared: &Shared) -> (Vec<SocketAddr>, Vec<(NodeId, SocketAddr)>) {
    let (mut control, mut nodes) = (Vec::new(), Vec::new());
    for known in shared.cluster.membership().gossip.table().members() {
        let Ok(address) = known.record.peers.parse() else { continue };
        if known.record.node == shared.settings.node {
            continue;
        }
        // A control instance has no listener for callers.
        match known.record.callers.is_empty() {
            true => control.push(address),
            false => nodes.push((known.record.node.clone(), address)),
        }
    }
    (control, nodes)
}
