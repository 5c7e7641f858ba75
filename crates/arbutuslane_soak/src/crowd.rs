//! A crowd of clients that all follow one script.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use socket2::{Domain, SockFilter, Socket, Type};

use crate::local::wait_until;
use crate::script::{Ending, Pace, Reading, Script};

/// The pause between two passes over the clients.
const PASS_INTERVAL: Duration = Duration::from_millis(2);

/// The number of passes after which a crowd ends by itself, so that a test cannot leave one behind.
const MAX_PASSES: u32 = 30_000;

/// The number of passes without progress after which a client counts as blocked.
const BLOCKED_PASSES: u32 = 25;

/// The number of bytes after which a client that is never blocked counts as arrived.
const ARRIVED_BYTES: usize = 16 << 20;

/// The number of bytes after which a client that sends or reads bytewise counts as arrived.
const ARRIVED_BYTEWISE: usize = 40;

/// The most bytes that one client sends in one pass, so that all clients take turns.
const PASS_BYTES: usize = 256 << 10;

/// The operation code with which a socket filter accepts a number of bytes of each packet.
const RETURN: u16 = 0x06;

/// Clients that follow one script until they are dropped.
#[derive(Debug)]
pub struct Crowd {
    state: Arc<State>,
    driver: Option<JoinHandle<()>>,
    size: usize,
}

#[derive(Debug, Default)]
struct State {
    arrived: AtomicUsize,
    has_vanished: AtomicBool,
    is_over: AtomicBool,
    /// The responses' first bytes, one for each of the first connections that got any.
    responses: Mutex<Vec<Vec<u8>>>,
}

/// One client and its current connection.
struct Client {
    socket: Option<Socket>,
    is_connected: bool,
    sent: usize,
    received: usize,
    idle_passes: u32,
    has_arrived: bool,
    has_response: bool,
    is_done: bool,
}

/// What became of an attempt to send or to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Some,
    None,
    Closed,
}

/// The number of responses of which the first bytes are kept.
const MAX_RESPONSES: usize = 64;

impl Crowd {
    /// Starts `size` clients that connect to `target` and follow `script`.
    pub fn start(target: SocketAddr, script: Script, size: usize) -> Self {
        let state = Arc::new(State::default());
        let driven = Arc::clone(&state);
        let driver = spawn(move || drive(target, &script, size, &driven));
        Self { state, driver: Some(driver), size }
    }

    /// Waits until each client has sent its bytes, was closed or can send no more.
    pub fn wait_until_arrived(&self) {
        wait_until("the crowd has arrived", || {
            self.state.arrived.load(Ordering::Relaxed) == self.size
        });
    }

    /// Returns the first bytes of some responses.
    pub fn responses(&self) -> Vec<Vec<u8>> {
        self.state.responses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Lets all clients vanish without a word: from now on they ignore every packet, and send none
    /// of their own.
    pub fn vanish(&self) {
        self.state.has_vanished.store(true, Ordering::Relaxed);
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.state.is_over.store(true, Ordering::Relaxed);
        if let Some(driver) = self.driver.take() {
            let _ = driver.join();
        }
    }
}

/// Lets all clients act in turn until the crowd ends.
fn drive(target: SocketAddr, script: &Script, size: usize, state: &State) {
    let mut clients: Vec<Client> = (0..size).map(|_| Client::new()).collect();
    let mut has_vanished = false;
    for _ in 0..MAX_PASSES {
        if state.is_over.load(Ordering::Relaxed) {
            return;
        }
        if !has_vanished && state.has_vanished.load(Ordering::Relaxed) {
            has_vanished = true;
            clients.iter().for_each(Client::vanish);
        }
        if !has_vanished {
            for client in &mut clients {
                client.act(target, script, state);
            }
        }
        sleep(PASS_INTERVAL);
    }
}

impl Client {
    fn new() -> Self {
        Self {
            socket: None,
            is_connected: false,
            sent: 0,
            received: 0,
            idle_passes: 0,
            has_arrived: false,
            has_response: false,
            is_done: false,
        }
    }

