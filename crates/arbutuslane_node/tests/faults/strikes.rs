//! A request that crashes servers is stopped after two crashes, through any node.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_wire::{codec, peer};

use crate::keys::fleet;
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call, caller, open, request};

/// Starts a server of lookups at `node` whose process ends with a request for `/slots/crash`; its
/// listening socket stays open for `linger` after its connections are closed.
fn fragile(node: &Node, name: &str, crashes: &Arc<AtomicUsize>, linger: Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (crashes, gone) = (Arc::clone(crashes), Arc::new(AtomicUsize::new(0)));
    let ended = Arc::clone(&gone);
    spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = vec![0; 8 << 10];
            let length = stream.read(&mut head).unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            if head.starts_with("GET /slots/crash") {
                crashes.fetch_add(1, Ordering::Relaxed);
                ended.store(1, Ordering::Relaxed);
                drop(stream);
                sleep(linger);
                return;
            }
            let echo = head.lines().find(|line| line.starts_with("arbutuslane-exchange"));
            let echo = echo.unwrap_or_default();
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{echo}\r\ncontent-length: 1\r\n\r\nx");
        }
    });
    announce(node.admin, name, address, gone);
    let name = name.to_string();
    wait_until(|| {
        let status = node.status();
        status["servers"].as_array().unwrap().iter().any(|server| server["server"] == name.as_str())
    });
}

fn announce(admin: SocketAddr, name: &str, address: SocketAddr, gone: Arc<AtomicUsize>) {
    let body = serde_json::json!({"service": "slots", "server": name, "incarnation": 1,
        "address": address, "slots": 5, "revision": 0});
    spawn(move || {
        while gone.load(Ordering::Relaxed) == 0 {
            call(admin, "POST", "/v1/servers", &[], body.to_string().as_bytes());
            sleep(Duration::from_millis(300));
        }
    });
}

/// Guards against a third crash by a lookup that its caller resends through different nodes, and
/// that the fleet could retry by itself.
#[test]
fn crashed_resent() {
    resend(Duration::ZERO);
}

/// Guards against a crash that is taken for a broken connection, because the process that ends
/// closes its connections before its listening socket. A night on real processes had three crashes.
#[test]
fn crashed_slow_exit() {
    resend(Duration::from_millis(30));
}

/// Sends a crashing request 12 times through three nodes; two of six servers may crash.
fn resend(linger: Duration) {
    let nodes = fleet(3);
    let crashes = Arc::new(AtomicUsize::new(0));
    for (index, node) in nodes.iter().enumerate() {
        for number in 0..2 {
            fragile(node, &format!("s{index}{number}"), &crashes, linger);
        }
    }
    wait_until(|| nodes.iter().all(|node| node.metric("arbutuslane_remote_servers") == 4));
    let mut seen = Vec::new();
    for attempt in 0..12 {
        let response = nodes[attempt % 3].call("GET", "/slots/crash", &[], b"");
        seen.push((response.status, response.outcome().to_string()));
    }
    assert_eq!(crashes.load(Ordering::Relaxed), 2, "{seen:?}");
    let last = seen.last().unwrap();
    assert_eq!((last.0, last.1.as_str()), (503, "not-run"));
    let quarantined = |node: &Node| {
        let events = node.get("/v1/events?since=0").unwrap().text();
        events.matches("\"request-quarantined\"").count()
    };
    assert_eq!(nodes.iter().map(quarantined).sum::<usize>(), 1);
    // Other requests run, once the lost servers are known.
    for node in &nodes {
        wait_until(|| node.call("GET", "/slots", &[], b"").status == 200);
    }
}

/// Guards against one fingerprint for all streamed uploads of a route: the crash by one would hold
/// up every other.
#[test]
fn crashed_streamed_body() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.ok(&received.body.len().to_string()))
    });
    // Without register groups a request with one strike is refused.
    let bad = [b'b'; 100_000];
    assert_eq!(strike(&node, "POST /bookings", &bad), 200);
    let refused = node.call("POST", "/bookings", &[], &bad);
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(server.received().len(), 0);
    let other = node.call("POST", "/bookings", &[], &[b'g'; 100_000]);
    assert_eq!((other.status, other.text().as_str()), (200, "100000"));
    let chunks = b"8\r\nsmall ch\r\n3\r\nunk\r\n0\r\n\r\n";
    let mut stream = open(node.callers);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(chunks).unwrap();
    assert_eq!(caller::read(&mut stream, false).unwrap().text(), "11");
}

