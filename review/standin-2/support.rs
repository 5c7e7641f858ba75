//! Starts the project's programs on loopback addresses, and small clients, servers and proxies for
//! the cases of this review.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The interval between two heartbeats of a server, as on the users' sites.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn sleep_ms(count: u64) {
    thread::sleep(millis(count));
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with the seconds since its start.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    file: Arc<Mutex<File>>,
}

/// The longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(112);

impl Log {
    /// Begins the record of a run. The processes of the run end with it, also if it fails.
    pub fn new(path: &Path) -> Self {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            report(panic);
            if thread::current().name() == Some("main") {
                cannot_run("the program failed");
            }
        }));
        thread::spawn(|| {
            thread::sleep(MAX_TIME);
            cannot_run("it takes too long");
        });
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn write(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {text}");
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// Ends the case because it cannot run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    Fleet::end_all();
    std::process::exit(2)
}

/// Prints the verdict and ends the case.
pub fn finish(log: &Log, is_broken: bool, verdict: &str) -> ! {
    log.write(&format!("{}: {verdict}", if is_broken { "BROKEN" } else { "HELD" }));
    Fleet::end_all();
    std::process::exit(i32::from(is_broken))
}

/// Returns a loopback address with a free port; the IP address differs between runs.
pub fn free_address(machine: u8) -> SocketAddr {
    let id = std::process::id();
    let second = u8::try_from(id % 200 + 20).unwrap_or(20);
    let third = u8::try_from(id / 200 % 250 + 1).unwrap_or(1);
    let mut given = GIVEN.lock().unwrap();
    loop {
        let listener = TcpListener::bind(SocketAddr::from(([127, second, third, machine], 0)));
        match listener.and_then(|listener| listener.local_addr()) {
            Ok(address) if given.contains(&address) => {}
            Ok(address) => {
                given.push(address);
                return address;
            }
            Err(error) => cannot_run(&format!("no free port: {error}")),
        }
    }
}

/// The addresses that this case uses.
static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());

/// The folder of this run.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// The ids of all processes that this case started and has not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this case started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
}

/// A program of the project.
pub struct Process {
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    output: PathBuf,
    child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        signal(self.id(), name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }

    /// Waits until the process has ended after a signal.
    pub fn wait(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                STARTED.lock().unwrap().retain(|id| *id != self.child.id());
                return;
            }
            sleep_ms(20);
        }
        self.kill();
    }

    /// Starts the program again with its settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.output);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, output: &Path) -> Child {
    let log = File::options().create(true).append(true).open(output).unwrap();
    let errors = log.try_clone().unwrap();
    let child = Command::new(program)
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("{}: {error}", program.display())));
    STARTED.lock().unwrap().push(child.id());
    child
}

/// The folders of a run.
pub struct Fleet {
    pub folder: PathBuf,
    programs: PathBuf,
}

/// The addresses of a control instance.
#[derive(Debug, Clone)]
pub struct Control {
    pub name: String,
    pub listen: SocketAddr,
    /// The address under which the others reach it, if a proxy stands between.
    pub advertise: Option<SocketAddr>,
}

impl Control {
    pub fn reached_at(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// The addresses of a machine with a server.
#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    pub service: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    pub readiness: SocketAddr,
    pub app: SocketAddr,
}

impl Node {
    pub fn new(name: &str, machine: u8, service: &str) -> Self {
        Self {
            name: name.to_string(),
            service: service.to_string(),
            callers: free_address(machine),
            peers: free_address(machine),
            admin: free_address(machine),
            readiness: free_address(machine),
            app: free_address(machine),
        }
    }
}

impl Fleet {
    pub fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        *FOLDER.lock().unwrap() = Some(folder.clone());
        Self { folder, programs: PathBuf::from("target/release") }
    }

    /// Ends all processes that were started and are still running, and removes the folder of the run
    /// unless `KEEP` is set.
    pub fn end_all() {
        let started: Vec<u32> = std::mem::take(&mut *STARTED.lock().unwrap());
        for id in started {
            signal(id, "CONT");
            signal(id, "KILL");
        }
        let folder = FOLDER.lock().unwrap().take();
        if let Some(folder) = folder.filter(|_| std::env::var("KEEP").is_err()) {
            sleep_ms(100);
            let _ = fs::remove_dir_all(folder);
        }
    }

