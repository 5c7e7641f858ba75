//! Passes messages about accepted items on to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use arbutuslane_item::distribution::{Branch, RELAY_BRANCHES, RELAY_TIMEOUT};
use arbutuslane_wire::peer::Message;

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// Passes `message` on to the nodes at `receivers`, without waiting for them.
pub(crate) fn relay(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    message: &Message,
    receivers: &[SocketAddr],
) {
    for branch in Branch::split(receivers, RELAY_BRANCHES) {
        send(shared, pool, message, branch);
    }
}

/// Sends `message` to the relay of a branch, and around that node if it does not respond.
fn send(shared: &Arc<Shared>, pool: &Rc<Pool>, message: &Message, branch: Branch) {
    let Some(message) = message.relayed(branch.others.clone()) else { return };
    let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
    let _task = ntex::rt::spawn(async move {
        let sent = peers::send(&shared, &pool, branch.relay, &message, RELAY_TIMEOUT).await;
        shared.metrics.relayed_messages.fetch_add(1, Ordering::Relaxed);
        let Err(error) = sent else { return };
        shared.metrics.failed_relays.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(event = "relay-failed", peer = %branch.relay, error);
        for branch in branch.after_failure() {
            send(&shared, &pool, &message, branch);
        }
    });
}
