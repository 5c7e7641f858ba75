//! A small deployment on loopback: its machines, the settings of their processes, and the processes.
//! Settings are rendered from the project's templates, as the platform does.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// The bounds of the site `hm-mesh`.
pub const STABILITY_WINDOW: Duration = Duration::from_secs(3);
pub const GRACE: Duration = Duration::from_secs(6);
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The machines whose processes have to be ended with the case.
static MACHINES: Mutex<Vec<Arc<Machine>>> = Mutex::new(Vec::new());

const ZONES: [&str; 3] = ["ee-north-a", "ee-north-b", "ee-north-c"];

/// The ports, which are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub inbound: u16,
    pub readiness: u16,
    pub app: u16,
    pub outbound: u16,
    pub metrics: u16,
}

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub ip: String,
    program: &'static str,
    template: &'static str,
    values: BTreeMap<String, String>,
    folder: PathBuf,
    state: Mutex<State>,
    record: Arc<Record>,
    pub ports: Ports,
}

#[derive(Default)]
struct State {
    child: Option<Child>,
    started_at: Option<Instant>,
    is_stopping: bool,
    is_ended: bool,
    starts: u32,
}

pub struct Site {
    pub cores: Vec<Arc<Machine>>,
    pub nodes: Vec<Arc<Machine>>,
}

