//! A simulated replica with its disk and clock.

use std::collections::VecDeque;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::prelude::*;
use rand::RngExt;

/// A replica with a fixed name; its process may be stopped and its disk may be replaced.
pub(crate) struct SimulatedReplica {
    /// The running process, or `None` while it is stopped.
    node: Option<Node>,
    /// The durable state.
    disk: DurableState,
    /// The unfinished writes, each with its sequence number and the time when it is done.
    pending_writes: VecDeque<(u64, Write, Time)>,
    /// The rate of the replica's clock relative to virtual time.
    clock_rate: f64,
    /// Changes with each start and crash, so that completions of earlier writes are ignored.
    process_generation: u64,
    /// The index and term of each applied entry, which make up the state machine.
    pub(crate) applied_commands: Vec<(u64, u64)>,
    /// When an acknowledgement to this replica as a leader last arrived, or the process started.
    pub(crate) acknowledged_at: Time,
}

impl SimulatedReplica {
    pub(crate) fn new(disk: DurableState, clock_rate: f64) -> Self {
        Self {
            node: None,
            disk,
            pending_writes: VecDeque::new(),
            clock_rate,
            process_generation: 0,
            applied_commands: Vec::new(),
            acknowledged_at: Time::ZERO,
        }
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    pub(crate) fn id(&self) -> &Id {
        &self.disk.id
    }

    pub(crate) fn process_generation(&self) -> u64 {
        self.process_generation
    }

    /// Returns the time by the replica's own clock.
    pub(crate) fn local_time(&self, now: Time) -> Time {
        now.mul_f64(self.clock_rate)
    }

    /// Records the arrival of `envelope` if it is an acknowledgement to this replica.
    pub(crate) fn record_acknowledgement(&mut self, now: Time, envelope: &Envelope) {
        if matches!(envelope.message, Message::Appended { .. }) && envelope.to == self.disk.id {
            self.acknowledged_at = now;
        }
    }

    pub(crate) fn start(&mut self, seed: u64, now: Time, known_names: Vec<NodeId>) {
        self.process_generation += 1;
        self.acknowledged_at = now;
        self.applied_commands = match &self.disk.snapshot {
            Some(snapshot) => decode(&snapshot.payload),
            None => Vec::new(),
        };
        let local = self.local_time(now);
        let node = Node::start(self.disk.clone(), Timing::default(), seed, local);
        self.node = Some(node.with_known_names(known_names));
    }

    pub(crate) fn step(&mut self, local: Time, input: Input) -> Vec<Effect> {
        let Some(node) = self.node.take() else { return Vec::new() };
        let (node, effects) = node.step(local, input);
        self.node = Some(node);
        effects
    }

    /// Queues a write and returns when it is done, which is not before any earlier write.
    pub(crate) fn queue_write(&mut self, sequence: u64, write: Write, done_at: Time) -> Time {
        let done_at = self
            .pending_writes
            .back()
            .map_or(done_at, |(_, _, previous_done_at)| done_at.max(*previous_done_at));
        self.pending_writes.push_back((sequence, write, done_at));
        done_at
    }

    /// Makes all writes up to `sequence` durable.
    ///
    /// Returns `false` when the process that requested them no longer runs.
    pub(crate) fn complete(&mut self, process_generation: u64, sequence: u64) -> bool {
        if process_generation != self.process_generation || self.node.is_none() {
            return false;
        }
        while let Some((_, write, _)) =
            self.pending_writes.pop_front_if(|(next, ..)| *next <= sequence)
        {
            self.persist(write);
        }
        true
    }

    /// Stops the process and makes a random number of its first unfinished writes durable.
    ///
    /// With `lying_disk`, data that was reported as durable may be lost too.
    pub(crate) fn crash(&mut self, rng: &mut Rng, lying_disk: bool) {
        if self.node.take().is_none() {
            return;
        }
        self.process_generation += 1;
        if lying_disk && rng.random_bool(0.5) && !self.disk.entries.is_empty() {
            self.disk.entries.pop();
            self.disk.vote = None;
        }
        let persisted_count = rng.random_range(0..=self.pending_writes.len());
        for (_, write, _) in
            std::mem::take(&mut self.pending_writes).into_iter().take(persisted_count)
        {
            self.persist(write);
        }
    }

    pub(crate) fn replace_disk(&mut self, saved: DurableState) {
        self.disk = saved;
        self.pending_writes.clear();
    }

    /// Returns the state machine as the payload of a snapshot.
    pub(crate) fn encode_state(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for (index, term) in &self.applied_commands {
            bytes.extend_from_slice(&index.to_le_bytes());
            bytes.extend_from_slice(&term.to_le_bytes());
        }
        bytes
    }

    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        self.applied_commands = decode(&snapshot.payload);
    }

    fn persist(&mut self, write: Write) {
        match write {
            Write::Vote { term, vote } => {
                self.disk.term = term;
                self.disk.vote = vote;
            }
            Write::Entries(entries) => {
                let first = entries[0].index;
                self.disk.entries.retain(|entry| entry.index < first);
                self.disk.entries.extend(entries);
            }
            Write::Snapshot { snapshot, discard_entries } => {
                let index = snapshot.index;
                self.disk.entries.retain(|entry| !discard_entries && entry.index > index);
                self.disk.snapshot = Some(snapshot);
            }
        }
    }
}

fn decode(bytes: &[u8]) -> Vec<(u64, u64)> {
    let mut applied_commands = Vec::new();
    for pair in bytes.chunks_exact(16) {
        let (index, term) = pair.split_at(8);
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().unwrap_or_default());
        applied_commands.push((number(index), number(term)));
    }
    applied_commands
}
