//! The replica: the thread that runs the consensus state machine and writes the data folder.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use arbutuslane_catalogue::change::{Change, Outcome};
use arbutuslane_catalogue::stored::{self, Command};
use arbutuslane_consensus::input::Refusal;
use arbutuslane_consensus::prelude::*;
use arbutuslane_core::hash;
use arbutuslane_core::id::Shard;
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_event::prelude::Kind;
use arbutuslane_storage::disk::Disk;
use arbutuslane_storage::error::Error;
use arbutuslane_wire::codec;

use crate::assign::{self, Assigner, Votes};
use crate::border::Frame;
use crate::engine::{Handle, Request, ResetRefusal, Response, ResponseSender};
use crate::settings::Settings;
use crate::store::Store;
use crate::transport::Outbox;
use crate::watch::{self, PeerMonitor};

/// The time between two ticks of the state machine, a sixth of a heartbeat.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The largest number of requests that are handled before one sync of their writes.
const MAX_REQUESTS_PER_SYNC: usize = 512;

/// The time between two decisions on the assignment of register groups.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of applied log entries after which a snapshot replaces them.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 4_096;

/// The state of the engine's thread.
pub(crate) struct Replica<D> {
    settings: Settings,
    clock: Clock,
    store: Store<D>,
    node: Option<Node>,
    pub(crate) handle: Handle,
    outbox: Outbox,
    pub(crate) monitor: PeerMonitor,
    next_token: u64,
    /// Reply channels by token, until the state machine has accepted or refused the request.
    replies_by_token: BTreeMap<u64, ResponseSender>,
    /// Terms and reply channels of proposals by log index, until the entry is applied.
    pub(crate) proposed: BTreeMap<u64, (u64, ResponseSender)>,
    writes: Vec<Write>,
    last_write: u64,
    pub(crate) snapshot_index: u64,
    next_tick: Time,
    next_assignment: Time,
    assigner: Assigner,
    votes: Votes,
    is_disk_empty: bool,
}

impl<D: Disk> Replica<D> {
    pub(crate) fn new(
        settings: Settings,
        store: Store<D>,
        saved: DurableState,
        handle: Handle,
        outbox: Outbox,
    ) -> Result<Self, Error> {
        let clock = Clock::start();
        let is_disk_empty = saved.term == 0 && saved.snapshot.is_none() && saved.entries.is_empty();
        let snapshot = saved.snapshot.clone();
        let id = saved.id.clone();
        let seed = hash::of_bytes(id.name.as_bytes()) ^ id.disk_id;
        let known = settings.members.iter().map(|member| member.name.clone()).collect();
        let node = Node::start(saved, Timing::default(), seed, clock.now()).with_known_names(known);
        let monitor = PeerMonitor::new(&settings, handle.clone());
        let mut replica = Self {
            settings,
            clock,
            store,
            node: Some(node),
            handle,
            outbox,
            monitor,
            next_token: 0,
            replies_by_token: BTreeMap::new(),
            proposed: BTreeMap::new(),
            writes: Vec::new(),
            last_write: 0,
            snapshot_index: 0,
            next_tick: Time::ZERO,
            next_assignment: Time::ZERO,
            assigner: Assigner::default(),
            votes: Votes::new(),
            is_disk_empty,
        };
        if let Some(snapshot) = snapshot {
            replica.install(&snapshot);
        }
        Ok(replica)
    }

