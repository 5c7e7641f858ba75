//! State that a replica keeps in every role.

use std::collections::VecDeque;
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;

use crate::input::{Effect, Refusal, Write};
use crate::log::{Log, Saved, Snapshot};
use crate::member::{Id, is_voter};
use crate::message::{Envelope, Message};
use crate::timing::Timing;

#[derive(Debug, Clone)]
pub(crate) struct Common {
    pub(crate) id: Id,
    /// The names to ask for the log while no membership is known.
    pub(crate) known: Vec<NodeId>,
    pub(crate) timing: Timing,
    seed: u64,
    draws: u64,
    pub(crate) now: Time,
    pub(crate) term: u64,
    pub(crate) vote: Option<Id>,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) leader: Option<Id>,
    /// When this replica last heard from a leader, or started.
    pub(crate) heard: Time,
    /// When the next campaign starts.
    pub(crate) deadline: Time,
    /// The last heartbeat of the current leader.
    pub(crate) round: u64,
    /// The index up to which the log agrees with that of the leader of this term.
    pub(crate) verified: u64,
    pub(crate) durable: u64,
    sequence: u64,
    written: u64,
    /// Writes in progress with the last index that is durable after each.
    writes: VecDeque<(u64, u64)>,
    /// Messages that promise something which is not durable yet.
    gated: VecDeque<(u64, Envelope)>,
    /// Reads that wait for the applied index.
    pub(crate) reads: Vec<(u64, u64)>,
    /// Reads that wait for the leader's answer.
    pub(crate) asked: Vec<u64>,
    pub(crate) effects: Vec<Effect>,
}

impl Common {
    pub(crate) fn new(saved: Saved, timing: Timing, seed: u64, now: Time) -> Self {
        let log = Log::new(saved.snapshot, saved.entries);
        let mut common = Self {
            id: saved.id,
            known: Vec::new(),
            timing,
            seed,
            draws: 0,
            now,
            term: saved.term,
            vote: saved.vote,
            commit: log.base(),
            applied: log.base(),
            leader: None,
            // The replica may have acknowledged a heartbeat just before it stopped. That leader's
            // lease counts on the refusal of votes, so a start counts as having heard from it.
            heard: now,
            deadline: now,
            round: 0,
            verified: 0,
            durable: log.last_index(),
            sequence: 0,
            written: 0,
            writes: VecDeque::new(),
            gated: VecDeque::new(),
            reads: Vec::new(),
            asked: Vec::new(),
            effects: Vec::new(),
            log,
        };
        common.reset_deadline();
        common
    }

    /// Returns whether this replica is a voter of the latest membership, or still of the committed
    /// one: as long as its removal is not committed, the others may need it to elect a leader.
    pub(crate) fn may_campaign(&self) -> bool {
        is_voter(self.log.members(), &self.id)
            || is_voter(&self.log.members_at(self.commit), &self.id)
    }

