//! The plan of a schedule: sick servers, crashes, drains, cold starts and floor changes.

use arbutuslane_core::time::Time;
use arbutuslane_record::prelude::*;
use rand::RngExt;

use super::{Event, FAULTS, Mutation, NODES, SERVERS, STEP, World, name};
use crate::support::millis;

impl World {
    pub(super) fn plan(&mut self) {
        let faults = |rng: &mut arbutuslane_core::rng::Rng| millis(rng.random_range(0..FAULTS));
        for _ in 0..6 {
            let at = faults(&mut self.network.rng);
            self.queue.push(at, Event::Shake);
        }
        for _ in 0..self.network.rng.random_range(0..8) {
            let at = faults(&mut self.network.rng);
            let node = self.network.rng.random_range(0..NODES);
            self.queue.push(at, Event::Crash(node));
        }
        for _ in 0..self.network.rng.random_range(2..16) {
            let at = faults(&mut self.network.rng);
            let server = self.network.rng.random_range(0..SERVERS);
            let severity = self.network.rng.random_range(1..100);
            self.queue.push(at, Event::Sicken(server, severity));
            if self.network.rng.random_bool(0.3) {
                let later = at + millis(self.network.rng.random_range(0..10_000));
                self.queue.push(later.min(millis(FAULTS)), Event::Heal(server));
            }
        }
        for _ in 0..self.network.rng.random_range(0..10) {
            let at = faults(&mut self.network.rng);
            let server = self.network.rng.random_range(0..SERVERS);
            let live = self.network.rng.random_bool(0.5);
            self.queue.push(at, Event::Live(server, live));
        }
        for _ in 0..self.network.rng.random_range(0..3) {
            let at = faults(&mut self.network.rng);
            let floor = self.network.rng.random_range(2..10);
            self.queue.push(at, Event::Floor(floor));
        }
        self.queue.push(millis(FAULTS), Event::Calm);
        for node in 0..NODES {
            self.queue.push(millis(self.network.rng.random_range(0..100)), Event::Poll(node));
            self.queue.push(millis(50), Event::Pull(node));
        }
        self.queue.push(millis(STEP), Event::Check);
    }

    /// Lets every node see the changed number of live servers and floor after a while.
    pub(super) fn changed(&mut self) {
        let live = self.servers.iter().filter(|server| server.live).count();
        let live = u32::try_from(live).expect("a small number");
        self.truths.push(live.saturating_sub(self.floor));
        let truth = u64::try_from(self.truths.len() - 1).expect("a small number");
        for node in 0..NODES {
            let longest = if truth == 0 { 1 } else { 5_000 };
            let delay = self.network.rng.random_range(0..longest);
            self.queue.push(millis(delay), Event::See(node, truth));
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].up = false;
        self.nodes[node].seat = None;
        for server in (0..SERVERS).filter(|server| Self::owner(*server) == node) {
            self.servers[server].permit = None;
        }
        let pause = self.network.rng.random_range(5..2_000);
        self.queue.push(millis(pause), Event::Restart(node));
    }

    pub(super) fn restart(&mut self, node: usize) {
        let now = self.local(node);
        let place = self.group.place(&name(node));
        let state = &mut self.nodes[node];
        state.up = true;
        state.incarnation += 1;
        let (mut incarnation, mut since) = (state.incarnation, now);
        if self.mutation == Some(Mutation::NoQuietPeriod) {
            (incarnation, since) = (1, Time::ZERO);
        }
        state.seat = place.map(|_| Seat::join(since, &name(node), incarnation, self.group.clone()));
    }

    pub(super) fn heal(&mut self, server: usize) {
        self.servers[server].severity = None;
        let Some(mut permit) = self.servers[server].permit.take() else { return };
        let request = permit.release(&self.group);
        self.transmit(Self::owner(server), &request);
    }
}
