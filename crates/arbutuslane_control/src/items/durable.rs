//! Steps of the agreement that have to be on disk before others learn of them.
//!
//! What a step changes and what goes to disk for it are queued under one lock, so that the disk gets
//! the updates in their order.

use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use arbutuslane_item::election::{Deposed, Proposal};
use arbutuslane_item::prelude::{Ballot, Candidate, Electorate, Item, Leader, Update};
use arbutuslane_item::replication::{Refusal, Status};

use super::core::{Core, Step};
use super::writer::{Entry, Record};

impl Core {
    /// Returns what this instance reports of itself.
    pub(super) fn status(&self) -> Status {
        self.replication().status()
    }

    /// Promises to follow `ballot`, and writes the promise to disk. The status that this returns says
    /// whether the promise was given.
    pub(super) async fn promise(&self, ballot: &Ballot) -> Status {
        let (status, written) = {
            let mut replication = self.replication();
            let Some(status) = replication.promise(ballot) else { return replication.status() };
            let record = Record { promised: Some(ballot.clone()), ..Record::default() };
            (status, self.disk.write(record))
        };
        match written.await {
            true => status,
            false => Status { promised: Ballot::default(), ..status },
        }
    }

    /// Stores a state that a leader proposes; returns whether it is on disk.
    ///
    /// # Errors
    ///
    /// See [`Refusal`].
    pub(super) async fn store(&self, update: &Update) -> Result<bool, Refusal> {
        let written = {
            let mut replication = self.replication();
            let is_new = update.position > replication.stored().position;
            replication.store(update)?;
            self.disk.write(updates(is_new.then(|| update.clone())))
        };
        Ok(self.record_write(written, update).await)
    }

    /// Takes over an accepted state of another instance; returns whether it is on disk here.
    pub(super) async fn install(&self, update: &Update) -> bool {
        let written = {
            let mut replication = self.replication();
            let is_new = update.position > replication.stored().position;
            if !replication.install(update) {
                return false;
            }
            self.disk.write(updates(is_new.then(|| update.clone())))
        };
        self.record_write(written, update).await
    }

    /// Adopts a state as a candidate; returns whether this instance has it.
    pub(super) async fn adopt(
        &self,
        candidate: &Candidate,
        source: &Status,
        update: &Update,
    ) -> bool {
        let (written, adopted) = {
            let mut replication = self.replication();
            let before = replication.stored().table.buckets().to_vec();
            if !candidate.adopt(&mut replication, source, update) {
                return false;
            }
            let adopted = replication.stored().update_for(&before);
            (self.disk.write(updates(Some(adopted.clone()))), adopted)
        };
        let is_durable = self.record_write(written, &adopted).await;
        // The disk of an instance that knows the voters may fail for a while.
        is_durable || self.replication().is_complete()
    }

    /// Applies changes as the leader. The future returns whether the resulting state is on the disk
    /// of this instance.
    ///
    /// # Errors
    ///
    /// Returns an error if another instance has a higher ballot.
    pub(super) fn propose(
        self: &Arc<Self>,
        leader: &mut Leader,
        changes: &[Vec<Arc<Item>>],
    ) -> Result<(Proposal, impl Future<Output = bool> + use<>), Deposed> {
        let mut replication = self.replication();
        let before = replication.stored().position.clone();
        let proposal = leader.propose(&mut replication, changes)?;
        let is_new = proposal.update.position > before;
        let written = self.disk.write(updates(is_new.then(|| proposal.update.clone())));
        let stored = self.record_own_write(written, proposal.update.clone());
        Ok((proposal, stored))
    }

    /// Proposes another electorate as the leader, or returns `None` if it must not follow now. The future is
    /// that of [`Core::propose`].
    pub(super) fn propose_electorate(
        self: &Arc<Self>,
        leader: &mut Leader,
        next: &Electorate,
    ) -> Option<(Proposal, impl Future<Output = bool> + use<>)> {
        let mut replication = self.replication();
        let proposal = leader.propose_electorate(&mut replication, next)?;
        let written = self.disk.write(updates(Some(proposal.update.clone())));
        let stored = self.record_own_write(written, proposal.update.clone());
        Some((proposal, stored))
    }

    fn record_own_write<W: Future<Output = bool>>(
        self: &Arc<Self>,
        written: W,
        update: Update,
    ) -> impl Future<Output = bool> + use<W> {
        let core = Arc::clone(self);
        async move { core.record_write(written, &update).await }
    }

    /// Records the outcome of the write of an update, and its duration.
    async fn record_write(&self, written: impl Future<Output = bool>, update: &Update) -> bool {
        let started_at = Instant::now();
        let is_durable = written.await;
        self.counters.record_step(Step::Store, started_at.elapsed());
        if is_durable {
            self.replication().record_durable(update);
        }
        is_durable
    }
}

fn updates(update: Option<Update>) -> Record {
    Record { entries: update.into_iter().map(Entry::Update).collect(), ..Record::default() }
}