    /// Draws the time of the next campaign; the draws follow from the seed.
    pub(crate) fn reset_deadline(&mut self) {
        self.draws += 1;
        let spread = self.timing.election_max.saturating_sub(self.timing.election_min);
        let mut input = [0; 16];
        input[..8].copy_from_slice(&self.seed.to_le_bytes());
        input[8..].copy_from_slice(&self.draws.to_le_bytes());
        let micros = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX).saturating_add(1);
        let extra = Duration::from_micros(hash::of_bytes(&input) % micros);
        self.deadline = self.now + self.timing.election_min + extra;
    }

    /// Returns whether a leader was heard from so recently that its lease may be in force.
    pub(crate) fn is_bound(&self) -> bool {
        self.now < self.heard + self.timing.election_min
    }

    pub(crate) fn raise_term(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.save_vote();
            self.forget_leader();
        }
    }

    pub(crate) fn forget_leader(&mut self) {
        self.leader = None;
        self.round = 0;
        self.verified = 0;
        for read in std::mem::take(&mut self.asked) {
            self.refuse(read, Refusal::NotLeader);
        }
    }

    pub(crate) fn save_vote(&mut self) {
        self.write(Write::Vote { term: self.term, vote: self.vote.clone() });
    }

    pub(crate) fn write(&mut self, write: Write) {
        self.sequence += 1;
        match &write {
            Write::Vote { .. } => {}
            Write::Entries(entries) => {
                // What is being overwritten is no longer durable, not even for writes in progress.
                let kept = entries.first().map_or(0, |entry| entry.index - 1);
                self.durable = self.durable.min(kept);
                for (_, index) in &mut self.writes {
                    *index = (*index).min(kept);
                }
            }
            Write::Snapshot { snapshot, reset: true } => {
                self.durable = self.durable.min(snapshot.index);
                for (_, index) in &mut self.writes {
                    *index = 0;
                }
            }
            Write::Snapshot { .. } => {}
        }
        let last = match &write {
            Write::Vote { .. } => self.writes.back().map_or(self.durable, |(_, index)| *index),
            _ => self.log.last_index(),
        };
        self.writes.push_back((self.sequence, last));
        self.effects.push(Effect::Write { sequence: self.sequence, write });
    }

    /// Notes the completed writes and sends what waited for them.
    pub(crate) fn complete(&mut self, sequence: u64) {
        self.written = self.written.max(sequence);
        while let Some((_, index)) = self.writes.pop_front_if(|(write, _)| *write <= sequence) {
            self.durable = self.durable.max(index);
        }
        while let Some((_, envelope)) = self.gated.pop_front_if(|(write, _)| *write <= sequence) {
            self.effects.push(Effect::Send(envelope));
        }
    }

    pub(crate) fn is_written(&self, sequence: u64) -> bool {
        self.written >= sequence
    }

    pub(crate) fn last_sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn send(&mut self, to: &Id, message: Message) {
        let envelope = Envelope { from: self.id.clone(), to: to.clone(), message };
        self.effects.push(Effect::Send(envelope));
    }

    /// Asks every instance that this replica knows by name for the log.
    pub(crate) fn ask_to_join(&mut self) {
        let members = self.log.members();
        let mut names: Vec<NodeId> = members.iter().map(|member| member.id.name.clone()).collect();
        names.extend(self.known.iter().cloned());
        names.sort_unstable();
        names.dedup();
        names.retain(|name| *name != self.id.name);
        for name in names {
            self.send(&Id { name, instance: 0 }, Message::Joining);
        }
    }

    /// Passes on a request to join, as the sender may not know the leader's name.
    pub(crate) fn forward_joining(&mut self, from: &Id) {
        let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) else { return };
        let envelope = Envelope { from: from.clone(), to: leader, message: Message::Joining };
        self.effects.push(Effect::Send(envelope));
    }

    /// Sends a message once all writes so far are durable.
    pub(crate) fn send_after_writes(&mut self, to: &Id, message: Message) {
        if self.is_written(self.sequence) {
            return self.send(to, message);
        }
        let envelope = Envelope { from: self.id.clone(), to: to.clone(), message };
        self.gated.push_back((self.sequence, envelope));
    }

    pub(crate) fn refuse(&mut self, token: u64, reason: Refusal) {
        self.effects.push(Effect::Refused { token, reason });
    }

    /// Raises the commit index and applies what is new.
    pub(crate) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { break };
            self.applied += 1;
            self.effects.push(Effect::Apply(entry));
        }
        self.release_reads();
    }

    pub(crate) fn release_reads(&mut self) {
        let applied = self.applied;
        for (token, _) in self.reads.extract_if(.., |(_, index)| *index <= applied) {
            self.effects.push(Effect::Readable { token });
        }
    }

    pub(crate) fn compact(&mut self, index: u64, payload: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index <= self.log.base() || index > self.applied {
            return;
        }
        let snapshot = Snapshot { index, term, members: self.log.members_at(index), payload };
        self.log.rebase(snapshot.clone());
        self.write(Write::Snapshot { snapshot, reset: false });
    }
}