    /// Ignores all packets that arrive for the connection.
    fn vanish(&self) {
        let Some(socket) = &self.socket else { return };
        let _ = socket.attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]);
    }

    /// Takes one turn.
    fn act(&mut self, target: SocketAddr, script: &Script, state: &State) {
        if self.is_done {
            return;
        }
        let progress = match self.socket.is_some() {
            true => self.exchange(script, state),
            false => self.open(target),
        };
        match progress {
            Progress::Some => self.idle_passes = 0,
            Progress::None => self.idle_passes += 1,
            Progress::Closed => {
                self.close(script);
                self.arrive(state);
            }
        }
        let enough = match script.pace {
            Pace::Full => ARRIVED_BYTES.max(script.volume()),
            Pace::Bytewise => ARRIVED_BYTEWISE,
        };
        let has_read = script.reading == Reading::Bytewise && self.received >= ARRIVED_BYTEWISE;
        if self.idle_passes >= BLOCKED_PASSES || self.sent >= enough || has_read {
            self.arrive(state);
        }
    }

    fn arrive(&mut self, state: &State) {
        if !std::mem::replace(&mut self.has_arrived, true) {
            state.arrived.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Begins to open a connection.
    fn open(&mut self, target: SocketAddr) -> Progress {
        let Ok(socket) = Socket::new(Domain::IPV4, Type::STREAM, None) else {
            return Progress::None;
        };
        let _ = socket.set_nonblocking(true);
        // The attempt is in progress when the call returns.
        let _ = socket.connect(&target.into());
        self.socket = Some(socket);
        self.is_connected = false;
        self.sent = 0;
        self.has_response = false;
        Progress::Some
    }

    /// Sends and reads what the script says.
    fn exchange(&mut self, script: &Script, state: &State) -> Progress {
        let Some(socket) = &self.socket else { return Progress::None };
        if !self.is_connected {
            if matches!(socket.take_error(), Ok(Some(_)) | Err(_)) {
                return Progress::Closed;
            }
            if socket.peer_addr().is_err() {
                return Progress::None;
            }
            self.is_connected = true;
        }
        let read = self.read(script, state);
        if read == Progress::Closed {
            return Progress::Closed;
        }
        match self.send(script) {
            Progress::None => read,
            progress => progress,
        }
    }

    fn send(&mut self, script: &Script) -> Progress {
        let Some(mut socket) = self.socket.as_ref() else { return Progress::None };
        let start = self.sent;
        let limit = match script.pace {
            Pace::Full => PASS_BYTES,
            Pace::Bytewise => 1,
        };
        while self.sent < start + limit {
            let bytes = script.after(self.sent);
            if bytes.is_empty() {
                break;
            }
            let room = (start + limit - self.sent).min(bytes.len());
            match socket.write(&bytes[..room]) {
                Ok(length) => self.sent += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Progress::Closed,
            }
        }
        if self.sent >= script.volume() && start < script.volume().max(1) {
            match script.ending {
                Ending::Stay | Ending::Reopen => {}
                Ending::HalfClose => drop(socket.shutdown(std::net::Shutdown::Write)),
                Ending::Reset => {
                    let _ = socket.set_linger(Some(Duration::ZERO));
                    return Progress::Closed;
                }
            }
        }
        if self.sent > start { Progress::Some } else { Progress::None }
    }

    fn read(&mut self, script: &Script, state: &State) -> Progress {
        let Some(mut socket) = self.socket.as_ref() else { return Progress::None };
        let mut buffer = [0; 16 << 10];
        let room = match script.reading {
            Reading::All => buffer.len(),
            Reading::Bytewise => 1,
            Reading::Nothing => return Progress::None,
        };
        match socket.read(&mut buffer[..room]) {
            Ok(0) => Progress::Closed,
            Ok(length) => {
                self.received += length;
                let mut responses = state.responses.lock().unwrap_or_else(PoisonError::into_inner);
                if !self.has_response && responses.len() < MAX_RESPONSES {
                    responses.push(buffer[..length].to_vec());
                }
                self.has_response = true;
                Progress::Some
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Progress::None,
            Err(_) => Progress::Closed,
        }
    }

    /// Closes the connection, and opens no other one unless the script says so.
    fn close(&mut self, script: &Script) {
        self.socket = None;
        self.is_done = matches!(script.ending, Ending::Stay | Ending::HalfClose);
    }
}
