//! Plans the requests, crashes and group changes of a schedule.

use arbutuslane_record::prelude::*;
use rand::RngExt;

use super::{Event, Mutation, NODES, SCHEDULE_MS, World, node_index, node_name};
use crate::support::millis;

impl World {
    /// Queues the random events of a schedule.
    pub(super) fn plan(&mut self) {
        for node in 0..NODES {
            self.queue.push(millis(10), Event::Pull(node));
        }
        if self.has_contention {
            self.plan_contention();
            return;
        }
        for _ in 0..6 {
            let at = self.network.rng.random_range(0..SCHEDULE_MS);
            self.queue.push(millis(at), Event::BlockLinks);
        }
        for _ in 0..self.network.rng.random_range(0..12) {
            let at = self.network.rng.random_range(0..SCHEDULE_MS);
            let node = self.network.rng.random_range(0..NODES);
            self.queue.push(millis(at), Event::Crash(node));
        }
        for _ in 0..self.network.rng.random_range(0..4) {
            let at = self.network.rng.random_range(0..SCHEDULE_MS);
            self.queue.push(millis(at), Event::ChangeMembers);
        }
        for number in 0..self.network.rng.random_range(1..8_u32) {
            let key = key::of("bookings", &format!("order-{number}"));
            let start = self.network.rng.random_range(0..SCHEDULE_MS);
            for _ in 0..self.network.rng.random_range(1..7) {
                let at = start + self.network.rng.random_range(0..6_000);
                self.queue.push(millis(at), Event::SendRequest { key });
            }
        }
    }

    /// Queues a few attempts for one key while replicas restart, all within a second.
    fn plan_contention(&mut self) {
        self.network.loss_probability = 0.0;
        self.network.slow_probability = 0.0;
        let key = key::of("bookings", "order-1");
        for _ in 0..self.network.rng.random_range(2..4) {
            let at = self.network.rng.random_range(0..700);
            self.queue.push(millis(at), Event::SendRequest { key });
        }
        if self.network.rng.random_bool(0.6) {
            let at = self.network.rng.random_range(0..300);
            self.queue.push(millis(at), Event::ChangeMembers);
        }
        for _ in 0..self.network.rng.random_range(0..4) {
            let at = self.network.rng.random_range(0..500);
            let node = self.network.rng.random_range(0..5);
            self.queue.push(millis(at), Event::Crash(node));
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].up = false;
        self.nodes[node].replica = None;
        self.nodes[node].coordinators.clear();
        let max_delay =
            if self.has_contention || self.network.rng.random_bool(0.5) { 20 } else { 2_000 };
        let downtime = self.network.rng.random_range(5..max_delay);
        self.queue.push(millis(downtime), Event::Restart(node));
    }

    pub(super) fn restart(&mut self, node: usize) {
        self.nodes[node].up = true;
        self.nodes[node].incarnation += 1;
        // A restarted node may first learn an outdated group.
        let known_group = self.network.rng.random_range(0..self.groups.len());
        let known_group =
            if self.network.rng.random_bool(0.7) { self.groups.len() - 1 } else { known_group };
        self.nodes[node].known_group = known_group;
        self.join(node);
        if known_group + 1 < self.groups.len() {
            let delay = self.network.rng.random_range(0..3_000);
            self.queue.push(millis(delay), Event::LearnGroup(node, self.groups.len() - 1));
        }
    }

    fn join(&mut self, node: usize) {
        let group = self.groups[self.nodes[node].known_group].clone();
        if group.member_index(&node_name(node)).is_none() {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        let mut replica =
            RegisterReplica::join(self.queue.now(), &node_name(node), incarnation, group);
        if self.mutation == Some(Mutation::RecoveringVotes)
            && let RegisterReplica::Recovering(recovering) = replica
        {
            replica = RegisterReplica::Voting(recovering.into_voting());
        }
        self.nodes[node].replica = Some(replica);
    }

    pub(super) fn learn_group(&mut self, node: usize, group_index: usize) {
        if !self.nodes[node].up || group_index <= self.nodes[node].known_group {
            return;
        }
        self.nodes[node].known_group = group_index;
        let group = self.groups[group_index].clone();
        let now = self.queue.now();
        match &mut self.nodes[node].replica {
            Some(replica) => {
                if !replica.adopt(now, group) {
                    self.nodes[node].replica = None;
                }
            }
            None => self.join(node),
        }
    }

    /// Replaces or adds one member once the newest member votes in the current epoch, as control
    /// does.
    pub(super) fn change_members(&mut self) {
        let last_index = self.groups.len() - 1;
        let group = self.groups[last_index].clone();
        let is_ready = group.members.iter().any(|member| {
            let node = &self.nodes[node_index(&member.node)];
            let is_newest =
                last_index == 0 || self.groups[last_index - 1].member_index(&member.node).is_none();
            is_newest
                && node.replica.as_ref().is_some_and(|replica| {
                    replica.is_voting() && replica.group().epoch == group.epoch
                })
        });
        let spare_nodes: Vec<usize> =
            (0..NODES).filter(|node| group.member_index(&node_name(*node)).is_none()).collect();
        let retry_delay = self.network.rng.random_range(100..2_000);
        if !is_ready {
            self.queue.push(millis(retry_delay), Event::ChangeMembers);
            return;
        }
        let joining = spare_nodes[self.network.rng.random_range(0..spare_nodes.len())];
        let member =
            Member { node: node_name(joining), incarnation: self.nodes[joining].incarnation };
        if group.members.len() < 5 && self.network.rng.random_bool(0.7) {
            self.groups.push(group.grown(&member));
            self.outcome.members_added += 1;
            // The second change of a growth follows once the member that was added first votes.
            self.queue.push(millis(retry_delay), Event::ChangeMembers);
        } else {
            let leaving = self.network.rng.random_range(0..group.members.len());
            let leaving = group.members[leaving].node.clone();
            self.groups.push(group.replaced(&leaving, &member));
        }
        for node in 0..NODES {
            let max_delay = if self.has_contention { 300 } else { 2_000 };
            let delay = self.network.rng.random_range(0..max_delay);
            self.queue.push(millis(delay), Event::LearnGroup(node, last_index + 1));
        }
    }
}
