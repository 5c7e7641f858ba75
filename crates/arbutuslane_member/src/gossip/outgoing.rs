//! Requests that a process initiates: exchanges, probes and pushes.

use arbutuslane_core::id::NodeId;
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;
use rand::RngExt;

use crate::effect::Effect;
use crate::gossip::{
    CALL_TIMEOUT, DEAD_EXCHANGE_PERIOD, Gossip, HELPER_TIMEOUT, MAX_CHANGES_PER_PUSH, PUSH_FANOUT,
    Purpose, SEED_EXCHANGE_PERIOD,
};
use crate::message::Message;
use crate::record::Standing;
use crate::table::KnownNode;

impl Gossip {
    /// Starts an exchange with a random member, or occasionally with a dead node or an unknown seed.
    ///
    /// Without the latter two, parts of the fleet that started separately or were partitioned would
    /// never connect. During startup, every other exchange goes to a seed.
    pub(super) fn start_exchange(&mut self, rng: &mut Rng, effects: &mut Vec<Effect>) {
        self.exchange_count += 1;
        if !self.startup_complete && !self.exchange_count.is_multiple_of(2) {
            return self.start_seed_exchange(self.exchange_count / 2, effects);
        }
        if self.exchange_count.is_multiple_of(SEED_EXCHANGE_PERIOD)
            && let Some(index) = self.random_unknown_seed(rng)
        {
            return self.start_seed_exchange(index, effects);
        }
        let try_dead = rng.random_range(0..DEAD_EXCHANGE_PERIOD) == 0;
        let target = if try_dead { self.random_dead_node(rng) } else { None };
        let target = target.or_else(|| self.random_members(rng, 1, &[]).pop());
        let Some((node, address)) = target else {
            return self.start_seed_exchange(self.exchange_count, effects);
        };
        let is_member = self.table.get(&node).is_some_and(KnownNode::is_member);
        let probe = is_member && self.detector.begin_probe(&node);
        let purpose = Purpose::Exchange { node: Some(node), probe };
        let message = Message::Digest(self.digest());
        self.send_request(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Starts an exchange with a seed; `number` is taken modulo the number of seeds.
    fn start_seed_exchange(&mut self, number: usize, effects: &mut Vec<Effect>) {
        let Some(index) = number.checked_rem(self.seeds.len()) else { return };
        let address = self.seeds[index].clone();
        let message = Message::Digest(self.digest());
        let purpose = Purpose::Exchange { node: None, probe: false };
        self.send_request(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Sends a direct probe to a suspect.
    pub(super) fn probe_suspect(&mut self, node: &str, effects: &mut Vec<Effect>) {
        let Some(known) = self.table.get(node).filter(|known| known.is_member()) else {
            self.detector.clear_suspicion(node);
            return;
        };
        let address = known.record.peers.clone();
        if !self.detector.begin_probe(node) {
            return;
        }
        let purpose = Purpose::Exchange { node: Some(node.to_string()), probe: true };
        let message = Message::Digest(self.digest());
        self.send_request(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Requests probes by helpers of a node that did not respond directly.
    pub(super) fn request_indirect_probes(
        &mut self,
        now: Time,
        node: &str,
        rng: &mut Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.table.get(node) else {
            self.detector.end_probe(node);
            return;
        };
        let address = known.record.peers.clone();
        let seen = (known.record.incarnation, known.record.version, known.view.round);
        let mut helpers =
            self.random_members(rng, self.detector.helper_count(now, node) * 2, &[node]);
        // Prefer helpers that are not suspect: suspects are less likely to respond, for example after
        // the loss of a whole failure domain.
        helpers.sort_by_key(|(helper, _)| self.is_suspect(helper));
        helpers.truncate(self.detector.helper_count(now, node));
        let outcome = self.detector.record_timeout(now, node, helpers.len());
        self.apply_probe_outcome(now, node, outcome, effects);
        for (_, helper) in helpers {
            let message = Message::Probe { node: node.to_string(), address: address.clone(), seen };
            let purpose = Purpose::IndirectProbe { node: node.to_string() };
            self.send_request(helper, message, purpose, HELPER_TIMEOUT, effects);
        }
    }

    /// Pushes queued changes to random members, and sends them a digest if the position has changed.
    ///
    /// Uses a random seed if no other member is known.
    pub(super) fn push_updates(&mut self, rng: &mut Rng, effects: &mut Vec<Effect>) {
        let position_changed = std::mem::take(&mut self.position_changed);
        let count = self.queued_updates.len().min(MAX_CHANGES_PER_PUSH);
        let mut records = Vec::new();
        let mut views = Vec::new();
        for update in self.queued_updates.drain(..count) {
            if update.includes_record {
                records.extend(self.table.record_with_view(&update.node));
            } else {
                views.extend(self.table.node_view(&update.node));
            }
        }
        let mut peers = self.random_members(rng, PUSH_FANOUT, &[]);
        if peers.is_empty() && !self.seeds.is_empty() {
            let seed = self.seeds[rng.random_range(0..self.seeds.len())].clone();
            peers.push((String::new(), seed));
        }
        for (node, address) in peers {
            if !records.is_empty() || !views.is_empty() {
                let message = Message::Push { records: records.clone(), views: views.clone() };
                self.send_request(address.clone(), message, Purpose::Send, CALL_TIMEOUT, effects);
            }
            if position_changed {
                let node = (!node.is_empty()).then_some(node);
                let purpose = Purpose::Exchange { node, probe: false };
                let message = Message::Digest(self.digest());
                self.send_request(address, message, purpose, CALL_TIMEOUT, effects);
            }
        }
    }

    /// Returns up to `count` distinct random members, never this process or one of `excluded`.
    pub(super) fn random_members(
        &self,
        rng: &mut Rng,
        count: usize,
        excluded: &[&str],
    ) -> Vec<(NodeId, String)> {
        let nodes = self.table.nodes();
        let mut picked: Vec<(NodeId, String)> = Vec::with_capacity(count);
        let is_candidate = |known: &KnownNode| {
            let node = known.record.node.as_str();
            known.is_member() && node != self.own_record.node && !excluded.contains(&node)
        };
        for _ in 0..count * 4 {
            let known = &nodes[rng.random_range(0..nodes.len())];
            let already_picked = picked.iter().any(|(node, _)| *node == known.record.node);
            if picked.len() < count && !already_picked && is_candidate(known) {
                picked.push((known.record.node.clone(), known.record.peers.clone()));
            }
        }
        let start = rng.random_range(0..nodes.len());
        for known in nodes[start..].iter().chain(&nodes[..start]) {
            if picked.len() >= count {
                break;
            }
            let already_picked = picked.iter().any(|(node, _)| *node == known.record.node);
            if !already_picked && is_candidate(known) {
                picked.push((known.record.node.clone(), known.record.peers.clone()));
            }
        }
        picked
    }

    /// Returns the index of a random seed at whose address no member is known.
    fn random_unknown_seed(&self, rng: &mut Rng) -> Option<usize> {
        let mut unknown = Vec::new();
        for (index, seed) in self.seeds.iter().enumerate() {
            if !self.table.members().any(|known| known.record.peers == *seed) {
                unknown.push(index);
            }
        }
        let pick = rng.random_range(0..unknown.len().max(1));
        unknown.get(pick).copied()
    }

    fn is_suspect(&self, node: &str) -> bool {
        self.table.get(node).is_some_and(|known| known.view.standing != Standing::Alive)
    }

    fn random_dead_node(&self, rng: &mut Rng) -> Option<(NodeId, String)> {
        let nodes = self.table.nodes();
        let start = rng.random_range(0..nodes.len());
        let mut rotated = nodes[start..].iter().chain(&nodes[..start]);
        let dead = rotated.find(|known| known.view.standing == Standing::Dead)?;
        Some((dead.record.node.clone(), dead.record.peers.clone()))
    }
}
