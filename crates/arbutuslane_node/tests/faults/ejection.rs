//! Ejection under permits of the register groups.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::keys::fleet;
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call};

/// Starts a server of lookups at `node` that always fails or never does.
fn server(node: &Node, name: &str, fails: bool) -> Server {
    Server::start(node, "slots", name, move |received, stream| {
        let status = if fails { "500 Broken" } else { "200 OK" };
        write(stream, &received.respond(status, "", "x"))
    })
}

fn is_ejected(node: &Node, name: &str) -> bool {
    let status = node.status();
    let servers = status["servers"].as_array().unwrap();
    servers.iter().any(|server| server["server"] == name && server["ejected"] == true)
}

/// Forwards one lookup to the owner of a server, as the entry of caller `number` does.
///
/// The share of one caller in the evidence is capped, and all callers of a test have one address.
fn forward(node: &Node, name: &str, number: usize) {
    let status = node.status();
    let servers = status["servers"].as_array().unwrap();
    let server = servers.iter().find(|server| server["server"] == name).unwrap();
    let (incarnation, caller) = (server["incarnation"].to_string(), format!("10.0.0.{number}"));
    let fields = [
        ("arbutuslane-token", "secret"),
        ("arbutuslane-server", name),
        ("arbutuslane-incarnation", &incarnation),
        ("arbutuslane-exchange", "000102030405060708090a0b0c0d0e0f"),
        ("arbutuslane-class", "idempotent"),
        ("arbutuslane-deadline-ms", "2000"),
        ("x-forwarded-for", &caller),
    ];
    call(node.peers, "GET", "/v1/forward/slots", &fields, b"");
}

/// Guards against an unhealthy server that is never ejected, and one that stays out after the
/// replicas that granted its permit are gone.
#[test]
fn work_permit_lost() {
    let mut nodes = fleet(3);
    let _healthy = [server(&nodes[0], "s1", false), server(&nodes[1], "s2", false)];
    let _sick = server(&nodes[0], "s3", true);
    wait_until(|| nodes[0].metric("arbutuslane_remote_servers") == 1);
    let number = AtomicUsize::new(0);
    wait_until(|| {
        forward(&nodes[0], "s3", number.fetch_add(1, Ordering::Relaxed) % 200);
        is_ejected(&nodes[0], "s3")
    });
    assert!(!is_ejected(&nodes[0], "s1"));
    nodes.truncate(1);
    wait_until(|| !is_ejected(&nodes[0], "s3"));
}

/// Guards against an ejection that brings a service below its floor.
#[test]
fn work_at_floor() {
    let nodes = fleet(3);
    let _sick = server(&nodes[0], "s1", true);
    for number in 0..100 {
        forward(&nodes[0], "s1", number);
        assert!(!is_ejected(&nodes[0], "s1"));
        std::thread::sleep(std::time::Duration::from_millis(60));
    }
}
