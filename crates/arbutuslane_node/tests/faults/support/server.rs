//! A backend server whose responses are written byte by byte by the test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::caller::call;
use super::node::{Node, wait_until};

/// A complete request as the server received it.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Index of the request on its connection, counted from 0.
    pub(crate) request_index: u64,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a complete response that echoes the exchange id.
    pub(crate) fn build_response(&self, status: &str, headers: &str, body: &str) -> Vec<u8> {
        let exchange_id = self.header("arbutuslane-exchange").unwrap_or_default();
        format!(
            "HTTP/1.1 {status}\r\narbutuslane-exchange: {exchange_id}\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Returns a complete response with status 200.
    pub(crate) fn build_ok_response(&self, body: &str) -> Vec<u8> {
        self.build_response("200 OK", "", body)
    }
}

/// A backend server that accepts connections and renews its lease until it is dropped.
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    state: Arc<ServerState>,
}

struct ServerState {
    received: Mutex<Vec<ReceivedRequest>>,
    accepted_connections: AtomicU64,
    renews_lease: AtomicBool,
    stopped: AtomicBool,
}

impl Server {
    /// Starts a server, announces it to `node` under `service` and waits until the node lists it.
    ///
    /// `handler` writes the response to a request and returns whether the connection stays open.
    /// A request whose path contains `crash` stops the server without a call to `handler`.
    pub(crate) fn start<F>(node: &Node, service: &str, name: &str, handler: F) -> Self
    where
        F: Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let server = Self::start_unannounced(name, handler);
        server.announce(&[node.admin_address], service);
        let name = name.to_string();
        wait_until(|| {
            let status = node.status();
            let servers = status["servers"].as_array().unwrap();
            servers.iter().any(|server| server["server"] == name.as_str())
        });
        server
    }

    /// Starts a server without announcing it.
    pub(crate) fn start_unannounced<F>(name: &str, handler: F) -> Self
    where
        F: Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(ServerState {
            received: Mutex::default(),
            accepted_connections: AtomicU64::new(0),
            renews_lease: AtomicBool::new(true),
            stopped: AtomicBool::new(false),
        });
        let (handler, shared) = (Arc::new(handler), Arc::clone(&state));
        spawn(move || {
            for stream in listener.incoming() {
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (handler, shared) = (Arc::clone(&handler), Arc::clone(&shared));
                shared.accepted_connections.fetch_add(1, Ordering::Relaxed);
                spawn(move || serve_connection(stream.unwrap(), &shared, handler.as_ref()));
            }
        });
        Self { name: name.to_string(), address, state }
    }

    /// Announces the server and renews its lease in the background.
    ///
    /// After a failed announcement it goes on with the next of `nodes`, under a new incarnation.
    pub(crate) fn announce(&self, nodes: &[SocketAddr], service: &str) {
        let (state, name) = (Arc::clone(&self.state), self.name.clone());
        let (service, address, nodes) = (service.to_string(), self.address, nodes.to_vec());
        spawn(move || {
            let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let mut incarnation = u64::try_from(started.as_millis()).unwrap();
            let mut node_index = 0;
            while state.renews_lease.load(Ordering::Relaxed) {
                let body = serde_json::json!({
                    "service": service, "server": name, "incarnation": incarnation,
                    "address": address, "slots": 5, "revision": 0,
                });
                let connected = TcpStream::connect(nodes[node_index]).is_ok();
                let body = body.to_string();
                if connected
                    && call(nodes[node_index], "POST", "/v1/servers", &[], body.as_bytes()).status
                        == 200
                {
                    sleep(Duration::from_millis(300));
                    continue;
                }
                node_index = (node_index + 1) % nodes.len();
                incarnation += 1;
                sleep(Duration::from_millis(20));
            }
        });
    }

    /// Stops renewing the lease without announcing that the server leaves.
    pub(crate) fn stop_renewing(&self) {
        self.state.renews_lease.store(false, Ordering::Relaxed);
    }

    /// Returns the requests that were received completely.
    pub(crate) fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().unwrap().clone()
    }

    /// Returns whether the server has stopped accepting connections, for example after a crash.
    pub(crate) fn is_stopped(&self) -> bool {
        self.state.stopped.load(Ordering::Relaxed)
    }

    /// Returns the number of accepted connections.
    pub(crate) fn accepted_connections(&self) -> u64 {
        self.state.accepted_connections.load(Ordering::Relaxed)
    }
}

impl ServerState {
    /// Simulates a crash: closes the listener first; `serve_connection` then drops the connection.
    fn crash(&self, stream: &TcpStream) {
        self.renews_lease.store(false, Ordering::Relaxed);
        self.stopped.store(true, Ordering::Relaxed);
        let address = stream.local_addr().unwrap();
        wait_until(|| TcpStream::connect(address).is_err());
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop_renewing();
        self.state.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve_connection<F>(mut stream: TcpStream, state: &ServerState, handler: &F)
where
    F: Fn(&ReceivedRequest, &mut TcpStream) -> bool,
{
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    for request_index in 0.. {
        let Some(received) = read_request(&mut stream, &mut buffer, request_index) else { return };
        state.received.lock().unwrap().push(received.clone());
        if received.path.contains("crash") {
            state.crash(&stream);
            return;
        }
        if !handler(&received, &mut stream) {
            return;
        }
    }
}

fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    request_index: u64,
) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        read_more(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut request_line_parts = lines.next()?.split(' ');
    let path = request_line_parts.nth(1)?.to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    let mut received = ReceivedRequest { path, headers, body: Vec::new(), request_index };
    if received.header("transfer-encoding") == Some("chunked") {
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                read_more(stream, buffer)?;
            };
            let size = usize::from_str_radix(&String::from_utf8_lossy(&buffer[..end]), 16).ok()?;
            while buffer.len() < end + size + 4 {
                read_more(stream, buffer)?;
            }
            received.body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + size + 4);
            if size == 0 {
                return Some(received);
            }
        }
    }
    let length = received.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer)?;
    }
    received.body = buffer.drain(..length).collect();
    Some(received)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 64 << 10];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(length) => {
            buffer.extend_from_slice(&chunk[..length]);
            Some(())
        }
    }
}

/// Writes `bytes` and returns whether that succeeded; the node may have closed the connection.
pub(crate) fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}
