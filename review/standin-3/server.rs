//! A backend server beside a node: it announces itself, runs requests in slots, and can crash.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::site::{HEARTBEAT, Machine};

const SLOTS: usize = 5;
const QUEUE: usize = 52;

/// What a server does with a request that it begins to run.
#[derive(Debug, Clone)]
pub enum Act {
    /// Works, and answers with so many bytes.
    Answer { work: Duration, bytes: usize },
    /// Sends the head at once, and the body in equal parts over the time.
    Stream { time: Duration, bytes: usize },
    /// Works for a moment and crashes, and is back after a while.
    Crash { work: Duration, down: Duration },
}

pub type Behaviour = Arc<dyn Fn(&Message) -> Act + Send + Sync>;

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub machine: usize,
    pub at: Duration,
    /// Whether the answer was written whole.
    pub is_answered: bool,
    /// Whether the server crashed meanwhile.
    pub is_crashed: bool,
}

pub struct Server {
    pub number: usize,
    pub service: String,
    machine: Arc<Machine>,
    behaviour: Behaviour,
    record: Arc<Record>,
    lifetime: AtomicU64,
    is_up: AtomicBool,
    is_dark: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    slots: Mutex<(usize, usize)>,
    freed: Condvar,
    pub runs: Mutex<Vec<Run>>,
}

