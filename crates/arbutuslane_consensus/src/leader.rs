//! The leader: replication, commits, reads under the lease and membership changes.

use crate::input::{Effect, Refusal, Write};
use crate::log::{Body, Entry};
use crate::member::{Id, Member, Reconfigure, is_majority, is_voter};
use crate::message::Message;
use crate::progress::Progress;
use crate::replica::{Leader, Replica};

/// The maximum number of entries in one message.
///
/// An entry is an edit of a catalogue (about 1 KB), so a full message is sent in less time than a
/// heartbeat may take.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;

/// The number of heartbeat rounds whose send times are kept; they span several election timeouts.
const MAX_RECENT_ROUNDS: usize = 64;

impl Replica<Leader> {
    /// Appends an entry of the leader's own term to its log, without sending it.
    pub(crate) fn append_entry(&mut self, entry: Entry) {
        self.common.log.push(entry.clone());
        self.common.write(Write::Entries(vec![entry]));
        self.refresh_peers();
    }

    /// Appends an entry for the request `token` and replicates it.
    pub(crate) fn propose(&mut self, token: u64, body: Body) {
        let (index, term) = (self.common.log.last_index() + 1, self.common.term);
        self.append_entry(Entry { index, term, body });
        self.common.effects.push(Effect::Proposed { token, index, term });
        self.replicate();
    }

