//! The fleet on one event queue.

use std::net::SocketAddr;
use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_item::distribution::{
    Branch, RELAY_BRANCHES, RELAY_TIMEOUT, RESPONSE_TIMEOUT, ROUND_INTERVAL, Receiver,
    STARTUP_COMPARE_INTERVAL, compare_interval,
};
use rand::RngExt;
use rand::seq::SliceRandom;

use super::plan::{Figures, Plan};
use super::process::{Process, address, index};
use crate::event_queue::{Queue, Slab};

/// The longest time from the acknowledgement of a change until it is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);

const CONTROL_COUNT: usize = 5;

const DOMAIN_COUNT: usize = 5;

/// The time of a message in the network.
const LATENCY: Duration = Duration::from_millis(1);

/// The processor time of sending a request, with what follows its response.
const SEND_CPU: Duration = Duration::from_micros(120);

/// The processor time of handling a request.
const HANDLE_CPU: Duration = Duration::from_micros(100);

/// The processor time of putting items into force at a node.
const ADOPT_CPU: Duration = Duration::from_micros(500);

/// The timeout of a message that tells a control instance what is accepted.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The range of the time after which a control instance that was not told finds out by itself what
/// is accepted.
const SETTLE_AFTER: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(900));

/// The time of the first change.
const FIRST_CHANGE_AT: Time = Duration::from_secs(3);

/// The time that the run goes on after the last change.
const END_AFTER: Duration = Duration::from_secs(4);

/// A number of a process, with the control instances first.
type ProcessId = usize;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An operator makes a change.
    Change(usize),
    /// The bound of a change ends.
    Bound(usize),
    /// A control instance tells the nodes what is accepted.
    Round(ProcessId),
    /// A control instance finds out what is accepted.
    Settle(ProcessId, usize),
    /// A node starts a comparison.
    Compare(ProcessId),
    /// A request arrives.
    Arrive(usize),
    /// The response to a request arrives.
    Respond(usize),
    /// The timeout of a request ends.
    Expire(usize),
}

#[derive(Debug)]
enum Request {
    /// Tells a control instance what is accepted.
    Learn(Vec<usize>),
    /// Tells a branch of nodes what is accepted.
    Push(Vec<usize>, Branch),
    /// Compares the items with another process, and then with the others in the list if there is no
    /// response.
    Compare(Vec<SocketAddr>),
}

#[derive(Debug)]
struct Call {
    from: ProcessId,
    to: ProcessId,
    request: Request,
    /// What the receiver had in force when it responded.
    response: Vec<usize>,
    /// Whether a response has arrived or the timeout has ended.
    is_over: bool,
}

struct Fleet {
    plan: Plan,
    now: Time,
    queue: Queue<Event>,
    rng: Rng,
    processes: Vec<Process>,
    calls: Slab<Call>,
    /// The time of each acknowledgement.
    acknowledged: Vec<Option<Time>>,
    figures: Figures,
}