    /// Starts a control instance with the settings that `platform/control.json` renders.
    pub fn control(
        &self,
        control: &Control,
        seeds: &[SocketAddr],
        first_start: bool,
        machines: usize,
    ) -> Process {
        let advertise =
            control.advertise.map_or(String::new(), |known| format!(r#""advertise": "{known}","#));
        let settings = format!(
            r#"{{"name": "{}", "domain": "z1", "data": "{}", "listen": "{}", {advertise}
"seeds": {}, "first_start": {first_start}, "lost_disks": {machines}, "open_network": true}}"#,
            control.name,
            self.folder.join(&control.name).display(),
            control.listen,
            list(seeds),
        );
        self.start("arbutuslane-platform-control", &control.name, &settings)
    }

    /// Starts a node with the settings that `platform/node.json` renders.
    pub fn node(&self, node: &Node, seeds: &[SocketAddr]) -> Process {
        let seeds = list(seeds);
        let settings = format!(
            r#"{{"node": "{}", "domain": "z1", "callers": "{}", "peers": "{}", "admin": "{}",
"readiness": "{}", "open_network": true, "origin_service": "{}", "seeds": {seeds},
"control": {seeds}, "source": "items", "traffic_threads": 1, "heartbeat_s": 1.5,
"withdraw_on_stop": true, "grace_s": 6, "memory_mb": 260,
"retry_budget": {{"ratio": 0.2, "slack": 64, "window_s": 10}}}}"#,
            node.name, node.callers, node.peers, node.admin, node.readiness, node.service,
        );
        self.start("arbutuslane-platform-node", &node.name, &settings)
    }

    fn start(&self, program: &str, name: &str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        let program = self.programs.join(program);
        let output = self.folder.join(format!("{name}.log"));
        let child = spawn(&program, &path, &output);
        Process { name: name.to_string(), program, settings: path, output, child }
    }
}

fn list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|address| format!(r#""{address}""#)).collect();
    format!("[{}]", quoted.join(", "))
}

/// An HTTP message: the first line, the header fields in lower case and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk) {
            Ok(length) if length > 0 => {
                self.buffer.extend_from_slice(&chunk[..length]);
                true
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => true,
            _ => false,
        }
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        self.buffer.drain(..length).collect()
    }

    /// Reads the head of a message, or returns `None` at the end of the connection.
    pub fn head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            if !self.fill() {
                return None;
            }
        };
        let text = String::from_utf8_lossy(&self.take(end)).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_string();
        let mut fields = BTreeMap::new();
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
            }
        }
        Some(Message { first, fields, body: Vec::new(), is_whole: false })
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.take(end + 2);
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body of `message`; one without a length ends with the connection if
    /// `until_close` is set.
    pub fn body(&mut self, message: &mut Message, until_close: bool) {
        if message.field("transfer-encoding").contains("chunked") {
            message.is_whole = self.chunks(&mut message.body);
            return;
        }
        let length = message.field("content-length").parse::<usize>().ok();
        match length {
            Some(length) => {
                while self.buffer.len() < length && self.fill() {}
                let taken = length.min(self.buffer.len());
                message.body = self.take(taken);
                message.is_whole = taken == length;
            }
            None if until_close => {
                while self.fill() {}
                message.body = std::mem::take(&mut self.buffer);
                message.is_whole = true;
            }
            None => message.is_whole = true,
        }
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.line() else { return false };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else { return false };
            if size == 0 {
                while let Some(line) = self.line() {
                    if line.is_empty() {
                        return true;
                    }
                }
                return false;
            }
            while self.buffer.len() < size + 2 {
                if !self.fill() {
                    body.append(&mut self.buffer);
                    return false;
                }
            }
            body.extend(self.take(size));
            self.take(2);
        }
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> Option<Message> {
        let mut request = self.head()?;
        self.body(&mut request, false);
        request.is_whole.then_some(request)
    }

    /// Reads a response with its body.
    pub fn response(&mut self) -> Option<Message> {
        let mut response = self.head()?;
        self.body(&mut response, true);
        Some(response)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Sends a request on a new connection and returns the response, or why there is none.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let stream =
        TcpStream::connect_timeout(&to, millis(1_000)).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(limit)).map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let mut writer = stream.try_clone().map_err(|error| error.to_string())?;
    writer.write_all(&bytes).map_err(|error| error.to_string())?;
    Reader::new(stream).response().ok_or_else(|| "no response".to_string())
}