    /// Sends a new heartbeat round, with the entries that each other member lacks.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.common.now;
        self.role.round += 1;
        self.role.recent_rounds.push_back((self.role.round, now));
        if self.role.recent_rounds.len() > MAX_RECENT_ROUNDS {
            self.role.recent_rounds.pop_front();
        }
        self.role.next_heartbeat_at = now + self.common.timing.heartbeat_interval;
        let peers: Vec<Id> = self.role.peers.keys().cloned().collect();
        for peer in &peers {
            self.replicate_to(peer, true);
        }
    }

    /// Sends new entries to the members that lack them.
    fn replicate(&mut self) {
        let peers: Vec<Id> = self.role.peers.keys().cloned().collect();
        for peer in &peers {
            self.replicate_to(peer, false);
        }
    }

    /// Sends the entries or the snapshot that `peer` lacks; a heartbeat is sent even without
    /// entries.
    fn replicate_to(&mut self, peer: &Id, is_heartbeat: bool) {
        let (now, term, round) = (self.common.now, self.common.term, self.role.round);
        let Some(progress) = self.role.peers.get_mut(peer) else { return };
        let base_index = self.common.log.base_index();
        // Snapshots for a replica that does not respond would pile up in its message queue.
        let is_responsive = now < progress.heard_at + self.common.timing.election_timeout_max;
        if progress.sent_index < base_index && is_responsive && now >= progress.next_snapshot_at {
            progress.next_snapshot_at = now + self.common.timing.snapshot_retry_interval;
            if let Some(snapshot) = self.common.log.snapshot.clone() {
                self.common.send(peer, Message::Snapshot { term, round, snapshot });
            }
            return;
        }
        // A replica that waits for a snapshot still receives heartbeats.
        let prev_index = progress.sent_index.max(base_index);
        let entries = match progress.sent_index < base_index {
            true => Vec::new(),
            false => self.common.log.entries_after(prev_index, MAX_ENTRIES_PER_MESSAGE),
        };
        if entries.is_empty() && !is_heartbeat {
            return;
        }
        if let Some(last) = entries.last() {
            progress.sent_index = last.index;
        }
        let Some(prev_term) = self.common.log.term_at(prev_index) else { return };
        let commit = self.common.commit_index;
        let message = Message::Append { term, round, prev_index, prev_term, entries, commit };
        self.common.send(peer, message);
    }

    /// Handles the fields of a [`Message::Appended`] of the current term.
    pub(crate) fn handle_appended(
        &mut self,
        from: &Id,
        round: u64,
        matched: u64,
        conflict: Option<u64>,
    ) {
        let now = self.common.now;
        let sent_at =
            match self.role.recent_rounds.binary_search_by_key(&round, |(round, _)| *round) {
                Ok(position) => Some(self.role.recent_rounds[position].1),
                Err(_) => None,
            };
        let Some(progress) = self.role.peers.get_mut(from) else { return };
        progress.heard_at = now;
        progress.acked_heartbeat_sent_at = progress.acked_heartbeat_sent_at.max(sent_at);
        progress.matched_index = progress.matched_index.max(matched);
        match conflict {
            Some(hint) => {
                // A late response must not move `sent_index` back before `matched_index`, and several
                // responses to one gap must not each resend the same entries.
                let sent_index = hint.max(progress.matched_index);
                if sent_index < progress.sent_index || now >= progress.next_resend_at {
                    progress.sent_index = sent_index;
                    progress.next_resend_at = now + self.common.timing.heartbeat_interval;
                    self.replicate_to(from, false);
                }
            }
            None => {
                progress.sent_index = progress.sent_index.max(progress.matched_index);
                self.replicate_to(from, false);
            }
        }
        self.advance_commit();
        self.serve_reads();
    }

    /// Commits the entries that are durable on a majority of the voters.
    pub(crate) fn advance_commit(&mut self) {
        let members = self.common.log.members().to_vec();
        let mut durable_indexes: Vec<u64> = Vec::new();
        for member in members.iter().filter(|member| member.voter) {
            durable_indexes.push(match member.id == self.common.id {
                true => self.common.durable_index,
                false => self.role.peers.get(&member.id).map_or(0, |peer| peer.matched_index),
            });
        }
        durable_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&index) = durable_indexes.get(durable_indexes.len() / 2) else { return };
        // Entries of earlier terms are committed only together with one of this term.
        if index > self.common.commit_index
            && self.common.log.term_at(index) == Some(self.common.term)
        {
            self.common.commit_to(index);
        }
    }

    /// Returns whether a majority was heard from within an election timeout, or this replica was
    /// elected so recently that it need not have heard from one yet.
    pub(crate) fn has_quorum(&self) -> bool {
        self.common.now < self.role.elected_at + self.common.timing.election_timeout_min
            || self.is_majority_reachable(self.common.log.members())
    }

    /// Returns whether a majority of the voters of `members`, counting this replica, was heard from
    /// within an election timeout.
    fn is_majority_reachable(&self, members: &[Member]) -> bool {
        let timeout = self.common.timing.election_timeout_min;
        let now = self.common.now;
        let is_reachable = |id: &Id| {
            let peer =
                self.role.peers.get(id).filter(|peer| peer.acked_heartbeat_sent_at.is_some());
            peer.is_some_and(|peer| now < peer.heard_at + timeout)
        };
        let is_counted = |member: &&Member| member.id == self.common.id || is_reachable(&member.id);
        let count = members.iter().filter(|member| member.voter).filter(is_counted).count();
        is_majority(members, count)
    }

    /// Returns whether reads may be served.
    ///
    /// That is the case while no other replica can have been elected, once an entry of this term
    /// is committed.
    fn has_lease(&self) -> bool {
        let (now, lease) = (self.common.now, self.common.timing.lease_duration());
        let supports_lease = |id: &Id| {
            let peer = self.role.peers.get(id);
            peer.and_then(|peer| peer.acked_heartbeat_sent_at)
                .is_some_and(|sent| now < sent + lease)
        };
        let members = self.common.log.members();
        let is_counted =
            |member: &&Member| member.id == self.common.id || supports_lease(&member.id);
        let count = members.iter().filter(|member| member.voter).filter(is_counted).count();
        self.common.commit_index >= self.role.first_index && is_majority(members, count)
    }

    /// Serves a read of this replica, or of `requester`, once the lease is valid.
    pub(crate) fn read(&mut self, token: u64, requester: Option<Id>) {
        self.role.reads_awaiting_lease.push((token, requester));
        self.serve_reads();
    }

    /// Serves the waiting reads if the lease is valid.
    pub(crate) fn serve_reads(&mut self) {
        if self.role.reads_awaiting_lease.is_empty() || !self.has_lease() {
            return;
        }
        let index = self.common.commit_index;
        for (token, requester) in std::mem::take(&mut self.role.reads_awaiting_lease) {
            match requester {
                None => self.common.reads_awaiting_apply.push((token, index)),
                Some(requester) => {
                    let response = Message::ReadIndexResponse { read: token, index: Some(index) };
                    self.common.send(&requester, response);
                }
            }
        }
        self.common.release_reads();
    }

    /// Refuses all waiting reads because this replica no longer leads.
    pub(crate) fn refuse_pending_reads(&mut self) {
        for (token, requester) in std::mem::take(&mut self.role.reads_awaiting_lease) {
            match requester {
                None => self.common.refuse(token, Refusal::NotLeader),
                Some(requester) => {
                    self.common
                        .send(&requester, Message::ReadIndexResponse { read: token, index: None });
                }
            }
        }
    }

    /// Returns whether the last change of the membership is committed and another may start.
    ///
    /// Two changes at a time, or a change before an entry of this term is committed, could allow
    /// two majorities without a common replica to decide.
    fn can_reconfigure(&self) -> bool {
        let commit = self.common.commit_index;
        commit >= self.role.first_index && commit >= self.common.log.members_index()
    }

    /// Proposes a change of the membership, or refuses it.
    pub(crate) fn reconfigure(&mut self, token: u64, change: &Reconfigure) {
        let mut members = self.common.log.members().to_vec();
        let position = |name: &str| members.iter().position(|member| member.id.name == name);
        let refusal = match change {
            _ if !self.can_reconfigure() => Some(Refusal::ChangeInProgress),
            Reconfigure::Add { name, .. } if position(name).is_some() => {
                Some(Refusal::AlreadyMember)
            }
            Reconfigure::Add { replaces: Some(old), .. } if position(old).is_none() => {
                Some(Refusal::NotMember)
            }
            Reconfigure::Remove { name } if position(name).is_none() => Some(Refusal::NotMember),
            _ => None,
        };
        if let Some(reason) = refusal {
            return self.common.refuse(token, reason);
        }
        match change {
            Reconfigure::Add { name, addresses, replaces } => members.push(Member {
                id: Id { name: name.clone(), disk_id: 0 },
                voter: false,
                replaces: replaces.clone(),
                addresses: addresses.clone(),
            }),
            Reconfigure::Remove { name } => members.retain(|member| member.id.name != *name),
        }
        if !members.iter().any(|member| member.voter) {
            return self.common.refuse(token, Refusal::LastVoter);
        }
        if !self.is_majority_reachable(&members) {
            return self.common.refuse(token, Refusal::Unreachable);
        }
        members.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        self.propose(token, Body::Members(members));
    }

    /// Handles a join request of a replica that is new or lost its disk.
    pub(crate) fn handle_join_request(&mut self, from: &Id) {
        let can_reconfigure = self.can_reconfigure();
        let mut members = self.common.log.members().to_vec();
        let Some(member) = members.iter_mut().find(|member| member.id.name == from.name) else {
            return;
        };
        if member.id == *from || from.name == self.common.id.name || !can_reconfigure {
            return;
        }
        // The old data folder is lost, so it stops being a voter in this change. The new one
        // becomes a voter in a later change, after it has caught up.
        member.id = from.clone();
        member.voter = false;
        self.change_members(members);
    }

    /// Starts the next step of a membership change: makes a member that has caught up a voter, or
    /// removes the instance that a new voter replaces.
    pub(crate) fn continue_membership_change(&mut self) {
        if !self.can_reconfigure() {
            return;
        }
        let mut members = self.common.log.members().to_vec();
        let timeout = self.common.timing.election_timeout_min;
        for member in &mut members {
            let Some(peer) = self.role.peers.get(&member.id) else { continue };
            let is_reachable =
                peer.acked_heartbeat_sent_at.is_some() && self.common.now < peer.heard_at + timeout;
            if !member.voter && is_reachable && peer.matched_index >= self.common.commit_index {
                member.voter = true;
                return self.change_members(members);
            }
        }
        let replaced_name = members.iter().filter(|member| member.voter).find_map(|member| {
            let old = member.replaces.clone()?;
            members.iter().any(|other| other.id.name == old).then_some(old)
        });
        if let Some(old) = replaced_name {
            members.retain(|member| member.id.name != old);
            // Removing a voter while another one is down could leave voters that cannot commit
            // anything, not even their own membership.
            if self.is_majority_reachable(&members) {
                self.change_members(members);
            }
        }
    }

    /// Returns whether the latest membership is committed and this replica is no voter of it.
    pub(crate) fn is_removed(&self) -> bool {
        self.common.commit_index >= self.common.log.members_index()
            && !is_voter(self.common.log.members(), &self.common.id)
    }

    /// Appends and replicates an entry with a new membership.
    fn change_members(&mut self, members: Vec<Member>) {
        let (index, term) = (self.common.log.last_index() + 1, self.common.term);
        self.append_entry(Entry { index, term, body: Body::Members(members) });
        self.replicate();
    }

    /// Adds and removes progress records so that there is one for each other member of the latest
    /// membership.
    fn refresh_peers(&mut self) {
        let now = self.common.now;
        let previous_index = self.common.log.last_index() - 1;
        let members = self.common.log.members();
        self.role.peers.retain(|id, _| members.iter().any(|member| member.id == *id));
        for member in members.iter().filter(|member| member.id != self.common.id) {
            self.role
                .peers
                .entry(member.id.clone())
                .or_insert_with(|| Progress::new(previous_index, now));
        }
    }
}
