//! Control instances on the loopback interface, and a client for their operator API.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use arbutuslane_control::prelude::*;
use arbutuslane_wire::operator::{Address, Status};
use arbutuslane_wire::{codec, header, peer};
use serde_json::{Value, json};
use tempfile::TempDir;

/// The timeout of every wait; a healthy control group needs a fraction of it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

pub(crate) const TOKEN: &str = "token-of-mari";

/// Several instances with their settings and data folders.
pub(crate) struct Cluster {
    pub(crate) folder: TempDir,
    pub(crate) members: Vec<Address>,
    pub(crate) daemons: Vec<Option<Daemon>>,
}

impl Cluster {
    /// Starts `count` instances with empty data folders.
    pub(crate) fn start(count: usize) -> Self {
        let mut cluster = Self::prepare(count);
        for index in 0..count {
            cluster.start_instance(index);
        }
        cluster
    }

    /// Prepares the settings of `count` instances without starting any.
    pub(crate) fn prepare(count: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("operators"), format!("mari {TOKEN}\n")).unwrap();
        std::fs::write(folder.path().join("peers"), "secret-of-the-fleet\n").unwrap();
        std::fs::write(folder.path().join("control"), "secret-of-control\n").unwrap();
        let members = (0..count).map(|index| address(&format!("control-{index}"))).collect();
        Self { folder, members, daemons: (0..count).map(|_| None).collect() }
    }

    pub(crate) fn settings(&self, index: usize) -> Settings {
        let path = self.folder.path();
        let member = &self.members[index];
        let text = json!({
            "name": member.name,
            "data": path.join(&member.name),
            "operators": member.operators,
            "peers": member.peers,
            "members": self.members,
            "operator_tokens": path.join("operators"),
            "peer_token": path.join("peers"),
            "control_token": path.join("control"),
        });
        let file = path.join(format!("{}.json", member.name));
        std::fs::write(&file, text.to_string()).unwrap();
        Settings::load(&file).unwrap()
    }

    pub(crate) fn data(&self, index: usize) -> std::path::PathBuf {
        Path::new(self.folder.path()).join(&self.members[index].name)
    }

    pub(crate) fn start_instance(&mut self, index: usize) {
        self.daemons[index] = Some(Daemon::start(self.settings(index)).unwrap());
    }

    pub(crate) fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.kill();
        }
    }

    pub(crate) fn status(&self, index: usize) -> Option<Status> {
        let (code, body) = self.send_request(index, "GET", "/v1/status", "")?;
        (code == 200).then(|| serde_json::from_value(body).unwrap())
    }

    /// Waits until an instance leads and returns its index.
    pub(crate) fn leader(&self) -> usize {
        self.wait("a leader", || {
            let running = (0..self.daemons.len()).filter(|at| self.daemons[*at].is_some());
            let mut running = running.filter(|at| {
                self.send_request(*at, "GET", "/v1/catalogue", "")
                    .is_some_and(|(code, _)| code == 200)
            });
            running.find(|at| self.status(*at).is_some_and(|status| status.role == "leader"))
        })
    }

    /// Sends a change under the same id to the running instances in turn until one decides it.
    pub(crate) fn apply(&self, id: &str, base: u64, floor: u32) -> (u16, Value) {
        let body = change(id, base, floor);
        self.wait("a response to a change", || {
            let running = (0..self.daemons.len()).filter(|at| self.daemons[*at].is_some());
            let mut responses =
                running.filter_map(|at| self.send_request(at, "POST", "/v1/changes", &body));
            responses.find(|(code, _)| *code != 503)
        })
    }

    pub(crate) fn revision(&self, index: usize) -> Option<u64> {
        let (code, body) = self.send_request(index, "GET", "/v1/catalogue", "")?;
        if code == 200 { body["revision"].as_u64() } else { None }
    }

    pub(crate) fn send_request(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        request(&self.members[index].operators, method, path, TOKEN, body)
    }

    /// Sends a message to the peer listener under the fleet's token, as a node does.
    pub(crate) fn send_message(
        &self,
        index: usize,
        message: &peer::Message,
    ) -> Option<peer::Answer> {
        let header = format!("{}: secret-of-the-fleet", header::TOKEN);
        let address = &self.members[index].peers;
        let body = codec::encode(message).ok()?;
        let (_, response) = exchange(address, "POST", "/v1/peer", &header, &body)?;
        codec::decode(&response).ok()
    }

    /// Announces nodes that do not exist, so that they appear alive for some seconds. Each call
    /// raises the incarnation, which also refutes a suspicion.
    pub(crate) fn announce_nodes(&self, index: usize, nodes: &[&str]) {
        static INCARNATION: AtomicU64 = AtomicU64::new(1);
        let record = |node: &&str| peer::gossip::Held {
            node: (*node).to_string(),
            inc: INCARNATION.fetch_add(1, Ordering::Relaxed),
            ver: 1,
            // No process listens on the discard port.
            peers: "127.0.0.1:9".to_string(),
            callers: "127.0.0.1:9".to_string(),
            domain: "domain".to_string(),
            release: String::new(),
            servers: Vec::new(),
            round: 0,
            standing: peer::gossip::Standing::Alive,
        };
        let records = nodes.iter().map(record).collect();
        let message = peer::gossip::Message::Push { records, verdicts: Vec::new() };
        self.send_message(index, &peer::Message::Gossip(message));
    }

    /// Reports the shards whose groups a node votes in, with their epochs.
    pub(crate) fn report_votes(&self, index: usize, node: &str, votes: &[(u32, u64)]) {
        let (node, votes) = (node.to_string(), votes.to_vec());
        self.send_message(index, &peer::Message::InForce { node, revision: 0, votes });
    }

    /// Posts an empty batch of consensus messages under a token; returns the status code.
    pub(crate) fn post_raft(&self, index: usize, token: &str) -> Option<u16> {
        let header = format!("{}: {token}", header::TOKEN);
        let body = codec::encode(&Vec::<u8>::new()).ok()?;
        let address = &self.members[index].peers;
        exchange(address, "POST", "/v1/raft", &header, &body).map(|(code, _)| code)
    }

    /// Polls until `probe` returns a value; panics with `awaited` after the timeout.
    pub(crate) fn wait<T>(&self, awaited: &str, probe: impl FnMut() -> Option<T>) -> T {
        wait(awaited, probe)
    }
}

