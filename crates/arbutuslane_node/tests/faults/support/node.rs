//! A node that runs as a separate process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::Duration;

use super::caller::{self, Response, call};

/// A catalogue with one service of each class.
///
/// All callers of a test share one IP address, so `caller_rate` bounds their total rate.
const CATALOGUE: &str = r#"{"revision": 1, "group_version": 0, "groups": [], "entries": [
    {"service": "bookings", "owner": "o", "class": "non-idempotent",
     "preference": "few-false-ejections", "floor": 1,
     "limits": {"deadline_ms": 5000, "body_bytes": 1000000, "caller_rate": 4000},
     "routes": [{"path_prefix": "/bookings"}]},
    {"service": "reports", "owner": "o", "class": "download",
     "preference": "fast-detection", "floor": 1, "routes": [{"path_prefix": "/download"}]},
    {"service": "slots", "owner": "o", "class": "idempotent",
     "preference": "fast-detection", "floor": 1,
     "limits": {"caller_rate": 4000}, "routes": [{"path_prefix": "/slots"}]},
    {"service": "photos", "owner": "o", "class": "upload",
     "preference": "few-false-ejections", "floor": 1,
     "limits": {"deadline_ms": 15000, "body_bytes": 1000000, "caller_rate": 4000},
     "routes": [{"path_prefix": "/photos"}]}]}"#;

/// Number of nodes that this test process has started.
static NODES_STARTED: AtomicU32 = AtomicU32::new(0);

/// A node process, killed when the value is dropped.
pub(crate) struct Node {
    /// Address of the listener for callers.
    pub(crate) caller_address: SocketAddr,
    /// Address of the listener for other nodes.
    pub(crate) peer_address: SocketAddr,
    /// Address of the listener for backend servers and operators.
    pub(crate) admin_address: SocketAddr,
    pub(crate) child: Child,
    /// Directory of the settings, the token and the catalogue.
    directory: PathBuf,
}

impl Node {
    /// Starts a node that joins through `seeds`, and waits until it is healthy, that is, has a
    /// configuration.
    pub(crate) fn start(seeds: &[SocketAddr]) -> Self {
        Self::start_seeded(seeds, 2, 1)
    }

    /// Starts a node with `threads` traffic threads, whose random choices are derived from `seed`.
    pub(crate) fn start_seeded(seeds: &[SocketAddr], threads: usize, seed: u64) -> Self {
        Self::start_with_settings(seeds, &[], threads, seed)
    }

    /// Starts a node whose standard output is a pipe that stays open and is not read.
    pub(crate) fn start_with_unread_log() -> Self {
        let mut node = Self::start(&[]);
        let _ = node.child.kill();
        let _ = node.child.wait();
        node.child = spawn_node_with_output(&node.directory.join("settings.json"), Stdio::piped());
        node.wait_healthy();
        node
    }

    /// Starts a node that uses the control instances at `control`.
    pub(crate) fn start_with_control(seeds: &[SocketAddr], control: &[SocketAddr]) -> Self {
        Self::start_with_settings(seeds, control, 2, 1)
    }

    /// Starts a node that holds request bodies in a quarter of `memory_mb` megabytes.
    pub(crate) fn start_with_memory(seeds: &[SocketAddr], memory_mb: u32) -> Self {
        let mut node = Self::start(seeds);
        node.restart_with(|settings| settings["memory_mb"] = memory_mb.into());
        node.wait_healthy();
        node
    }