/// Runs a fleet that gets changes, and measures when they are in force.
pub fn run(plan: Plan) -> Figures {
    let mut fleet = Fleet::new(plan);
    let end = FIRST_CHANGE_AT
        + plan.change_interval * u32::try_from(plan.changes).unwrap_or(u32::MAX)
        + END_AFTER;
    while let Some((at, event)) = fleet.queue.pop() {
        if at > end {
            break;
        }
        fleet.now = at;
        fleet.handle(&event);
    }
    fleet.finish()
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut rng = rng::seeded(plan.seed);
        let mut queue = Queue::default();
        let mut processes: Vec<Process> =
            (0..CONTROL_COUNT).map(|_| Process::control(plan.changes)).collect();
        for node in CONTROL_COUNT..CONTROL_COUNT + plan.nodes {
            let mut process = Process::node(plan.changes, rng.random_range(0..1_000));
            let mut first_comparison = rng.random_range(Duration::ZERO..Duration::from_secs(1));
            if rng.random_bool(plan.full_uplinks) {
                process.uplink_delay = plan.uplink_delay;
            }
            if rng.random_bool(plan.starting) {
                process.is_ready = false;
                first_comparison = FIRST_CHANGE_AT;
            }
            process.is_up = !rng.random_bool(plan.failed);
            processes.push(process);
            queue.push(first_comparison, Event::Compare(node));
        }
        for (change, number) in (0..plan.changes).zip(0_u32..) {
            queue.push(FIRST_CHANGE_AT + plan.change_interval * number, Event::Change(change));
        }
        let acknowledged = vec![None; plan.changes];
        let (calls, figures) = (Slab::new(), Figures::default());
        Self { plan, now: Time::ZERO, queue, rng, processes, calls, acknowledged, figures }
    }

    fn handle(&mut self, event: &Event) {
        match event {
            Event::Change(change) => self.change(*change),
            Event::Bound(change) => self.count_late(*change),
            Event::Round(control) => self.begin_round(*control),
            Event::Settle(control, change) => self.settle(*control, *change),
            Event::Compare(node) => self.compare(*node),
            Event::Arrive(call) => self.arrive(*call),
            Event::Respond(call) => self.respond(*call),
            Event::Expire(call) => self.expire(*call),
        }
    }

    /// Accepts and acknowledges a change at the first control instance that is up.
    fn change(&mut self, change: usize) {
        let leader = (0..CONTROL_COUNT).find(|control| self.processes[*control].is_up);
        let Some(leader) = leader else { return };
        self.acknowledged[change] = Some(self.now);
        self.queue.push(self.now + IN_FORCE_BOUND, Event::Bound(change));
        for control in 0..CONTROL_COUNT {
            let (shortest, longest) = SETTLE_AFTER;
            let at = self.now + self.rng.random_range(shortest..longest);
            self.queue.push(at, Event::Settle(control, change));
        }
        if self.plan.death_at_change == Some(change) {
            self.processes[leader].is_up = false;
            return;
        }
        self.processes[leader].put_in_force(&[change]);
        for control in 0..CONTROL_COUNT {
            if control != leader {
                self.send(leader, control, Request::Learn(vec![change]), PUSH_TIMEOUT);
            }
        }
        self.push(leader, &[change]);
    }

    /// Lets a control instance that was not told of a change find it, and push it.
    fn settle(&mut self, control: ProcessId, change: usize) {
        if !self.processes[control].is_up {
            return;
        }
        let new = self.processes[control].put_in_force(&[change]);
        if !new.is_empty() {
            self.push(control, &new);
        }
    }

    /// Has nodes told of accepted changes in the next round.
    fn push(&mut self, control: ProcessId, changes: &[usize]) {
        let process = &mut self.processes[control];
        process.outbox.extend(changes);
        if !std::mem::replace(&mut process.has_round, true) {
            self.queue.push(self.now, Event::Round(control));
        }
    }

    fn begin_round(&mut self, control: ProcessId) {
        let changes = std::mem::take(&mut self.processes[control].outbox);
        self.processes[control].has_round = !changes.is_empty();
        if changes.is_empty() || !self.processes[control].is_up {
            return;
        }
        self.queue.push(self.now + ROUND_INTERVAL, Event::Round(control));
        let receiver = |node: ProcessId| Receiver {
            address: address(node),
            domain: format!("domain-{}", node % DOMAIN_COUNT),
        };
        let mut nodes: Vec<Receiver> =
            (CONTROL_COUNT..self.processes.len()).map(receiver).collect();
        nodes.shuffle(&mut self.rng);
        for branch in Branch::for_domains(nodes) {
            self.send_branch(control, changes.clone(), branch);
        }
    }

    fn send_branch(&mut self, from: ProcessId, changes: Vec<usize>, branch: Branch) {
        let to = index(branch.relay);
        self.send(from, to, Request::Push(changes, branch), RELAY_TIMEOUT);
    }

    /// Starts a comparison of a node.
    fn compare(&mut self, node: ProcessId) {
        if !self.processes[node].is_up {
            return;
        }
        let control: Vec<SocketAddr> = (0..CONTROL_COUNT).map(address).collect();
        let peer = address(self.rng.random_range(CONTROL_COUNT..self.processes.len()));
        let process = &mut self.processes[node];
        let peer = Some(peer).filter(|peer| process.is_ready && *peer != address(node));
        let sources = process.sources.next(&control, peer, self.plan.nodes);
        self.compare_with(node, sources);
    }

    fn compare_with(&mut self, node: ProcessId, mut sources: Vec<SocketAddr>) {
        if sources.is_empty() {
            return self.plan_comparison(node);
        }
        let source = index(sources.remove(0));
        self.send(node, source, Request::Compare(sources), RESPONSE_TIMEOUT);
    }

    fn plan_comparison(&mut self, node: ProcessId) {
        let interval = match self.processes[node].is_ready {
            true => compare_interval(self.rng.random_range(0.8..1.2)),
            false => STARTUP_COMPARE_INTERVAL,
        };
        self.queue.push(self.now + interval, Event::Compare(node));
    }

    fn send(&mut self, from: ProcessId, to: ProcessId, request: Request, timeout: Duration) {
        let sender = &mut self.processes[from];
        sender.requests += 1;
        // The request follows the handshake of a new connection.
        let sent_at = sender.work(self.now, SEND_CPU) + sender.uplink_delay * 2 + LATENCY * 2;
        let call =
            self.calls.insert(Call { from, to, request, response: Vec::new(), is_over: false });
        self.queue.push(self.now + timeout, Event::Expire(call));
        if !self.rng.random_bool(self.plan.loss) {
            self.queue.push(sent_at + LATENCY, Event::Arrive(call));
        }
    }

    fn arrive(&mut self, id: usize) {
        let call = self.calls.get(id);
        let to = call.to;
        if !self.processes[to].is_up {
            return;
        }
        let mut done_at = self.processes[to].work(self.now, HANDLE_CPU);
        let (changes, branch) = match &call.request {
            Request::Learn(changes) => (changes.clone(), None),
            Request::Push(changes, branch) => (changes.clone(), Some(branch.clone())),
            Request::Compare(_) => (Vec::new(), None),
        };
        for branch in branch.iter().flat_map(|b| Branch::split(&b.others, RELAY_BRANCHES)) {
            self.send_branch(to, changes.clone(), branch);
        }
        let new = self.processes[to].put_in_force(&changes);
        if !new.is_empty() && to >= CONTROL_COUNT {
            done_at = self.processes[to].work(self.now, ADOPT_CPU);
            self.record_in_force(to, &new, done_at);
        }
        self.calls.get(id).response = self.processes[to].changes();
        if !self.rng.random_bool(self.plan.loss) {
            let at = done_at + self.processes[to].uplink_delay + LATENCY;
            self.queue.push(at, Event::Respond(id));
        }
    }

    fn respond(&mut self, id: usize) {
        let call = self.calls.get(id);
        let was_over = std::mem::replace(&mut call.is_over, true);
        let (from, is_comparison) = (call.from, matches!(call.request, Request::Compare(_)));
        let response = std::mem::take(&mut call.response);
        if !is_comparison {
            return;
        }
        let new = self.processes[from].put_in_force(&response);
        if !new.is_empty() {
            let done_at = self.processes[from].work(self.now, ADOPT_CPU);
            self.record_in_force(from, &new, done_at);
        }
        // The items of a late response count; the next comparison was planned without it.
        if was_over {
            return;
        }
        self.processes[from].is_ready = true;
        self.plan_comparison(from);
    }

    fn expire(&mut self, id: usize) {
        let call = self.calls.get(id);
        if std::mem::replace(&mut call.is_over, true) {
            return;
        }
        let from = call.from;
        match &call.request {
            Request::Compare(sources) => {
                let sources = sources.clone();
                self.compare_with(from, sources);
            }
            Request::Push(changes, branch) => {
                let (changes, branch) = (changes.clone(), branch.clone());
                for branch in branch.after_failure() {
                    self.send_branch(from, changes.clone(), branch);
                }
            }
            Request::Learn(_) => {}
        }
    }

    fn record_in_force(&mut self, node: ProcessId, changes: &[usize], at: Time) {
        if !self.processes[node].is_ready {
            return;
        }
        for change in changes {
            if let Some(acknowledged) = self.acknowledged[*change] {
                self.figures.delays.push(at.saturating_sub(acknowledged));
            }
        }
    }

    fn count_late(&mut self, change: usize) {
        let nodes = &self.processes[CONTROL_COUNT..];
        let is_late = |node: &&Process| node.is_up && node.is_ready && !node.in_force[change];
        self.figures.late += nodes.iter().filter(is_late).count();
    }

    fn finish(mut self) -> Figures {
        let (control, nodes) = self.processes.split_at(CONTROL_COUNT);
        let count = u32::try_from(nodes.len().max(1)).unwrap_or(u32::MAX);
        self.figures.control_requests =
            control.iter().map(|process| process.requests).max().unwrap_or_default();
        self.figures.control_cpu =
            control.iter().map(|process| process.cpu).max().unwrap_or_default();
        self.figures.node_requests =
            nodes.iter().map(|process| process.requests).sum::<u64>() as f64 / f64::from(count);
        self.figures.node_cpu = nodes.iter().map(|process| process.cpu).sum::<Duration>() / count;
        self.figures.delays.sort_unstable();
        self.figures
    }
}
