//! The nodes that share the allowances, and those of them that lend the tokens of a workspace.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::{DomainName, NodeId};
use arbutuslane_core::time::Time;
use arbutuslane_limit::allowance::{LenderId, lenders};
use arbutuslane_member::record::Standing;

use crate::shared::Shared;

/// How long a dead node counts as one that may still admit requests and lend tokens on the other side
/// of a partition. After a longer time it has more likely ended.
const RECENTLY_DEAD: Duration = Duration::from_secs(30);

/// What this node knows of the nodes that share an allowance.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// The nodes that are alive, in ascending order of their names.
    members: Vec<(NodeId, DomainName)>,
    /// The addresses of the members.
    addresses: Vec<SocketAddr>,
    own_address: Option<SocketAddr>,
    own_domain: DomainName,
    /// The nodes that may admit requests, this one included.
    pub(super) nodes: usize,
    /// Whether most of the nodes are alive as far as this node can tell.
    has_majority: bool,
    /// The indexes of the lenders by workspace. A sorted vector would move some megabytes for each
    /// new workspace among 100,000.
    lenders: Mutex<HashMap<String, Arc<Vec<usize>>>>,
}

impl Fleet {
    pub(super) fn known(shared: &Shared, now: Time) -> Self {
        let settings = &shared.settings;
        let own_address = settings.advertised();
        let mut fleet = Self {
            own_address: Some(own_address),
            own_domain: settings.domain.clone(),
            ..Self::default()
        };
        let mut recently_dead = 0;
        for known in shared.cluster.membership().gossip.table().nodes() {
            let record = &known.record;
            if record.callers.is_empty() || known.has_left() {
                continue;
            }
            // A node that seems dead may be cut off from this one only, and admit requests.
            fleet.nodes += 1;
            if !known.is_member() {
                let is_recent = now < known.standing_since + RECENTLY_DEAD;
                recently_dead += usize::from(is_recent && known.view.standing == Standing::Dead);
                continue;
            }
            let Ok(address) = record.peers.parse() else { continue };
            fleet.members.push((record.node.clone(), record.domain.clone()));
            fleet.addresses.push(address);
        }
        fleet.nodes = fleet.nodes.max(1);
        fleet.has_majority = fleet.members.len() > recently_dead;
        fleet
    }

    /// Returns the lenders in the order in which `node` asks them for tokens of `workspace`: those of
    /// its failure domain first. The order of the others differs between nodes, so that they get
    /// about equally many messages.
    pub(super) fn lenders(&self, workspace: &str, node: &str) -> Vec<LenderId> {
        let mut ranked = Vec::new();
        for index in self.lender_indexes(workspace).iter() {
            let (name, domain) = &self.members[*index];
            let is_remote = *domain != self.own_domain;
            ranked.push((is_remote, hash::weight(name, node), self.addresses[*index]));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., address)| address).collect()
    }

    /// Returns the number of lenders of `workspace` if this node is one of them and may lend.
    ///
    /// On the smaller side of a partition, the nodes take over the parts of lenders that seem dead.
    /// They would be lent twice, so nodes without a majority lend nothing.
    pub(super) fn lending_parts(&self, workspace: &str) -> Option<usize> {
        let chosen = self.lender_indexes(workspace);
        let is_lender = chosen.iter().any(|index| Some(self.addresses[*index]) == self.own_address);
        (is_lender && self.has_majority).then(|| chosen.len())
    }

    fn lender_indexes(&self, workspace: &str) -> Arc<Vec<usize>> {
        let mut known = self.lenders.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(chosen) = known.get(workspace) {
            return Arc::clone(chosen);
        }
        let chosen = Arc::new(lenders(workspace, &self.members));
        known.insert(workspace.to_string(), Arc::clone(&chosen));
        chosen
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns a fleet of `size` nodes in three domains, as the node in `domain` with the address of
    /// the first node knows it.
    fn fleet(size: u8, domain: &str) -> Fleet {
        let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 7_100));
        Fleet {
            members: (0..size).map(|n| (format!("n{n:03}"), format!("d{}", n % 3))).collect(),
            addresses: (0..size).map(address).collect(),
            own_address: Some(address(0)),
            own_domain: domain.to_string(),
            nodes: usize::from(size),
            has_majority: true,
            ..Fleet::default()
        }
    }

    /// Guards against a lender of another failure domain that is asked before one of the node's own,
    /// and against nodes that all ask the others in the same order.
    #[test]
    fn lenders_order() {
        let fleet = fleet(60, "d1");
        let mut seconds = Vec::new();
        for number in 0..40 {
            let order = fleet.lenders("w", &format!("node-{number}"));
            let index = fleet.addresses.iter().position(|known| *known == order[0]).unwrap();
            assert_eq!((order.len(), fleet.members[index].1.as_str()), (3, "d1"));
            seconds.push(order[1]);
        }
        seconds.sort_unstable();
        seconds.dedup();
        assert_eq!(seconds.len(), 2, "{seconds:?}");
    }

    /// Guards against a node that lends a part that it does not have, or on the smaller side of a
    /// partition.
    #[test]
    fn lending_parts_own() {
        let mut fleet = fleet(60, "d0");
        let lent: Vec<String> = (0..600).map(|number| format!("w{number}")).collect();
        let own = |fleet: &Fleet| {
            lent.iter().filter(|workspace| fleet.lending_parts(workspace) == Some(3)).count()
        };
        assert!((15..60).contains(&own(&fleet)), "{}", own(&fleet));
        fleet.has_majority = false;
        assert_eq!(own(&fleet), 0);
    }
}
