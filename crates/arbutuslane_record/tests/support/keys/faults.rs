//! The plan of a schedule: requests, crashes and group changes.

use arbutuslane_record::prelude::*;
use rand::RngExt;

use super::{Event, LENGTH, Mutation, NODES, World, index, name};
use crate::support::millis;

impl World {
    pub(super) fn plan(&mut self) {
        for node in 0..NODES {
            self.queue.push(millis(10), Event::Pull(node));
        }
        if self.duel {
            self.plan_duel();
            return;
        }
        for _ in 0..6 {
            let at = self.network.rng.random_range(0..LENGTH);
            self.queue.push(millis(at), Event::Shake);
        }
        for _ in 0..self.network.rng.random_range(0..12) {
            let at = self.network.rng.random_range(0..LENGTH);
            let node = self.network.rng.random_range(0..NODES);
            self.queue.push(millis(at), Event::Crash(node));
        }
        for _ in 0..self.network.rng.random_range(0..4) {
            let at = self.network.rng.random_range(0..LENGTH);
            self.queue.push(millis(at), Event::Replace);
        }
        for number in 0..self.network.rng.random_range(1..8_u32) {
            let key = key::of("bookings", &format!("order-{number}"));
            let start = self.network.rng.random_range(0..LENGTH);
            for _ in 0..self.network.rng.random_range(1..7) {
                let at = start + self.network.rng.random_range(0..6_000);
                self.queue.push(millis(at), Event::Send { key });
            }
        }
    }

    /// A few attempts for one key while replicas restart, all within a second.
    fn plan_duel(&mut self) {
        self.network.loss = 0.0;
        self.network.slow = 0.0;
        let key = key::of("bookings", "order-1");
        for _ in 0..self.network.rng.random_range(2..4) {
            let at = self.network.rng.random_range(0..700);
            self.queue.push(millis(at), Event::Send { key });
        }
        if self.network.rng.random_bool(0.6) {
            let at = self.network.rng.random_range(0..300);
            self.queue.push(millis(at), Event::Replace);
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
        self.nodes[node].seat = None;
        self.nodes[node].coordinators.clear();
        let longest = if self.duel || self.network.rng.random_bool(0.5) { 20 } else { 2_000 };
        let pause = self.network.rng.random_range(5..longest);
        self.queue.push(millis(pause), Event::Restart(node));
    }

    pub(super) fn restart(&mut self, node: usize) {
        self.nodes[node].up = true;
        self.nodes[node].incarnation += 1;
        // A restarted node may learn an outdated group first.
        let known = self.network.rng.random_range(0..self.groups.len());
        let known = if self.network.rng.random_bool(0.7) { self.groups.len() - 1 } else { known };
        self.nodes[node].known = known;
        self.join(node);
        if known + 1 < self.groups.len() {
            let delay = self.network.rng.random_range(0..3_000);
            self.queue.push(millis(delay), Event::Learn(node, self.groups.len() - 1));
        }
    }

    fn join(&mut self, node: usize) {
        let group = self.groups[self.nodes[node].known].clone();
        if group.place(&name(node)).is_none() {
            return;
        }
        let incarnation = self.nodes[node].incarnation;
        let mut seat = Seat::join(self.queue.now(), &name(node), incarnation, group);
        if self.mutation == Some(Mutation::RecoveringVotes)
            && let Seat::Recovering(replica) = seat
        {
            seat = Seat::Voting(replica.vote());
        }
        self.nodes[node].seat = Some(seat);
    }

    pub(super) fn learn(&mut self, node: usize, epoch: usize) {
        if !self.nodes[node].up || epoch <= self.nodes[node].known {
            return;
        }
        self.nodes[node].known = epoch;
        let group = self.groups[epoch].clone();
        let now = self.queue.now();
        match &mut self.nodes[node].seat {
            Some(seat) => {
                if !seat.adopt(now, group) {
                    self.nodes[node].seat = None;
                }
            }
            None => self.join(node),
        }
    }

    /// Replaces or adds one member, as control does: only when the member that joined last votes.
    pub(super) fn replace(&mut self) {
        let last = self.groups.len() - 1;
        let group = self.groups[last].clone();
        let voting = group.members.iter().any(|member| {
            let node = &self.nodes[index(&member.node)];
            let joined = last == 0 || self.groups[last - 1].place(&member.node).is_none();
            joined
                && node
                    .seat
                    .as_ref()
                    .is_some_and(|seat| seat.is_voting() && seat.group().epoch == group.epoch)
        });
        let spare: Vec<usize> =
            (0..NODES).filter(|node| group.place(&name(*node)).is_none()).collect();
        let retry = self.network.rng.random_range(100..2_000);
        if !voting {
            self.queue.push(millis(retry), Event::Replace);
            return;
        }
        let joins = spare[self.network.rng.random_range(0..spare.len())];
        let member = Member { node: name(joins), incarnation: self.nodes[joins].incarnation };
        if group.members.len() < 5 && self.network.rng.random_bool(0.7) {
            self.groups.push(group.grown(&member));
            self.outcome.grown += 1;
            // The second step of a growth follows as soon as the member of the first one votes.
            self.queue.push(millis(retry), Event::Replace);
        } else {
            let leaves = self.network.rng.random_range(0..group.members.len());
            let leaves = group.members[leaves].node.clone();
            self.groups.push(group.replaced(&leaves, &member));
        }
        for node in 0..NODES {
            let longest = if self.duel { 300 } else { 2_000 };
            let delay = self.network.rng.random_range(0..longest);
            self.queue.push(millis(delay), Event::Learn(node, last + 1));
        }
    }
}
