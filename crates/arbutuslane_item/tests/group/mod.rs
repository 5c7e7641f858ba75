//! Five control instances that call each other directly, with disks that write at once.

use std::sync::Arc;

use arbutuslane_item::check::Error;
use arbutuslane_item::election::Proposal;
use arbutuslane_item::prelude::*;
use arbutuslane_item::replication::{Recovered, Refusal, Standing};

use crate::support::{INSTANCES, QUORUM, index_of, name};

/// The control instances, by their index.
pub(super) struct Group {
    pub(super) instances: Vec<Replication>,
    incarnation: u64,
    /// The number of disks that were used.
    disks: u64,
}

fn start(
    index: usize,
    standing: Standing,
    promised: Ballot,
    state: State,
    disk: u64,
) -> Replication {
    let recovered = Recovered { standing, promised, state, accepted: None, disk };
    Replication::new(&name(index), QUORUM, recovered)
}

impl Group {
    pub(super) fn new() -> Self {
        let start =
            |index| start(index, Standing::Complete, Ballot::default(), State::default(), 1);
        Self { instances: (0..INSTANCES).map(start).collect(), incarnation: 0, disks: 1 }
    }

    /// Starts an instance again with its disk.
    pub(super) fn restart(&mut self, index: usize) {
        let stopped = &self.instances[index];
        let (promised, state) = (stopped.promised().clone(), stopped.stored().clone());
        let disk = stopped.own().disk;
        let standing = match stopped.status().is_founder {
            true => Standing::Complete,
            false => Standing::Recovering,
        };
        self.instances[index] = start(index, standing, promised, state, disk);
    }

    /// Starts an instance with items that an earlier release wrote.
    pub(super) fn restart_with(&mut self, index: usize, items: Vec<Arc<Item>>) {
        let mut state = State::default();
        state.table.merge_all(items);
        self.instances[index] = start(index, Standing::Complete, Ballot::default(), state, 1);
    }

    /// Starts an instance with an empty disk.
    pub(super) fn lose_disk(&mut self, index: usize) {
        self.disks += 1;
        self.instances[index] =
            start(index, Standing::Recovering, Ballot::default(), State::default(), self.disks);
    }

    /// Has an instance take over the state of the others, and become a voter; returns whether it counts
    /// for quorums then.
    pub(super) fn recover(&mut self, index: usize) -> bool {
        let all = [0, 1, 2, 3, 4];
        let Some(mut leader) = self.elect(index, &all) else { return false };
        let Ok(proposal) = leader.propose(&mut self.instances[index], &[]) else { return false };
        if !self.accept(index, &all, proposal) {
            return false;
        }
        while let Some(next) = self.next_electorate(index) {
            let proposal = leader.propose_electorate(&mut self.instances[index], &next);
            if !proposal.is_some_and(|proposal| self.accept(index, &all, proposal)) {
                return false;
            }
        }
        let replication = &self.instances[index];
        replication.stored().electorate.voters.contains(replication.own())
    }

    fn next_electorate(&self, index: usize) -> Option<Electorate> {
        let statuses: Vec<_> = self.instances.iter().map(Replication::status).collect();
        self.instances[index].stored().electorate.next(&statuses, QUORUM, |_| true)
    }

    /// Has an instance elected by those at `reached`.
    pub(super) fn elect(&mut self, index: usize, reached: &[usize]) -> Option<Leader> {
        self.incarnation += 1;
        // A refusal would tell it the round to exceed.
        for other in reached {
            let promised = self.instances[*other].promised().clone();
            self.instances[index].observe(&promised);
        }
        let mut candidate = Candidate::begin(&mut self.instances[index], self.incarnation);
        let ballot = candidate.ballot().clone();
        let mut is_promised = false;
        for other in reached {
            if let Some(status) = self.instances[*other].promise(&ballot) {
                is_promised = candidate.record_promise(status);
            }
        }
        if !is_promised {
            return None;
        }
        for source in candidate.sources() {
            let buckets = self.instances[index].stored().table.buckets().to_vec();
            let update = self.instances[index_of(source.instance())].stored().update_for(&buckets);
            assert!(candidate.adopt(&mut self.instances[index], source, &update));
        }
        let leader = candidate.elect(&mut self.instances[index]).unwrap();
        self.record_durable(index);
        Some(leader)
    }

    /// Has a change decided by an instance that reaches those at `reached`. Returns `None` if too few
    /// are reached.
    pub(super) fn change(
        &mut self,
        index: usize,
        reached: &[usize],
        items: &[Arc<Item>],
    ) -> Option<Result<(), Error>> {
        let mut leader = self.elect(index, reached)?;
        let proposal = leader.propose(&mut self.instances[index], &[items.to_vec()]);
        let mut proposal = proposal.unwrap();
        let verdict = proposal.verdicts.pop();
        self.accept(index, reached, proposal).then_some(verdict?)
    }

    /// Has a proposal stored by the instances at `reached`; returns whether it is accepted.
    fn accept(&mut self, leader: usize, reached: &[usize], mut proposal: Proposal) -> bool {
        let mut is_accepted = false;
        for other in reached {
            if self.store(*other, leader, &proposal.update) {
                is_accepted = proposal.record_stored(self.instances[*other].own());
            }
        }
        if is_accepted {
            for other in reached {
                self.instances[*other].learn(&proposal.update.position);
            }
        }
        is_accepted
    }

    fn store(&mut self, index: usize, leader: usize, update: &Update) -> bool {
        let mut stored = self.instances[index].store(update);
        if let Err(Refusal::Behind(buckets)) = &stored {
            let whole = self.instances[leader].stored().update_for(buckets);
            stored = self.instances[index].store(&whole);
        }
        if stored.is_ok() {
            self.record_durable(index);
        }
        stored.is_ok()
    }

    /// Has an instance fetch the accepted state of another one.
    pub(super) fn fetch_accepted(&mut self, index: usize, source: usize) {
        let buckets = self.instances[index].stored().table.buckets().to_vec();
        let update = self.instances[source].accepted_state().unwrap().update_for(&buckets);
        assert!(self.instances[index].install(&update));
        self.record_durable(index);
        self.instances[index].learn(&update.position);
    }

    fn record_durable(&mut self, index: usize) {
        let replication = &mut self.instances[index];
        let stored = replication.stored().update_for(replication.stored().table.buckets());
        replication.record_durable(&stored);
    }
}
