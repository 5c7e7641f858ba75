//! Members of the replicated log and the changes of their membership.

use arbutuslane_core::id::NodeId;

/// Identifies one data folder of one control instance.
///
/// A replica that lost its disk restarts with the same name and another disk id, so votes
/// and acknowledgements from the lost data folder never count for the new, empty one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The name of the control instance from its settings.
    pub name: NodeId,
    /// A random number that is drawn when the data folder is created; 0 stands for an unknown data
    /// folder, in a member that has not joined yet and in the receiver of a join request.
    pub disk_id: u64,
}

/// One control instance in the membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// The data folder of the instance; the disk id is 0 until a new instance has joined.
    pub id: Id,
    /// Whether it counts for elections and commits. A member that does not only receives the log.
    pub voter: bool,
    /// The name of the instance that is removed once this one is a voter.
    pub replaces: Option<NodeId>,
    /// The addresses of the instance; this crate does not interpret them.
    pub addresses: String,
}

/// A requested change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reconfigure {
    /// Adds an instance, which becomes a voter after it has caught up.
    Add {
        /// The name of the new instance.
        name: NodeId,
        /// The addresses of the new instance, stored in [`Member::addresses`].
        addresses: String,
        /// The name of the instance that is removed once the new one is a voter, if any.
        replaces: Option<NodeId>,
    },
    /// Removes an instance.
    Remove {
        /// The name of the instance.
        name: NodeId,
    },
}

/// Returns whether `count` is a majority of the voters of `members`.
pub(crate) fn is_majority(members: &[Member], count: usize) -> bool {
    count * 2 > members.iter().filter(|member| member.voter).count()
}

/// Returns whether `id` is a voter of `members`.
pub(crate) fn is_voter(members: &[Member], id: &Id) -> bool {
    members.iter().any(|member| member.voter && member.id == *id)
}
