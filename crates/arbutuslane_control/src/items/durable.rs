//! Steps of the agreement that have to be on disk before others learn of them.
//!
//! What a step changes and what goes to disk for it are queued under one lock, so that the disk gets
//! the updates in their order.

use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use arbutuslane_item::election::{Deposed, Proposal};
use arbutuslane_item::prelude::{Ballot, Candidate, Item, Leader, Position, Update};
use arbutuslane_item::replication::{Refusal, Status};

use super::core::{Core, Step};
use super::writer::Record;

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
        let is_durable = written.await;
        Status { is_complete: is_durable, ..status }
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
        Ok(self.record_write(written, &update.position, update.digest).await)
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
        self.record_write(written, &update.position, update.digest).await
    }

    /// Adopts a state as a candidate; returns whether this instance has it.
    pub(super) async fn adopt(
        &self,
        candidate: &Candidate,
        source: &Status,
        update: &Update,
    ) -> bool {
        let (written, position, digest) = {
            let mut replication = self.replication();
            let before = replication.stored().table.buckets().to_vec();
            if !candidate.adopt(&mut replication, source, update) {
                return false;
            }
            let adopted = replication.stored().update_for(&before);
            let (position, digest) = (adopted.position.clone(), adopted.digest);
            (self.disk.write(updates(Some(adopted))), position, digest)
        };
        let is_durable = self.record_write(written, &position, digest).await;
        // The disk of an instance that counts already may fail for a while.
        is_durable || self.replication().is_complete()
    }

    /// Leads after an election; returns `None` if another instance has a higher ballot, or if the disk
    /// cannot record that this instance counts for quorums from now on.
    pub(super) async fn elect(&self, candidate: Candidate) -> Option<Leader> {
        if !self.replication().is_complete() {
            let promised = Some(candidate.ballot().clone());
            let record = Record { promised, complete: true, ..Record::default() };
            if !self.disk.write(record).await {
                return None;
            }
            let instances = self.replication().quorum();
            tracing::info!(event = "recovered", instances);
        }
        candidate.elect(&mut self.replication()).ok()
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
        let update = &proposal.update;
        let is_new = update.position > before;
        let written = self.disk.write(updates(is_new.then(|| update.clone())));
        let (core, position, digest) = (Arc::clone(self), update.position.clone(), update.digest);
        let stored = async move { core.record_write(written, &position, digest).await };
        Ok((proposal, stored))
    }

    /// Records the outcome of a write of the state at `position`, and its duration.
    async fn record_write(
        &self,
        written: impl Future<Output = bool>,
        position: &Position,
        digest: u64,
    ) -> bool {
        let started_at = Instant::now();
        let is_durable = written.await;
        self.counters.record_step(Step::Store, started_at.elapsed());
        if is_durable {
            self.replication().record_durable(position, digest);
        }
        is_durable
    }
}

fn updates(update: Option<Update>) -> Record {
    Record { updates: update.into_iter().collect(), ..Record::default() }
}
