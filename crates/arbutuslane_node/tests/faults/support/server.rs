//! A backend server whose every byte a test decides.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::caller::call;
use super::node::{Node, wait_until};

/// A request as the server received it.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) path: String,
    pub(crate) fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// The number of the request on its connection, counted from 0.
    pub(crate) turn: u64,
}

impl Received {
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a complete response that echoes the exchange id.
    pub(crate) fn respond(&self, status: &str, fields: &str, body: &str) -> Vec<u8> {
        let echo = self.field("arbutuslane-exchange").unwrap_or_default();
        format!(
            "HTTP/1.1 {status}\r\narbutuslane-exchange: {echo}\r\n{fields}content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Returns a complete response with status 200.
    pub(crate) fn ok(&self, body: &str) -> Vec<u8> {
        self.respond("200 OK", "", body)
    }
}

/// A backend server that announces itself until it is dropped.
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

struct State {
    received: Mutex<Vec<Received>>,
    connections: AtomicU64,
    renewing: AtomicBool,
    ended: AtomicBool,
}

impl Server {
    /// Starts a server of `service` at `node`. `answer` writes the response to a request and
    /// returns whether the connection stays open.
    pub(crate) fn start<F>(node: &Node, service: &str, name: &str, answer: F) -> Self
    where
        F: Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let server = Self::listen(name, answer);
        server.announce(&[node.admin], service);
        let name = name.to_string();
        wait_until(|| {
            let status = node.status();
            let servers = status["servers"].as_array().unwrap();
            servers.iter().any(|server| server["server"] == name.as_str())
        });
        server
    }

    /// Starts a server that is not announced.
    pub(crate) fn listen<F>(name: &str, answer: F) -> Self
    where
        F: Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            received: Mutex::default(),
            connections: AtomicU64::new(0),
            renewing: AtomicBool::new(true),
            ended: AtomicBool::new(false),
        });
        let (answer, shared) = (Arc::new(answer), Arc::clone(&state));
        spawn(move || {
            for stream in listener.incoming() {
                if shared.ended.load(Ordering::Relaxed) {
                    return;
                }
                let (answer, shared) = (Arc::clone(&answer), Arc::clone(&shared));
                shared.connections.fetch_add(1, Ordering::Relaxed);
                spawn(move || serve(stream.unwrap(), &shared, answer.as_ref()));
            }
        });
        Self { name: name.to_string(), address, state }
    }

    /// Announces the server to the first of `nodes` that accepts it, and renews the lease.
    pub(crate) fn announce(&self, nodes: &[SocketAddr], service: &str) {
        let (state, name) = (Arc::clone(&self.state), self.name.clone());
        let (service, address, nodes) = (service.to_string(), self.address, nodes.to_vec());
        spawn(move || {
            let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let mut incarnation = u64::try_from(started.as_millis()).unwrap();
            let mut node = 0;
            while state.renewing.load(Ordering::Relaxed) {
                let body = serde_json::json!({
                    "service": service, "server": name, "incarnation": incarnation,
                    "address": address, "slots": 5, "revision": 0,
                });
                let sent = TcpStream::connect(nodes[node]).is_ok();
                let body = body.to_string();
                if sent
                    && call(nodes[node], "POST", "/v1/servers", &[], body.as_bytes()).status == 200
                {
                    sleep(Duration::from_millis(300));
                    continue;
                }
                node = (node + 1) % nodes.len();
                incarnation += 1;
                sleep(Duration::from_millis(20));
            }
        });
    }

    /// Stops renewing the lease without a word.
    pub(crate) fn stop_renewing(&self) {
        self.state.renewing.store(false, Ordering::Relaxed);
    }

    /// Returns the requests whose bytes were all received.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.state.received.lock().unwrap().clone()
    }

    /// Returns whether the server has ended.
    pub(crate) fn ended(&self) -> bool {
        self.state.ended.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were accepted.
    pub(crate) fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }
}

impl State {
    /// Ends the server as a crash does: first nothing accepts, then connections break.
    fn end(&self, stream: &TcpStream) {
        self.renewing.store(false, Ordering::Relaxed);
        self.ended.store(true, Ordering::Relaxed);
        let address = stream.local_addr().unwrap();
        wait_until(|| TcpStream::connect(address).is_err());
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop_renewing();
        self.state.ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve<F>(mut stream: TcpStream, state: &State, answer: &F)
where
    F: Fn(&Received, &mut TcpStream) -> bool,
{
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    for turn in 0.. {
        let Some(received) = receive(&mut stream, &mut buffer, turn) else { return };
        state.received.lock().unwrap().push(received.clone());
        if received.path.contains("crash") {
            state.end(&stream);
            return;
        }
        if !answer(&received, &mut stream) {
            return;
        }
    }
}

fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>, turn: u64) -> Option<Received> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let path = first.nth(1)?.to_string();
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    let mut received = Received { path, fields, body: Vec::new(), turn };
    if received.field("transfer-encoding") == Some("chunked") {
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                fill(stream, buffer)?;
            };
            let size = usize::from_str_radix(&String::from_utf8_lossy(&buffer[..end]), 16).ok()?;
            while buffer.len() < end + size + 4 {
                fill(stream, buffer)?;
            }
            received.body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + size + 4);
            if size == 0 {
                return Some(received);
            }
        }
    }
    let length = received.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    received.body = buffer.drain(..length).collect();
    Some(received)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 64 << 10];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(length) => {
            buffer.extend_from_slice(&chunk[..length]);
            Some(())
        }
    }
}

/// Writes `bytes`; a node that closed the connection is no fault of the server.
pub(crate) fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}
