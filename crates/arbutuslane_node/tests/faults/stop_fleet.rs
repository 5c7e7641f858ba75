//! Planned stops of several nodes, keyed bookings meanwhile, and callers that are idle throughout.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use crate::keys::{SHARDS, fleet};
use crate::support::node::wait_until;
use crate::support::server::write;
use crate::support::{Node, Response, Server, call, caller, open, request};

/// The nodes that take new connections, as callers know them.
type Open = Arc<Mutex<Vec<SocketAddr>>>;

/// Starts four servers of lookups and four of bookings that know all nodes.
fn servers(nodes: &[Node]) -> Vec<Server> {
    let admins: Vec<SocketAddr> = nodes.iter().map(|node| node.admin).collect();
    let names = ["t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"];
    let servers: Vec<Server> = names
        .into_iter()
        .enumerate()
        .map(|(number, name)| {
            let server = Server::listen(name, |received, stream| {
                sleep(Duration::from_millis(3));
                write(stream, &received.ok("done"))
            });
            let mut order = admins.clone();
            order.rotate_left(number % admins.len());
            server.announce(&order, if number < 4 { "slots" } else { "bookings" });
            server
        })
        .collect();
    wait_until(|| nodes.iter().all(|node| known(node) >= servers.len()));
    servers
}

/// Returns the number of servers that a node knows.
fn known(node: &Node) -> usize {
    let own = node.status()["servers"].as_array().unwrap().len();
    own + usize::try_from(node.metric("arbutuslane_remote_servers")).unwrap()
}

/// A caller on one connection, which it leaves when the response says so.
struct Steady {
    nodes: Open,
    turn: usize,
    stream: TcpStream,
}

impl Steady {
    fn new(nodes: &Open, turn: usize) -> Self {
        let stream = connect(nodes, turn);
        Self { nodes: Arc::clone(nodes), turn, stream }
    }

