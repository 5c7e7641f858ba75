//! The idle connections of one traffic thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;

use arbutuslane_core::time::{Clock, Time};
use arbutuslane_limit::connect_time::ConnectTimes;

use super::body::PoolReturn;
use super::connection::Driver;
use super::upload::OutgoingBody;
use super::used_ids::UsedIds;
use super::{Connection, Failure, SilenceLimit};

/// The time after which an idle connection is closed. It is well under the 75 s after which the
/// listeners of a node close one, so that the sending side closes first.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The maximum number of idle connections of one thread to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// How long no connection to an address is reused after a reused one timed out.
const REUSE_SUSPENSION: Duration = Duration::from_secs(30);

/// The idle connections of one traffic thread, by address in ascending order.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Counts the time for which the machine is suspended, during which the other side may close a
    /// connection unnoticed.
    clock: Clock,
    idle: RefCell<Vec<(SocketAddr, Vec<IdleConnection>)>>,
    /// The addresses whose connections are not reused, each with the end of that time.
    suspended: RefCell<Vec<(SocketAddr, Time)>>,
    /// The usual times of connections to other nodes.
    connect_times: RefCell<ConnectTimes>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<OutgoingBody>,
    driver: Driver,
    used_ids: UsedIds,
    since: Time,
    limit: Duration,
}

impl IdleConnection {
    /// Returns how long the connection has been idle at `now`.
    fn idle_time(&self, now: Time) -> Duration {
        now.saturating_sub(self.since)
    }
}

impl Pool {
    /// Returns an empty pool.
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            clock: Clock::start_counting_suspension(),
            idle: RefCell::default(),
            suspended: RefCell::default(),
            connect_times: RefCell::default(),
        })
    }

    /// Returns an idle connection to `address` that is still open, or `None`.
    pub(crate) fn take(self: &Rc<Self>, address: SocketAddr) -> Option<Connection> {
        self.take_where(address, MAX_IDLE_TIME, |_| true)
    }

    /// Returns an idle connection to `address` that is still open, has been idle for at most
    /// `max_idle` and has carried no exchange to which a caller gave the id `id`, or `None`.
    pub(crate) fn take_recent(
        self: &Rc<Self>,
        address: SocketAddr,
        max_idle: Duration,
        id: &str,
    ) -> Option<Connection> {
        self.take_where(address, max_idle, |entry| !entry.used_ids.contains(id))
    }

    /// Returns the idle connection to `address` that was used last of those that are still open,
    /// have been idle for at most `max_idle` and are `eligible`.
    fn take_where(
        self: &Rc<Self>,
        address: SocketAddr,
        max_idle: Duration,
        eligible: impl Fn(&IdleConnection) -> bool,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let index = idle.binary_search_by_key(&address, |(known, _)| *known).ok()?;
        let connections = &mut idle[index].1;
        // The connection that was used last is at the end.
        for position in (0..connections.len()).rev() {
            if connections[position].idle_time(now) > max_idle {
                return None;
            }
            if !eligible(&connections[position]) {
                continue;
            }
            let mut entry = connections.remove(position);
            if entry.idle_time(now) > entry.limit || !entry.driver.is_idle(&entry.sender) {
                continue;
            }
            let idle = entry.idle_time(now);
            let IdleConnection { sender, driver, used_ids, .. } = entry;
            let pool = Rc::clone(self);
            return Some(Connection::reuse(sender, driver, address, used_ids, pool, idle));
        }
        None
    }

    /// Opens a new connection to `address`.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, Failure> {
        Connection::open(address, limit, SilenceLimit::Short, Rc::clone(self)).await
    }

    /// Opens a new connection to another node within a time that follows its distance.
    pub(crate) async fn connect_to_node(
        self: &Rc<Self>,
        address: SocketAddr,
        limit: Duration,
        silence_limit: SilenceLimit,
    ) -> Result<Connection, Failure> {
        let started_at = self.clock.now();
        let limit = limit.min(self.connect_times.borrow().timeout(address));
        let connection = Connection::open(address, limit, silence_limit, Rc::clone(self)).await?;
        self.connect_times
            .borrow_mut()
            .record(address, self.clock.now().saturating_sub(started_at));
        Ok(connection)
    }

    /// Adds the connection of a completed exchange to the pool.
    ///
    /// The pool keeps the connection for half of the time after which the other side closes an idle
    /// one, because a request that is sent while the other side closes may or may not have run.
    pub(super) fn put(
        &self,
        sender: SendRequest<OutgoingBody>,
        driver: Driver,
        PoolReturn { address, used_ids, peer_timeout, .. }: PoolReturn,
    ) {
        if used_ids.is_full() {
            return;
        }
        let now = self.clock.now();
        if self.suspended.borrow().iter().any(|(known, end)| *known == address && now < *end) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let limit = peer_timeout
            .map_or(MAX_IDLE_TIME, |peer_timeout| (peer_timeout / 2).min(MAX_IDLE_TIME));
        let entry = IdleConnection { sender, driver, used_ids, since: now, limit };
        match idle.binary_search_by_key(&address, |(known, _)| *known) {
            Ok(index) => {
                let connections = &mut idle[index].1;
                connections.retain(|entry| entry.idle_time(now) <= entry.limit);
                if connections.len() < MAX_IDLE_PER_ADDRESS {
                    connections.push(entry);
                }
            }
            Err(index) => idle.insert(index, (address, vec![entry])),
        }
    }

    /// Closes the idle connections to `address` after one of them timed out or broke.
    pub(crate) fn purge(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Ok(index) = idle.binary_search_by_key(&address, |(known, _)| *known) {
            idle.remove(index);
        }
    }

    /// Suspends the reuse of connections to `address` after a reused one timed out.
    ///
    /// A device that has lost the state of one connection, such as a firewall, may have lost that
    /// of others.
    pub(crate) fn suspend_reuse(&self, address: SocketAddr) {
        self.purge(address);
        let now = self.clock.now();
        let mut suspended = self.suspended.borrow_mut();
        suspended.retain(|(known, end)| *known != address && now < *end);
        suspended.push((address, now + REUSE_SUSPENSION));
    }

    /// Closes connections that were idle for too long; called periodically.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for (_, connections) in idle.iter_mut() {
            connections.retain_mut(|entry| {
                entry.idle_time(now) <= entry.limit && entry.driver.is_idle(&entry.sender)
            });
        }
        idle.retain(|(_, connections)| !connections.is_empty());
    }
}
