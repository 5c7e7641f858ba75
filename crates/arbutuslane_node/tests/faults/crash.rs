//! Requests that crash every server that runs them.

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, ReceivedRequest, Server};

fn respond_unless_crash(received: &ReceivedRequest, stream: &mut std::net::TcpStream) -> bool {
    // `Server` simulates a crash for this path without a call to the handler.
    !received.path.contains("crash") && write(stream, &received.build_ok_response("done"))
}

/// Guards against a caller that crashes one server after another by resending a request through
/// different nodes, with and without an idempotency key, also on a route that the fleet retries.
#[test]
fn crash_resent() {
    for (service, method) in [("slots", "GET"), ("bookings", "POST")] {
        let owner = Node::start(&[]);
        let entry = Node::start(&[owner.peer_address]);
        let servers: Vec<Server> = ["c1", "c2", "c3", "c4", "c5", "c6"]
            .into_iter()
            .enumerate()
            .map(|(number, name)| {
                let node = if number % 2 == 0 { &owner } else { &entry };
                Server::start(node, service, name, respond_unless_crash)
            })
            .collect();
        for node in [&owner, &entry] {
            wait_until(|| node.metric("arbutuslane_remote_servers") == 3);
        }
        let path = format!("/{service}/crash");
        for resend in 0..10 {
            let node = if resend % 2 == 0 { &owner } else { &entry };
            let headers: &[(&str, &str)] =
                if resend % 3 == 0 { &[("idempotency-key", "k")] } else { &[] };
            let response = node.call(method, &path, headers, b"x");
            assert_ne!(response.status, 200, "{}", response.text());
        }
        let crash_count = servers.iter().filter(|server| server.is_stopped()).count();
        // Without register groups, the claim of a request with one strike gets no quorum and the
        // request is refused; with groups two servers crash (`strikes::crashed_resent`).
        assert_eq!(crash_count, 1, "{service}");
        // Further resends are refused without a run; other requests run on the remaining servers.
        let refused = entry.call(method, &path, &[], b"x");
        assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
        wait_until(|| {
            let other = format!("/{service}/other");
            (0..8).all(|_| entry.call(method, &other, &[], b"x").status == 200)
        });
    }
}
