//! A node as its own process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::Duration;

use super::caller::{self, Response, call};

/// A catalogue with one service of each class. All callers of a test have one address, so the rate
/// of a caller is that of all.
const CATALOGUE: &str = r#"{"revision": 1, "group_version": 0, "groups": [], "entries": [
    {"service": "bookings", "owner": "o", "class": "non-idempotent",
     "preference": "few-false-ejections", "floor": 1,
     "limits": {"deadline_ms": 5000, "body_bytes": 1000000, "caller_rate": 4000},
     "routes": [{"path_prefix": "/bookings"}]},
    {"service": "reports", "owner": "o", "class": "download",
     "preference": "fast-detection", "floor": 1, "routes": [{"path_prefix": "/download"}]},
    {"service": "slots", "owner": "o", "class": "idempotent",
     "preference": "fast-detection", "floor": 1,
     "limits": {"caller_rate": 4000}, "routes": [{"path_prefix": "/slots"}]}]}"#;

static STARTED: AtomicU32 = AtomicU32::new(0);

/// A node as its own process; it is ended when the value is dropped.
pub(crate) struct Node {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) child: Child,
    folder: PathBuf,
}

impl Node {
    /// Starts a node that asks `seeds` and waits until it has a configuration.
    pub(crate) fn start(seeds: &[SocketAddr]) -> Self {
        Self::start_with(seeds, 2, 1)
    }

    /// Starts a node with `threads` traffic threads and random choices that follow from `seed`.
    pub(crate) fn start_with(seeds: &[SocketAddr], threads: usize, seed: u64) -> Self {
        Self::start_full(seeds, &[], threads, seed)
    }

    /// Starts a node whose log nobody reads: the other end of its standard output stays open.
    pub(crate) fn start_unread() -> Self {
        let mut node = Self::start(&[]);
        let _ = node.child.kill();
        let _ = node.child.wait();
        node.child = spawn_with(&node.folder.join("settings.json"), Stdio::piped());
        node.wait_healthy();
        node
    }

    /// Starts a node with the addresses of control instances.
    pub(crate) fn start_controlled(seeds: &[SocketAddr], control: &[SocketAddr]) -> Self {
        Self::start_full(seeds, control, 2, 1)
    }

    fn start_full(seeds: &[SocketAddr], control: &[SocketAddr], threads: usize, seed: u64) -> Self {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let [callers, peers, admin] = [8000, 8001, 8002].map(|port| address(number, port));
        let name = format!("node-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&name);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("token"), "secret\n").unwrap();
        std::fs::write(folder.join("catalogue.json"), CATALOGUE).unwrap();
        let settings = serde_json::json!({
            "node": name, "domain": "d", "callers": callers, "peers": peers, "admin": admin,
            "token_file": folder.join("token"), "seeds": seeds, "control": control,
            "catalogue_file": folder.join("catalogue.json"), "stop_ms": 20_000,
            "traffic_threads": threads, "seed": seed,
        });
        let path = folder.join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let node = Self { callers, peers, admin, child: spawn(&path), folder };
        node.wait_healthy();
        node
    }

    /// Starts a node that has its configuration from `seeds` only, as soon as it accepts callers.
    pub(crate) fn start_without_catalogue(seeds: &[SocketAddr]) -> Self {
        let mut node = Self::start(seeds);
        let _ = node.child.kill();
        let _ = node.child.wait();
        let path = node.folder.join("settings.json");
        let text = std::fs::read_to_string(&path).unwrap();
        let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        settings.as_object_mut().unwrap().remove("catalogue_file");
        std::fs::write(&path, settings.to_string()).unwrap();
        node.child = spawn(&path);
        wait_until(|| std::net::TcpStream::connect(node.callers).is_ok());
        node
    }

    /// Returns the catalogue that a node starts with.
    pub(crate) fn catalogue() -> &'static str {
        CATALOGUE
    }

    /// Kills the node and starts it again with the same settings.
    pub(crate) fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.folder.join("settings.json"));
        self.wait_healthy();
    }

    /// Starts the node again at the same addresses after it has ended.
    pub(crate) fn restart_stopped(&mut self) {
        assert!(self.child.wait().unwrap().success());
        self.child = spawn(&self.folder.join("settings.json"));
        self.wait_healthy();
    }

    fn wait_healthy(&self) {
        wait_until(|| self.get("/health").is_some_and(|response| response.status == 200));
    }

    /// Asks the admin listener, or returns nothing when it does not accept.
    pub(crate) fn get(&self, path: &str) -> Option<Response> {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(self.admin).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(&caller::request("GET", path, &[], &[])).ok()?;
        caller::read(&mut stream, false)
    }

    /// Returns the value of a metric without labels.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let text = self.get("/metrics").unwrap().text();
        let line = text.lines().find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.split(' ').nth(1)).unwrap().parse().unwrap()
    }

    /// Returns the status of the node.
    pub(crate) fn status(&self) -> serde_json::Value {
        serde_json::from_slice(&self.get("/v1/status").unwrap().body).unwrap()
    }

    /// Calls the caller listener on a new connection.
    pub(crate) fn call(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Response {
        call(self.callers, method, path, fields, body)
    }

    /// Tells the node to stop as an operator does.
    pub(crate) fn terminate(&self) {
        let killed = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
        assert!(killed.unwrap().success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn spawn(settings: &Path) -> Child {
    spawn_with(settings, Stdio::null())
}

fn spawn_with(settings: &Path, output: Stdio) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_arbutuslane-node"));
    command.arg(settings).stdout(output).stderr(Stdio::null()).spawn().unwrap()
}

/// Returns the address of a listener of node `number`.
///
/// Each node has a loopback address of its own and ports below the ephemeral range, so that tests
/// which run at the same time do not take each other's ports.
fn address(number: u32, port: u16) -> SocketAddr {
    let process = std::process::id().to_be_bytes();
    let host = [127, process[2].max(1), process[3], u8::try_from(number + 1).unwrap()];
    SocketAddr::from((host, port))
}

/// Waits until `condition` holds; gives up after 20 s so that a fault cannot hang a test.
pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10));
    }
    panic!("the condition did not come true");
}