/// Sends an order or a read to a control instance.
pub fn operate(control: SocketAddr, procedure: &str, body: &str) -> Result<Message, String> {
    let target = format!("/-/rpc?call=config.{procedure}");
    call(
        control,
        "POST",
        &target,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
        millis(1_000),
    )
}

/// Sends an order again and again until it gets a clear answer, as an operator does, to the instances
/// in turn.
pub fn order(log: &Log, name: &str, controls: &[SocketAddr], body: &str, limit: Duration) -> u16 {
    let until = Instant::now() + limit;
    let mut turn = 0;
    while Instant::now() < until {
        let control = controls[turn % controls.len()];
        turn += 1;
        match operate(control, "patch", body) {
            Ok(response) if matches!(response.status(), 200 | 400 | 409 | 412 | 413 | 422) => {
                let status = response.status();
                log.write(&format!("operator: {name} sent to {control}: {status}"));
                return status;
            }
            Ok(response) => log.write(&format!(
                "operator: {name} sent to {control}: {}, sent again",
                response.status()
            )),
            Err(error) => {
                log.write(&format!("operator: {name} sent to {control}: {error}, sent again"))
            }
        }
        sleep_ms(100);
    }
    0
}

/// Returns the declaration of a route.
pub fn route(host: &str, prefix: &str, kind: &str, service: &str, version: u64) -> String {
    format!(
        r#"{{"host":"{host}","path_prefix":"{prefix}","route_type":"{kind}","timeout_s":4,"target_latency_s":2,"priority":1,"service":"{service}","max_attempts":2,"version":"r{version}"}}"#
    )
}

/// Returns the declaration of a service.
pub fn service(version: u64) -> String {
    format!(
        r#"{{"health_path":"/health","max_connections":390,"protocol":"h1","tls":false,"version":"r{version}"}}"#
    )
}

/// Returns the declaration of the limits.
pub fn limits(version: u64) -> String {
    format!(
        r#"{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15,"version":"r{version}"}}"#
    )
}

/// Returns the version of a route in the response to a read.
pub fn route_version(read: &str, name: &str) -> Option<u64> {
    let start = read.find(&format!(r#""{name}":{{"#))?;
    let item = &read[start..];
    let item = &item[..item.find('}')?];
    let version = &item[item.find(r#""version":"r"#)? + 12..];
    version.split('"').next()?.parse().ok()
}

/// Waits until a condition holds; the case cannot run if it does not hold in time.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() > until {
            cannot_run(&format!("{what} did not come about"));
        }
        sleep_ms(20);
    }
}

/// Returns whether a node passes its readiness check.
pub fn is_ready(node: &Node) -> bool {
    let response = call(node.readiness, "GET", "/-/readiness", &[], b"", millis(1_000));
    response.is_ok_and(|response| response.status() == 200)
}

/// Returns whether a control instance counts for quorums.
pub fn is_complete(control: &Control) -> bool {
    let response = call(control.listen, "GET", "/health", &[], b"", millis(1_000));
    response.is_ok_and(|response| response.status() == 200)
}

/// A start of a backend server, as it says of itself.
#[derive(Debug, Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: u32,
}

impl Identity {
    /// Returns the body of a heartbeat.
    pub fn beat(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":{},"state":"{state}","cold_remaining_s":0,"seq":{sequence},"born":{}}}"#,
            self.service, self.address, self.slots, self.born
        )
    }

    /// Sends a heartbeat to the node beside the server; returns the status.
    pub fn send_beat(&self, node: SocketAddr, state: &str, sequence: u64) -> u16 {
        let target = format!("/-/rpc?call=instances.heartbeat&of={}", self.id);
        let fields = [("Content-Type", "application/json")];
        let body = self.beat(state, sequence);
        let sent = call(node, "POST", &target, &fields, body.as_bytes(), millis(1_000));
        sent.map_or(0, |response| response.status())
    }

    /// Sends the departure of the server; returns the status.
    pub fn send_departure(&self, node: SocketAddr) -> u16 {
        let target = format!("/-/rpc?call=instances.deregister&of={}", self.id);
        let fields = [("Content-Type", "application/json")];
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let sent = call(node, "POST", &target, &fields, body.as_bytes(), millis(1_000));
        sent.map_or(0, |response| response.status())
    }
}

/// Heartbeats that a thread sends until it is stopped.
pub struct Beats {
    stopped: Arc<AtomicBool>,
    pub sequence: Arc<AtomicU64>,
}

