//! Idle connections of one traffic thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::SharedCfg;
use ntex::io::{Io, IoConfig};
use ntex::time::timeout_checked;

use super::{Connection, Failure};

/// The time after which an idle connection is closed; well under the 75 s after which the
/// listeners of a node close one, so that the side that sends closes first.
const IDLE: Duration = Duration::from_secs(20);

/// The most idle connections that one thread keeps to one address.
const IDLE_PER_ADDRESS: usize = 8;

/// The size of a connection's read and write buffers in bytes; bounds the memory of a long body.
const BUFFER_BYTES: usize = 64 << 10;

/// How long no connection to an address is reused after a reused one went silent.
const DISTRUST: Duration = Duration::from_secs(30);

/// Idle connections of one traffic thread, by address in ascending order.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: RefCell<Vec<(SocketAddr, Vec<Idle>)>>,
    /// Addresses whose connections are not reused until a point in time.
    distrusted: RefCell<Vec<(SocketAddr, Instant)>>,
    config: SharedCfg,
}

#[derive(Debug)]
struct Idle {
    io: Io,
    since: Instant,
}

impl Pool {
    /// Returns an empty pool.
    pub(crate) fn new() -> Rc<Self> {
        let config = IoConfig::new().set_read_buf(BUFFER_BYTES, 4 << 10, 32).set_write_buf(
            BUFFER_BYTES,
            4 << 10,
            32,
        );
        let config = SharedCfg::new("outgoing").add(config).into();
        Rc::new(Self { idle: RefCell::default(), distrusted: RefCell::default(), config })
    }

    /// Returns an idle connection to `address` that still looks usable.
    pub(crate) fn take(self: &Rc<Self>, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        while let Some(entry) = idle[index].1.pop() {
            // Bytes that came without a request are a second response to an earlier one.
            let unread = entry.io.with_read_buf(|buffer| !buffer.is_empty());
            if entry.io.is_closed() || unread || entry.since.elapsed() > IDLE {
                continue;
            }
            return Some(Connection::new(entry.io, address, true, Rc::clone(self)));
        }
        None
    }

    /// Opens a new connection to `address`.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, Failure> {
        let connecting = ntex::rt::tcp_connect(address, self.config.clone());
        match timeout_checked(limit.max(Duration::from_millis(1)), connecting).await {
            Ok(Ok(io)) => Ok(Connection::new(io, address, false, Rc::clone(self))),
            Ok(Err(error)) => Err(Failure::Connect(error)),
            Err(()) => Err(Failure::ConnectTimeout),
        }
    }

    /// Keeps a connection whose exchange was completed.
    pub(super) fn put(&self, address: SocketAddr, io: Io) {
        let now = Instant::now();
        if self.distrusted.borrow().iter().any(|(known, end)| *known == address && now < *end) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let entry = Idle { io, since: Instant::now() };
        match idle.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) => {
                let connections = &mut idle[index].1;
                connections.retain(|entry| entry.since.elapsed() <= IDLE);
                if connections.len() < IDLE_PER_ADDRESS {
                    connections.push(entry);
                }
            }
            Err(index) => idle.insert(index, (address, vec![entry])),
        }
    }

    /// Closes the idle connections to `address`, because one of them went silent or broke.
    pub(crate) fn purge(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(index) = idle.binary_search_by_key(&address, |(known, _)| *known) {
            idle.remove(index);
        }
    }

    /// Reuses no connection to `address` for a while, because a reused one went silent.
    ///
    /// Whatever lost the state of one connection, such as a firewall, may lose that of others.
    pub(crate) fn distrust(&self, address: SocketAddr) {
        self.purge(address);
        let now = Instant::now();
        let mut distrusted = self.distrusted.borrow_mut();
        distrusted.retain(|(known, end)| *known != address && now < *end);
        distrusted.push((address, now + DISTRUST));
    }

    /// Closes connections that were idle too long; called from time to time.
    pub(crate) fn expire(&self) {
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain(|entry| !entry.io.is_closed() && entry.since.elapsed() <= IDLE);
        }
        idle.retain(|(_, connections)| !connections.is_empty());
    }
}