impl Site {
    /// Lays out 5 core machines and a sidecar machine for each of `services`, and starts nothing.
    pub fn new(services: &[&str], record: &Arc<Record>) -> Self {
        let folder = std::env::temp_dir().join(format!("arbutuslane-case-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let pid = std::process::id();
        let net = format!("127.{}.{}", 64 + pid / 250 % 128, 1 + pid % 250);
        let ports = free_ports(&format!("{net}.1"));
        let ip = |number: usize| format!("{net}.{number}");
        let seeds: Vec<String> =
            (0..3).map(|n| format!("{}:{}", ip(n + 1), ports.control)).collect();
        let machine = |name: String, number: usize, is_core: bool, service: &str, zone: usize| {
            let ip = ip(number);
            let data = folder.join(&name).join("data");
            fs::create_dir_all(&data).expect("no data folder");
            let mut values = BTreeMap::new();
            let mut set = |key: &str, value: String| drop(values.insert(key.to_string(), value));
            let text = |text: &str| format!("\"{text}\"");
            set("node", text(&name));
            set("ip", text(&ip));
            set("zone", text(ZONES[zone % 3]));
            set("service", text(service));
            set(
                "seeds",
                format!("[{}]", seeds.iter().map(|s| text(s)).collect::<Vec<_>>().join(",")),
            );
            set("bootstrap", "true".to_string());
            set("heartbeat_s", "1.5".to_string());
            set("data_dir", text(&data.display().to_string()));
            set("internal_port_range.0", ports.metrics.to_string());
            set("listen.control", text(&format!("{ip}:{}", ports.control)));
            set("listen.inbound", text(&format!("{ip}:{}", ports.inbound)));
            set("listen.outbound", text(&format!("{ip}:{}", ports.outbound)));
            set("listen.readiness_addr", text(&format!("{ip}:{}", ports.readiness)));
            set("limits.memory_mb", if is_core { "256" } else { "260" }.to_string());
            set("limits.max_fds", if is_core { "4096" } else { "4100" }.to_string());
            set("fault_tolerance.machines", "2".to_string());
            set("bounds.grace_s", "6".to_string());
            set("bounds.retry_budget_ratio", "0.2".to_string());
            set("bounds.retry_budget_slack", "64".to_string());
            set("bounds.budget_window_s", "10".to_string());
            let (program, template) = match is_core {
                true => ("target/release/arbutuslane-platform-control", "platform/control.json"),
                false => ("target/release/arbutuslane-platform-node", "platform/node.json"),
            };
            let folder = folder.join(&name);
            let record = Arc::clone(record);
            let state = Mutex::default();
            let machine = Arc::new(Machine {
                name,
                ip,
                program,
                template,
                values,
                folder,
                state,
                record,
                ports,
            });
            MACHINES.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::clone(&machine));
            machine
        };
        let cores =
            (0..5).map(|n| machine(format!("core-{}", n + 1), n + 1, true, "", n)).collect();
        let nodes = services.iter().enumerate();
        let nodes = nodes
            .map(|(n, service)| machine(format!("sidecar-{}", n + 1), n + 11, false, service, n))
            .collect();
        Self { cores, nodes }
    }

    /// Starts all processes and waits until the first configuration is in force everywhere.
    pub fn start(&self, patch: &str) {
        for machine in self.cores.iter().chain(&self.nodes) {
            machine.start();
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while !matches!(self.order(patch), Some(200)) {
            unusable_after(deadline, "the first configuration is not acknowledged");
            sleep(Duration::from_millis(200));
        }
        for node in &self.nodes {
            while !node.is_ready() {
                unusable_after(deadline, "a node is not ready");
                sleep(Duration::from_millis(50));
            }
        }
    }

    /// Sends an order to the core machines in turn until one gives a clear answer, as an operator does.
    pub fn order(&self, patch: &str) -> Option<u16> {
        for core in &self.cores {
            if let Some(status) = core.order(patch) {
                return Some(status);
            }
        }
        None
    }
}

/// Ends all processes that the case started, and removes its temporary folder.
pub fn end_all() {
    let machines = MACHINES.lock().unwrap_or_else(PoisonError::into_inner).clone();
    for machine in &machines {
        machine.end();
    }
    if let Some(folder) = machines.first().and_then(|machine| machine.folder.parent()) {
        let _ = fs::remove_dir_all(folder);
    }
}

impl Machine {
    pub fn start(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_ended {
            return;
        }
        let settings = self.folder.join("boot");
        let mut values = self.values.clone();
        if state.starts > 0 {
            values.insert("bootstrap".to_string(), "false".to_string());
        }
        let template = fs::read_to_string(self.template).expect("run it in the repository root");
        fs::write(&settings, render(&template, &values)).expect("no settings");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let log = log.expect("no log");
        let child = Command::new(self.program)
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else { unusable(&format!("{} is not built", self.program)) };
        self.record.event(&format!("{} starts", self.name));
        state.starts += 1;
        state.child = Some(child);
        state.started_at = Some(Instant::now());
        state.is_stopping = false;
    }

    /// Kills the process, if it runs.
    pub fn kill(&self) {
        let Some(mut child) = self.state.lock().unwrap().child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        self.record.event(&format!("{} is killed", self.name));
    }

    /// Ends the process for good, if it runs.
    fn end(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.is_ended = true;
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
    pub fn terminate(&self) {
        let Some(mut child) = ({
            let mut state = self.state.lock().unwrap();
            state.is_stopping = true;
            state.child.take()
        }) else {
            return;
        };
        self.record.event(&format!("{} gets SIGTERM", self.name));
        unsafe { kill(child.id() as i32, SIGTERM) };
        let deadline = Instant::now() + GRACE;
        while matches!(child.try_wait(), Ok(None)) && Instant::now() < deadline {
            sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.event(&format!("{} has stopped", self.name));
    }

    /// Returns whether the process runs and was neither started nor stopped within the stability window.
    pub fn is_in_touch(&self) -> bool {
        let state = self.state.lock().unwrap();
        let is_old = state.started_at.is_some_and(|at| at.elapsed() > STABILITY_WINDOW);
        state.child.is_some() && !state.is_stopping && is_old
    }

    pub fn is_ready(&self) -> bool {
        let address = self.address(self.ports.readiness);
        let sent = http::call(address, "GET", "/-/readiness", &[], b"", Duration::from_secs(1));
        sent.is_ok_and(|response| response.status == 200)
    }

    /// Sends one order to this machine; returns a clear answer, 200 or 400.
    pub fn order(&self, patch: &str) -> Option<u16> {
        let target = "/-/rpc?call=config.patch";
        let headers = [("Content-Type", "application/json")];
        let address = self.address(self.ports.control);
        let sent =
            http::call(address, "POST", target, &headers, patch.as_bytes(), Duration::from_secs(5));
        let status = sent.ok().map(|response| response.status);
        self.record.event(&format!("order to {}: {status:?}: {patch}", self.name));
        status.filter(|status| matches!(status, 200 | 400 | 409 | 412 | 413 | 422))
    }

    /// Reads the configuration back from this machine.
    pub fn read_back(&self) -> Option<String> {
        let address = self.address(self.ports.control);
        let target = "/-/rpc?call=config.get";
        let sent = http::call(address, "POST", target, &[], b"", Duration::from_secs(3)).ok()?;
        (sent.status == 200).then(|| String::from_utf8_lossy(&sent.body).into_owned())
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

/// Ends the case because it could not run.
pub fn unusable(reason: &str) -> ! {
    panic!("could not run: {reason}")
}

fn unusable_after(deadline: Instant, reason: &str) {
    if Instant::now() > deadline {
        unusable(reason);
    }
}

fn free_ports(ip: &str) -> Ports {
    let listeners: Vec<TcpListener> =
        (0..6).map(|_| TcpListener::bind((ip, 0)).expect("no free port")).collect();
    let port = |index: usize| listeners[index].local_addr().expect("an address").port();
    Ports {
        control: port(0),
        inbound: port(1),
        readiness: port(2),
        app: port(3),
        outbound: port(4),
        metrics: port(5),
    }
}

/// Renders the placeholders and sections that the project's templates use.
fn render(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#") {
        let end = start + text[start..].find("}}").expect("a section");
        let name = text[start + 3..end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let after = text.find(&close).expect("the end of a section");
        let inner = match values.contains_key(&name) {
            true => text[end + 2..after].to_string(),
            false => String::new(),
        };
        text.replace_range(start..after + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("a placeholder");
        let word = &text[start + 2..end];
        let (name, is_json) = match word.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (word, false),
        };
        let value = values.get(name).cloned().unwrap_or_else(|| "null".to_string());
        let value = if is_json { value } else { value.trim_matches('"').to_string() };
        text.replace_range(start..end + 2, &value);
    }
    text
}
