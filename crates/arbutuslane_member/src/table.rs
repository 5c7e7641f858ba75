//! The table of known nodes, with hashes that locate the differences between two tables.

use std::sync::Arc;

use arbutuslane_core::hash;
use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;

use crate::message::{NodeView, RecordWithView};
use crate::record::{Record, Standing, State, View};

/// The number of buckets that the nodes of a table are divided into for comparison: about 11 nodes
/// per bucket at 1,400 nodes.
pub const BUCKET_COUNT: u16 = 128;

/// A known node.
#[derive(Debug, Clone)]
pub struct KnownNode {
    /// The newest known record of the node.
    pub record: Arc<Record>,
    /// This process's view of the node.
    pub view: View,
    /// When the standing last changed.
    pub standing_since: Time,
    hash: u64,
}

impl KnownNode {
    /// Returns whether the node is alive or suspect, that is, neither dead nor left.
    pub fn is_member(&self) -> bool {
        self.view.standing <= Standing::Suspect
    }

    /// Returns whether the node announced that it leaves.
    pub fn has_left(&self) -> bool {
        self.view.standing == Standing::Left
    }

    fn record_with_view(&self) -> RecordWithView {
        RecordWithView { record: Arc::clone(&self.record), view: self.view }
    }
}

/// All known nodes, in ascending order of their names.
#[derive(Debug, Clone)]
pub struct Table {
    nodes: Vec<KnownNode>,
    buckets: Vec<u64>,
    hash: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self { nodes: Vec::new(), buckets: vec![0; usize::from(BUCKET_COUNT)], hash: 0 }
    }
}

impl Table {
    /// Returns all known nodes, including dead and departed ones.
    pub fn nodes(&self) -> &[KnownNode] {
        &self.nodes
    }

    /// Returns the nodes that are alive or suspect.
    pub fn members(&self) -> impl Iterator<Item = &KnownNode> {
        self.nodes.iter().filter(|known| known.is_member())
    }

    /// Returns the entry of `node`, or `None` when it is not known.
    pub fn get(&self, node: &str) -> Option<&KnownNode> {
        self.find(node).ok().map(|index| &self.nodes[index])
    }