impl Beats {
    pub fn start(identity: &Identity, node: SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let sequence = Arc::new(AtomicU64::new(0));
        let (is_stopped, counter, identity) =
            (Arc::clone(&stopped), Arc::clone(&sequence), identity.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let number = counter.fetch_add(1, Ordering::Relaxed) + 1;
                let status = identity.send_beat(node, "ready", number);
                let pause = if status == 200 { HEARTBEAT } else { millis(300) };
                thread::sleep(pause);
            }
        });
        Self { stopped, sequence }
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// What a server does with a request.
pub enum Action {
    /// Responds with a status and a whole body after a while.
    Respond { status: u16, after: Duration, body: Vec<u8> },
    /// Sends the head and a part of the body after a while, and crashes.
    CrashInBody { after: Duration, length: usize, part: usize },
    /// Crashes without a response.
    Crash { after: Duration },
}

type Handler = dyn Fn(&Message) -> Action + Send + Sync;

/// A backend server that follows the users' pages.
pub struct Server {
    pub identity: Arc<Mutex<Identity>>,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    handler: Arc<Handler>,
    node: SocketAddr,
    beats: Mutex<Option<Beats>>,
    log: Log,
}

impl Server {
    /// Starts a server that runs requests as `handler` says, and sends heartbeats to `node`.
    pub fn start(
        log: &Log,
        identity: Identity,
        node: SocketAddr,
        handler: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            identity: Arc::new(Mutex::new(identity)),
            is_down: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            handler: Arc::new(handler),
            node,
            beats: Mutex::new(None),
            log: log.clone(),
        });
        server.come_up();
        server
    }

    fn come_up(self: &Arc<Self>) {
        let identity = self.identity.lock().unwrap().clone();
        let listener = loop {
            match TcpListener::bind(identity.address) {
                Ok(listener) => break listener,
                Err(_) => sleep_ms(20),
            }
        };
        listener.set_nonblocking(true).unwrap();
        self.is_down.store(false, Ordering::SeqCst);
        *self.beats.lock().unwrap() = Some(Beats::start(&identity, self.node));
        let server = Arc::clone(self);
        thread::spawn(move || {
            while !server.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        server.connections.lock().unwrap().push(stream.try_clone().unwrap());
                        let server = Arc::clone(&server);
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    /// Ends the process of the server, as a crash does: its port refuses, its channels are reset.
    pub fn crash(self: &Arc<Self>, back_after: Option<Duration>) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Some(beats) = self.beats.lock().unwrap().take() {
            beats.stop();
        }
        sleep_ms(3);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let Some(back_after) = back_after else { return };
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(back_after);
            {
                let mut identity = server.identity.lock().unwrap();
                identity.born = unix_ms();
                identity.id = format!("i-{:x}", identity.born ^ u64::from(identity.address.port()));
                server
                    .log
                    .write(&format!("server at {} is back as {}", identity.address, identity.id));
            }
            server.come_up();
        });
    }

    pub fn stop_beats(&self) {
        if let Some(beats) = &*self.beats.lock().unwrap() {
            beats.stop();
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let identity = self.identity.lock().unwrap().clone();
            let id = request.field("attempt-id").to_string();
            if request.target() == "/health" {
                let response = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    identity.id
                );
                let _ = writer.write_all(response.as_bytes());
                continue;
            }
            let expected = request.field("expect-instance");
            if !expected.is_empty() && expected != identity.id {
                let response = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                let _ = writer.write_all(response.as_bytes());
                continue;
            }
            match (self.handler)(&request) {
                Action::Respond { status, after, body } => {
                    thread::sleep(after);
                    if is_closed(&writer) {
                        self.log.write(&format!(
                            "the channel of {id} was closed before {} answered",
                            identity.id
                        ));
                        return;
                    }
                    let mut bytes = head_of(&identity, &id, status, body.len()).into_bytes();
                    bytes.extend_from_slice(&body);
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Action::CrashInBody { after, length, part } => {
                    thread::sleep(after);
                    let mut bytes = head_of(&identity, &id, 200, length).into_bytes();
                    bytes.extend(std::iter::repeat_n(b'x', part));
                    let _ = writer.write_all(&bytes);
                    sleep_ms(20);
                    self.crash(Some(millis(2_000)));
                    return;
                }
                Action::Crash { after } => {
                    thread::sleep(after);
                    self.crash(Some(millis(2_000)));
                    return;
                }
            }
        }
    }
}

