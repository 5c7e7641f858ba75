//! Ejection of servers, for which the register groups grant permits.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::keys::start_fleet;
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Starts a server for lookups at `node` whose responses all have status 500 if `always_fails` is
/// set, and 200 otherwise.
fn start_server(node: &Node, name: &str, always_fails: bool) -> Server {
    Server::start(node, "slots", name, move |received, stream| {
        let status = if always_fails { "500 Broken" } else { "200 OK" };
        write(stream, &received.build_response(status, "", "x"))
    })
}

fn is_ejected(node: &Node, name: &str) -> bool {
    let status = node.status();
    let servers = status["servers"].as_array().unwrap();
    servers.iter().any(|server| server["server"] == name && server["ejected"] == true)
}

/// Forwards one lookup to the owner of a server, as the entry that received it from the caller
/// `10.0.0.{caller_number}` does.
///
/// The share of one caller in the evidence for an ejection is capped, and all callers of a test
/// share one address, so `x-forwarded-for` names a different caller for each number.
fn forward(node: &Node, name: &str, caller_number: usize) {
    let status = node.status();
    let servers = status["servers"].as_array().unwrap();
    let server = servers.iter().find(|server| server["server"] == name).unwrap();
    let (incarnation, caller) =
        (server["incarnation"].to_string(), format!("10.0.0.{caller_number}"));
    let headers = [
        ("arbutuslane-token", "secret"),
        ("arbutuslane-server", name),
        ("arbutuslane-incarnation", &incarnation),
        ("arbutuslane-exchange", "000102030405060708090a0b0c0d0e0f"),
        ("arbutuslane-class", "idempotent"),
        ("arbutuslane-deadline-ms", "2000"),
        ("x-forwarded-for", &caller),
    ];
    call(node.peer_address, "GET", "/v1/forward/slots", &headers, b"");
}

/// Guards against an unhealthy server that is never ejected, and one that stays ejected after the
/// replicas that granted its permit are lost.
#[test]
fn work_permit_lost() {
    let mut nodes = start_fleet(3);
    let _healthy = [start_server(&nodes[0], "s1", false), start_server(&nodes[1], "s2", false)];
    let _unhealthy = start_server(&nodes[0], "s3", true);
    wait_until(|| nodes[0].metric("arbutuslane_remote_servers") == 1);
    let caller_number = AtomicUsize::new(0);
    wait_until(|| {
        forward(&nodes[0], "s3", caller_number.fetch_add(1, Ordering::Relaxed) % 200);
        is_ejected(&nodes[0], "s3")
    });
    assert!(!is_ejected(&nodes[0], "s1"));
    nodes.truncate(1);
    wait_until(|| !is_ejected(&nodes[0], "s3"));
}

/// Guards against an ejection that leaves a service with fewer servers than its floor.
#[test]
fn work_at_floor() {
    let nodes = start_fleet(3);
    let _unhealthy = start_server(&nodes[0], "s1", true);
    for caller_number in 0..100 {
        forward(&nodes[0], "s1", caller_number);
        assert!(!is_ejected(&nodes[0], "s1"));
        std::thread::sleep(std::time::Duration::from_millis(60));
    }
}
