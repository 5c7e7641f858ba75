//! Applies committed log entries and snapshots to the replicated state.

use std::sync::PoisonError;

use arbutuslane_catalogue::border::Group;
use arbutuslane_catalogue::change::Outcome;
use arbutuslane_catalogue::state::State;
use arbutuslane_catalogue::stored::{self, Command, SnapshotDelta};
use arbutuslane_consensus::prelude::*;
use arbutuslane_event::kind::Kind;
use arbutuslane_member::configuration::{Delta, MAX_DELTAS, Position};
use arbutuslane_storage::disk::Disk;
use arbutuslane_wire::codec;

use crate::engine::Response;
use crate::replica::Replica;
use crate::watch;

impl<D: Disk> Replica<D> {
    /// Applies a committed entry and responds to its proposal, if it was proposed here.
    pub(crate) fn apply(&mut self, entry: Entry) {
        let proposed = self.proposed.remove(&entry.index);
        let response = match entry.body {
            Body::Noop => Response::NotLeader(None),
            Body::Members(members) => {
                self.monitor.set_members(&members);
                let mut state = self.handle.state.write().unwrap_or_else(PoisonError::into_inner);
                for id in members.iter().filter_map(|member| watch::change_id(&member.addresses)) {
                    state.record_members_change(id);
                }
                Response::Done
            }
            Body::Command(command) => match codec::decode::<Command>(&command) {
                Ok(Command::Change(proposal)) => self.apply_change(proposal),
                Ok(Command::Groups(groups)) => {
                    self.apply_groups(groups);
                    Response::Done
                }
                Ok(Command::Reset(reset)) => self.apply_reset(reset),
                Err(error) => {
                    tracing::error!(index = entry.index, %error, "unreadable log entry");
                    Response::NotLeader(None)
                }
            },
        };
        if let Some((term, reply)) = proposed {
            // An entry of another term has replaced the one that was proposed here.
            let response = if term == entry.term { response } else { Response::NotLeader(None) };
            let _ = reply.send(response);
        }
    }

    fn apply_change(&mut self, proposal: stored::Proposal) -> Response {
        let (change_id, author) = (proposal.id.clone(), proposal.author.clone());
        let mut state = self.handle.state.write().unwrap_or_else(PoisonError::into_inner);
        let was_decided = state.outcome(&change_id).is_some();
        let base = position(&state);
        let outcome = state.apply(proposal.into());
        if position(&state) != base
            && let Some(record) = state.history.back()
        {
            self.record_delta(base, &SnapshotDelta::for_change(&state, record));
        }
        drop(state);
        match &outcome {
            _ if was_decided => {}
            Outcome::Accepted { revision } => {
                let revision = *revision;
                self.handle.events.record(Kind::ChangeAccepted { revision, change_id, author });
            }
            Outcome::Conflict { revision, .. } => {
                let revision = *revision;
                self.handle.events.record(Kind::ChangeRefused { revision, change_id, author });
            }
            Outcome::GroupReset { .. } | Outcome::MembersChanged => {}
        }
        Response::Outcome(outcome)
    }

    fn apply_groups(&mut self, groups: Vec<Group>) {
        let mut state = self.handle.state.write().unwrap_or_else(PoisonError::into_inner);
        let base = position(&state);
        let mut shards = Vec::new();
        for group in groups {
            let (shard, epoch) = (group.shard, group.epoch);
            let before = state.group_version;
            state.apply_group(group.into());
            if state.group_version > before {
                shards.push(shard);
                self.handle.events.record(Kind::GroupChanged { shard, epoch });
            }
        }
        if !shards.is_empty() {
            self.record_delta(base, &SnapshotDelta::for_groups(&state, &shards));
        }
    }

    fn apply_reset(&mut self, reset: stored::Reset) -> Response {
        let (change_id, author) = (reset.id.clone(), reset.author.clone());
        let mut state = self.handle.state.write().unwrap_or_else(PoisonError::into_inner);
        let was_decided = state.outcome(&change_id).is_some();
        let base = position(&state);
        let outcome = state.apply_reset(reset.into());
        if let (false, Outcome::GroupReset { shard, epoch }) = (was_decided, &outcome) {
            let (shard, epoch) = (*shard, *epoch);
            self.record_delta(base, &SnapshotDelta::for_groups(&state, &[shard]));
            self.handle.events.record(Kind::GroupReset { shard, epoch, change_id, author });
        }
        Response::Outcome(outcome)
    }

    /// Records a delta, which is sent to nodes that have the state before it.
    fn record_delta(&self, base: Position, delta: &SnapshotDelta) {
        let Ok(bytes) = codec::encode(delta) else { return };
        let new_position = Position { revision: delta.revision, groups: delta.group_version };
        let mut deltas = self.handle.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        deltas.push_back(Delta { base, position: new_position, bytes: bytes.into() });
        while deltas.len() > MAX_DELTAS {
            deltas.pop_front();
        }
    }

    /// Replaces the state with that of a snapshot.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        self.snapshot_index = snapshot.index;
        self.monitor.set_members(&snapshot.members);
        let installed = match snapshot.payload.is_empty() {
            true => State::default(),
            false => match codec::decode::<stored::State>(&snapshot.payload) {
                Ok(state) => state.into(),
                Err(error) => {
                    tracing::error!(index = snapshot.index, %error, "unreadable snapshot");
                    return;
                }
            },
        };
        *self.handle.state.write().unwrap_or_else(PoisonError::into_inner) = installed;
        // The snapshot may include pending proposals; a resend gets the outcome from the new state.
        for (_, reply) in std::mem::take(&mut self.proposed).into_values() {
            let _ = reply.send(Response::NotLeader(None));
        }
    }
}

fn position(state: &State) -> Position {
    Position { revision: state.revision, groups: state.group_version }
}
