//! What a leader knows about another replica.

use arbutuslane_core::time::Time;

/// The state of one other replica as the leader sees it.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The index after which the next entries are sent.
    pub(crate) sent: u64,
    /// The index up to which its durable log agrees.
    pub(crate) matched: u64,
    /// When it was last heard from.
    pub(crate) heard: Time,
    /// When the last heartbeat that it acknowledged was sent.
    pub(crate) acknowledged: Option<Time>,
    /// No snapshot is sent before this time.
    pub(crate) snapshot_after: Time,
    /// No entries are sent again before this time, unless an answer arrives.
    pub(crate) resend_after: Time,
}

impl Progress {
    pub(crate) fn new(sent: u64, now: Time) -> Self {
        Self {
            sent,
            matched: 0,
            heard: now,
            acknowledged: None,
            snapshot_after: now,
            resend_after: now,
        }
    }
}