    /// Returns the largest memory in bytes that the process has used so far.
    pub(crate) fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1_024
    }

    fn start_with_settings(
        seeds: &[SocketAddr],
        control: &[SocketAddr],
        threads: usize,
        seed: u64,
    ) -> Self {
        let node_number = NODES_STARTED.fetch_add(1, Ordering::Relaxed);
        let [caller_address, peer_address, admin_address] =
            [8000, 8001, 8002].map(|port| listener_address(node_number, port));
        let name = format!("node-{}-{node_number}", std::process::id());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&name);
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("token"), "secret\n").unwrap();
        std::fs::write(directory.join("catalogue.json"), CATALOGUE).unwrap();
        let settings = serde_json::json!({
            "node": name, "domain": "d",
            "callers": caller_address, "peers": peer_address, "admin": admin_address,
            "token_file": directory.join("token"), "seeds": seeds, "control": control,
            "catalogue_file": directory.join("catalogue.json"), "stop_ms": 20_000,
            "traffic_threads": threads, "seed": seed,
        });
        let path = directory.join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let node = Self {
            caller_address,
            peer_address,
            admin_address,
            child: spawn_node(&path),
            directory,
        };
        node.wait_healthy();
        node
    }

    /// Starts a node that gets its configuration only from `seeds`, and waits until it accepts
    /// connections of callers.
    pub(crate) fn start_without_catalogue(seeds: &[SocketAddr]) -> Self {
        let mut node = Self::start(seeds);
        node.restart_with(|settings| {
            settings.as_object_mut().unwrap().remove("catalogue_file");
        });
        wait_until(|| std::net::TcpStream::connect(node.caller_address).is_ok());
        node
    }

    /// Returns the catalogue file of the nodes.
    pub(crate) fn catalogue() -> &'static str {
        CATALOGUE
    }

    /// Kills the node and starts it with changed settings.
    pub(crate) fn restart_with(&mut self, change: impl FnOnce(&mut serde_json::Value)) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let path = self.directory.join("settings.json");
        let text = std::fs::read_to_string(&path).unwrap();
        let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        change(&mut settings);
        std::fs::write(&path, settings.to_string()).unwrap();
        self.child = spawn_node(&path);
    }

    /// Kills the node and starts it again with the same settings.
    pub(crate) fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn_node(&self.directory.join("settings.json"));
        self.wait_healthy();
    }

    /// Waits for the node to exit with success and starts it again with the same settings.
    pub(crate) fn restart_stopped(&mut self) {
        assert!(self.child.wait().unwrap().success());
        self.child = spawn_node(&self.directory.join("settings.json"));
        self.wait_healthy();
    }

    pub(crate) fn wait_healthy(&self) {
        wait_until(|| self.get_admin("/health").is_some_and(|response| response.status == 200));
    }

    /// Sends a GET request to the admin listener. Returns `None` when no complete response head is
    /// received.
    pub(crate) fn get_admin(&self, path: &str) -> Option<Response> {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(self.admin_address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(&caller::encode_request("GET", path, &[], &[])).ok()?;
        caller::read_response(&mut stream, false)
    }

    /// Returns the value of a metric without labels.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let text = self.get_admin("/metrics").unwrap().text();
        let line = text.lines().find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.split(' ').nth(1)).unwrap().parse().unwrap()
    }

    /// Returns the status of the node.
    pub(crate) fn status(&self) -> serde_json::Value {
        serde_json::from_slice(&self.get_admin("/v1/status").unwrap().body).unwrap()
    }

    /// Sends a request to the caller listener on a new connection and reads the response.
    pub(crate) fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Response {
        call(self.caller_address, method, path, headers, body)
    }

    /// Requests a planned stop with SIGTERM, as an operator does.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the process; `STOP` freezes it and `CONT` lets it go on.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let kill_status = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        assert!(kill_status.unwrap().success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn spawn_node(settings: &Path) -> Child {
    spawn_node_with_output(settings, Stdio::null())
}

fn spawn_node_with_output(settings: &Path, output: Stdio) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_arbutuslane-node"));
    command.arg(settings).stdout(output).stderr(Stdio::null()).spawn().unwrap()
}

/// The number of loopback addresses of the nodes of a test process.
const NODES_PER_PORT: u32 = 250;

/// The distance of the ports of nodes that have the same loopback address.
const PORT_STEP: u16 = 100;

/// Returns the address of a listener of node `number`, counted from 0 in this test process.
///
/// Each node has its own loopback address and ports below the ephemeral range, so that tests
/// running at the same time do not conflict over ports.
fn listener_address(node_number: u32, port: u16) -> SocketAddr {
    let process = std::process::id().to_be_bytes();
    let host = u8::try_from(node_number % NODES_PER_PORT + 1).unwrap();
    let port_offset = u16::try_from(node_number / NODES_PER_PORT).unwrap() * PORT_STEP;
    SocketAddr::from(([127, process[2].max(1), process[3], host], port + port_offset))
}

/// Polls `condition` every 10 ms until it is true; panics after 20 s so that a fault cannot hang a
/// test.
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10));
    }
    panic!("the condition was not met within 20 s");
}