/// Tells `node` that the request with this head and body has crashed a server.
fn strike(node: &Node, head: &str, body: &[u8]) -> u16 {
    let mut bytes = format!("{head}\n").into_bytes();
    bytes.extend_from_slice(&body[..body.len().min(16 << 10)]);
    let message = peer::Message::Strike {
        service: "bookings".to_string(),
        server: "lost".to_string(),
        incarnation: 1,
        fingerprints: vec![hash::of_bytes(&bytes)],
    };
    let body = codec::encode(&message).unwrap();
    call(node.peers, "POST", "/v1/peer", &[("arbutuslane-token", "secret")], &body).status
}

/// Guards against a second run of a struck request while the first may still run: at the same
/// time, after the first timed out, and after its caller has left.
#[test]
fn admit_one_at_a_time() {
    let nodes = fleet(3);
    let running = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    let servers: Vec<Server> = (0..3)
        .map(|index| {
            let (running, most) = (Arc::clone(&running), Arc::clone(&most));
            Server::start(
                &nodes[index],
                "bookings",
                &format!("s{index}"),
                move |received, stream| {
                    most.fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    sleep(Duration::from_millis(1_500));
                    running.fetch_sub(1, Ordering::SeqCst);
                    write(stream, &received.ok("done"))
                },
            )
        })
        .collect();
    wait_until(|| nodes.iter().all(|node| node.metric("arbutuslane_remote_servers") == 2));
    let runs = || servers.iter().map(|server| server.received().len()).sum::<usize>();
    for (number, case) in ["parallel", "timeout", "gone"].into_iter().enumerate() {
        let path = format!("/bookings/{case}");
        for node in &nodes {
            assert_eq!(strike(node, &format!("POST {path}"), b"x"), 200);
        }
        // Claims made at the same time may take a part of the replicas each, and none runs.
        let ran_before = runs();
        wait_until(|| {
            let threads: Vec<_> = (0..3)
                .map(|index| {
                    let (address, path) = (nodes[index].callers, path.clone());
                    spawn(move || first_call(address, &path, number))
                })
                .collect();
            threads.into_iter().for_each(|thread| thread.join().unwrap());
            runs() > ran_before
        });
        assert_eq!(runs(), ran_before + 1, "{case}");
        if case != "parallel" {
            for node in &nodes {
                let second = node.call("POST", &path, &[], b"x");
                assert_eq!((second.status, second.outcome()), (503, "not-run"), "{case}");
            }
            assert_eq!(runs(), ran_before + 1, "{case}");
        }
        wait_until(|| running.load(Ordering::SeqCst) == 0);
    }
    assert_eq!(most.load(Ordering::SeqCst), 1);
    // Success has cleared the strike of the first case.
    wait_until(|| nodes[0].call("POST", "/bookings/parallel", &[], b"x").status == 200);
}

/// Sends a booking: 0 waits for the response, 1 with a short deadline, 2 leaves early.
fn first_call(address: SocketAddr, path: &str, case: usize) {
    let short: &[(&str, &str)] = &[("arbutuslane-deadline-ms", "700")];
    let mut stream = open(address);
    let fields = if case == 1 { short } else { &[] };
    stream.write_all(&request("POST", path, fields, b"x")).unwrap();
    if case == 2 {
        sleep(Duration::from_millis(700));
        return;
    }
    let response = caller::read(&mut stream, false).unwrap();
    let seen = (response.status, response.outcome().to_string());
    let expected = if case == 0 { (200, "answered") } else { (504, "unknown") };
    assert!(seen.0 == 503 && seen.1 == "not-run" || seen == (expected.0, expected.1.to_string()));
}

/// Guards against a request that waits in a queue while it is struck, and then runs without a
/// claim.
#[test]
fn admit_struck_in_queue() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        sleep(Duration::from_millis(if received.path == "/bookings" { 700 } else { 0 }));
        write(stream, &received.ok("done"))
    });
    let address = node.callers;
    let send = |path: &'static str| spawn(move || call(address, "POST", path, &[], b"x"));
    let first: Vec<_> = (0..5).map(|_| send("/bookings")).collect();
    wait_until(|| server.received().len() == 5);
    let queued = send("/bookings/queued");
    sleep(Duration::from_millis(200));
    assert_eq!(strike(&node, "POST /bookings/queued", b"x"), 200);
    let queued = queued.join().unwrap();
    for first in first {
        assert_eq!(first.join().unwrap().status, 200);
    }
    assert_eq!((queued.status, queued.outcome()), (503, "not-run"));
    assert_eq!(server.received().len(), 5);
}
