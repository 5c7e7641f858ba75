//! Decides which processes a node compares its items with.
//!
//! Control instances have every accepted item, other nodes may be behind without knowing it. A node
//! that took its first configuration from such a node would serve an outdated one. A node without a
//! configuration therefore asks other nodes only while the control instances are lost, so that it can
//! still start then.
//!
//! A node that has all items of a control instance can only gain from others. In a large fleet most of
//! its comparisons are with nodes, so that the control instances serve the same number however many
//! nodes there are.

use std::net::SocketAddr;
use std::time::Duration;

use arbutuslane_core::time::Time;

/// The number of control instances that are asked for each comparison.
const CONTROL_PER_COMPARISON: usize = 2;

/// The number of nodes up to which every comparison begins with a control instance, so that the control
/// instances serve about 300 comparisons a second at most.
const FEW_NODES: usize = 200;

/// The time without a control instance that has all items after which another node is asked. Control
/// instances that were all killed at once have settled their items by then.
const NODE_FALLBACK_AFTER: Duration = Duration::from_secs(2);

/// The time without a process that has all items after which a node that has just started uses what
/// the control instances hold. They settle which items are accepted within a few seconds of a start,
/// unless too few of them are left.
const LAST_RESORT_AFTER: Duration = Duration::from_secs(6);

/// The processes to compare with.
#[derive(Debug)]
pub struct Sources {
    /// Each comparison begins with the next control instance, because a minority of the instances
    /// may lack items that the others have accepted.
    turn: usize,
    /// The number of comparisons, from a random one on.
    comparisons: usize,
    /// The last time when a control instance that has all items responded, or the start.
    last_source_at: Time,
    started_at: Time,
    /// The processes all of whose items this node has had, in ascending order.
    compared: Vec<SocketAddr>,
}

impl Sources {
    /// Returns the state at the start; `turn` differs between nodes, so that they use different
    /// control instances.
    pub fn new(now: Time, turn: usize) -> Self {
        Self { turn, comparisons: turn, last_source_at: now, started_at: now, compared: Vec::new() }
    }

    /// Returns the processes for the next comparison of a node that has all items of a control instance,
    /// in the order in which they are asked until one has all items: `peer`, a random other node, and
    /// control instances. `nodes` is the number of nodes in the fleet.
    pub fn next(
        &mut self,
        control: &[SocketAddr],
        peer: Option<SocketAddr>,
        nodes: usize,
    ) -> Vec<SocketAddr> {
        let Some(peer) = peer else { return self.next_control(control) };
        self.comparisons = self.comparisons.wrapping_add(1);
        let period = nodes.div_ceil(FEW_NODES).max(1);
        if self.comparisons.is_multiple_of(period) {
            let mut next = self.next_control(control);
            next.push(peer);
            return next;
        }
        std::iter::once(peer).chain(self.rotated(control).first().copied()).collect()
    }

    /// Returns the control instances for the next comparison, in the order in which they are asked.
    fn next_control(&mut self, control: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut next = self.rotated(control);
        next.truncate(CONTROL_PER_COMPARISON);
        self.turn = self.turn.wrapping_add(1);
        next
    }

    /// Returns all of the `control` instances, beginning with the one whose turn it is.
    pub fn rotated(&self, control: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut rotated = control.to_vec();
        rotated.rotate_left(self.turn % control.len().max(1));
        rotated
    }

    /// Records a response of a control instance that has all items.
    pub fn record_control(&mut self, now: Time) {
        self.last_source_at = now;
    }

    /// Records that this node has all items of the process at `address`.
    pub fn record_compared(&mut self, address: SocketAddr) {
        if let Err(index) = self.compared.binary_search(&address) {
            self.compared.insert(index, address);
        }
    }

    /// Returns whether a node that has just started may rely on the API keys that it knows.
    ///
    /// An instance that is cut off from the others does not notice that it lacks the latest changes,
    /// and this node may have known them before its start. One of a majority has them. Without a
    /// majority, the node relies on what it has found after a while, because it could serve nothing
    /// otherwise.
    pub fn may_rely_on_keys(&self, control: &[SocketAddr], now: Time) -> bool {
        let compared =
            control.iter().filter(|address| self.compared.binary_search(address).is_ok());
        compared.count() * 2 > control.len() || now >= self.started_at + NODE_FALLBACK_AFTER
    }

