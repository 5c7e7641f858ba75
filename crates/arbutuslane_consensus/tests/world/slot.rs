//! One replica with its disk and clock.

use std::collections::VecDeque;

use arbutuslane_consensus::prelude::*;
use arbutuslane_core::prelude::*;
use rand::RngExt;

/// The place of one named replica.
pub(crate) struct Slot {
    node: Option<Node>,
    durable: Saved,
    pending: VecDeque<(u64, Write, Time)>,
    rate: f64,
    life: u64,
    /// The applied commands, as index and term.
    pub(crate) machine: Vec<(u64, u64)>,
    /// When a message of another replica that reports to a leader last arrived.
    pub(crate) received: Time,
}

impl Slot {
    pub(crate) fn new(durable: Saved, rate: f64) -> Self {
        Self {
            node: None,
            durable,
            pending: VecDeque::new(),
            rate,
            life: 0,
            machine: Vec::new(),
            received: Time::ZERO,
        }
    }

    pub(crate) fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    pub(crate) fn id(&self) -> &Id {
        &self.durable.id
    }

    pub(crate) fn life(&self) -> u64 {
        self.life
    }

    /// The time that the replica's own clock shows.
    pub(crate) fn local(&self, now: Time) -> Time {
        now.mul_f64(self.rate)
    }

    pub(crate) fn note_received(&mut self, now: Time, envelope: &Envelope) {
        if matches!(envelope.message, Message::Appended { .. }) && envelope.to == self.durable.id {
            self.received = now;
        }
    }

    pub(crate) fn start(&mut self, seed: u64, now: Time, known: Vec<NodeId>) {
        self.life += 1;
        self.received = now;
        self.machine = match &self.durable.snapshot {
            Some(snapshot) => decode(&snapshot.payload),
            None => Vec::new(),
        };
        let local = self.local(now);
        let node = Node::start(self.durable.clone(), Timing::default(), seed, local);
        self.node = Some(node.with_known(known));
    }

    pub(crate) fn step(&mut self, local: Time, input: Input) -> Vec<Effect> {
        let Some(node) = self.node.take() else { return Vec::new() };
        let (node, effects) = node.step(local, input);
        self.node = Some(node);
        effects
    }

    /// Queues a write and returns when it is done, not before the ones in front of it.
    pub(crate) fn queue(&mut self, sequence: u64, write: Write, at: Time) -> Time {
        let at = self.pending.back().map_or(at, |(_, _, before)| at.max(*before));
        self.pending.push_back((sequence, write, at));
        at
    }

    pub(crate) fn complete(&mut self, life: u64, sequence: u64) -> bool {
        if life != self.life || self.node.is_none() {
            return false;
        }
        while let Some((_, write, _)) = self.pending.pop_front_if(|(next, ..)| *next <= sequence) {
            self.persist(write);
        }
        true
    }

    /// Stops the process; a random part of the unfinished writes is durable.
    pub(crate) fn crash(&mut self, rng: &mut Rng, lying: bool) {
        if self.node.take().is_none() {
            return;
        }
        self.life += 1;
        if lying && rng.random_bool(0.5) && !self.durable.entries.is_empty() {
            self.durable.entries.pop();
            self.durable.vote = None;
        }
        let kept = rng.random_range(0..=self.pending.len());
        for (_, write, _) in std::mem::take(&mut self.pending).into_iter().take(kept) {
            self.persist(write);
        }
    }

    pub(crate) fn replace_disk(&mut self, saved: Saved) {
        self.durable = saved;
        self.pending.clear();
    }

    pub(crate) fn machine_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for (index, term) in &self.machine {
            bytes.extend_from_slice(&index.to_le_bytes());
            bytes.extend_from_slice(&term.to_le_bytes());
        }
        bytes
    }

    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        self.machine = decode(&snapshot.payload);
    }

    fn persist(&mut self, write: Write) {
        match write {
            Write::Vote { term, vote } => {
                self.durable.term = term;
                self.durable.vote = vote;
            }
            Write::Entries(entries) => {
                let first = entries[0].index;
                self.durable.entries.retain(|entry| entry.index < first);
                self.durable.entries.extend(entries);
            }
            Write::Snapshot { snapshot, reset } => {
                let index = snapshot.index;
                self.durable.entries.retain(|entry| !reset && entry.index > index);
                self.durable.snapshot = Some(snapshot);
            }
        }
    }
}

fn decode(bytes: &[u8]) -> Vec<(u64, u64)> {
    let mut machine = Vec::new();
    for pair in bytes.chunks_exact(16) {
        let (index, term) = pair.split_at(8);
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().unwrap_or_default());
        machine.push((number(index), number(term)));
    }
    machine
}
