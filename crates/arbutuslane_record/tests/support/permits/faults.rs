//! Plans the faults of a schedule: unhealthy servers, crashes, drains, cold starts and floor
//! changes.

use arbutuslane_core::time::Time;
use arbutuslane_record::prelude::*;
use rand::RngExt;

use super::{CHECK_INTERVAL_MS, Event, FAULT_PHASE_MS, Mutation, NODES, SERVERS, World, node_name};
use crate::support::millis;

impl World {
    /// Queues the random events of a schedule.
    pub(super) fn plan(&mut self) {
        let fault_time =
            |rng: &mut arbutuslane_core::rng::Rng| millis(rng.random_range(0..FAULT_PHASE_MS));
        for _ in 0..6 {
            let time = fault_time(&mut self.network.rng);
            self.queue.push(time, Event::BlockLinks);
        }
        for _ in 0..self.network.rng.random_range(0..8) {
            let time = fault_time(&mut self.network.rng);
            let node = self.network.rng.random_range(0..NODES);
            self.queue.push(time, Event::Crash(node));
        }
        for _ in 0..self.network.rng.random_range(2..16) {
            let time = fault_time(&mut self.network.rng);
            let server = self.network.rng.random_range(0..SERVERS);
            let severity = self.network.rng.random_range(1..100);
            self.queue.push(time, Event::ServerUnhealthy(server, severity));
            if self.network.rng.random_bool(0.3) {
                let healthy_at = time + millis(self.network.rng.random_range(0..10_000));
                self.queue
                    .push(healthy_at.min(millis(FAULT_PHASE_MS)), Event::ServerHealthy(server));
            }
        }
        for _ in 0..self.network.rng.random_range(0..10) {
            let time = fault_time(&mut self.network.rng);
            let server = self.network.rng.random_range(0..SERVERS);
            let live = self.network.rng.random_bool(0.5);
            self.queue.push(time, Event::SetLive(server, live));
        }
        for _ in 0..self.network.rng.random_range(0..3) {
            let time = fault_time(&mut self.network.rng);
            let floor = self.network.rng.random_range(2..10);
            self.queue.push(time, Event::SetFloor(floor));
        }
        self.queue.push(millis(FAULT_PHASE_MS), Event::EndFaults);
        for node in 0..NODES {
            self.queue.push(millis(self.network.rng.random_range(0..100)), Event::Poll(node));
            self.queue.push(millis(50), Event::Pull(node));
        }
        self.queue.push(millis(CHECK_INTERVAL_MS), Event::Check);
    }

    /// Records the new headroom after a change of the live servers or the floor, which every node
    /// learns after a random delay.
    pub(super) fn publish_headroom(&mut self) {
        let live = self.servers.iter().filter(|server| server.live).count();
        let live = u32::try_from(live).expect("the number fits the type");
        self.headrooms.push(live.saturating_sub(self.floor));
        let version = u64::try_from(self.headrooms.len() - 1).expect("the number fits the type");
        for node in 0..NODES {
            let max_delay = if version == 0 { 1 } else { 5_000 };
            let delay = self.network.rng.random_range(0..max_delay);
            self.queue.push(millis(delay), Event::LearnHeadroom(node, version));
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].up = false;
        self.nodes[node].replica = None;
        for server in (0..SERVERS).filter(|server| Self::owner(*server) == node) {
            self.servers[server].permit = None;
        }
        let downtime = self.network.rng.random_range(5..2_000);
        self.queue.push(millis(downtime), Event::Restart(node));
    }

    pub(super) fn restart(&mut self, node: usize) {
        let now = self.local_time(node);
        let index = self.group.member_index(&node_name(node));
        let state = &mut self.nodes[node];
        state.up = true;
        state.incarnation += 1;
        let (mut incarnation, mut since) = (state.incarnation, now);
        if self.mutation == Some(Mutation::NoGrantDelay) {
            (incarnation, since) = (1, Time::ZERO);
        }
        state.replica = index.map(|_| {
            RegisterReplica::join(since, &node_name(node), incarnation, self.group.clone())
        });
    }

    /// Marks the server as healthy and releases its permit.
    pub(super) fn end_fault(&mut self, server: usize) {
        self.servers[server].severity = None;
        let Some(mut permit) = self.servers[server].permit.take() else { return };
        let request = permit.release(&self.group);
        self.transmit(Self::owner(server), &request);
    }
}
