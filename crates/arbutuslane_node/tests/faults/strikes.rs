//! A request that crashes servers is refused after two crashes, whichever node receives it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_record::strike::{self, Content, Identity, QUARANTINE_DURATION, Strike};
use arbutuslane_wire::{codec, peer};

use crate::keys::start_fleet;
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Server, call, caller, encode_request, open_connection};

/// The host that the requests of the tests name.
const HOST: &str = "test";

/// How a server crashes.
#[derive(Debug, Clone, Copy, Default)]
struct Crash {
    /// The head fields and the part of the body that it sends before the crash; `None` if it sends
    /// nothing.
    response: Option<(&'static str, &'static str)>,
    /// The time between the ends of the connection and of the listening socket.
    listener_close_delay: Duration,
}

/// Starts a server for lookups at `node` that simulates a crash on a request for `/slots/crash`.
fn start_crashing_server(node: &Node, name: &str, crashes: &Arc<AtomicUsize>, crash: Crash) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (crashes, exited) = (Arc::clone(crashes), Arc::new(AtomicUsize::new(0)));
    let exit_flag = Arc::clone(&exited);
    spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = vec![0; 8 << 10];
            let length = stream.read(&mut head).unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            let exchange_header =
                head.lines().find(|line| line.starts_with("arbutuslane-exchange"));
            let exchange_header = exchange_header.unwrap_or_default();
            if head.starts_with("GET /slots/crash") {
                crashes.fetch_add(1, Ordering::Relaxed);
                exit_flag.store(1, Ordering::Relaxed);
                if let Some((fields, body)) = crash.response {
                    let head = format!("HTTP/1.1 200 OK\r\n{exchange_header}\r\n{fields}\r\n\r\n");
                    let _ = write!(stream, "{head}{body}");
                    // The bytes arrive before the end of the connection.
                    sleep(Duration::from_millis(50));
                }
                drop(stream);
                sleep(crash.listener_close_delay);
                return;
            }
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\n{exchange_header}\r\ncontent-length: 1\r\n\r\nx"
            );
        }
    });
    announce(node.admin_address, name, address, exited);
    let name = name.to_string();
    wait_until(|| {
        let status = node.status();
        status["servers"].as_array().unwrap().iter().any(|server| server["server"] == name.as_str())
    });
}

/// Announces the server every 300 ms until `exited` is set.
fn announce(admin_address: SocketAddr, name: &str, address: SocketAddr, exited: Arc<AtomicUsize>) {
    let body = serde_json::json!({"service": "slots", "server": name, "incarnation": 1,
        "address": address, "slots": 5, "revision": 0});
    spawn(move || {
        while exited.load(Ordering::Relaxed) == 0 {
            call(admin_address, "POST", "/v1/servers", &[], body.to_string().as_bytes());
            sleep(Duration::from_millis(300));
        }
    });
}

/// Guards against a third crash by a lookup that its caller resends through different nodes and
/// that the fleet may also retry.
#[test]
fn crashed_resent() {
    check_resends(Crash::default());
}

/// Guards against a crash that is mistaken for a broken connection because an exiting process
/// closes its connections before its listening socket. An overnight run on real processes had three
/// crashes.
#[test]
fn crashed_slow_exit() {
    check_resends(Crash { listener_close_delay: Duration::from_millis(30), ..Crash::default() });
}

/// Guards against a request that crashes servers without end, because they crash after the head of
/// their response: at any byte, and whatever frames the body.
#[test]
fn crashed_in_body() {
    for response in [
        ("content-length: 9", ""),
        ("content-length: 9", "12345678"),
        ("transfer-encoding: chunked", ""),
        ("transfer-encoding: chunked", "4\r\n1234\r\n4\r\n12"),
        ("transfer-encoding: chunked", "4\r\n1234\r\n0\r\n"),
    ] {
        check_resends(Crash { response: Some(response), ..Crash::default() });
    }
}

