//! A proxy on loopback that delays, resets, cuts and silences connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How the proxy treats the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    Pass,
    /// Forwards each chunk after this delay.
    Delay(Duration),
    /// Drops the bytes sent to the target and keeps the connection open.
    CutRequests,
    /// Drops the bytes that the target sends and keeps the connection open.
    CutResponses,
    /// Drops the bytes of both directions and accepts no new connection.
    Silence,
}

/// A proxy in front of one listener.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    target: SocketAddr,
    streams: Vec<TcpStream>,
}

/// How often a proxy in `Mode::Silence` checks whether it accepts connections again.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Proxy {
    /// Starts a proxy at `address` for `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let state = Arc::new(Mutex::new(State { mode: Mode::Pass, target, streams: Vec::new() }));
        let proxy = Self { address, state };
        let accepting = proxy.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                while accepting.mode() == Mode::Silence {
                    sleep(SILENCE_POLL_INTERVAL);
                }
                accepting.accept(stream);
            }
        });
        proxy
    }

    /// Changes how bytes are treated, also on open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for stream in self.state.lock().unwrap().streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn mode(&self) -> Mode {
        self.state.lock().unwrap().mode
    }

    fn accept(&self, client: TcpStream) {
        let target = self.state.lock().unwrap().target;
        // When the target refuses the connection, the client's is closed without a response, as a
        // gateway without a reachable target does.
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
        {
            let mut state = self.state.lock().unwrap();
            state.streams.retain(|stream| stream.peer_addr().is_ok());
            for stream in [client.try_clone(), server.try_clone()].into_iter().flatten() {
                state.streams.push(stream);
            }
        }
        let (requests, responses) = (self.clone(), self.clone());
        spawn(move || requests.copy(from, to, Mode::CutRequests));
        spawn(move || responses.copy(server, client, Mode::CutResponses));
    }

    /// Copies bytes until either side ends; `cut` is the mode that drops the bytes of this
    /// direction.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, cut: Mode) {
        let mut chunk = [0; 16 << 10];
        let mut dropped = false;
        while let Ok(length) = from.read(&mut chunk) {
            if length == 0 {
                break;
            }
            let mode = self.mode();
            if let Mode::Delay(delay) = mode {
                sleep(delay);
            }
            // Once bytes of a connection are dropped, no later bytes are forwarded, because the
            // receiver would read a corrupt stream.
            dropped |= mode == cut || mode == Mode::Silence;
            if !dropped && to.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
