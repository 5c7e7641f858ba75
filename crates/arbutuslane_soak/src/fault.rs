//! The faults of a run, drawn from its seed.

use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

use crate::proxy::Mode;

/// How many processes a fleet has.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Nodes, each with a server beside it.
    pub nodes: usize,
    /// Control instances.
    pub controls: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self { nodes: 4, controls: 3 }
    }
}

/// How a server treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// It answers after a few milliseconds.
    Well,
    /// It takes this long.
    Slow(Duration),
    /// It fails most requests, at once.
    Fails,
    /// It runs requests and never answers.
    Hangs,
    /// It breaks off in the middle of the body.
    Breaks,
}

/// A link of the fleet that passes through a proxy.
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

/// What is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed and started again later.
    KillNode(usize),
    /// A node stands still.
    PauseNode(usize),
    /// A node is stopped as planned and started again.
    StopNode(usize),
    /// A control instance is killed and started again later.
    KillControl(usize),
    /// A control instance stands still.
    PauseControl(usize),
    /// A control instance is stopped as planned and started again.
    StopControl(usize),
    /// A control instance loses its disk.
    WipeControl(usize),
    /// A control instance is killed while it writes: garbage follows the last entry of its log.
    TearControl(usize),
    /// All control instances are killed at once.
    KillAllControl,
    /// A process is told that its settings may have changed.
    Hup(usize),
    /// The connections of a link are reset.
    Reset(Link),
    /// A link changes.
    Change(Link, Mode),
    /// A server treats requests in another way.
    Treat(usize, Habit),
    /// A server crashes and starts again later.
    CrashServer(usize),
    /// A server leaves as planned, and another life of it begins.
    LeaveServer(usize),
}

/// A fault in its time.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// When it begins, since the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What is done.
    pub fault: Fault,
}

/// The last part of a run is free of faults, so that recovery can be checked.
pub const QUIET_END: Duration = Duration::from_secs(6);

/// Returns the faults of a run in the order of their times; they come in series and overlap.
pub fn plan(seed: u64, length: Duration, size: Size) -> Vec<Planned> {
    let mut rng = rng::seeded(seed);
    let last = length.saturating_sub(QUIET_END);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..1_500));
    while at < last {
        let fault = draw(&mut rng, size);
        let lasts = Duration::from_millis(rng.random_range(300..3_500)).min(last - at);
        planned.push(Planned { at, lasts, fault });
        // One in eight pauses is long enough for the checks that need a calm fleet.
        let pause = if rng.random_range(0..8) == 0 { 5_000..9_000 } else { 50..1_600 };
        at += Duration::from_millis(rng.random_range(pause));
    }
    planned
}

fn draw(rng: &mut Rng, size: Size) -> Fault {
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
        13 | 14 => Fault::Reset(link(rng, size)),
        15..=17 => Fault::Change(link(rng, size), mode(rng)),
        18 | 19 => Fault::Treat(node, habit(rng)),
        20 => Fault::CrashServer(node),
        _ => Fault::LeaveServer(node),
    }
}

fn link(rng: &mut Rng, size: Size) -> Link {
    let node = rng.random_range(0..size.nodes);
    match rng.random_range(0..4) {
        0 => Link::Callers(node),
        1 => Link::Peers(node),
        2 => Link::Server(node),
        _ => Link::Control(rng.random_range(0..size.controls)),
    }
}

fn mode(rng: &mut Rng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(5..400))),
        1 => Mode::CutRequests,
        2 => Mode::CutResponses,
        _ => Mode::Silence,
    }
}

fn habit(rng: &mut Rng) -> Habit {
    match rng.random_range(0..4) {
        0 => Habit::Slow(Duration::from_millis(rng.random_range(50..900))),
        1 => Habit::Fails,
        2 => Habit::Hangs,
        _ => Habit::Breaks,
    }
}