    /// Returns whether another node is asked.
    pub fn asks_nodes(&self, now: Time) -> bool {
        now >= self.last_source_at + NODE_FALLBACK_AFTER
    }

    /// Returns whether a node without a configuration uses items that may not be accepted, and of
    /// which some may be missing.
    pub fn is_last_resort(&self, now: Time) -> bool {
        now >= self.last_source_at + LAST_RESORT_AFTER
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn control() -> Vec<SocketAddr> {
        (1..=5).map(|number| SocketAddr::from(([10, 0, 0, number], 80))).collect()
    }

    /// Guards against a node that takes an outdated configuration from another node although a
    /// control instance responds, for example slowly and in parts.
    #[test]
    fn asks_nodes_control_responds() {
        let mut sources = Sources::new(Time::ZERO, 0);
        for number in 0..100 {
            let now = Duration::from_millis(number * 900);
            assert!(!sources.asks_nodes(now), "at {now:?}");
            sources.record_control(now);
        }
    }

    /// Guards against a node that cannot start while the control instances are lost.
    #[test]
    fn asks_nodes_control_lost() {
        let mut sources = Sources::new(Time::ZERO, 0);
        sources.record_control(Duration::from_millis(500));
        assert!(!sources.asks_nodes(Duration::from_millis(2_499)));
        assert!(sources.asks_nodes(Duration::from_millis(2_500)));
        assert!(!sources.is_last_resort(Duration::from_millis(6_499)));
        assert!(sources.is_last_resort(Duration::from_millis(6_500)));
        sources.record_control(Duration::from_millis(7_000));
        assert!(!sources.asks_nodes(Duration::from_millis(7_100)));
    }

    /// Guards against a node that accepts a withdrawn key after a restart, because it relies on one
    /// control instance that is outdated, and against one that cannot start without a majority.
    #[test]
    fn may_rely_on_keys_majority() {
        let mut sources = Sources::new(Time::ZERO, 0);
        let control = control();
        let soon = Duration::from_millis(300);
        sources.record_compared(control[4]);
        sources.record_compared(control[4]);
        sources.record_compared(SocketAddr::from(([10, 0, 1, 1], 80)));
        sources.record_compared(control[0]);
        assert!(!sources.may_rely_on_keys(&control, soon));
        assert!(sources.may_rely_on_keys(&control, NODE_FALLBACK_AFTER));
        sources.record_compared(control[2]);
        assert!(sources.may_rely_on_keys(&control, soon));
    }

    /// Guards against control instances that get more comparisons in a larger fleet, and against nodes
    /// that compare among themselves only.
    #[test]
    fn next_share_of_control() {
        let peer = SocketAddr::from(([10, 0, 2, 1], 80));
        for (nodes, expected) in [(3, 1_000), (200, 1_000), (400, 500), (401, 333), (3_000, 66)] {
            let mut sources = Sources::new(Time::ZERO, 11);
            let mut first_control = 0;
            for _ in 0..1_000 {
                let next = sources.next(&control(), Some(peer), nodes);
                assert!(next.contains(&peer) && next.len() >= 2);
                first_control += u32::from(next[0] != peer);
            }
            assert!((expected..=expected + 1).contains(&first_control), "{first_control}");
            assert_eq!(sources.next(&control(), None, nodes).len(), CONTROL_PER_COMPARISON);
        }
    }

    /// Guards against a node that compares with the same few control instances only, and so misses
    /// what they lack.
    #[test]
    fn next_control_all() {
        let mut sources = Sources::new(Time::ZERO, 7);
        let mut first: Vec<SocketAddr> =
            (0..5).map(|_| sources.next_control(&control())[0]).collect();
        first.sort_unstable();
        assert_eq!(first, control());
        assert!(sources.next_control(&[]).is_empty());
    }
}