    /// Returns the number of servers of `service` at members that are neither cold nor draining;
    /// ejected servers are included.
    pub fn live_servers(&self, service: &str) -> u32 {
        let servers = self.members().flat_map(|known| &known.record.servers);
        let live = servers.filter(|server| {
            server.service == service && matches!(server.state, State::Serving | State::Ejected)
        });
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Returns the hash over all members; tables with equal members have equal hashes.
    ///
    /// Dead and departed nodes are excluded because processes remove them at different times.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hash of every bucket.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Merges a record with its view into the table; returns true when it is newer than the known one.
    pub fn merge(&mut self, now: Time, received: &RecordWithView) -> bool {
        let order = received.record.order();
        match self.find(&received.record.node) {
            Ok(index) => {
                let known = &self.nodes[index];
                if (order, received.view) <= (known.record.order(), known.view) {
                    return false;
                }
                self.replace(index, Arc::clone(&received.record), received.view, now);
            }
            Err(index) => {
                let known = KnownNode {
                    record: Arc::clone(&received.record),
                    view: received.view,
                    standing_since: now,
                    hash: 0,
                };
                self.nodes.insert(index, known);
                self.replace(index, Arc::clone(&received.record), received.view, now);
            }
        }
        true
    }

    /// Merges a view of a known record into the table; returns true when it is newer than the known
    /// one.
    pub fn merge_view(&mut self, now: Time, node_view: &NodeView) -> bool {
        let Ok(index) = self.find(&node_view.node) else { return false };
        let known = &self.nodes[index];
        if known.record.order() != (node_view.incarnation, node_view.version)
            || node_view.view <= known.view
        {
            return false;
        }
        let record = Arc::clone(&known.record);
        self.replace(index, record, node_view.view, now);
        true
    }

    /// Removes nodes that have been dead or departed since before `cutoff`.
    pub fn remove_departed(&mut self, cutoff: Time) {
        self.nodes.retain(|known| known.is_member() || known.standing_since >= cutoff);
    }

    /// Returns the view of one node.
    pub fn node_view(&self, node: &str) -> Option<NodeView> {
        self.get(node).map(node_view)
    }

    /// Returns the record and view of one node.
    pub fn record_with_view(&self, node: &str) -> Option<RecordWithView> {
        self.get(node).map(KnownNode::record_with_view)
    }

    /// Returns the view of every node in the given buckets.
    pub fn views(&self, buckets: &[u16]) -> Vec<NodeView> {
        let selected =
            self.nodes.iter().filter(|known| buckets.contains(&bucket_of(&known.record.node)));
        selected.map(node_view).collect()
    }

    /// Compares this table with a peer's views of the nodes in `buckets`.
    ///
    /// Returns the records that are newer here, and the nodes whose state is newer at the peer.
    pub fn difference(
        &self,
        buckets: &[u16],
        theirs: &[NodeView],
    ) -> (Vec<RecordWithView>, Vec<NodeId>) {
        let mut newer = Vec::new();
        let mut wanted = Vec::new();
        let mut compared = vec![false; self.nodes.len()];
        for node_view in theirs {
            let their_state = ((node_view.incarnation, node_view.version), node_view.view);
            let Ok(index) = self.find(&node_view.node) else {
                if node_view.view.standing <= Standing::Suspect {
                    wanted.push(node_view.node.clone());
                }
                continue;
            };
            compared[index] = true;
            let known = &self.nodes[index];
            let own_state = (known.record.order(), known.view);
            if own_state > their_state {
                newer.push(known.record_with_view());
            } else if own_state < their_state {
                wanted.push(node_view.node.clone());
            }
        }
        for (known, was_compared) in self.nodes.iter().zip(compared) {
            if !was_compared
                && known.is_member()
                && buckets.contains(&bucket_of(&known.record.node))
            {
                newer.push(known.record_with_view());
            }
        }
        (newer, wanted)
    }

    /// Returns the index of a node, or as an error the index to insert it at.
    fn find(&self, node: &str) -> Result<usize, usize> {
        self.nodes.binary_search_by(|known| known.record.node.as_str().cmp(node))
    }

    fn replace(&mut self, index: usize, record: Arc<Record>, view: View, now: Time) {
        let bucket = usize::from(bucket_of(&record.node));
        let known = &mut self.nodes[index];
        let hash = node_hash(&record, view);
        self.hash ^= known.hash ^ hash;
        self.buckets[bucket] ^= known.hash ^ hash;
        known.hash = hash;
        if known.view.standing != view.standing {
            known.standing_since = now;
        }
        known.record = record;
        known.view = view;
    }
}

/// Returns the index of a node's bucket.
pub fn bucket_of(node: &str) -> u16 {
    u16::try_from(hash::of_bytes(node.as_bytes()) % u64::from(BUCKET_COUNT)).unwrap_or(0)
}

fn node_view(known: &KnownNode) -> NodeView {
    NodeView {
        node: known.record.node.clone(),
        incarnation: known.record.incarnation,
        version: known.record.version,
        view: known.view,
    }
}

/// Returns the contribution of a node to the hashes, which is 0 unless it is a member.
fn node_hash(record: &Record, view: View) -> u64 {
    if view.standing >= Standing::Dead {
        return 0;
    }
    let mut bytes = record.node.clone().into_bytes();
    bytes.push(0);
    bytes.extend(record.incarnation.to_le_bytes());
    bytes.extend(record.version.to_le_bytes());
    bytes.extend(view.round.to_le_bytes());
    bytes.push(u8::from(view.standing == Standing::Suspect));
    hash::of_bytes(&bytes)
}
