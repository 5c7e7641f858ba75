//! What a leader does: replicate, commit, serve reads, change the membership.

use crate::input::{Effect, Refusal, Write};
use crate::log::{Body, Entry};
use crate::member::{Id, Member, Reconfigure, is_majority, is_voter};
use crate::message::Message;
use crate::progress::Progress;
use crate::replica::{Leader, Replica};

/// Entries in one message. An entry is an edit of a catalogue (about 1 KB), so a message stays
/// under the time that a heartbeat may take.
const ENTRIES_PER_MESSAGE: usize = 256;

/// The number of heartbeats whose sending time is kept, several election timeouts' worth.
const ROUNDS_KEPT: usize = 64;

impl Replica<Leader> {
    /// Appends an entry of the leader's own term.
    pub(crate) fn add(&mut self, entry: Entry) {
        self.common.log.push(entry.clone());
        self.common.write(Write::Entries(vec![entry]));
        self.refresh_peers();
    }

    pub(crate) fn propose(&mut self, token: u64, body: Body) {
        let (index, term) = (self.common.log.last_index() + 1, self.common.term);
        self.add(Entry { index, term, body });
        self.common.effects.push(Effect::Proposed { token, index, term });
        self.replicate();
    }

    /// Sends a heartbeat to every member and what each lacks.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.common.now;
        self.role.round += 1;
        self.role.rounds.push_back((self.role.round, now));
        if self.role.rounds.len() > ROUNDS_KEPT {
            self.role.rounds.pop_front();
        }
        self.role.heartbeat_after = now + self.common.timing.heartbeat;
        let peers: Vec<Id> = self.role.peers.keys().cloned().collect();
        for peer in &peers {
            self.send_to(peer, true);
        }
    }

    /// Sends new entries to the members that lack them.
    fn replicate(&mut self) {
        let peers: Vec<Id> = self.role.peers.keys().cloned().collect();
        for peer in &peers {
            self.send_to(peer, false);
        }
    }

    fn send_to(&mut self, peer: &Id, heartbeat: bool) {
        let (now, term, round) = (self.common.now, self.common.term, self.role.round);
        let Some(progress) = self.role.peers.get_mut(peer) else { return };
        let base = self.common.log.base();
        // Snapshots for a replica that does not answer would pile up on their way to it.
        let answers = now < progress.heard + self.common.timing.election_max;
        if progress.sent < base && answers && now >= progress.snapshot_after {
            progress.snapshot_after = now + self.common.timing.snapshot_retry;
            if let Some(snapshot) = self.common.log.snapshot.clone() {
                self.common.send(peer, Message::Snapshot { term, round, snapshot });
            }
            return;
        }
        // A replica that waits for a snapshot still needs heartbeats.
        let prev_index = progress.sent.max(base);
        let entries = match progress.sent < base {
            true => Vec::new(),
            false => self.common.log.after(prev_index, ENTRIES_PER_MESSAGE),
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        if let Some(last) = entries.last() {
            progress.sent = last.index;
        }
        let Some(prev_term) = self.common.log.term_at(prev_index) else { return };
        let commit = self.common.commit;
        let message = Message::Append { term, round, prev_index, prev_term, entries, commit };
        self.common.send(peer, message);
    }

    pub(crate) fn appended(&mut self, from: &Id, round: u64, matched: u64, conflict: Option<u64>) {
        let now = self.common.now;
        let sent_at = match self.role.rounds.binary_search_by_key(&round, |(round, _)| *round) {
            Ok(position) => Some(self.role.rounds[position].1),
            Err(_) => None,
        };
        let Some(progress) = self.role.peers.get_mut(from) else { return };
        progress.heard = now;
        progress.acknowledged = progress.acknowledged.max(sent_at);
        progress.matched = progress.matched.max(matched);
        match conflict {
            Some(hint) => {
                // A late answer must not take the position back behind what is known to match, and
                // several answers to one gap must not each trigger the same entries.
                let sent = hint.max(progress.matched);
                if sent < progress.sent || now >= progress.resend_after {
                    progress.sent = sent;
                    progress.resend_after = now + self.common.timing.heartbeat;
                    self.send_to(from, false);
                }
            }
            None => {
                progress.sent = progress.sent.max(progress.matched);
                self.send_to(from, false);
            }
        }
        self.advance();
        self.serve_reads();
    }

    /// Commits what a majority of the voters holds durably.
    pub(crate) fn advance(&mut self) {
        let members = self.common.log.members().to_vec();
        let mut held: Vec<u64> = Vec::new();
        for member in members.iter().filter(|member| member.voter) {
            held.push(match member.id == self.common.id {
                true => self.common.durable,
                false => self.role.peers.get(&member.id).map_or(0, |peer| peer.matched),
            });
        }
        held.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&index) = held.get(held.len() / 2) else { return };
        // Entries of earlier terms are committed only together with one of this term.
        if index > self.common.commit && self.common.log.term_at(index) == Some(self.common.term) {
            self.common.commit_to(index);
        }
    }

    /// Returns whether a majority was heard from within an election timeout.
    pub(crate) fn has_quorum(&self) -> bool {
        // A new leader has an election timeout before the silence of the others counts.
        self.common.now < self.role.since + self.common.timing.election_min
            || self.hears_majority(self.common.log.members())
    }

    /// Returns whether a majority of the voters of `members` was heard from.
    fn hears_majority(&self, members: &[Member]) -> bool {
        let timeout = self.common.timing.election_min;
        let now = self.common.now;
        let heard = |id: &Id| {
            let peer = self.role.peers.get(id).filter(|peer| peer.acknowledged.is_some());
            peer.is_some_and(|peer| now < peer.heard + timeout)
        };
        let own = |member: &&Member| member.id == self.common.id || heard(&member.id);
        let count = members.iter().filter(|member| member.voter).filter(own).count();
        is_majority(members, count)
    }

    /// Returns whether no other replica can have been elected until now.
    fn has_lease(&self) -> bool {
        let (now, lease) = (self.common.now, self.common.timing.lease());
        let supports = |id: &Id| {
            let peer = self.role.peers.get(id);
            peer.and_then(|peer| peer.acknowledged).is_some_and(|sent| now < sent + lease)
        };
        let members = self.common.log.members();
        let own = |member: &&Member| member.id == self.common.id || supports(&member.id);
        let count = members.iter().filter(|member| member.voter).filter(own).count();
        self.common.commit >= self.role.first_index && is_majority(members, count)
    }

    /// Takes a read of this replica, or of `asker`.
    pub(crate) fn read(&mut self, token: u64, asker: Option<Id>) {
        self.role.waiting.push((token, asker));
        self.serve_reads();
    }

    /// Answers the reads that wait, while the lease holds.
    pub(crate) fn serve_reads(&mut self) {
        if self.role.waiting.is_empty() || !self.has_lease() {
            return;
        }
        let index = self.common.commit;
        for (token, asker) in std::mem::take(&mut self.role.waiting) {
            match asker {
                None => self.common.reads.push((token, index)),
                Some(asker) => {
                    let answer = Message::ReadAt { read: token, index: Some(index) };
                    self.common.send(&asker, answer);
                }
            }
        }
        self.common.release_reads();
    }

    /// Refuses all that waits, as this replica no longer leads.
    pub(crate) fn abandon(&mut self) {
        for (token, asker) in std::mem::take(&mut self.role.waiting) {
            match asker {
                None => self.common.refuse(token, Refusal::NotLeader),
                Some(asker) => {
                    self.common.send(&asker, Message::ReadAt { read: token, index: None });
                }
            }
        }
    }

    /// Returns whether the last change of the membership is committed and another may start.
    ///
    /// Two changes at a time, or one before an entry of this term is committed, could let two
    /// majorities decide that have no replica in common.
    fn may_reconfigure(&self) -> bool {
        let commit = self.common.commit;
        commit >= self.role.first_index && commit >= self.common.log.members_index()
    }

    pub(crate) fn reconfigure(&mut self, token: u64, change: &Reconfigure) {
        let mut members = self.common.log.members().to_vec();
        let known = |name: &str| members.iter().position(|member| member.id.name == name);
        let refusal = match change {
            _ if !self.may_reconfigure() => Some(Refusal::Busy),
            Reconfigure::Add { name, .. } if known(name).is_some() => Some(Refusal::Known),
            Reconfigure::Add { replaces: Some(old), .. } if known(old).is_none() => {
                Some(Refusal::Unknown)
            }
            Reconfigure::Remove { name } if known(name).is_none() => Some(Refusal::Unknown),
            _ => None,
        };
        if let Some(reason) = refusal {
            return self.common.refuse(token, reason);
        }
        match change {
            Reconfigure::Add { name, contact, replaces } => members.push(Member {
                id: Id { name: name.clone(), instance: 0 },
                voter: false,
                replaces: replaces.clone(),
                contact: contact.clone(),
            }),
            Reconfigure::Remove { name } => members.retain(|member| member.id.name != *name),
        }
        if !members.iter().any(|member| member.voter) {
            return self.common.refuse(token, Refusal::LastVoter);
        }
        if !self.hears_majority(&members) {
            return self.common.refuse(token, Refusal::Unreachable);
        }
        members.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        self.propose(token, Body::Members(members));
    }

    /// Handles a replica that asks for the log: a new one, or one that lost its disk.
    pub(crate) fn joining(&mut self, from: &Id) {
        let may_reconfigure = self.may_reconfigure();
        let mut members = self.common.log.members().to_vec();
        let Some(member) = members.iter_mut().find(|member| member.id.name == from.name) else {
            return;
        };
        if member.id == *from || from.name == self.common.id.name || !may_reconfigure {
            return;
        }
        // The old instance is gone with its disk: it stops being a voter in this step, and the new
        // one becomes a voter in a later step, after it has caught up.
        member.id = from.clone();
        member.voter = false;
        self.change_members(members);
    }

    /// Continues changes of the membership that take several steps.
    pub(crate) fn continue_changes(&mut self) {
        if !self.may_reconfigure() {
            return;
        }
        let mut members = self.common.log.members().to_vec();
        let timeout = self.common.timing.election_min;
        for member in &mut members {
            let Some(peer) = self.role.peers.get(&member.id) else { continue };
            let alive = peer.acknowledged.is_some() && self.common.now < peer.heard + timeout;
            if !member.voter && alive && peer.matched >= self.common.commit {
                member.voter = true;
                return self.change_members(members);
            }
        }
        let replaced = members.iter().filter(|member| member.voter).find_map(|member| {
            let old = member.replaces.clone()?;
            members.iter().any(|other| other.id.name == old).then_some(old)
        });
        if let Some(old) = replaced {
            members.retain(|member| member.id.name != old);
            // Removing a voter while another one is down could leave voters that cannot commit
            // anything, not even their own membership.
            if self.hears_majority(&members) {
                self.change_members(members);
            }
        }
    }

    /// Returns whether the committed membership no longer has this replica as a voter.
    pub(crate) fn is_removed(&self) -> bool {
        self.common.commit >= self.common.log.members_index()
            && !is_voter(self.common.log.members(), &self.common.id)
    }

    fn change_members(&mut self, members: Vec<Member>) {
        let (index, term) = (self.common.log.last_index() + 1, self.common.term);
        self.add(Entry { index, term, body: Body::Members(members) });
        self.replicate();
    }

    /// Keeps progress for exactly the other members of the latest membership.
    fn refresh_peers(&mut self) {
        let now = self.common.now;
        let last = self.common.log.last_index() - 1;
        let members = self.common.log.members();
        self.role.peers.retain(|id, _| members.iter().any(|member| member.id == *id));
        for member in members.iter().filter(|member| member.id != self.common.id) {
            self.role.peers.entry(member.id.clone()).or_insert_with(|| Progress::new(last, now));
        }
    }
}