/// Sends a crashing request 12 times through three nodes and checks that it crashes exactly two of
/// six servers.
fn check_resends(crash: Crash) {
    let nodes = start_fleet(3);
    let crashes = Arc::new(AtomicUsize::new(0));
    for (index, node) in nodes.iter().enumerate() {
        for server_index in 0..2 {
            start_crashing_server(node, &format!("s{index}{server_index}"), &crashes, crash);
        }
    }
    wait_until(|| nodes.iter().all(|node| node.metric("arbutuslane_remote_servers") == 4));
    let mut results = Vec::new();
    for attempt in 0..12 {
        let response = nodes[attempt % 3].call("GET", "/slots/crash", &[], b"");
        results.push((response.status, response.outcome().to_string()));
    }
    assert_eq!(crashes.load(Ordering::Relaxed), 2, "{results:?}");
    let last_result = results.last().unwrap();
    assert_eq!((last_result.0, last_result.1.as_str()), (503, "not-run"));
    let count_quarantines = |node: &Node| {
        let events = node.get_admin("/v1/events?since=0").unwrap().text();
        events.matches("\"request-quarantined\"").count()
    };
    assert_eq!(nodes.iter().map(count_quarantines).sum::<usize>(), 1);
    // Other requests run once the nodes have detected the lost servers.
    for node in &nodes {
        wait_until(|| node.call("GET", "/slots", &[], b"").status == 200);
    }
}

/// Guards against a fingerprint shared by all streamed uploads of a route: after a crash caused by
/// one upload, all others would be refused.
#[test]
fn crashed_streamed_body() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        write(stream, &received.build_ok_response(&received.body.len().to_string()))
    });
    // Without register groups no claim is granted, so a request with one strike is refused.
    let crashing_body = [b'b'; 100_000];
    assert_eq!(report_strike(&node, "POST /bookings", &crashing_body), 200);
    let refused = node.call("POST", "/bookings", &[], &crashing_body);
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(server.received_requests().len(), 0);
    let other_body = node.call("POST", "/bookings", &[], &[b'g'; 100_000]);
    assert_eq!((other_body.status, other_body.text().as_str()), (200, "100000"));
    let chunked_body = b"8\r\nsmall ch\r\n3\r\nunk\r\n0\r\n\r\n";
    let mut stream = open_connection(node.caller_address);
    let head = "POST /bookings HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(chunked_body).unwrap();
    assert_eq!(caller::read_response(&mut stream, false).unwrap().text(), "11");
}

/// Reports to `node` that a request with this head and body crashed a server, in a variant that no other
/// request has. Returns the status.
fn report_strike(node: &Node, head: &str, body: &[u8]) -> u16 {
    let (method, target) = head.split_once(' ').unwrap();
    let content = Content { method, target, host: HOST, body, ..Content::default() };
    let crash = strike::Crash { server: "lost".to_string(), incarnation: 1, variant: 1 };
    let request = Identity::new(&content, 1).request;
    let strike = Strike::new(request, crash);
    let strikes = vec![peer::strike::Strike::new(&strike, QUARANTINE_DURATION, Time::ZERO)];
    let body = codec::encode(&peer::Message::Strikes { strikes, buckets: Vec::new() }).unwrap();
    call(node.peer_address, "POST", "/v1/peer", &[("arbutuslane-token", "secret")], &body).status
}

