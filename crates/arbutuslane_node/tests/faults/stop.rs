//! A planned stop interrupts and refuses nothing.

use std::io::Write;
use std::net::SocketAddr;
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

/// Sends requests on one connection until `stopped`, as a caller that knows all nodes; returns how
/// many were answered. Any other end of a request is a failure.
fn call_steadily(nodes: &[SocketAddr], first: usize, stopped: &AtomicBool) -> u32 {
    let mut node = first;
    let mut stream = open(nodes[node]);
    let mut answered = 0;
    while !stopped.load(Ordering::Relaxed) {
        let (method, path) =
            if first.is_multiple_of(2) { ("GET", "/slots") } else { ("POST", "/bookings") };
        stream.write_all(&request(method, path, &[], b"x")).unwrap();
        let response = caller::read(&mut stream, false).expect("interrupted");
        let seen = (response.status, response.outcome());
        assert_eq!(seen, (200, "answered"), "{}", response.text());
        answered += 1;
        if response.field("connection") == Some("close") {
            stream = loop {
                node = (node + 1) % nodes.len();
                // A refused connection carries no request; the caller takes the next node.
                if std::net::TcpStream::connect(nodes[node]).is_ok() {
                    break open(nodes[node]);
                }
            };
        }
        sleep(Duration::from_millis(10));
    }
    answered
}

/// Guards against a rolling restart of all nodes that interrupts or refuses a request.
#[test]
fn stop_rolling() {
    let first = Node::start(&[]);
    let second = Node::start(&[first.peers]);
    let third = Node::start(&[first.peers, second.peers]);
    let mut nodes = [first, second, third];
    let admins: Vec<SocketAddr> = nodes.iter().map(|node| node.admin).collect();
    let callers: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
    let names = ["r1", "r2", "r3", "r4", "r5", "r6"];
    let servers: Vec<Server> = names
        .into_iter()
        .enumerate()
        .map(|(number, name)| {
            let server = Server::listen(name, |received, stream| {
                sleep(Duration::from_millis(3));
                write(stream, &received.ok("done"))
            });
            let mut order = admins.clone();
            order.rotate_left(number % 3);
            server.announce(&order, if number < 3 { "slots" } else { "bookings" });
            server
        })
        .collect();
    let known = |node: &Node| {
        let own = node.status()["servers"].as_array().unwrap().len();
        own + usize::try_from(node.metric("arbutuslane_remote_servers")).unwrap()
    };
    wait_until(|| nodes.iter().all(|node| known(node) >= servers.len()));
    let stopped = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..6)
        .map(|number| {
            let (stopped, callers) = (Arc::clone(&stopped), callers.clone());
            spawn(move || call_steadily(&callers, number % 3, &stopped))
        })
        .collect();
    for node in &mut nodes {
        node.terminate();
        node.restart_stopped();
        wait_until(|| known(node) >= servers.len());
    }
    stopped.store(true, Ordering::Relaxed);
    let answered: u32 = threads.into_iter().map(|thread| thread.join().unwrap()).sum();
    println!("{answered} requests answered");
    assert!(answered > 500, "{answered}");
}

/// Guards against a restarted node that takes callers before it has a configuration and refuses
/// their requests meanwhile.
#[test]
fn start_before_configuration() {
    let first = Node::start(&[]);
    let server = Server::listen("s1", |received, stream| write(stream, &received.ok("done")));
    server.announce(&[first.admin], "slots");
    wait_until(|| first.status()["servers"].as_array().unwrap().len() == 1);
    let second = Node::start_without_catalogue(&[first.peers]);
    let fields = [("arbutuslane-deadline-ms", "20000")];
    let response = second.call("GET", "/slots", &fields, b"");
    assert_eq!((response.status, response.outcome()), (200, "answered"), "{}", response.text());
}
