//! A small fleet on loopback for the cases of the review, with stand-ins for clients, servers, the
//! operator and the platform. Only the standard library is used.

#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// The socket option for the size of the receive buffer, and its level.
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// The receive buffer of a server's connections: the platform's links have small windows.
const SERVER_BUFFER_BYTES: i32 = 64 << 10;

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The processes that run, which the watchdog kills.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The time between two heartbeats of a server, as the sites state it.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `stability_window_s` of the small sites.
pub const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// `drain_s` of the small sites.
pub const DRAIN: Duration = Duration::from_secs(2);

/// `grace_s` of the small sites.
pub const GRACE: Duration = Duration::from_secs(6);

/// The part of a body on which a server works before it reads on.
const PART_BYTES: usize = 32 << 10;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Writes what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {}\n", text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Returns whether the case is to cause its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A process of the project; killed when dropped.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        RUNNING.lock().unwrap_or_else(|error| error.into_inner()).retain(|known| *known != pid);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the settings of a deployment state that the cases vary.
#[derive(Clone)]
pub struct Site {
    pub memory_mb: u32,
    pub has_tenants: bool,
}

/// The addresses and settings of a small deployment.
pub struct Fleet {
    pub root: PathBuf,
    pub folder: PathBuf,
    prefix: (u8, u8),
    controls: u8,
    site: Site,
    pub record: Record,
}

