//! Chooses the nodes that lend the tokens of a workspace.

use arbutuslane_core::hash;
use arbutuslane_core::id::{DomainName, NodeId};

/// The number of lenders of a workspace in a fleet with fewer failure domains. With one lender of three
/// lost, the others lend 0.6 of a quota, about what a workspace usually uses.
const MIN_LENDERS: usize = 3;

/// Returns the indexes of the lenders of `workspace` among `nodes`, in ascending order.
///
/// Each failure domain has one, so that most requests for tokens stay within their domain. When a node
/// joins or leaves, only the workspaces that it lends or lent change their lenders.
///
/// ```
/// use arbutuslane_limit::allowance::lenders;
///
/// let nodes = [("n1", "a"), ("n2", "a"), ("n3", "b"), ("n4", "c")]
///     .map(|(node, domain)| (node.to_string(), domain.to_string()));
/// let chosen = lenders("shop", &nodes);
/// assert_eq!(chosen[1..], [2, 3]);
/// ```
pub fn lenders(workspace: &str, nodes: &[(NodeId, DomainName)]) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = Vec::with_capacity(nodes.len());
    for (index, (node, _)) in nodes.iter().enumerate() {
        ranked.push((hash::weight(node, workspace), index));
    }
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    let mut chosen: Vec<usize> = Vec::new();
    for (_, index) in &ranked {
        let domain = &nodes[*index].1;
        if chosen.iter().all(|known| nodes[*known].1 != *domain) {
            chosen.push(*index);
        }
    }
    for (_, index) in &ranked {
        if chosen.len() >= MIN_LENDERS {
            break;
        }
        if !chosen.contains(index) {
            chosen.push(*index);
        }
    }
    chosen.sort_unstable();
    chosen
}
