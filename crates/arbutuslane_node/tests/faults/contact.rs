//! The contact of a node with control.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::support::Node;

/// Polls until `probe` holds; a request that fails takes up to a second, and the node counts control
/// as unreachable after 10 s.
fn wait_long(probe: impl Fn() -> bool) {
    let start = Instant::now();
    while !probe() {
        assert!(start.elapsed() < Duration::from_secs(60), "waited in vain");
        sleep(Duration::from_millis(100));
    }
}

/// Guards against a node that is cut off from control and says so neither in its status nor in an
/// event or a metric, although its peers answer.
#[test]
fn control_lost() {
    let peer = Node::start(&[]);
    // A node answers a request for the configuration as a control instance does.
    let mut control = Node::start(&[]);
    let node = Node::start_controlled(&[peer.peers], &[control.peers]);
    let kinds = || node.get("/v1/events?since=0").unwrap().text();
    assert_eq!(node.status()["isolated"], false);
    let _ = control.child.kill();
    let _ = control.child.wait();
    wait_long(|| node.status()["isolated"] == true);
    assert_eq!(node.metric("arbutuslane_control_unreachable"), 1);
    assert!(kinds().contains("control-unreachable"));
    control.kill_and_restart();
    wait_long(|| node.status()["isolated"] == false);
    assert_eq!(node.metric("arbutuslane_control_unreachable"), 0);
    assert!(kinds().contains("control-reachable"));
}
