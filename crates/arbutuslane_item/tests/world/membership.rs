//! Instances that join, leave, lose their disks or are split into halves, and the voters that follow.

use super::*;

/// The largest number of instances at a time.
const MAX_INSTANCES: usize = 8;

impl World {
    pub(super) fn is_connected(&self, one: usize, other: usize) -> bool {
        let [one, other] = [one, other].map(|index| self.instances[index].is_in_second_half);
        !self.is_split || one == other
    }

    /// Returns whether the disk of an instance may be lost: a quorum of each electorate that is accepted
    /// or may come to be keeps its disks.
    fn may_lose(&self, index: usize) -> bool {
        let newest = self.history.newest();
        let running = self.instances.iter().filter(|instance| !instance.is_gone);
        let pending = running.map(|instance| instance.replication.stored());
        let pending = pending.filter(|state| state.position > newest);
        let electorates = pending.map(|state| &state.electorate);
        electorates.chain([self.history.electorate()]).all(|electorate| {
            let others = self.instances.iter().enumerate();
            let kept = others.filter(|(other, instance)| *other != index && !instance.is_gone);
            let kept = kept.map(|(_, instance)| instance.replication.status());
            match electorate.is_empty() {
                true => kept.filter(|status| status.is_founder).count() >= QUORUM,
                false => {
                    let kept: Vec<Voter> = kept.map(|status| status.voter).collect();
                    electorate.is_quorum(|voter| kept.contains(voter), QUORUM)
                }
            }
        })
    }

    /// Restarts an instance with an empty disk, if enough others keep theirs.
    pub(super) fn lose_disk(&mut self) {
        let index = self.random_instance();
        if !self.may_lose(index) {
            return;
        }
        let is_in_second_half = self.instances[index].is_in_second_half;
        let incarnation = self.instances[index].incarnation + 1;
        let empty = self.empty_disk();
        self.instances[index] = Instance::start(index, incarnation, empty);
        self.instances[index].is_in_second_half = is_in_second_half;
    }

    fn empty_disk(&mut self) -> Recovered {
        self.disks += 1;
        Recovered {
            standing: Standing::Recovering,
            promised: Ballot::default(),
            state: State::default(),
            accepted: None,
            disk: self.disks,
        }
    }

    /// Removes an instance for good, if enough others keep their disks.
    pub(super) fn leave(&mut self) {
        let index = self.random_instance();
        if self.may_lose(index) {
            self.instances[index].is_gone = true;
        }
    }

    /// Starts another instance with an empty disk.
    pub(super) fn join(&mut self) {
        let running = self.instances.iter().filter(|instance| !instance.is_gone).count();
        if running >= MAX_INSTANCES {
            return;
        }
        let empty = self.empty_disk();
        let mut instance = Instance::start(self.instances.len(), 0, empty);
        instance.is_in_second_half = self.rng.random_range(0..2) > 0;
        self.instances.push(instance);
    }

    /// Splits the instances into random halves, or ends the split.
    pub(super) fn split(&mut self) {
        self.is_split = !self.is_split;
        for instance in &mut self.instances {
            instance.is_in_second_half = self.rng.random_range(0..2) > 0;
        }
    }

    /// Has an instance change the voters if it leads, and otherwise lead if it wants to be one.
    /// It takes the instances that it does not reach for gone, or some of them.
    pub(super) fn update_voters(&mut self) {
        let Some(index) = self.assumed_leader() else { return };
        let mut present = vec![self.instances[index].replication.status()];
        let mut suspected = Vec::new();
        for other in 0..self.instances.len() {
            let instance = &self.instances[other];
            if other == index {
                continue;
            }
            if instance.is_running() && self.is_connected(index, other) {
                present.push(instance.replication.status());
            } else if instance.is_gone || self.rng.random_range(0..3) > 0 {
                suspected.push(name(other));
            }
        }
        let is_alive = |instance: &str| suspected.iter().all(|other| other != instance);
        let instance = &mut self.instances[index];
        let electorate = instance.replication.stored().electorate.clone();
        let Some(leader) = &mut instance.leader else {
            if instance.replication.wants_place() && self.rng.random_range(0..3) == 0 {
                self.lead(index);
            }
            return;
        };
        let Some(next) = electorate.next(&present, QUORUM, is_alive) else { return };
        if let Some(proposal) = leader.propose_electorate(&mut instance.replication, &next) {
            self.send_proposal(index, proposal);
        }
    }
}
