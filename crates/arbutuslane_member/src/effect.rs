//! What the caller of the membership state machine has to carry out.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId};

use crate::configuration::Payload;
use crate::message::{Answer, Message};
use crate::record::Standing;

/// Identifies an outgoing request until it is answered or has failed.
pub type Call = u64;

/// Identifies an incoming request until it is answered; chosen by the caller.
pub type Ticket = u64;

/// One thing to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a request and report its answer, or that there was none within `timeout`.
    Call {
        /// Identifies the request in the report.
        call: Call,
        /// The address of the receiver's `peers` listener.
        address: String,
        /// The request.
        message: Message,
        /// The time after which the request has failed.
        timeout: Duration,
    },
    /// Answer an incoming request.
    Reply {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Apply the payload to the replicated state, then report the new position.
    Apply(Payload),
    /// A node's standing changed; for the event timeline.
    Changed {
        /// The node.
        node: NodeId,
        /// The incarnation that the view is about.
        incarnation: Incarnation,
        /// The new view.
        standing: Standing,
    },
}
