//! More work than the servers can do.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Guards against work that is done for nobody, refusals that may have run, and a fleet that adds
/// retries to an overload.
#[test]
fn overload_callers_retry() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peers]);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&owner, "bookings", name, |received, stream| {
                sleep(Duration::from_millis(20));
                write(stream, &received.ok("booked"))
            })
        })
        .collect();
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    let stopped = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([const { AtomicU32::new(0) }; 3]);
    // 60 callers at a time for 10 slots; each sends again as soon as it is refused.
    let threads: Vec<_> = (0..60)
        .map(|_| {
            let (stopped, counts, callers) =
                (Arc::clone(&stopped), Arc::clone(&counts), entry.callers);
            spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let fields = [("arbutuslane-deadline-ms", "150")];
                    let response = call(callers, "POST", "/bookings", &fields, b"x");
                    let outcome = match response.outcome() {
                        "answered" => 0,
                        "not-run" => 1,
                        _ => 2,
                    };
                    counts[outcome].fetch_add(1, Ordering::Relaxed);
                    sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    wait_until(|| counts[0].load(Ordering::Relaxed) > 400);
    // Half of the servers are lost at the peak.
    servers[1].stop_renewing();
    call(owner.admin, "DELETE", "/v1/servers/s2", &[], b"");
    let before = counts[0].load(Ordering::Relaxed);
    wait_until(|| counts[0].load(Ordering::Relaxed) > before + 200);
    stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    let [answered, not_run, unknown] = [0, 1, 2].map(|index| counts[index].load(Ordering::Relaxed));
    let runs: usize = servers.iter().map(|server| server.received().len()).sum();
    let runs = u32::try_from(runs).unwrap();
    println!("answered {answered}, not run {not_run}, unknown {unknown}, runs {runs}");
    assert!(not_run > 0);
    assert!(answered + unknown >= runs, "a refused request ran");
    assert!(answered * 10 >= runs * 9, "work was done for nobody");
    let retries = u32::try_from(entry.metric("arbutuslane_retries_total")).unwrap();
    let stale = u32::try_from(entry.metric("arbutuslane_stale_retries_total")).unwrap();
    println!("retries {retries}, after the leave {stale}");
    // Each of the two traffic threads may retry once before it has seen ten requests.
    assert!(retries * 10 <= answered + not_run + unknown + 20, "{retries} retries");
    assert!(stale <= 60, "{stale} retries because of one server that left");
}

/// Guards against callers that raise the fleet's retry budget by sending a failed request again.
#[test]
fn overload_resends_earn_nothing() {
    let node = Node::start_with(&[], 1, 1);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&node, "slots", name, |received, stream| {
                write(stream, &received.respond("500 Failed", "", ""))
            })
        })
        .collect();
    // The same request 100 times: the budget is one retry in reserve and 10% of the first one.
    for _ in 0..100 {
        assert_eq!(node.call("GET", "/slots/one", &[], b"").status, 500);
    }
    assert_eq!(node.metric("arbutuslane_retries_total"), 1);
    // New requests still earn their share.
    for number in 0..100 {
        assert_eq!(node.call("GET", &format!("/slots/{number}"), &[], b"").status, 500);
    }
    let retries = node.metric("arbutuslane_retries_total");
    assert!((9..=12).contains(&retries), "{retries}");
    let runs: usize = servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(runs as u64, 200 + retries);
}