    /// Serves requests until it is stopped, all handles are dropped or the disk fails.
    pub(crate) fn run(&mut self, inbox: &Receiver<Request>) {
        loop {
            let wait = self.next_tick.saturating_sub(self.clock.now());
            let mut next = inbox.recv_timeout(wait);
            for handled in 1..=MAX_REQUESTS_PER_SYNC {
                match next {
                    Ok(Request::Stop) | Err(RecvTimeoutError::Disconnected) => {
                        self.handle.stopped.store(true, Ordering::Relaxed);
                        return;
                    }
                    Ok(request) => self.handle(request),
                    Err(RecvTimeoutError::Timeout) => break,
                }
                if handled == MAX_REQUESTS_PER_SYNC {
                    break;
                }
                next = inbox.try_recv().map_err(|_| RecvTimeoutError::Timeout);
            }
            if self.clock.now() >= self.next_tick {
                self.next_tick = self.clock.now() + TICK_INTERVAL;
                self.step(Input::Tick);
                self.run_periodic_tasks();
            }
            if let Err(error) = self.flush() {
                return self.fail(&error);
            }
        }
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Change(change, reply) => self.change(change, reply),
            Request::Read(reply) => {
                let token = self.register_reply(reply);
                self.step(Input::Read { token });
            }
            Request::Reconfigure(change, reply) => {
                if let Reconfigure::Add { addresses, .. } = &change
                    && let Some(outcome) =
                        watch::change_id(addresses).and_then(|id| self.decided_outcome(id))
                {
                    let _ = reply.send(Response::Outcome(outcome));
                    return;
                }
                let token = self.register_reply(reply);
                self.step(Input::Reconfigure { token, change });
            }
            Request::Frames(frames) => {
                for frame in frames {
                    match frame {
                        Frame::Hello(hello) => self.monitor.record_hello(self.clock.now(), hello),
                        Frame::Votes(node, votes) => {
                            self.votes.insert(node, votes);
                        }
                        Frame::Log(envelope) => self.step(Input::Message(envelope.into())),
                    }
                }
            }
            Request::Reset(id, author, shard, reply) => self.reset(id, author, shard, reply),
            Request::Votes(node, votes) => self.record_votes(node, votes),
            Request::Stop => {}
        }
    }

    /// Records the votes that a node reported and forwards them to the leader, which assigns the
    /// groups.
    fn record_votes(&mut self, node: String, votes: Vec<(u32, u64)>) {
        let leader = self.node.as_ref().and_then(Node::leader);
        let leader = leader.filter(|leader| leader.name != self.settings.name);
        if let Some(address) = leader.and_then(|leader| self.monitor.address(&leader.name)) {
            let _ = self.outbox.send((address, Frame::Votes(node.clone(), votes.clone())));
        }
        self.votes.insert(node, votes);
    }

    fn change(&mut self, change: Change, reply: ResponseSender) {
        let state = self.handle.state.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(outcome) = state.outcome(&change.id) {
            let _ = reply.send(Response::Outcome(outcome.clone()));
            return;
        }
        // Until a leader has applied the entries of earlier terms, it may not have the base
        // revision of the change, which it needs to reduce the change to its edits.
        if !self.node.as_ref().is_some_and(Node::is_established) {
            drop(state);
            let _ = reply.send(Response::NotLeader(self.handle.leader_address()));
            return;
        }
        let proposal = state.to_proposal(change);
        drop(state);
        let command = Command::Change(stored::Proposal::from(proposal));
        let Ok(command) = codec::encode(&command) else { return };
        let token = self.register_reply(reply);
        self.step(Input::Propose { token, command });
    }

    /// Returns the outcome of the change `id` if it is already decided.
    fn decided_outcome(&self, id: &str) -> Option<Outcome> {
        let state = self.handle.state.read().unwrap_or_else(PoisonError::into_inner);
        state.outcome(id).cloned()
    }

    /// Proposes the reset of a register group, unless the group has a majority.
    fn reset(&mut self, id: String, author: String, shard: Shard, reply: ResponseSender) {
        if let Some(outcome) = self.decided_outcome(&id) {
            let _ = reply.send(Response::Outcome(outcome));
            return;
        }
        let state = self.handle.state.read().unwrap_or_else(PoisonError::into_inner);
        let group = state.groups.iter().find(|group| group.shard == shard).cloned();
        drop(state);
        let is_leader = self.node.as_ref().is_some_and(|node| node.role() == "leader");
        if !is_leader || !self.node.as_ref().is_some_and(Node::is_established) {
            let _ = reply.send(Response::NotLeader(self.handle.leader_address()));
            return;
        }
        let alive = self.handle.alive_nodes.read().unwrap_or_else(PoisonError::into_inner).clone();
        let group = match group {
            None => Err(ResetRefusal::NoGroup),
            Some(group) if !assign::is_lost(&group, &alive, &self.votes) => {
                Err(ResetRefusal::HasMajority)
            }
            Some(group) => group.reset(&alive).ok_or(ResetRefusal::NoNodes),
        };
        let group = match group {
            Ok(group) => group,
            Err(refusal) => {
                let _ = reply.send(Response::ResetRefused(refusal));
                return;
            }
        };
        let reset = stored::Reset { id, author, group: group.into() };
        let Ok(command) = codec::encode(&Command::Reset(reset)) else { return };
        let token = self.register_reply(reply);
        self.step(Input::Propose { token, command });
    }

    /// Stores `reply` under a new token and returns the token.
    fn register_reply(&mut self, reply: ResponseSender) -> u64 {
        self.next_token += 1;
        self.replies_by_token.insert(self.next_token, reply);
        self.next_token
    }

    /// Passes an input to the state machine and executes the effects that need no sync; writes are
    /// queued for [`Self::flush`].
    fn step(&mut self, input: Input) {
        let Some(node) = self.node.take() else { return };
        let (node, effects) = node.step(self.clock.now(), input);
        self.node = Some(node);
        for effect in effects {
            match effect {
                Effect::Write { sequence, write } => {
                    self.last_write = sequence;
                    self.writes.push(write);
                }
                Effect::Send(envelope) => {
                    if let Some(address) = self.monitor.address(&envelope.to.name) {
                        let _ = self.outbox.send((address, Frame::Log(envelope.into())));
                    }
                }
                Effect::Apply(entry) => self.apply(entry),
                Effect::Install(snapshot) => self.install(&snapshot),
                Effect::Proposed { token, index, term } => {
                    if let Some(reply) = self.replies_by_token.remove(&token) {
                        self.proposed.insert(index, (term, reply));
                    }
                }
                Effect::ReadReady { token } => {
                    if let Some(reply) = self.replies_by_token.remove(&token) {
                        let _ = reply.send(Response::Readable);
                    }
                }
                Effect::Refused { token, reason } => {
                    let response = match reason {
                        Refusal::NotLeader => Response::NotLeader(self.handle.leader_address()),
                        other => Response::Refused(other),
                    };
                    if let Some(reply) = self.replies_by_token.remove(&token) {
                        let _ = reply.send(response);
                    }
                }
            }
        }
    }

    /// Makes all pending writes durable, informs the state machine, and takes a snapshot when due.
    fn flush(&mut self) -> Result<(), Error> {
        while !self.writes.is_empty() {
            self.is_disk_empty = false;
            self.store.write(std::mem::take(&mut self.writes))?;
            self.step(Input::Written(self.last_write));
        }
        let applied = self.node.as_ref().map_or(0, Node::applied_index);
        if applied >= self.snapshot_index + ENTRIES_BEFORE_SNAPSHOT {
            self.compact(applied);
            return self.flush();
        }
        Ok(())
    }

    /// Replaces the log up to `index` with a snapshot of the applied state.
    fn compact(&mut self, index: u64) {
        self.snapshot_index = index;
        let state = self.handle.state.read().unwrap_or_else(PoisonError::into_inner);
        let payload = codec::encode(&stored::State::from(&*state));
        drop(state);
        if let Ok(payload) = payload {
            self.step(Input::Compact { index, payload });
        }
    }

    /// Sends hellos, publishes the status, refuses proposals after a loss of leadership, forms the
    /// first control group and assigns register groups.
    fn run_periodic_tasks(&mut self) {
        let now = self.clock.now();
        let Some(node) = &self.node else { return };
        for (address, hello) in self.monitor.due_hellos(now, node, self.is_disk_empty) {
            let _ = self.outbox.send((address, Frame::Hello(hello)));
        }
        self.monitor.publish(now, node);
        let is_leader = node.role() == "leader";
        if !is_leader && !self.proposed.is_empty() {
            // The next leader decides these proposals; a resend of the change id gets the outcome.
            let leader = self.handle.leader_address();
            for (_, reply) in std::mem::take(&mut self.proposed).into_values() {
                let _ = reply.send(Response::NotLeader(leader.clone()));
            }
        }
        if self.is_disk_empty
            && let Some(members) = self.monitor.first_members(now, node.id())
        {
            self.form_group(members);
        }
        if now >= self.next_assignment {
            self.next_assignment = now + ASSIGNMENT_INTERVAL;
            self.assign(now);
        }
    }

    /// Proposes changes of register groups that follow from the nodes that are alive.
    fn assign(&mut self, now: Time) {
        let alive = self.handle.alive_nodes.read().unwrap_or_else(PoisonError::into_inner).clone();
        let state = self.handle.state.read().unwrap_or_else(PoisonError::into_inner);
        let sizes = (self.settings.shards, self.settings.register_nodes);
        let groups = self.assigner.decide(now, sizes, &state.groups, &alive, &self.votes);
        drop(state);
        // A new leader may not have applied the groups of the previous leader yet.
        if groups.is_empty() || !self.node.as_ref().is_some_and(Node::is_established) {
            return;
        }
        let groups = groups.into_iter().map(Into::into).collect();
        if let Ok(command) = codec::encode(&Command::Groups(groups)) {
            self.step(Input::Propose { token: 0, command });
        }
    }

    /// Forms the first control group; its other members receive the log from this instance.
    fn form_group(&mut self, members: Vec<Member>) {
        let Some(node) = self.node.take() else { return };
        let id = node.id().clone();
        let seed = hash::of_bytes(id.name.as_bytes()) ^ id.disk_id;
        let saved = DurableState::initial(id, members, Vec::new());
        self.writes.push(Write::Vote { term: saved.term, vote: None });
        if let Some(snapshot) = saved.snapshot.clone() {
            self.writes.push(Write::Snapshot { snapshot, discard_entries: false });
        }
        if let Some(snapshot) = &saved.snapshot {
            self.install(snapshot);
        }
        tracing::info!(instance = self.settings.name, "forming a new control group");
        let writes = std::mem::take(&mut self.writes);
        if let Err(error) = self.store.write(writes) {
            return self.fail(&error);
        }
        self.is_disk_empty = false;
        self.node = Some(Node::start(saved, Timing::default(), seed, self.clock.now()));
    }

    /// Stops the replica until a restart, because the content of a file is unknown after a failed
    /// sync.
    fn fail(&mut self, error: &Error) {
        self.node = None;
        tracing::error!(instance = self.settings.name, %error, "the replica stopped");
        self.monitor.publish_failure(&error.to_string());
        self.handle.events.record(Kind::DiskFault { detail: error.to_string() });
    }
}
