//! Planned stops of several nodes while callers send keyed bookings or keep idle connections.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use crate::keys::{SHARD_COUNT, start_fleet};
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Response, Server, call, caller, encode_request, open_connection};

/// Addresses of the nodes to which callers open new connections.
type AcceptingNodes = Arc<Mutex<Vec<SocketAddr>>>;

/// Starts four servers for lookups and four for bookings, each of which can announce itself to any
/// node, and waits until all nodes know them.
fn start_servers(nodes: &[Node]) -> Vec<Server> {
    let admins: Vec<SocketAddr> = nodes.iter().map(|node| node.admin_address).collect();
    let names = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"];
    let servers: Vec<Server> = names
        .into_iter()
        .enumerate()
        .map(|(server_index, name)| {
            let server = Server::start_unannounced(name, |received, stream| {
                sleep(Duration::from_millis(3));
                write(stream, &received.build_ok_response("done"))
            });
            let mut order = admins.clone();
            order.rotate_left(server_index % admins.len());
            server.announce(&order, if server_index < 4 { "slots" } else { "bookings" });
            server
        })
        .collect();
    wait_until(|| nodes.iter().all(|node| known_server_count(node) >= servers.len()));
    servers
}

/// Returns the number of servers that a node owns or knows through other nodes.
fn known_server_count(node: &Node) -> usize {
    let owned_servers = node.status()["servers"].as_array().unwrap().len();
    owned_servers + usize::try_from(node.metric("arbutuslane_remote_servers")).unwrap()
}

/// A caller with one keep-alive connection, which it replaces when a response asks it to close.
struct KeepAliveCaller {
    nodes: AcceptingNodes,
    node_index: usize,
    stream: TcpStream,
}

impl KeepAliveCaller {
    fn new(nodes: &AcceptingNodes, node_index: usize) -> Self {
        let stream = connect(nodes, node_index);
        Self { nodes: Arc::clone(nodes), node_index, stream }
    }

    fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Response {
        self.stream.write_all(&encode_request(method, path, headers, body)).unwrap();
        let response = caller::read_response(&mut self.stream, false)
            .expect("no complete response head was received");
        if response.header("connection") == Some("close") {
            self.node_index += 1;
            self.stream = connect(&self.nodes, self.node_index);
        }
        response
    }
}

/// Connects to the first node from `node_index` on that accepts. A refused connection has carried
/// no request, so trying the next node repeats none.
fn connect(nodes: &AcceptingNodes, node_index: usize) -> TcpStream {
    for node_index in node_index.. {
        let address = {
            let nodes = nodes.lock().unwrap();
            nodes[node_index % nodes.len()]
        };
        if TcpStream::connect(address).is_ok() {
            return open_connection(address);
        }
    }
    unreachable!()
}

fn accepting_nodes(nodes: &[Node]) -> AcceptingNodes {
    Arc::new(Mutex::new(nodes.iter().map(|node| node.caller_address).collect()))
}

/// Starts callers that send bookings, each under its own key, and resend each through another node.
///
/// Each thread returns the number of its bookings that were answered.
fn start_booking_callers(
    nodes: &AcceptingNodes,
    stopped: &Arc<AtomicBool>,
) -> Vec<JoinHandle<u32>> {
    (0..4)
        .map(|number| {
            let (nodes, stopped) = (Arc::clone(nodes), Arc::clone(stopped));
            spawn(move || {
                let mut first = KeepAliveCaller::new(&nodes, number);
                let mut second = KeepAliveCaller::new(&nodes, number + 1);
                let mut answered = 0;
                while !stopped.load(Ordering::Relaxed) {
                    let key = format!("order-{number}-{answered}");
                    let headers = [("idempotency-key", key.as_str())];
                    let response = first.call("POST", "/bookings", &headers, key.as_bytes());
                    let result = (response.status, response.outcome());
                    assert_eq!(result, (200, "answered"), "{}", response.text());
                    let resend = second.call("POST", "/bookings", &headers, key.as_bytes());
                    let result = (resend.status, resend.outcome());
                    let replayed = resend.header("arbutuslane-replayed") == Some("true");
                    // The response may not have reached the replicas yet.
                    let unknown = result == (502, "unknown");
                    assert!(result == (200, "answered") && replayed || unknown, "{result:?}");
                    answered += 1;
                    sleep(Duration::from_millis(10));
                }
                answered
            })
        })
        .collect()
}

