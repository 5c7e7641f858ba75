//! Actions that the membership state machine requests from the code that drives it.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId};

use crate::configuration::Payload;
use crate::message::{Message, Response};
use crate::record::Standing;

/// Identifies an outgoing request until its response arrives or it fails.
pub type CallId = u64;

/// Identifies an incoming request until its response is sent; chosen by the driving code.
pub type RequestId = u64;

/// An action to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a request and report its response, or that none arrived within `timeout`.
    Call {
        /// The id to report the response with.
        call: CallId,
        /// The address of the receiver's `peers` listener.
        address: String,
        /// The request.
        message: Message,
        /// The time after which the request has failed.
        timeout: Duration,
    },
    /// Respond to an incoming request.
    Respond {
        /// The id of the request.
        request: RequestId,
        /// The response.
        response: Response,
    },
    /// Apply the payload to the replicated state, then report the new position.
    Apply(Payload),
    /// Record in the event timeline that the standing of a node changed.
    StandingChanged {
        /// The node.
        node: NodeId,
        /// The incarnation that the standing applies to.
        incarnation: Incarnation,
        /// The new standing.
        standing: Standing,
    },
}