/// Returns whether the other side has closed a channel.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let is_closed = match stream.peek(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    is_closed
}

/// Returns the head of a server's response to the request `id`.
fn head_of(identity: &Identity, id: &str, status: u16, length: usize) -> String {
    format!(
        "HTTP/1.1 {status} OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\n\
         Content-Length: {length}\r\n\r\n",
        identity.id
    )
}

/// Which processes reach which others, by the groups that a partition puts them into.
#[derive(Clone, Default)]
pub struct Partition {
    /// The group of each process id while the partition lasts.
    groups: Arc<Mutex<BTreeMap<u32, u8>>>,
    is_cut: Arc<AtomicBool>,
}

impl Partition {
    pub fn assign(&self, process: u32, group: u8) {
        self.groups.lock().unwrap().insert(process, group);
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn separates(&self, from: Option<u32>, to: u32) -> bool {
        let groups = self.groups.lock().unwrap();
        let group = |process: &u32| groups.get(process).copied();
        let (from, to) = (from.as_ref().and_then(group), group(&to));
        self.is_cut.load(Ordering::SeqCst) && from.is_some() && to.is_some() && from != to
    }

    /// Returns which of the assigned processes has the local end `caller` of a connection to
    /// `listener`.
    fn owner_of(&self, caller: SocketAddr, listener: SocketAddr) -> Option<u32> {
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let (caller, listener) = (hex(caller), hex(listener));
        let line = table.lines().find(|line| {
            let mut words = line.split_whitespace().skip(1);
            words.next() == Some(&caller) && words.next() == Some(&listener)
        })?;
        let inode = line.split_whitespace().nth(9)?;
        let wanted = format!("socket:[{inode}]");
        let processes: Vec<u32> = self.groups.lock().unwrap().keys().copied().collect();
        processes.into_iter().find(|process| {
            let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
            files.flatten().any(|file| {
                fs::read_link(file.path()).is_ok_and(|link| link.to_string_lossy() == wanted)
            })
        })
    }

    /// Forwards connections from `listen` to `target`, whose process is `process`. While the
    /// partition separates both sides, nothing passes, and neither side learns it.
    pub fn forward(&self, listen: SocketAddr, target: SocketAddr, process: Arc<AtomicU64>) {
        let listener = TcpListener::bind(listen)
            .unwrap_or_else(|error| cannot_run(&format!("proxy at {listen}: {error}")));
        let partition = self.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let (partition, process) = (partition.clone(), Arc::clone(&process));
                thread::spawn(move || {
                    let Ok(from) = caller.peer_addr() else { return };
                    let source = partition.owner_of(from, listen);
                    let to = u32::try_from(process.load(Ordering::SeqCst)).unwrap_or(0);
                    while partition.separates(source, to) {
                        sleep_ms(20);
                    }
                    let Ok(callee) = TcpStream::connect(target) else { return };
                    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
                    let back = (callee.try_clone().unwrap(), caller.try_clone().unwrap());
                    let other = partition.clone();
                    thread::spawn(move || pass(back.0, back.1, &other, source, to));
                    pass(caller, callee, &partition, source, to);
                });
            }
        });
    }
}

fn hex(address: SocketAddr) -> String {
    match address {
        SocketAddr::V4(address) => {
            let number = u32::from_le_bytes(address.ip().octets());
            format!("{number:08X}:{:04X}", address.port())
        }
        SocketAddr::V6(_) => String::new(),
    }
}

/// Copies bytes until either side closes; those that arrive during the partition are lost with their
/// connection.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    partition: &Partition,
    source: Option<u32>,
    target: u32,
) {
    let mut chunk = [0; 16 << 10];
    loop {
        let length = match from.read(&mut chunk) {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let mut was_cut = false;
        while partition.separates(source, target) {
            was_cut = true;
            sleep_ms(20);
        }
        if was_cut || to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Starts `count` control instances, of which `machines` may lose their disks.
pub fn start_controls(fleet: &Fleet, count: u8, machines: usize) -> (Vec<Control>, Vec<Process>) {
    let mut controls = Vec::new();
    for number in 1..=count {
        let listen = free_address(number);
        controls.push(Control { name: format!("core-{number}"), listen, advertise: None });
    }
    let seeds: Vec<SocketAddr> = controls.iter().take(3).map(|control| control.listen).collect();
    let start = |control: &Control| fleet.control(control, &seeds, true, machines);
    let processes = controls.iter().map(start).collect();
    (controls, processes)
}
