//! A request that crashes the servers that run it.

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Received, Server};

fn crash_or_answer(received: &Received, stream: &mut std::net::TcpStream) -> bool {
    // The support code ends the whole server for this path.
    !received.path.contains("crash") && write(stream, &received.ok("done"))
}

/// Guards against a caller that crashes one server after the other by resending, with and without
/// an idempotency key, through different nodes, and to a route that the fleet retries.
#[test]
fn crash_resent() {
    for (service, method) in [("slots", "GET"), ("bookings", "POST")] {
        let owner = Node::start(&[]);
        let entry = Node::start(&[owner.peers]);
        let servers: Vec<Server> = ["c1", "c2", "c3", "c4", "c5", "c6"]
            .into_iter()
            .enumerate()
            .map(|(number, name)| {
                let node = if number % 2 == 0 { &owner } else { &entry };
                Server::start(node, service, name, crash_or_answer)
            })
            .collect();
        for node in [&owner, &entry] {
            wait_until(|| node.metric("arbutuslane_remote_servers") == 3);
        }
        let path = format!("/{service}/crash");
        for resend in 0..10 {
            let node = if resend % 2 == 0 { &owner } else { &entry };
            let fields: &[(&str, &str)] =
                if resend % 3 == 0 { &[("idempotency-key", "k")] } else { &[] };
            let response = node.call(method, &path, fields, b"x");
            assert_ne!(response.status, 200, "{}", response.text());
        }
        let crashed = servers.iter().filter(|server| server.ended()).count();
        // This fleet has no register group, so a request with one strike finds no quorum for its
        // claim and is refused; with groups two servers crash (`strikes::crashed_resent`).
        assert_eq!(crashed, 1, "{service}");
        // The last resends are refused without a run; other requests run on the servers left.
        let refused = entry.call(method, &path, &[], b"x");
        assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
        wait_until(|| {
            let other = format!("/{service}/other");
            (0..8).all(|_| entry.call(method, &other, &[], b"x").status == 200)
        });
    }
}
