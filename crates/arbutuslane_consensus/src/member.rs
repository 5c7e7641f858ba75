//! The control instances that hold the log.

use arbutuslane_core::id::NodeId;

/// Identifies one data folder of one instance.
///
/// A replica whose disk was lost comes back with the same name and another instance number. Votes
/// and acknowledgements of the lost disk therefore never count for the empty one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The name from the settings.
    pub name: NodeId,
    /// A random number that is drawn when the data folder is created; 0 stands for any.
    pub instance: u64,
}

/// One instance of the current membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// The instance; its number is 0 until a new one has joined.
    pub id: Id,
    /// Whether it counts for elections and commits. One that does not only receives the log.
    pub voter: bool,
    /// The name of the instance that is removed once this one votes.
    pub replaces: Option<NodeId>,
    /// Where the instance is reached; opaque here.
    pub contact: String,
}

/// A requested change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reconfigure {
    /// Adds an instance, which votes after it has caught up.
    Add {
        /// The name of the new instance.
        name: NodeId,
        /// Where it is reached.
        contact: String,
        /// The instance that is removed afterwards, if any.
        replaces: Option<NodeId>,
    },
    /// Removes an instance.
    Remove {
        /// The name of the instance.
        name: NodeId,
    },
}

/// Returns whether `count` of the voters of `members` are a majority.
pub(crate) fn is_majority(members: &[Member], count: usize) -> bool {
    count * 2 > members.iter().filter(|member| member.voter).count()
}

/// Returns whether `id` is a voter of `members`.
pub(crate) fn is_voter(members: &[Member], id: &Id) -> bool {
    members.iter().any(|member| member.voter && member.id == *id)
}
