//! A planned stop interrupts and refuses nothing.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, caller, open, request};

/// Guards against a planned stop that cuts a download, a half-sent body or a keep-alive caller.
#[test]
fn stop_under_load() {
    let mut first = Node::start(&[]);
    let second = Node::start(&[first.peers]);
    let nodes = [first.admin, second.admin];
    let servers: Vec<Server> =
        [("slots", "s1"), ("slots", "s2"), ("reports", "s3"), ("bookings", "s4")]
            .into_iter()
            .map(|(service, name)| {
                let server = Server::listen(name, move |received, stream| {
                    if received.path.starts_with("/download") {
                        let whole = received.ok(&"a".repeat(600_000));
                        return whole.chunks(60_000).all(|chunk| {
                            sleep(Duration::from_millis(600));
                            write(stream, chunk)
                        });
                    }
                    sleep(Duration::from_millis(5));
                    write(stream, &received.ok("done"))
                });
                // The servers spread over both nodes and know both.
                let order = if name < "s2" { nodes } else { [nodes[1], nodes[0]] };
                server.announce(if name == "s4" { &nodes } else { &order }, service);
                server
            })
            .collect();
    wait_until(|| {
        let known = |node: &Node| {
            let own = node.status()["servers"].as_array().unwrap().len();
            own + usize::try_from(node.metric("arbutuslane_remote_servers")).unwrap()
        };
        known(&first) == 4 && known(&second) == 4
    });
    let stopped = Arc::new(AtomicBool::new(false));
    let (first_callers, second_callers) = (first.callers, second.callers);
    let keep_alive: Vec<_> = (0..8)
        .map(|number| {
            let stopped = Arc::clone(&stopped);
            spawn(move || {
                let mut address = first_callers;
                let mut stream = open(address);
                let mut answered = 0;
                while !stopped.load(Ordering::Relaxed) {
                    let path = if number % 2 == 0 { "/slots" } else { "/bookings" };
                    let method = if number % 2 == 0 { "GET" } else { "POST" };
                    stream.write_all(&request(method, path, &[], b"x")).unwrap();
                    let response = caller::read(&mut stream, false).expect("interrupted");
                    assert_eq!((response.status, response.outcome()), (200, "answered"));
                    answered += 1;
                    if response.field("connection") == Some("close") {
                        address = second_callers;
                        stream = open(address);
                    }
                    sleep(Duration::from_millis(10));
                }
                assert_eq!(address, second_callers, "was never told to go elsewhere");
                answered
            })
        })
        .collect();
    let download = spawn(move || caller::call(first_callers, "GET", "/download/x", &[], b""));
    let mut half = open(first.callers);
    let whole = request("POST", "/bookings", &[], &[b'x'; 90_000]);
    half.write_all(&whole[..50_000]).unwrap();
    sleep(Duration::from_millis(500));
    first.terminate();
    sleep(Duration::from_secs(1));
    half.write_all(&whole[50_000..]).unwrap();
    let completed = caller::read(&mut half, false).expect("interrupted");
    assert_eq!((completed.status, completed.outcome()), (200, "answered"));
    let download = download.join().unwrap();
    assert!(download.complete && download.body.len() == 600_000);
    assert!(first.child.wait().unwrap().success());
    sleep(Duration::from_millis(500));
    stopped.store(true, Ordering::Relaxed);
    let answered: u32 = keep_alive.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert!(answered > 100, "{answered}");
    assert_eq!(second.status()["servers"].as_array().unwrap().len(), servers.len());
}
