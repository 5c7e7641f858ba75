//! A proxy on loopback that delays, resets, cuts and silences connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What the proxy does with the bytes of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Passes them on later.
    Delay(Duration),
    /// Drops what is sent to the target, without a sign.
    CutRequests,
    /// Drops what the target sends, without a sign.
    CutResponses,
    /// Drops both, and accepts no new connection.
    Silence,
}

/// A proxy in front of one listener.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    target: SocketAddr,
    streams: Vec<TcpStream>,
}

/// How often a silenced proxy looks whether it is to accept again.
const LOOK: Duration = Duration::from_millis(10);

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
                    sleep(LOOK);
                }
                accepting.accept(stream);
            }
        });
        proxy
    }

    /// Changes what is done with the bytes.
    pub fn set(&self, mode: Mode) {
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
        // A refused connection is closed without a response, as by a gateway that finds nobody.
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

    /// Copies until either side ends; `cut` is the mode that drops the bytes of this direction.
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
            // A connection that has lost bytes passes no more: the rest would be garbage.
            dropped |= mode == cut || mode == Mode::Silence;
            if !dropped && to.write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
