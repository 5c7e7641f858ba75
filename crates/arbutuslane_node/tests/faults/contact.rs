//! A node that loses its connection to control and regains it.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::support::Node;

/// Polls until `condition` is true; panics after 60 s.
///
/// A failed request takes up to a second, and the node reports control as unreachable after 10 s.
fn wait_up_to_60_s(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(60), "the condition was not met within 60 s");
        sleep(Duration::from_millis(100));
    }
}

/// Guards against a node that is cut off from control while its peers respond, and does not report
/// that in its status, its events and its metrics.
#[test]
fn control_lost() {
    let peer = Node::start(&[]);
    // A node serves requests for the configuration as a control instance does.
    let mut control = Node::start(&[]);
    let node = Node::start_with_control(&[peer.peer_address], &[control.peer_address]);
    let events_text = || node.get_admin("/v1/events?since=0").unwrap().text();
    assert_eq!(node.status()["isolated"], false);
    let _ = control.child.kill();
    let _ = control.child.wait();
    wait_up_to_60_s(|| node.status()["isolated"] == true);
    assert_eq!(node.metric("arbutuslane_control_unreachable"), 1);
    assert!(events_text().contains("control-unreachable"));
    control.kill_and_restart();
    wait_up_to_60_s(|| node.status()["isolated"] == false);
    assert_eq!(node.metric("arbutuslane_control_unreachable"), 0);
    assert!(events_text().contains("control-reachable"));
}