pub(crate) fn wait<T>(awaited: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {awaited}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns free loopback addresses for an instance.
pub(crate) fn address(name: &str) -> Address {
    Address { name: name.to_string(), peers: free_address(), operators: free_address() }
}

/// Returns an address below the port range that the system uses for outgoing connections. A
/// connection of another test could otherwise take the port before the instance listens, or while
/// it is down.
fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (std::process::id() * 97 + next) % 12_000;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

/// Returns the body of a change to one service; different floors make changes distinguishable.
pub(crate) fn change(id: &str, base: u64, floor: u32) -> String {
    json!({
        "change_id": id,
        "author": "mari",
        "base_revision": base,
        "entries": [{
            "service": "slots",
            "owner": "tuning",
            "class": "idempotent",
            "preference": "few-false-ejections",
            "floor": floor,
            "routes": [{"path_prefix": "/slots"}],
        }],
    })
    .to_string()
}

/// Sends one request; returns `None` when the connection fails.
pub(crate) fn request(
    address: &str,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> Option<(u16, Value)> {
    let header = format!("authorization: Bearer {token}");
    let (code, response) = exchange(address, method, path, &header, body.as_bytes())?;
    Some((code, serde_json::from_slice(&response).unwrap_or(Value::Null)))
}

fn exchange(
    address: &str,
    method: &str,
    path: &str,
    header: &str,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\n{header}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    let end = response.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&response[..end]);
    let code = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((code, response[end + 4..].to_vec()))
}
