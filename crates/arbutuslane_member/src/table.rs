//! Every known node with its record, and hashes that find differences between two tables.

use std::sync::Arc;

use arbutuslane_core::hash;
use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;

use crate::message::{Held, Verdict};
use crate::record::{Record, Standing, State, View};

/// The number of buckets that a table's hash is divided into: about 11 nodes each at 1,400 nodes.
pub const BUCKETS: u16 = 128;

/// A known node.
#[derive(Debug, Clone)]
pub struct Known {
    /// Its newest known record.
    pub record: Arc<Record>,
    /// How this process sees it.
    pub view: View,
    /// When the standing last changed.
    pub since: Time,
    hash: u64,
}

impl Known {
    /// Returns true while the node has not been declared dead and has not left.
    pub fn is_member(&self) -> bool {
        self.view.standing <= Standing::Suspect
    }

    fn held(&self) -> Held {
        Held { record: Arc::clone(&self.record), view: self.view }
    }
}

/// All known nodes in ascending order of their name.
#[derive(Debug, Clone)]
pub struct Table {
    nodes: Vec<Known>,
    buckets: Vec<u64>,
    hash: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self { nodes: Vec::new(), buckets: vec![0; usize::from(BUCKETS)], hash: 0 }
    }
}

impl Table {
    /// Returns every known node, dead ones included.
    pub fn nodes(&self) -> &[Known] {
        &self.nodes
    }

    /// Returns the nodes that are counted on.
    pub fn members(&self) -> impl Iterator<Item = &Known> {
        self.nodes.iter().filter(|known| known.is_member())
    }

    /// Returns what is known about `node`.
    pub fn get(&self, node: &str) -> Option<&Known> {
        self.index(node).ok().map(|index| &self.nodes[index])
    }

    /// Returns the number of warm servers of `service` that are neither draining nor gone; ejected
    /// servers are included.
    pub fn live_servers(&self, service: &str) -> u32 {
        let servers = self.members().flat_map(|known| &known.record.servers);
        let live = servers.filter(|server| {
            server.service == service && matches!(server.state, State::Serving | State::Ejected)
        });
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Returns the hash over all members; equal tables have equal hashes.
    ///
    /// Dead nodes are left out, so that forgetting one at different times makes no difference.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the hash of every bucket.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Takes over a record with its standing; returns true when it was newer.
    pub fn merge(&mut self, now: Time, held: &Held) -> bool {
        let order = held.record.order();
        match self.index(&held.record.node) {
            Ok(index) => {
                let known = &self.nodes[index];
                if (order, held.view) <= (known.record.order(), known.view) {
                    return false;
                }
                self.replace(index, Arc::clone(&held.record), held.view, now);
            }
            Err(index) => {
                let known = Known {
                    record: Arc::clone(&held.record),
                    view: held.view,
                    since: now,
                    hash: 0,
                };
                self.nodes.insert(index, known);
                self.replace(index, Arc::clone(&held.record), held.view, now);
            }
        }
        true
    }

    /// Takes over a view of a known record; returns true when it was newer.
    pub fn judge(&mut self, now: Time, verdict: &Verdict) -> bool {
        let Ok(index) = self.index(&verdict.node) else { return false };
        let known = &self.nodes[index];
        if known.record.order() != (verdict.incarnation, verdict.version)
            || verdict.view <= known.view
        {
            return false;
        }
        let record = Arc::clone(&known.record);
        self.replace(index, record, verdict.view, now);
        true
    }

    /// Forgets nodes that have been dead or gone since before `limit`.
    pub fn forget(&mut self, limit: Time) {
        self.nodes.retain(|known| known.is_member() || known.since >= limit);
    }

    /// Returns the view of one node.
    pub fn verdict(&self, node: &str) -> Option<Verdict> {
        self.get(node).map(verdict)
    }

    /// Returns the record and view of one node.
    pub fn held(&self, node: &str) -> Option<Held> {
        self.get(node).map(Known::held)
    }

    /// Returns the view of every node in the given buckets.
    pub fn verdicts(&self, buckets: &[u16]) -> Vec<Verdict> {
        let inside =
            self.nodes.iter().filter(|known| buckets.contains(&bucket(&known.record.node)));
        inside.map(verdict).collect()
    }

    /// Compares with a peer's view of the nodes in `buckets`: returns what is newer here, and the
    /// nodes that are newer at the peer.
    pub fn difference(&self, buckets: &[u16], theirs: &[Verdict]) -> (Vec<Held>, Vec<NodeId>) {
        let mut newer = Vec::new();
        let mut wanted = Vec::new();
        let mut mine = vec![false; self.nodes.len()];
        for verdict in theirs {
            let order = ((verdict.incarnation, verdict.version), verdict.view);
            let Ok(index) = self.index(&verdict.node) else {
                if verdict.view.standing <= Standing::Suspect {
                    wanted.push(verdict.node.clone());
                }
                continue;
            };
            mine[index] = true;
            let known = &self.nodes[index];
            let own = (known.record.order(), known.view);
            if own > order {
                newer.push(known.held());
            } else if own < order {
                wanted.push(verdict.node.clone());
            }
        }
        for (known, seen) in self.nodes.iter().zip(mine) {
            if !seen && known.is_member() && buckets.contains(&bucket(&known.record.node)) {
                newer.push(known.held());
            }
        }
        (newer, wanted)
    }

    fn index(&self, node: &str) -> Result<usize, usize> {
        self.nodes.binary_search_by(|known| known.record.node.as_str().cmp(node))
    }

    fn replace(&mut self, index: usize, record: Arc<Record>, view: View, now: Time) {
        let bucket = usize::from(bucket(&record.node));
        let known = &mut self.nodes[index];
        let hash = entry_hash(&record, view);
        self.hash ^= known.hash ^ hash;
        self.buckets[bucket] ^= known.hash ^ hash;
        known.hash = hash;
        if known.view.standing != view.standing {
            known.since = now;
        }
        known.record = record;
        known.view = view;
    }
}

/// Returns the bucket of a node.
pub fn bucket(node: &str) -> u16 {
    u16::try_from(hash::of_bytes(node.as_bytes()) % u64::from(BUCKETS)).unwrap_or(0)
}

fn verdict(known: &Known) -> Verdict {
    Verdict {
        node: known.record.node.clone(),
        incarnation: known.record.incarnation,
        version: known.record.version,
        view: known.view,
    }
}

fn entry_hash(record: &Record, view: View) -> u64 {
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
