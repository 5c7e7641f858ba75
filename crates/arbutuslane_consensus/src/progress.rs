//! Replication progress of another replica, as tracked by the leader.

use arbutuslane_core::time::Time;

/// The replication progress of one other replica.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The index after which the next entries are sent.
    pub(crate) sent_index: u64,
    /// The index up to which its durable log is known to agree with the leader's.
    pub(crate) matched_index: u64,
    /// When the leader last received an [`Appended`](crate::message::Message::Appended) message
    /// from it, initially when tracking started.
    pub(crate) heard_at: Time,
    /// When the last heartbeat that it acknowledged was sent.
    pub(crate) acked_heartbeat_sent_at: Option<Time>,
    /// The earliest time at which a snapshot is sent again.
    pub(crate) next_snapshot_at: Time,
    /// The earliest time at which the same entries are sent again after a conflict.
    pub(crate) next_resend_at: Time,
}

impl Progress {
    pub(crate) fn new(sent_index: u64, now: Time) -> Self {
        Self {
            sent_index,
            matched_index: 0,
            heard_at: now,
            acked_heartbeat_sent_at: None,
            next_snapshot_at: now,
            next_resend_at: now,
        }
    }
}
