//! Tells control which revision is in force here and which register groups the node votes in.

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

/// The time between two looks for something new to report.
const LOOK: Duration = Duration::from_millis(500);

/// The time after which an unchanged report is repeated: control forgets reports, and a new leader
/// has none.
const REPEAT: Duration = Duration::from_secs(30);

/// The longest wait for an answer, after which the next instance is tried.
const WAIT: Duration = Duration::from_secs(1);

/// Reports to one control instance until the process ends.
pub(crate) async fn work(shared: Arc<Shared>, pool: Rc<Pool>) {
    let mut reported = None;
    let mut repeat_after = Time::ZERO;
    loop {
        ntex::time::sleep(LOOK).await;
        let order = preference(&shared.settings.node, &shared.control());
        if order.is_empty() {
            continue;
        }
        let revision = shared.configuration().snapshot().revision;
        let votes = shared.cluster.registers.votes();
        let current = Some((revision, votes));
        if current == reported && shared.clock.now() < repeat_after {
            continue;
        }
        let Some((revision, votes)) = current.clone() else { continue };
        let node = shared.settings.node.clone();
        let message = peer::Message::InForce { node, revision, votes };
        let mut reached = false;
        for address in &order {
            if peers::ask(&shared, &pool, *address, &message, WAIT).await.is_ok() {
                reported = current;
                repeat_after = shared.clock.now() + REPEAT;
                reached = true;
                break;
            }
        }
        if reached {
            let event = shared.cluster.contact().reached(shared.clock.now());
            shared.record_contact(event);
        } else {
            shared.control_failed();
        }
    }
}

/// Returns the control instances in the order in which this node reports to them; the nodes spread
/// over the instances.
fn preference(node: &str, control: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut order = control.to_vec();
    order.sort_by_key(|address| std::cmp::Reverse(hash::weight(&address.to_string(), node)));
    order
}
