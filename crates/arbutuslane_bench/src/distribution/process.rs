//! One simulated process.

use std::net::SocketAddr;
use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_item::distribution::Sources;

/// The share of a core that a control instance has.
const CONTROL_CORES: f64 = 0.6;

/// The share of a core that a node has, less what requests of callers use.
const NODE_CORES: f64 = 0.05;

/// A control instance or a node.
#[derive(Debug)]
pub(super) struct Process {
    /// The number of processor cores.
    cores: f64,
    /// The time at which all work so far is done.
    free_at: Time,
    /// The processor time used.
    pub(super) cpu: Duration,
    pub(super) requests: u64,
    /// The time that each message waits for the uplink.
    pub(super) uplink_delay: Duration,
    pub(super) is_up: bool,
    /// Whether a node has all items of another process since its start.
    pub(super) is_ready: bool,
    /// Whether each change is in force.
    pub(super) in_force: Vec<bool>,
    pub(super) sources: Sources,
    /// The changes that nodes have yet to be told of.
    pub(super) outbox: Vec<usize>,
    /// Whether a round has begun or waits.
    pub(super) has_round: bool,
}

impl Process {
    pub(super) fn control(changes: usize) -> Self {
        Self::new(CONTROL_CORES, changes, 0)
    }

    pub(super) fn node(changes: usize, turn: usize) -> Self {
        Self::new(NODE_CORES, changes, turn)
    }

    fn new(cores: f64, changes: usize, turn: usize) -> Self {
        Self {
            cores,
            free_at: Time::ZERO,
            cpu: Duration::ZERO,
            requests: 0,
            uplink_delay: Duration::ZERO,
            is_up: true,
            is_ready: true,
            in_force: vec![false; changes],
            sources: Sources::new(Time::ZERO, turn),
            outbox: Vec::new(),
            has_round: false,
        }
    }

    /// Does work that takes `cpu` of a core, after all earlier work; returns when it is done.
    pub(super) fn work(&mut self, now: Time, cpu: Duration) -> Time {
        self.cpu += cpu;
        self.free_at = self.free_at.max(now) + cpu.div_f64(self.cores);
        self.free_at
    }

    /// Puts changes into force; returns those that were not.
    pub(super) fn put_in_force(&mut self, changes: &[usize]) -> Vec<usize> {
        let mut new = Vec::new();
        for change in changes {
            if !std::mem::replace(&mut self.in_force[*change], true) {
                new.push(*change);
            }
        }
        new
    }

    /// Returns the changes in force.
    pub(super) fn changes(&self) -> Vec<usize> {
        (0..self.in_force.len()).filter(|change| self.in_force[*change]).collect()
    }
}

/// Returns the address of the process `index`.
pub(super) fn address(index: usize) -> SocketAddr {
    let number = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, number[1], number[2], number[3]], 80))
}

/// Returns the index of the process at `address`.
pub(super) fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, high, middle, low] = address.ip().octets();
    usize::from(high) << 16 | usize::from(middle) << 8 | usize::from(low)
}