impl Server {
    /// Starts a server on `machine`, whose number is `number`.
    pub fn start(
        number: usize,
        service: &str,
        machine: &Arc<Machine>,
        record: &Arc<Record>,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            number,
            service: service.to_string(),
            machine: Arc::clone(machine),
            behaviour,
            record: Arc::clone(record),
            lifetime: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            connections: Mutex::default(),
            slots: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
        });
        server.begin_lifetime();
        server
    }

    /// Returns how many requests with `target` the server is running.
    pub fn running(&self, target: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        let is_running = |run: &&Run| run.target == target && !run.is_answered && !run.is_crashed;
        runs.iter().filter(is_running).count()
    }

    fn id(&self, lifetime: u64) -> String {
        format!("i-{:02}{lifetime:04}", self.number)
    }

    fn begin_lifetime(self: &Arc<Self>) {
        let address = self.machine.address(self.machine.ports.app);
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let lifetime = self.lifetime.fetch_add(1, Ordering::SeqCst) + 1;
        *self.slots.lock().unwrap() = (0, 0);
        self.is_up.store(true, Ordering::SeqCst);
        self.record.event(&format!("server {} starts at {}", self.id(lifetime), self.machine.name));
        let server = Arc::clone(self);
        spawn(move || server.accept(&listener, lifetime));
        let server = Arc::clone(self);
        spawn(move || server.announce(lifetime));
    }

    fn is_current(&self, lifetime: u64) -> bool {
        self.lifetime.load(Ordering::SeqCst) == lifetime && self.is_up.load(Ordering::SeqCst)
    }

    /// Ends the process of the server; it is back after `down`.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record
            .event(&format!("server {} crashes", self.id(self.lifetime.load(Ordering::SeqCst))));
        for run in self.runs.lock().unwrap().iter_mut().filter(|run| !run.is_answered) {
            run.is_crashed = true;
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let server = Arc::clone(self);
        spawn(move || {
            sleep(down);
            server.begin_lifetime();
        });
    }

    /// Makes the server silent: it reads, writes and announces nothing until it is ended.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
        self.record.event(&format!("server at {} is silent", self.machine.name));
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, lifetime: u64) {
        while self.is_current(lifetime) {
            if self.is_dark.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(5));
                continue;
            }
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                self.connections.lock().unwrap().push(clone);
            }
            let server = Arc::clone(&self);
            spawn(move || {
                let _ = server.serve(&stream, lifetime);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    fn serve(self: &Arc<Self>, stream: &TcpStream, lifetime: u64) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        while let Some(mut request) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut request)?;
            if !self.is_current(lifetime) {
                return Ok(());
            }
            let id = request.header("attempt-id").unwrap_or_default().to_string();
            let refusal = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            };
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id(lifetime)) {
                writer.write_all(refusal("421 Misdirected Request").as_bytes())?;
                continue;
            }
            if !self.take_slot() {
                writer.write_all(refusal("503 Service Unavailable").as_bytes())?;
                continue;
            }
            let run = self.begin_run(&request, &id);
            let act = (self.behaviour)(&request);
            let result = self.act(act, &id, lifetime, &mut writer);
            self.free_slot();
            if result? {
                self.runs.lock().unwrap()[run].is_answered = true;
            } else {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Carries out what a request leads to; returns whether it was answered whole.
    fn act(
        self: &Arc<Self>,
        act: Act,
        id: &str,
        lifetime: u64,
        writer: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let head = |bytes: usize| {
            let signature = format!("{:x}.{bytes:x}.{id}", self.number);
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {signature}\r\nContent-Length: {bytes}\r\n\r\n"
            )
        };
        match act {
            Act::Answer { work, bytes } => {
                sleep(work);
                if !self.is_current(lifetime) {
                    return Ok(false);
                }
                let mut answer = head(bytes).into_bytes();
                answer.resize(answer.len() + bytes, b'x');
                writer.write_all(&answer)?;
                Ok(true)
            }
            Act::Stream { time, bytes } => {
                const PARTS: usize = 50;
                writer.write_all(head(bytes).as_bytes())?;
                for part in 0..PARTS {
                    sleep(time / PARTS as u32);
                    if !self.is_current(lifetime) || !self.wait_while_dark(lifetime) {
                        return Ok(false);
                    }
                    let length = bytes * (part + 1) / PARTS - bytes * part / PARTS;
                    writer.write_all(&vec![b'x'; length])?;
                }
                Ok(true)
            }
            Act::Crash { work, down } => {
                sleep(work);
                if self.is_current(lifetime) {
                    self.crash(down);
                }
                Ok(false)
            }
        }
    }

    /// Waits until the server is not silent any more; returns whether it still runs.
    fn wait_while_dark(&self, lifetime: u64) -> bool {
        while self.is_dark.load(Ordering::SeqCst) && self.is_current(lifetime) {
            sleep(Duration::from_millis(5));
        }
        self.is_current(lifetime)
    }

    fn begin_run(&self, request: &Message, id: &str) -> usize {
        let target = request.target().to_string();
        let caller = request.header("caller-service").unwrap_or_default();
        self.record
            .event(&format!("server at {} runs {id} {target} for {caller}", self.machine.name));
        let mut runs = self.runs.lock().unwrap();
        let (id, at, machine) = (id.to_string(), self.record.now(), self.number);
        runs.push(Run { id, target, machine, at, is_answered: false, is_crashed: false });
        runs.len() - 1
    }

    fn take_slot(&self) -> bool {
        let mut slots = self.slots.lock().unwrap();
        if slots.1 >= QUEUE {
            return false;
        }
        slots.1 += 1;
        while slots.0 >= SLOTS {
            slots = self.freed.wait_timeout(slots, Duration::from_millis(100)).unwrap().0;
        }
        slots.0 += 1;
        slots.1 -= 1;
        true
    }

    fn free_slot(&self) {
        let mut slots = self.slots.lock().unwrap();
        slots.0 = slots.0.saturating_sub(1);
        self.freed.notify_one();
    }

    fn announce(&self, lifetime: u64) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let machine = &self.machine;
        let address = machine.address(machine.ports.app);
        let mut seq = 0;
        while self.is_current(lifetime) {
            if self.is_dark.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(20));
                continue;
            }
            let target = format!("/-/rpc?call=instances.heartbeat&of={}", self.id(lifetime));
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_s\":0,\"seq\":{seq},\"born\":{born}}}",
                self.service
            );
            seq += 1;
            let headers = [("Content-Type", "application/json")];
            let control = machine.address(machine.ports.control);
            let limit = Duration::from_secs(1);
            let sent = http::call(control, "POST", &target, &headers, body.as_bytes(), limit);
            let is_acknowledged = sent.is_ok_and(|response| response.status / 100 == 2);
            sleep(if is_acknowledged { HEARTBEAT } else { Duration::from_millis(500) });
        }
    }
}
