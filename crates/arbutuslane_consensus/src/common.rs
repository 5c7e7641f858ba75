//! State and operations that all roles of a replica share.

use std::collections::VecDeque;
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;

use crate::input::{Effect, Refusal, Write};
use crate::log::{DurableState, Log, Snapshot};
use crate::member::{Id, is_voter};
use crate::message::{Envelope, Message};
use crate::timing::Timing;

/// The state that a replica has in every role.
#[derive(Debug, Clone)]
pub(crate) struct CommonState {
    pub(crate) id: Id,
    /// The names of instances to request the log from, besides those of the latest membership.
    pub(crate) known_names: Vec<NodeId>,
    pub(crate) timing: Timing,
    /// The seed of the random parts of election timeouts.
    election_seed: u64,
    /// The number of election timeouts drawn so far.
    deadline_draws: u64,
    /// The time of the current input.
    pub(crate) now: Time,
    pub(crate) term: u64,
    pub(crate) vote: Option<Id>,
    pub(crate) log: Log,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    /// The leader of the current term, if known.
    pub(crate) leader: Option<Id>,
    /// When this replica last received a message from a leader of its term, or started.
    pub(crate) leader_heard_at: Time,
    /// When the next campaign starts.
    pub(crate) election_deadline: Time,
    /// The highest heartbeat round received from the current leader.
    pub(crate) round: u64,
    /// The index up to which the log is known to agree with that of the leader of this term.
    pub(crate) verified_index: u64,
    /// The index up to which the log is durable.
    pub(crate) durable_index: u64,
    /// The sequence number of the last write requested.
    last_sequence: u64,
    /// The highest sequence number of a completed write.
    completed_sequence: u64,
    /// The sequence numbers of writes in progress, each with the index up to which the log is
    /// durable after it.
    pending_writes: VecDeque<(u64, u64)>,
    /// Messages that must not be sent before a write is durable, each with the sequence number of
    /// that write.
    pending_sends: VecDeque<(u64, Envelope)>,
    /// The tokens of reads that wait until the log is applied up to an index, each with that index.
    pub(crate) reads_awaiting_apply: Vec<(u64, u64)>,
    /// The tokens of reads that wait for the leader's response.
    pub(crate) reads_awaiting_leader: Vec<u64>,
    /// The effects of the current input so far.
    pub(crate) effects: Vec<Effect>,
}

impl CommonState {
    pub(crate) fn new(saved: DurableState, timing: Timing, seed: u64, now: Time) -> Self {
        let log = Log::new(saved.snapshot, saved.entries);
        let mut common = Self {
            id: saved.id,
            known_names: Vec::new(),
            timing,
            election_seed: seed,
            deadline_draws: 0,
            now,
            term: saved.term,
            vote: saved.vote,
            commit_index: log.base_index(),
            applied_index: log.base_index(),
            leader: None,
            // The replica may have acknowledged a heartbeat just before it stopped. That leader's
            // lease relies on this replica refusing its vote, so a start counts as having heard
            // from the leader.
            leader_heard_at: now,
            election_deadline: now,
            round: 0,
            verified_index: 0,
            durable_index: log.last_index(),
            last_sequence: 0,
            completed_sequence: 0,
            pending_writes: VecDeque::new(),
            pending_sends: VecDeque::new(),
            reads_awaiting_apply: Vec::new(),
            reads_awaiting_leader: Vec::new(),
            effects: Vec::new(),
            log,
        };
        common.reset_election_deadline();
        common
    }

    /// Returns whether this replica is a voter of the latest or of the committed membership.
    ///
    /// Until its removal is committed, the others may need it to elect a leader.
    pub(crate) fn can_campaign(&self) -> bool {
        is_voter(self.log.members(), &self.id)
            || is_voter(&self.log.members_at(self.commit_index), &self.id)
    }

    /// Sets the time of the next campaign to a random election timeout from now.
    ///
    /// The timeouts are a deterministic sequence that depends on the seed.
    pub(crate) fn reset_election_deadline(&mut self) {
        self.deadline_draws += 1;
        let range =
            self.timing.election_timeout_max.saturating_sub(self.timing.election_timeout_min);
        let mut hash_input = [0; 16];
        hash_input[..8].copy_from_slice(&self.election_seed.to_le_bytes());
        hash_input[8..].copy_from_slice(&self.deadline_draws.to_le_bytes());
        let range_micros = u64::try_from(range.as_micros()).unwrap_or(u64::MAX).saturating_add(1);
        let jitter = Duration::from_micros(hash::of_bytes(&hash_input) % range_micros);
        self.election_deadline = self.now + self.timing.election_timeout_min + jitter;
    }

    /// Returns whether a leader was heard from so recently that its lease may still be valid.
    pub(crate) fn has_recent_leader(&self) -> bool {
        self.now < self.leader_heard_at + self.timing.election_timeout_min
    }