impl Fleet {
    /// Prepares a temporary folder and a range of loopback addresses for a fleet with 5 control
    /// instances.
    pub fn new(record: &Record, site: Site) -> Self {
        let root = std::env::current_dir().expect("current folder");
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("arbutuslane-review-{pid}"));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let prefix = ((nanos / 7 % 200 + 20) as u8, (pid % 250 + 1) as u8);
        Self { root, folder, prefix, controls: 5, site, record: record.clone() }
    }

    /// The address of machine `number` at `port`. Control instances are 1 to 5, nodes from 11 on.
    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.prefix.0, self.prefix.1, number)), port)
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(number, 8_620)
    }

    /// Where clients of a node send requests.
    pub fn outbound(&self, number: u8) -> SocketAddr {
        self.address(number, 8_629)
    }

    pub fn readiness(&self, number: u8) -> SocketAddr {
        self.address(number, 8_625)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> =
            (1..=3).map(|number| format!("\"{}\"", self.control(number))).collect();
        format!("[{}]", seeds.join(","))
    }

    /// Renders a template of the deploy file with the fields of the settings that it uses.
    fn render(&self, template: &str, fields: &[(&str, String)]) -> String {
        let path = self.root.join(template);
        let mut text = std::fs::read_to_string(path).expect("template");
        let section = ("{{#bounds.quota_window_s}}", "{{/bounds.quota_window_s}}");
        if let (Some(start), Some(end)) = (text.find(section.0), text.find(section.1)) {
            let inner = text[start + section.0.len()..end].to_string();
            let kept = if self.site.has_tenants { inner } else { String::new() };
            text.replace_range(start..end + section.1.len(), &kept);
        }
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}|json}}}}"), value);
            text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
        }
        assert!(!text.contains("{{"), "a placeholder of {template} is not known:\n{text}");
        text
    }

    fn start(&self, program: &str, name: &str, settings: &str) -> Process {
        let boot = self.folder.join(format!("{name}.boot"));
        std::fs::write(&boot, settings).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log");
        let child = Command::new(self.root.join("target/release").join(program))
            .arg(&boot)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("ARBUTUSLANE_BOOT", &boot)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("cannot start {program}: {error}");
                std::process::exit(COULD_NOT_RUN);
            });
        RUNNING.lock().unwrap_or_else(|error| error.into_inner()).push(child.id() as i32);
        Process { child, name: name.to_string() }
    }

    fn common_fields(&self, number: u8, name: &str, zone: &str) -> Vec<(&'static str, String)> {
        vec![
            ("node", format!("\"{name}\"")),
            ("zone", format!("\"{zone}\"")),
            ("ip", format!("\"{}\"", self.address(number, 0).ip())),
            ("internal_port_range.0", "7600".to_string()),
            ("listen.control", format!("\"{}\"", self.control(number))),
            ("seeds", self.seeds()),
        ]
    }

    /// Starts control instance `number`, 1 to 5.
    pub fn start_control(&self, number: u8, bootstrap: bool) -> Process {
        let name = format!("core-{number}");
        let data = self.folder.join(&name);
        std::fs::create_dir_all(&data).expect("data folder");
        let mut fields = self.common_fields(number, &name, zone_of(number));
        fields.push(("data_dir", format!("\"{}\"", data.display())));
        fields.push(("bootstrap", bootstrap.to_string()));
        fields.push(("fault_tolerance.machines", "2".to_string()));
        let settings = self.render("platform/control.json", &fields);
        self.record.line(format!("platform: starts {name}, bootstrap {bootstrap}"));
        self.start("arbutuslane-platform-control", &name, &settings)
    }

    pub fn start_controls(&self) -> Vec<Process> {
        (1..=self.controls).map(|number| self.start_control(number, true)).collect()
    }

    /// Starts the node of machine `number`, beside a server of `service`.
    pub fn start_node(&self, number: u8, service: &str) -> Process {
        let name = format!("sidecar-{number}");
        let mut fields = self.common_fields(number, &name, zone_of(number));
        fields.extend([
            ("listen.outbound", format!("\"{}\"", self.outbound(number))),
            ("listen.inbound", format!("\"{}\"", self.address(number, 8_624))),
            ("listen.readiness_addr", format!("\"{}\"", self.readiness(number))),
            ("service", format!("\"{service}\"")),
            ("heartbeat_s", "1.5".to_string()),
            ("bounds.grace_s", "6".to_string()),
            ("limits.memory_mb", self.site.memory_mb.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_string()),
            ("bounds.retry_budget_slack", "64".to_string()),
            ("bounds.budget_window_s", "10".to_string()),
            ("bounds.quota_window_s", "5".to_string()),
            ("bounds.quota_overshoot", "0.1".to_string()),
            ("bounds.quota_slack", "20".to_string()),
        ]);
        let settings = self.render("platform/node.json", &fields);
        self.record.line(format!("platform: starts {name} beside a server of {service}"));
        self.start("arbutuslane-platform-node", &name, &settings)
    }

    /// Sends an order of the operator to a control instance; returns the status, 0 without one.
    pub fn patch(&self, number: u8, body: &str) -> u16 {
        let answer = self.call(self.control(number), "config.patch", body);
        let status = answer.map_or(0, |answer| answer.status);
        let shown = if body.len() > 600 { &body[..600] } else { body };
        self.record.line(format!("operator: patch to core-{number} -> {status}: {shown}"));
        status
    }

    /// Sends an order to each instance in turn until one confirms it.
    pub fn patch_until_confirmed(&self, numbers: &[u8], body: &str) {
        for _ in 0..40 {
            for number in numbers {
                if self.patch(*number, body) == 200 {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(250));
        }
        self.give_up("no control instance confirmed the order");
    }

    /// Reads the configuration back from a control instance.
    pub fn read_back(&self, number: u8) -> Option<String> {
        let answer = self.call(self.control(number), "config.get", "")?;
        (answer.status == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Sends a call of the platform's protocol.
    pub fn call(&self, address: SocketAddr, call: &str, body: &str) -> Option<Answer> {
        let request = format!(
            "POST /-/rpc?call={call} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        exchange(address, request.as_bytes(), Duration::from_secs(4))
    }

    /// Waits until a node is ready, as the platform asks it.
    pub fn wait_ready(&self, number: u8) {
        let start = Instant::now();
        while !self.is_ready(number) {
            if start.elapsed() > Duration::from_secs(30) {
                self.give_up(&format!("sidecar-{number} does not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(format!("platform: sidecar-{number} is ready"));
    }

    pub fn is_ready(&self, number: u8) -> bool {
        let address = self.readiness(number);
        let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let answer = exchange(address, request.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Ends the case as one that could not run.
    pub fn give_up(&self, reason: &str) -> ! {
        self.record.line(format!("the case could not run: {reason}"));
        panic!("{reason}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The zone of a machine; there are three.
fn zone_of(number: u8) -> &'static str {
    ["zone-a", "zone-b", "zone-c"][usize::from(number % 3)]
}

/// A complete or incomplete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// The head in lower case.
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_whole: bool,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.head, name)
    }
}

/// Returns a field of a head in lower case.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (known, value) = line.split_once(':')?;
        (known == name).then(|| value.trim())
    })
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(bytes).ok()?;
    Reader::new(stream).answer(limit)
}

/// Reads answers from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; returns false at the end of the connection or after `until`.
    fn fill(&mut self, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut chunk = [0; 64 << 10];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                true
            }
        }
    }

    fn take_line(&mut self, until: Instant) -> Option<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill(until) {
                return None;
            }
        }
    }

    /// Reads one answer; `None` if its head does not arrive in time.
    pub fn answer(&mut self, limit: Duration) -> Option<Answer> {
        let until = Instant::now() + limit;
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            if !self.fill(until) {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_ascii_lowercase();
        self.buffer.drain(..end);
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = Vec::new();
        let mut is_whole = true;
        if let Some(length) = field(&head, "content-length") {
            let length: usize = length.parse().unwrap_or(0);
            while self.buffer.len() < length && self.fill(until) {}
            is_whole = self.buffer.len() >= length;
            body = self.buffer.drain(..length.min(self.buffer.len())).collect();
        } else if field(&head, "transfer-encoding").is_some() {
            loop {
                let size = self.take_line(until).and_then(|line| {
                    usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16).ok()
                });
                let Some(size) = size else {
                    is_whole = false;
                    break;
                };
                while self.buffer.len() < size + 2 && self.fill(until) {}
                if self.buffer.len() < size + 2 {
                    is_whole = false;
                    break;
                }
                body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    break;
                }
            }
        }
        Some(Answer { status, head, body, is_whole })
    }

    /// Returns whether the other side has closed the connection, after at most `limit`.
    pub fn is_closed(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let before = self.buffer.len();
        !self.fill(until) && Instant::now() < until && self.buffer.len() == before
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub method: String,
    pub target: String,
    /// The head in lower case, but for the first line.
    pub head: String,
    pub id: String,
    pub body_bytes: usize,
}

