//! What servers state about themselves in their responses is kept.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, caller};

/// The requests per second that a server states it accepts.
const STATED_LIMIT: u32 = 2;

/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(3);

/// Starts two nodes that both know the servers of the first.
fn start_nodes() -> (Node, Node) {
    let first = Node::start(&[]);
    let second = Node::start(&[first.peer_address]);
    (first, second)
}

fn wait_for_servers(node: &Node, count: u64) {
    wait_until(|| node.metric("arbutuslane_remote_servers") == count);
}

/// Sends lookups to both nodes from several callers for [`LOAD_DURATION`]; returns how many were
/// answered and how many were not.
fn call_for_a_while(nodes: [&Node; 2]) -> (u32, u32) {
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let address = nodes[number % 2].caller_address;
            let stopped = Arc::clone(&stopped);
            spawn(move || {
                let (mut answered, mut refused) = (0, 0);
                while !stopped.load(Ordering::Relaxed) {
                    match caller::call(address, "GET", "/slots", &[], b"").status {
                        200 => answered += 1,
                        _ => refused += 1,
                    }
                }
                (answered, refused)
            })
        })
        .collect();
    sleep(LOAD_DURATION);
    stopped.store(true, Ordering::Relaxed);
    let counts = callers.into_iter().map(|caller| caller.join().unwrap());
    counts.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
}

/// Guards against a server in need that gets far more requests than it states that it accepts,
/// although other servers have room.
#[test]
fn limit_stated() {
    let (first, second) = start_nodes();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&arrivals);
    let _limited = Server::start(&first, "slots", "s1", move |received, stream| {
        recorded.lock().unwrap().push(Instant::now());
        let limit = format!("arbutuslane-server-limit: {STATED_LIMIT}\r\n");
        write(stream, &received.build_response("200 OK", &limit, "done"))
    });
    let _other = Server::start(&first, "slots", "s2", move |received, stream| {
        write(stream, &received.build_ok_response("done"))
    });
    wait_for_servers(&second, 2);
    let (answered, refused) = call_for_a_while([&first, &second]);
    assert!(answered > 100, "{answered} requests were answered");
    assert_eq!(refused, 0, "requests were refused although another server has room");
    let arrivals = arrivals.lock().unwrap();
    // Those that arrive while the first response is on its way are not known to be too many.
    let known_at = arrivals[0] + Duration::from_millis(500);
    let after: Vec<&Instant> = arrivals.iter().filter(|arrival| **arrival > known_at).collect();
    assert!(!after.is_empty(), "the server gets nothing although it accepts requests");
    for start in &after {
        let window = Duration::from_secs(1);
        let count = after.iter().filter(|at| *at >= start && ***at < **start + window).count();
        let allowed = STATED_LIMIT as usize * 3 / 2 + 5;
        assert!(count <= allowed, "{count} requests in a second, {allowed} are allowed");
    }
}

/// Guards against new requests for a server that states in its responses that it leaves, while its
/// announcements do not say so.
#[test]
fn leaving_stated() {
    let (first, second) = start_nodes();
    let leaving = Server::start(&first, "slots", "s1", move |received, stream| {
        let header = "arbutuslane-server-leaving: 1\r\n";
        write(stream, &received.build_response("200 OK", header, "done"))
    });
    let _other = Server::start(&first, "slots", "s2", move |received, stream| {
        write(stream, &received.build_ok_response("done"))
    });
    wait_for_servers(&second, 2);
    wait_until(|| {
        caller::call(second.caller_address, "GET", "/slots", &[], b"");
        !leaving.received_requests().is_empty()
    });
    sleep(Duration::from_millis(500));
    let before = leaving.received_requests().len();
    let (answered, _) = call_for_a_while([&first, &second]);
    assert!(answered > 100, "{answered} requests were answered");
    assert_eq!(leaving.received_requests().len(), before, "the leaving server got new requests");
}