/// Guards against a second run of a request with a strike while the first may still be running:
/// when both arrive at the same time, after the first timed out, and after its caller disconnected.
#[test]
fn admit_one_at_a_time() {
    let nodes = start_fleet(3);
    let running = Arc::new(AtomicUsize::new(0));
    let max_running = Arc::new(AtomicUsize::new(0));
    let servers: Vec<Server> = (0..3)
        .map(|index| {
            let (running, max_running) = (Arc::clone(&running), Arc::clone(&max_running));
            Server::start(
                &nodes[index],
                "bookings",
                &format!("s{index}"),
                move |received, stream| {
                    max_running
                        .fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    sleep(Duration::from_millis(1_500));
                    running.fetch_sub(1, Ordering::SeqCst);
                    write(stream, &received.build_ok_response("done"))
                },
            )
        })
        .collect();
    wait_until(|| nodes.iter().all(|node| node.metric("arbutuslane_remote_servers") == 2));
    let count_runs =
        || servers.iter().map(|server| server.received_requests().len()).sum::<usize>();
    for (case_index, case) in ["parallel", "timeout", "gone"].into_iter().enumerate() {
        let path = format!("/bookings/{case}");
        for node in &nodes {
            assert_eq!(report_strike(node, &format!("POST {path}"), b"x"), 200);
        }
        // Concurrent claims may each get a minority of the replicas, so that none of them runs.
        let ran_before = count_runs();
        wait_until(|| {
            let threads: Vec<_> = (0..3)
                .map(|index| {
                    let (address, path) = (nodes[index].caller_address, path.clone());
                    spawn(move || send_first_booking(address, &path, case_index))
                })
                .collect();
            threads.into_iter().for_each(|thread| thread.join().unwrap());
            count_runs() > ran_before
        });
        assert_eq!(count_runs(), ran_before + 1, "{case}");
        if case != "parallel" {
            for node in &nodes {
                let second = node.call("POST", &path, &[], b"x");
                assert_eq!((second.status, second.outcome()), (503, "not-run"), "{case}");
            }
            assert_eq!(count_runs(), ran_before + 1, "{case}");
        }
        wait_until(|| running.load(Ordering::SeqCst) == 0);
    }
    assert_eq!(max_running.load(Ordering::SeqCst), 1);
    // The successful run has cleared the strike of the first case.
    wait_until(|| nodes[0].call("POST", "/bookings/parallel", &[], b"x").status == 200);
}

/// Sends a booking. Case 0 waits for the response, case 1 has a short deadline, and case 2
/// disconnects before the response.
fn send_first_booking(address: SocketAddr, path: &str, case: usize) {
    let short_deadline: &[(&str, &str)] = &[("arbutuslane-deadline-ms", "700")];
    let mut stream = open_connection(address);
    let headers = if case == 1 { short_deadline } else { &[] };
    stream.write_all(&encode_request("POST", path, headers, b"x")).unwrap();
    if case == 2 {
        sleep(Duration::from_millis(700));
        return;
    }
    let response = caller::read_response(&mut stream, false).unwrap();
    let result = (response.status, response.outcome().to_string());
    let expected = if case == 0 { (200, "answered") } else { (504, "unknown") };
    assert!(
        result.0 == 503 && result.1 == "not-run" || result == (expected.0, expected.1.to_string())
    );
}

/// Guards against a queued request that gets a strike while it waits and then runs without a claim.
#[test]
fn admit_struck_in_queue() {
    let node = Node::start(&[]);
    let server = Server::start(&node, "bookings", "s1", |received, stream| {
        sleep(Duration::from_millis(if received.path == "/bookings" { 700 } else { 0 }));
        write(stream, &received.build_ok_response("done"))
    });
    let address = node.caller_address;
    let send = |path: &'static str| spawn(move || call(address, "POST", path, &[], b"x"));
    let first: Vec<_> = (0..5).map(|_| send("/bookings")).collect();
    wait_until(|| server.received_requests().len() == 5);
    let queued = send("/bookings/queued");
    sleep(Duration::from_millis(200));
    assert_eq!(report_strike(&node, "POST /bookings/queued", b"x"), 200);
    let queued = queued.join().unwrap();
    for first in first {
        assert_eq!(first.join().unwrap().status, 200);
    }
    assert_eq!((queued.status, queued.outcome()), (503, "not-run"));
    assert_eq!(server.received_requests().len(), 5);
}