    fn call(&mut self, method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Response {
        self.stream.write_all(&request(method, path, fields, body)).unwrap();
        let response = caller::read(&mut self.stream, false).expect("interrupted");
        if response.field("connection") == Some("close") {
            self.turn += 1;
            self.stream = connect(&self.nodes, self.turn);
        }
        response
    }
}

/// Opens a connection to a node that accepts; a refused connection carries no request.
fn connect(nodes: &Open, turn: usize) -> TcpStream {
    for turn in turn.. {
        let address = {
            let nodes = nodes.lock().unwrap();
            nodes[turn % nodes.len()]
        };
        if TcpStream::connect(address).is_ok() {
            return open(address);
        }
    }
    unreachable!()
}

fn opened(nodes: &[Node]) -> Open {
    Arc::new(Mutex::new(nodes.iter().map(|node| node.callers).collect()))
}

/// Starts callers that book under a key each and resend each booking through another node; returns
/// how many were answered.
fn book_steadily(nodes: &Open, stopped: &Arc<AtomicBool>) -> Vec<JoinHandle<u32>> {
    (0..4)
        .map(|number| {
            let (nodes, stopped) = (Arc::clone(nodes), Arc::clone(stopped));
            spawn(move || {
                let mut first = Steady::new(&nodes, number);
                let mut second = Steady::new(&nodes, number + 1);
                let mut answered = 0;
                while !stopped.load(Ordering::Relaxed) {
                    let key = format!("order-{number}-{answered}");
                    let fields = [("idempotency-key", key.as_str())];
                    let response = first.call("POST", "/bookings", &fields, key.as_bytes());
                    let seen = (response.status, response.outcome());
                    assert_eq!(seen, (200, "answered"), "{}", response.text());
                    let resend = second.call("POST", "/bookings", &fields, key.as_bytes());
                    let seen = (resend.status, resend.outcome());
                    let replayed = resend.field("arbutuslane-replayed") == Some("true");
                    // The response may be on its way to the replicas still.
                    let unknown = seen == (502, "unknown");
                    assert!(seen == (200, "answered") && replayed || unknown, "{seen:?}");
                    answered += 1;
                    sleep(Duration::from_millis(10));
                }
                answered
            })
        })
        .collect()
}

/// Fails unless each of `answered` bookings ran once.
fn assert_one_run_each(servers: &[Server], answered: u32) {
    let mut runs: HashMap<Vec<u8>, u32> = HashMap::new();
    for server in servers {
        for received in server.received() {
            if received.path == "/bookings" {
                *runs.entry(received.body).or_default() += 1;
            }
        }
    }
    println!("{answered} bookings answered");
    assert!(runs.values().all(|count| *count == 1), "a booking ran twice");
    assert_eq!(runs.len(), usize::try_from(answered).unwrap());
}

/// Guards against nodes that stop at the same time and interrupt or refuse requests, because each
/// relies on the other or a majority of the register replicas is lost.
#[test]
fn stop_two_of_five() {
    let mut nodes = fleet(5);
    let servers = servers(&nodes);
    let opened = opened(&nodes);
    let stopped = Arc::new(AtomicBool::new(false));
    let booking = book_steadily(&opened, &stopped);
    let lookups: Vec<_> = (0..4)
        .map(|number| {
            let (opened, stopped) = (Arc::clone(&opened), Arc::clone(&stopped));
            spawn(move || {
                let mut caller = Steady::new(&opened, number);
                let mut answered = 0_u32;
                while !stopped.load(Ordering::Relaxed) {
                    let response = caller.call("GET", "/slots", &[], b"");
                    let seen = (response.status, response.outcome());
                    assert_eq!(seen, (200, "answered"), "{}", response.text());
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
    let booked = booking.into_iter().map(|thread| thread.join().unwrap()).sum();
    let looked_up: u32 = lookups.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert!(looked_up > 100, "{looked_up}");
    assert_one_run_each(&servers, booked);
}

/// Guards against a rolling restart in which a keyed booking is refused, runs twice, or is run
/// again by a node that has forgotten its replicas.
#[test]
fn stop_rolling_keyed() {
    let mut nodes = fleet(3);
    let servers = servers(&nodes);
    let opened = opened(&nodes);
    let stopped = Arc::new(AtomicBool::new(false));
    let booking = book_steadily(&opened, &stopped);
    for index in 0..nodes.len() {
        opened.lock().unwrap().retain(|address| *address != nodes[index].callers);
        nodes[index].terminate();
        nodes[index].restart_stopped();
        wait_until(|| nodes[index].status()["voting_replicas"] == SHARDS);
        wait_until(|| nodes.iter().all(|node| known(node) >= servers.len()));
        opened.lock().unwrap().push(nodes[index].callers);
    }
    stopped.store(true, Ordering::Relaxed);
    let booked = booking.into_iter().map(|thread| thread.join().unwrap()).sum();
    assert_one_run_each(&servers, booked);
}

/// Guards against an idle keep-alive connection that delays a stop, or whose end a caller could
/// take for a lost response: it is closed before the caller sends, with no byte and no reset.
#[test]
fn stop_idle_caller() {
    let mut first = Node::start(&[]);
    let second = Node::start(&[first.peers]);
    let server = Server::listen("s1", |received, stream| write(stream, &received.ok("booked")));
    server.announce(&[second.admin], "bookings");
    wait_until(|| first.metric("arbutuslane_remote_servers") == 1);
    let mut idle = open(first.callers);
    idle.write_all(&request("POST", "/bookings", &[], b"1")).unwrap();
    let before = caller::read(&mut idle, false).unwrap();
    assert_eq!((before.status, before.field("connection")), (200, None));
    let mut unused = open(first.callers);
    first.terminate();
    assert!(first.child.wait().unwrap().success());
    for stream in [&mut idle, &mut unused] {
        // A caller that finds the end of the stream here has sent nothing of its next request.
        assert_eq!(stream.read(&mut [0; 64]).unwrap(), 0);
    }
    assert_eq!(call(second.callers, "POST", "/bookings", &[], b"2").status, 200);
    let bodies: Vec<Vec<u8>> = server.received().into_iter().map(|got| got.body).collect();
    assert_eq!(bodies, [b"1", b"2"]);
}
