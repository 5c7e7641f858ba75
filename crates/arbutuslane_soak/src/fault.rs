//! Draws the faults of a run from its seed.

use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

use crate::proxy::Mode;

/// The number of processes of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// The number of nodes, each with a server beside it.
    pub nodes: usize,
    /// The number of control instances.
    pub controls: usize,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self { nodes: 4, controls: 3 }
    }
}

/// How a server treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// It responds after a few milliseconds.
    Well,
    /// It responds after this time.
    Slow(Duration),
    /// It responds to most requests with an error after a few milliseconds.
    Fails,
    /// It runs requests and never responds.
    Hangs,
    /// It closes the connection in the middle of the body.
    Breaks,
}

/// A link of the fleet that runs through a [`Proxy`](crate::proxy::Proxy).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// From callers to a node.
    Callers(usize),
    /// From other processes to a node.
    Peers(usize),
    /// From a node to the server beside it.
    Server(usize),
    /// From operators, nodes and other instances to a control instance.
    Control(usize),
}

/// A fault that is injected into the fleet. Numbers are those of a node, of the server beside it,
/// or of a control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed and started again later.
    KillNode(usize),
    /// A node is paused by SIGSTOP and continued later.
    PauseNode(usize),
    /// A node is stopped by SIGTERM and started again.
    StopNode(usize),
    /// A control instance is killed and started again later.
    KillControl(usize),
    /// A control instance is paused by SIGSTOP and continued later.
    PauseControl(usize),
    /// A control instance is stopped by SIGTERM and started again.
    StopControl(usize),
    /// A control instance is killed, loses its disk and is started again later.
    WipeControl(usize),
    /// A control instance is killed during a write, so that garbage follows the last entry of its
    /// log.
    TearControl(usize),
    /// All control instances are killed at once.
    KillAllControl,
    /// A node receives SIGHUP, which makes it reload its settings.
    Hup(usize),
    /// The connections of a link are closed.
    Reset(Link),
    /// A link treats its bytes in another way for a while.
    Change(Link, Mode),
    /// A server treats requests in another way for a while.
    Treat(usize, Behavior),
    /// A server crashes and starts again later.
    CrashServer(usize),
    /// A server drains and leaves, and a new incarnation of it starts.
    LeaveServer(usize),
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// When it starts, since the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The fault that is injected.
    pub fault: Fault,
}

/// How long the end of a run is free of faults, so that recovery can be checked.
pub const FAULT_FREE_END: Duration = Duration::from_secs(6);

/// Returns the faults of a run in the order of their starts; they may overlap.
pub fn plan(seed: u64, length: Duration, size: FleetSize) -> Vec<PlannedFault> {
    let mut rng = rng::seeded(seed);
    let last = length.saturating_sub(FAULT_FREE_END);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..1_500));
    while at < last {
        let fault = draw_fault(&mut rng, size);
        let duration = Duration::from_millis(rng.random_range(300..3_500)).min(last - at);
        planned.push(PlannedFault { at, duration, fault });
        // One in eight pauses is long enough for the checks that require a time without faults.
        let pause = if rng.random_range(0..8) == 0 { 5_000..9_000 } else { 50..1_600 };
        at += Duration::from_millis(rng.random_range(pause));
    }
    planned
}

fn draw_fault(rng: &mut Rng, size: FleetSize) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let control = rng.random_range(0..size.controls);
    match rng.random_range(0..22) {
        0 | 1 => Fault::KillNode(node),
        2 => Fault::PauseNode(node),
        3..=5 => Fault::StopNode(node),
        6 => Fault::KillControl(control),
        7 => Fault::PauseControl(control),
        8 => Fault::StopControl(control),
        9 => Fault::WipeControl(control),
        10 => Fault::TearControl(control),
        11 => Fault::KillAllControl,
        12 => Fault::Hup(node),
        13 | 14 => Fault::Reset(draw_link(rng, size)),
        15..=17 => Fault::Change(draw_link(rng, size), draw_mode(rng)),
        18 | 19 => Fault::Treat(node, draw_behavior(rng)),
        20 => Fault::CrashServer(node),
        _ => Fault::LeaveServer(node),
    }
}

fn draw_link(rng: &mut Rng, size: FleetSize) -> Link {
    let node = rng.random_range(0..size.nodes);
    match rng.random_range(0..4) {
        0 => Link::Callers(node),
        1 => Link::Peers(node),
        2 => Link::Server(node),
        _ => Link::Control(rng.random_range(0..size.controls)),
    }
}

fn draw_mode(rng: &mut Rng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => Mode::CutRequests,
        2 => Mode::CutResponses,
        _ => Mode::Silence,
    }
}

fn draw_behavior(rng: &mut Rng) -> Behavior {
    match rng.random_range(0..4) {
        0 => Behavior::Slow(Duration::from_millis(rng.random_range(50..900))),
        1 => Behavior::Fails,
        2 => Behavior::Hangs,
        _ => Behavior::Breaks,
    }
}