/// Panics unless exactly `answered` bookings ran, each of them once.
fn assert_one_run_each(servers: &[Server], answered: u32) {
    let mut runs: HashMap<Vec<u8>, u32> = HashMap::new();
    for server in servers {
        for received in server.received_requests() {
            if received.path == "/bookings" {
                *runs.entry(received.body).or_default() += 1;
            }
        }
    }
    println!("{answered} bookings answered");
    assert!(runs.values().all(|count| *count == 1), "a booking ran twice");
    assert_eq!(runs.len(), usize::try_from(answered).unwrap());
}

/// Guards against requests that are interrupted or refused when two nodes stop at the same time,
/// because each relies on the other or because a majority of the register replicas is lost.
#[test]
fn stop_two_of_five() {
    let mut nodes = start_fleet(5);
    let servers = start_servers(&nodes);
    let accepting_nodes = accepting_nodes(&nodes);
    let stopped = Arc::new(AtomicBool::new(false));
    let booking_callers = start_booking_callers(&accepting_nodes, &stopped);
    let lookup_callers: Vec<_> = (0..4)
        .map(|number| {
            let (accepting_nodes, stopped) = (Arc::clone(&accepting_nodes), Arc::clone(&stopped));
            spawn(move || {
                let mut caller = KeepAliveCaller::new(&accepting_nodes, number);
                let mut answered = 0_u32;
                while !stopped.load(Ordering::Relaxed) {
                    let response = caller.call("GET", "/slots", &[], b"");
                    let result = (response.status, response.outcome());
                    assert_eq!(result, (200, "answered"), "{}", response.text());
                    answered += 1;
                    sleep(Duration::from_millis(10));
                }
                answered
            })
        })
        .collect();
    sleep(Duration::from_millis(500));
    nodes[0].terminate();
    nodes[1].terminate();
    for node in &mut nodes[..2] {
        assert!(node.child.wait().unwrap().success());
    }
    sleep(Duration::from_millis(500));
    stopped.store(true, Ordering::Relaxed);
    let answered_bookings = booking_callers.into_iter().map(|thread| thread.join().unwrap()).sum();
    let answered_lookups: u32 =
        lookup_callers.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert!(answered_lookups > 100, "{answered_lookups}");
    assert_one_run_each(&servers, answered_bookings);
}

/// Guards against a rolling restart in which a keyed booking is refused, runs twice, or runs again
/// because a restarted node lost the state of its replicas.
#[test]
fn stop_rolling_keyed() {
    let mut nodes = start_fleet(3);
    let servers = start_servers(&nodes);
    let accepting_nodes = accepting_nodes(&nodes);
    let stopped = Arc::new(AtomicBool::new(false));
    let booking_callers = start_booking_callers(&accepting_nodes, &stopped);
    for index in 0..nodes.len() {
        accepting_nodes.lock().unwrap().retain(|address| *address != nodes[index].caller_address);
        nodes[index].terminate();
        nodes[index].restart_stopped();
        wait_until(|| nodes[index].status()["voting_replicas"] == SHARD_COUNT);
        wait_until(|| nodes.iter().all(|node| known_server_count(node) >= servers.len()));
        accepting_nodes.lock().unwrap().push(nodes[index].caller_address);
    }
    stopped.store(true, Ordering::Relaxed);
    let answered_bookings = booking_callers.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert_one_run_each(&servers, answered_bookings);
}

/// Guards against an idle keep-alive connection that delays a stop, or whose end a caller could
/// mistake for a lost response. The node closes it before the caller sends, without a byte and
/// without a reset.
#[test]
fn stop_idle_caller() {
    let mut first = Node::start(&[]);
    let second = Node::start(&[first.peer_address]);
    let server = Server::start_unannounced("s1", |received, stream| {
        write(stream, &received.build_ok_response("booked"))
    });
    server.announce(&[second.admin_address], "bookings");
    wait_until(|| first.metric("arbutuslane_remote_servers") == 1);
    let mut idle_stream = open_connection(first.caller_address);
    idle_stream.write_all(&encode_request("POST", "/bookings", &[], b"1")).unwrap();
    let first_response = caller::read_response(&mut idle_stream, false).unwrap();
    assert_eq!((first_response.status, first_response.header("connection")), (200, None));
    let mut unused_stream = open_connection(first.caller_address);
    first.terminate();
    assert!(first.child.wait().unwrap().success());
    for stream in [&mut idle_stream, &mut unused_stream] {
        // A caller that reads the end of the stream here has sent no byte of its next request.
        assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0);
    }
    assert_eq!(call(second.caller_address, "POST", "/bookings", &[], b"2").status, 200);
    let bodies: Vec<Vec<u8>> =
        server.received_requests().into_iter().map(|received| received.body).collect();
    assert_eq!(bodies, [b"1", b"2"]);
}
