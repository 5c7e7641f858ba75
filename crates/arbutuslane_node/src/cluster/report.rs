//! Reports to control the revision in force and the register groups in which this node votes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::time::Time;
use arbutuslane_wire::peer;

use crate::peers;
use crate::shared::Shared;
use crate::traffic::Pool;

/// The time between two checks for a change to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The time after which an unchanged report is sent again: control discards old reports, and a new
/// leader has none.
const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// The longest wait for the response of one control instance, after which the next one is tried.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends reports to one control instance at a time until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, pool: Rc<Pool>) {
    let mut reported = None;
    let mut repeat_at = Time::ZERO;
    loop {
        ntex::time::sleep(CHECK_INTERVAL).await;
        let order = instance_order(&shared.settings.node, &shared.control());
        if order.is_empty() {
            continue;
        }
        let revision = shared.configuration().snapshot().revision;
        let votes = shared.cluster.registers.votes();
        let current = Some((revision, votes));
        if current == reported && shared.clock.now() < repeat_at {
            continue;
        }
        let Some((revision, votes)) = current.clone() else { continue };
        let node = shared.settings.node.clone();
        let message = peer::Message::InForce { node, revision, votes };
        let mut reached = false;
        for address in &order {
            if peers::send(&shared, &pool, *address, &message, REPORT_TIMEOUT).await.is_ok() {
                reported = current;
                repeat_at = shared.clock.now() + REPEAT_INTERVAL;
                reached = true;
                break;
            }
        }
        if reached {
            let event = shared.cluster.control_contact().record_success(shared.clock.now());
            shared.record_contact(event);
        } else {
            shared.record_control_failure();
        }
    }
}

/// Returns the control instances in the order in which this node tries them. Rendezvous hashing
/// spreads the nodes over the instances.
fn instance_order(node: &str, control: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut order = control.to_vec();
    order.sort_by_key(|address| std::cmp::Reverse(hash::weight(&address.to_string(), node)));
    order
}