/// What a server does with a request that it runs.
#[derive(Clone, Debug)]
pub struct Work {
    pub time: Duration,
    /// The bytes of the answer's body.
    pub body: Vec<u8>,
    /// How many bytes of the body are sent before the server breaks off; `None` for all.
    pub breaks_off_after: Option<usize>,
}

impl Work {
    pub fn of_ms(ms: u64) -> Self {
        Self { time: Duration::from_millis(ms), body: b"whole".to_vec(), breaks_off_after: None }
    }
}

/// What a server stand-in shares with its threads.
pub struct ServerState {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
    pub seq: AtomicU64,
    pub pings: AtomicBool,
    pub ended: AtomicBool,
    pub received: Mutex<Vec<Received>>,
    record: Record,
    /// The ids of the requests that the server has begun to work on.
    pub begun: Mutex<Vec<String>>,
    /// How long the server works on the first part of a body before it reads on.
    pub works_on_part_ms: AtomicU64,
}

/// A server on a machine with a node.
pub struct Server {
    pub state: Arc<ServerState>,
}

impl Server {
    /// Starts a server on machine `number`, which does `work` for each request.
    pub fn start(
        fleet: &Fleet,
        number: u8,
        service: &str,
        slots: u32,
        work: impl Fn(&Received) -> Work + Send + Sync + 'static,
    ) -> Self {
        let address = fleet.address(number, 8_628);
        let listener = TcpListener::bind(address).unwrap_or_else(|error| {
            fleet.give_up(&format!("cannot listen on {address}: {error}"));
        });
        let (buffer, length) = (SERVER_BUFFER_BYTES, size_of::<i32>() as u32);
        unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &buffer, length) };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let state = Arc::new(ServerState {
            id: format!("i-{number}"),
            service: service.to_string(),
            address,
            born,
            slots,
            seq: AtomicU64::new(0),
            pings: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            received: Mutex::new(Vec::new()),
            record: fleet.record.clone(),
            begun: Mutex::new(Vec::new()),
            works_on_part_ms: AtomicU64::new(0),
        });
        let work = Arc::new(work);
        let accepting = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), state, work) = (stream, Arc::clone(&accepting), Arc::clone(&work))
                else {
                    continue;
                };
                if state.ended.load(Ordering::Relaxed) {
                    return;
                }
                thread::spawn(move || state.serve(stream, &*work));
            }
        });
        let pinging = Arc::clone(&state);
        let control = fleet.control(number);
        thread::spawn(move || {
            while !pinging.ended.load(Ordering::Relaxed) {
                if pinging.pings.load(Ordering::Relaxed) {
                    let body = pinging.heartbeat("ready");
                    pinging.say(control, "instances.heartbeat", &body);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Self { state }
    }

    pub fn runs(&self) -> Vec<Received> {
        self.state.received.lock().unwrap().clone()
    }
}

impl ServerState {
    /// Returns the next heartbeat of this server.
    pub fn heartbeat(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_remaining_s\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    /// Sends a call about this server to the `control` address of its machine.
    pub fn say(&self, control: SocketAddr, call: &str, body: &str) -> u16 {
        let request = format!(
            "POST /-/rpc?call={call}&of={} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let answer = exchange(control, request.as_bytes(), Duration::from_secs(1));
        answer.map_or(0, |answer| answer.status)
    }

    fn serve(&self, stream: TcpStream, work: &(dyn Fn(&Received) -> Work + Send + Sync)) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        let hour = Duration::from_secs(3_600);
        loop {
            let until = Instant::now() + hour;
            let end = loop {
                if let Some(end) = find(&reader.buffer, b"\r\n\r\n") {
                    break end + 4;
                }
                if !reader.fill(until) {
                    return;
                }
            };
            let text = String::from_utf8_lossy(&reader.buffer[..end]).into_owned();
            reader.buffer.drain(..end);
            let first = text.lines().next().unwrap_or_default().to_string();
            let mut words = first.split(' ');
            let method = words.next().unwrap_or_default().to_string();
            let target = words.next().unwrap_or_default().to_string();
            let head = text.to_ascii_lowercase();
            let id = field(&head, "attempt-id").unwrap_or_default().to_string();
            let mut part_work =
                Duration::from_millis(self.works_on_part_ms.load(Ordering::Relaxed));
            let mut body_bytes = 0;
            if let Some(length) = field(&head, "content-length") {
                let mut left: usize = length.parse().unwrap_or(0);
                self.begun.lock().unwrap().push(id.clone());
                while left > 0 {
                    if reader.buffer.is_empty() && !reader.fill(until) {
                        self.record.line(format!(
                            "{}: the channel of {id} ends after {body_bytes} bytes of its body",
                            self.id
                        ));
                        return;
                    }
                    let taken = left.min(reader.buffer.len());
                    reader.buffer.drain(..taken);
                    left -= taken;
                    body_bytes += taken;
                    if body_bytes >= PART_BYTES && !part_work.is_zero() {
                        self.record.line(format!(
                            "{}: works on the first {body_bytes} bytes of {id} for {part_work:?}",
                            self.id
                        ));
                        thread::sleep(part_work);
                        part_work = Duration::ZERO;
                    }
                }
            } else if field(&head, "transfer-encoding").is_some() {
                loop {
                    let Some(line) = reader.take_line(until) else { return };
                    let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
                    while reader.buffer.len() < size + 2 && reader.fill(until) {}
                    if reader.buffer.len() < size + 2 {
                        return;
                    }
                    reader.buffer.drain(..size + 2);
                    body_bytes += size;
                    if size == 0 {
                        break;
                    }
                }
            }
            let expected = field(&head, "expect-instance").unwrap_or_default();
            if !expected.is_empty() && expected != self.id {
                let _ = reader.stream.write_all(
                    b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                );
                continue;
            }
            let received =
                Received { at: Instant::now(), method, target, head, id: id.clone(), body_bytes };
            self.received.lock().unwrap().push(received.clone());
            self.record.line(format!(
                "{} ({}): runs {id}, {first}, body of {body_bytes} bytes",
                self.id, self.service
            ));
            let work = work(&received);
            thread::sleep(work.time);
            let answer_head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: sig.{}.{id}\r\n\
                 Content-Length: {}\r\n\r\n",
                self.id,
                work.body.len()
            );
            let sent = work.breaks_off_after.unwrap_or(work.body.len());
            let mut bytes = answer_head.into_bytes();
            bytes.extend_from_slice(&work.body[..sent]);
            let is_sent = reader.stream.write_all(&bytes).is_ok();
            let state = if is_sent { "answers" } else { "cannot answer" };
            self.record.line(format!("{}: {state} {id}", self.id));
            if work.breaks_off_after.is_some() || !is_sent {
                return;
            }
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::Relaxed);
    }
}

/// The JSON of a route.
pub fn route(name: &str, kind: &str, service: &str, timeout_s: f64, version: u32) -> String {
    format!(
        "\"{name}\":{{\"host\":\"{name}.example\",\"path_prefix\":\"/{name}/\",\
         \"route_type\":\"{kind}\",\"timeout_s\":{timeout_s},\"target_latency_s\":1.5,\"priority\":1,\
         \"service\":\"{service}\",\"max_attempts\":2,\"version\":\"r{version}\"}}"
    )
}

/// The JSON of a service.
pub fn service(name: &str, version: u32) -> String {
    format!(
        "\"{name}\":{{\"health_path\":\"/health\",\"max_connections\":390,\"protocol\":\"h1\",\
         \"tls\":false,\"version\":\"r{version}\"}}"
    )
}

/// The JSON of the limits of the small sites.
pub fn limits(version: u32) -> String {
    format!(
        "{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
         \"idle_timeout_s\":15,\"version\":\"r{version}\"}}"
    )
}

/// The first order of the operator, with all items.
pub fn first_order(routes: &[String], services: &[String], version: u32) -> String {
    format!(
        "{{\"upsert\":{{\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{}}},\"remove\":{{\"routes\":[]}}}}",
        routes.join(","),
        services.join(","),
        limits(version)
    )
}

/// An order that changes routes.
pub fn order(routes: &[String]) -> String {
    format!("{{\"upsert\":{{\"routes\":{{{}}}}},\"remove\":{{\"routes\":[]}}}}", routes.join(","))
}

/// The text of a client's request; the route's name is its host and the first part of its path.
pub fn client_request(method: &str, route: &str, path: &str, id: &str, rest: &str) -> String {
    format!(
        "{method} /{route}/{path} HTTP/1.1\r\nHost: {route}.example\r\nAttempt-Id: {id}\r\n{rest}\r\n"
    )
}

/// Runs a case: `body` returns whether the rule held. A panic means that the case could not run.
pub fn run_case(folder: &Path, body: impl FnOnce(&Record) -> bool + std::panic::UnwindSafe) -> ! {
    let record = Record::create(folder);
    record.line(format!("trouble: {}", if has_trouble() { "yes" } else { "no" }));
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watchdog.line("the case could not run: it takes too long");
        for pid in RUNNING.lock().unwrap_or_else(|error| error.into_inner()).iter() {
            unsafe { kill(*pid, 9) };
        }
        std::process::exit(COULD_NOT_RUN);
    });
    let result = std::panic::catch_unwind(|| body(&record));
    let code = match result {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(_) => COULD_NOT_RUN,
    };
    record.line(format!(
        "result: {}",
        ["the rule held", "the rule was broken", "the case could not run"][code as usize]
    ));
    std::process::exit(code)
}