    /// Enters `term` if it is higher than the current one, without a vote or a known leader.
    pub(crate) fn raise_term(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.save_vote();
            self.clear_leader();
        }
    }

    /// Clears all state that depends on the current leader and refuses the reads sent to it.
    pub(crate) fn clear_leader(&mut self) {
        self.leader = None;
        self.round = 0;
        self.verified_index = 0;
        for read in std::mem::take(&mut self.reads_awaiting_leader) {
            self.refuse(read, Refusal::NotLeader);
        }
    }

    /// Writes the current term and vote.
    pub(crate) fn save_vote(&mut self) {
        self.write(Write::Vote { term: self.term, vote: self.vote.clone() });
    }

    /// Requests a write of state that is already changed in memory.
    pub(crate) fn write(&mut self, write: Write) {
        self.last_sequence += 1;
        match &write {
            Write::Vote { .. } => {}
            Write::Entries(entries) => {
                // Overwritten entries no longer count as durable, not even once writes in progress
                // complete.
                let last_kept = entries.first().map_or(0, |entry| entry.index - 1);
                self.durable_index = self.durable_index.min(last_kept);
                for (_, index) in &mut self.pending_writes {
                    *index = (*index).min(last_kept);
                }
            }
            Write::Snapshot { snapshot, discard_entries: true } => {
                self.durable_index = self.durable_index.min(snapshot.index);
                for (_, index) in &mut self.pending_writes {
                    *index = 0;
                }
            }
            Write::Snapshot { .. } => {}
        }
        let durable_after = match &write {
            Write::Vote { .. } => {
                self.pending_writes.back().map_or(self.durable_index, |(_, index)| *index)
            }
            _ => self.log.last_index(),
        };
        self.pending_writes.push_back((self.last_sequence, durable_after));
        self.effects.push(Effect::Write { sequence: self.last_sequence, write });
    }

    /// Marks all writes up to `sequence` as durable and sends the messages that waited for them.
    pub(crate) fn complete_writes(&mut self, sequence: u64) {
        self.completed_sequence = self.completed_sequence.max(sequence);
        while let Some((_, index)) =
            self.pending_writes.pop_front_if(|(write, _)| *write <= sequence)
        {
            self.durable_index = self.durable_index.max(index);
        }
        while let Some((_, envelope)) =
            self.pending_sends.pop_front_if(|(write, _)| *write <= sequence)
        {
            self.effects.push(Effect::Send(envelope));
        }
    }

    pub(crate) fn is_write_complete(&self, sequence: u64) -> bool {
        self.completed_sequence >= sequence
    }

    pub(crate) fn last_write_sequence(&self) -> u64 {
        self.last_sequence
    }

    pub(crate) fn send(&mut self, to: &Id, message: Message) {
        let envelope = Envelope { from: self.id.clone(), to: to.clone(), message };
        self.effects.push(Effect::Send(envelope));
    }

    /// Sends a join request to every instance that this replica knows by name.
    pub(crate) fn send_join_requests(&mut self) {
        let members = self.log.members();
        let mut names: Vec<NodeId> = members.iter().map(|member| member.id.name.clone()).collect();
        names.extend(self.known_names.iter().cloned());
        names.sort_unstable();
        names.dedup();
        names.retain(|name| *name != self.id.name);
        for name in names {
            self.send(&Id { name, disk_id: 0 }, Message::JoinRequest);
        }
    }

    /// Forwards a join request to the leader, whose name the sender may not know.
    pub(crate) fn forward_join_request(&mut self, from: &Id) {
        let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) else { return };
        let envelope = Envelope { from: from.clone(), to: leader, message: Message::JoinRequest };
        self.effects.push(Effect::Send(envelope));
    }

    /// Sends a message once all writes requested so far are durable.
    pub(crate) fn send_after_writes(&mut self, to: &Id, message: Message) {
        if self.is_write_complete(self.last_sequence) {
            return self.send(to, message);
        }
        let envelope = Envelope { from: self.id.clone(), to: to.clone(), message };
        self.pending_sends.push_back((self.last_sequence, envelope));
    }

    pub(crate) fn refuse(&mut self, token: u64, reason: Refusal) {
        self.effects.push(Effect::Refused { token, reason });
    }

    /// Raises the commit index to `index`, at most to the end of the log, and applies the newly
    /// committed entries.
    pub(crate) fn commit_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { break };
            self.applied_index += 1;
            self.effects.push(Effect::Apply(entry));
        }
        self.release_reads();
    }

    /// Completes the reads whose index is applied.
    pub(crate) fn release_reads(&mut self) {
        let applied = self.applied_index;
        for (token, _) in self.reads_awaiting_apply.extract_if(.., |(_, index)| *index <= applied) {
            self.effects.push(Effect::ReadReady { token });
        }
    }

    /// Replaces the log up to the applied entry `index` by a snapshot with the state `payload`.
    pub(crate) fn compact(&mut self, index: u64, payload: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else { return };
        if index <= self.log.base_index() || index > self.applied_index {
            return;
        }
        let snapshot = Snapshot { index, term, members: self.log.members_at(index), payload };
        self.log.set_snapshot(snapshot.clone());
        self.write(Write::Snapshot { snapshot, discard_entries: false });
    }
}
