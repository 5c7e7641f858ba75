//! More requests than the servers have capacity for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Guards against an overload in which servers run requests whose callers no longer wait, refused
/// requests run, or the fleet's retries add to the load.
#[test]
fn overload_callers_retry() {
    let owner = Node::start(&[]);
    let entry = Node::start(&[owner.peer_address]);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&owner, "bookings", name, |received, stream| {
                sleep(Duration::from_millis(20));
                write(stream, &received.build_ok_response("booked"))
            })
        })
        .collect();
    wait_until(|| entry.metric("arbutuslane_remote_servers") == 2);
    let stopped = Arc::new(AtomicBool::new(false));
    let outcome_counts = Arc::new([const { AtomicU32::new(0) }; 3]);
    // 60 concurrent callers share 10 slots; each sends again 10 ms after a response or refusal.
    let threads: Vec<_> = (0..60)
        .map(|_| {
            let (stopped, outcome_counts, caller_address) =
                (Arc::clone(&stopped), Arc::clone(&outcome_counts), entry.caller_address);
            spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let headers = [("arbutuslane-deadline-ms", "150")];
                    let response = call(caller_address, "POST", "/bookings", &headers, b"x");
                    let outcome = match response.outcome() {
                        "answered" => 0,
                        "not-run" => 1,
                        _ => 2,
                    };
                    outcome_counts[outcome].fetch_add(1, Ordering::Relaxed);
                    sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    wait_until(|| outcome_counts[0].load(Ordering::Relaxed) > 400);
    // Half of the servers leave while the load is at its peak.
    servers[1].stop_renewing();
    call(owner.admin_address, "DELETE", "/v1/servers/s2", &[], b"");
    let answered_before_loss = outcome_counts[0].load(Ordering::Relaxed);
    wait_until(|| outcome_counts[0].load(Ordering::Relaxed) > answered_before_loss + 200);
    stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    let [answered, not_run, unknown] =
        [0, 1, 2].map(|index| outcome_counts[index].load(Ordering::Relaxed));
    let runs: usize = servers.iter().map(|server| server.received_requests().len()).sum();
    let runs = u32::try_from(runs).unwrap();
    println!("answered {answered}, not run {not_run}, unknown {unknown}, runs {runs}");
    assert!(not_run > 0);
    assert!(answered + unknown >= runs, "a refused request ran");
    assert!(answered * 10 >= runs * 9, "work was done for nobody");
    let retries = u32::try_from(entry.metric("arbutuslane_retries_total")).unwrap();
    let stale = u32::try_from(entry.metric("arbutuslane_stale_retries_total")).unwrap();
    println!("retries {retries}, after the leave {stale}");
    // Each of the two traffic threads may retry once before its first ten requests.
    assert!(retries * 10 <= answered + not_run + unknown + 20, "{retries} retries");
    assert!(stale <= 60, "{stale} retries because of one server that left");
}

/// Guards against callers that increase the fleet's retry budget by resending a failed request.
#[test]
fn overload_resends_earn_nothing() {
    let node = Node::start_seeded(&[], 1, 1);
    let servers: Vec<Server> = ["s1", "s2"]
        .into_iter()
        .map(|name| {
            Server::start(&node, "slots", name, |received, stream| {
                write(stream, &received.build_response("500 Failed", "", ""))
            })
        })
        .collect();
    // Of 100 sends of the same request only the first adds to the budget: the budget is one retry
    // in reserve plus 10% of the first request.
    for _ in 0..100 {
        assert_eq!(node.call("GET", "/slots/one", &[], b"").status, 500);
    }
    assert_eq!(node.metric("arbutuslane_retries_total"), 1);
    // New requests still add to the budget.
    for number in 0..100 {
        assert_eq!(node.call("GET", &format!("/slots/{number}"), &[], b"").status, 500);
    }
    let retries = node.metric("arbutuslane_retries_total");
    assert!((9..=12).contains(&retries), "{retries}");
    let runs: usize = servers.iter().map(|server| server.received_requests().len()).sum();
    assert_eq!(runs as u64, 200 + retries);
}
