//! Requests that a process sends by itself: exchanges, probes and pushes.

use arbutuslane_core::id::NodeId;
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;
use rand::RngExt;

use crate::effect::Effect;
use crate::gossip::{
    CALL_TIMEOUT, DEAD_SHARE, FANOUT, Gossip, HELPER_TIMEOUT, PUSH_LIMIT, Purpose, SEED_PERIOD,
};
use crate::message::Message;
use crate::record::Standing;
use crate::table::Known;

impl Gossip {
    /// Starts an exchange with a random member, now and then with a dead one or an unknown seed.
    ///
    /// Without the latter, parts of the fleet that started or were parted alone would never meet.
    pub(super) fn exchange(&mut self, rng: &mut Rng, effects: &mut Vec<Effect>) {
        self.exchanges += 1;
        if !self.settled && !self.exchanges.is_multiple_of(2) {
            return self.exchange_seed(self.exchanges / 2, effects);
        }
        if self.exchanges.is_multiple_of(SEED_PERIOD)
            && let Some(index) = self.unknown_seed(rng)
        {
            return self.exchange_seed(index, effects);
        }
        let outside = rng.random_range(0..DEAD_SHARE) == 0;
        let target = if outside { self.dead_peer(rng) } else { None };
        let target = target.or_else(|| self.pick(rng, 1, &[]).pop());
        let Some((node, address)) = target else {
            return self.exchange_seed(self.exchanges, effects);
        };
        let member = self.table.get(&node).is_some_and(Known::is_member);
        let probe = member && self.detector.begin(&node);
        let purpose = Purpose::Exchange { node: Some(node), probe };
        let message = Message::Digest(self.digest());
        self.call(address, message, purpose, CALL_TIMEOUT, effects);
    }

    fn exchange_seed(&mut self, number: usize, effects: &mut Vec<Effect>) {
        let Some(index) = number.checked_rem(self.seeds.len()) else { return };
        let address = self.seeds[index].clone();
        let message = Message::Digest(self.digest());
        let purpose = Purpose::Exchange { node: None, probe: false };
        self.call(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Sends a direct probe to a suspect.
    pub(super) fn probe(&mut self, node: &str, effects: &mut Vec<Effect>) {
        let Some(known) = self.table.get(node).filter(|known| known.is_member()) else {
            self.detector.clear(node);
            return;
        };
        let address = known.record.peers.clone();
        if !self.detector.begin(node) {
            return;
        }
        let purpose = Purpose::Exchange { node: Some(node.to_string()), probe: true };
        let message = Message::Digest(self.digest());
        self.call(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Asks helpers about a node that did not answer.
    pub(super) fn ask_helpers(
        &mut self,
        now: Time,
        node: &str,
        rng: &mut Rng,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.table.get(node) else {
            self.detector.answered(node);
            return;
        };
        let address = known.record.peers.clone();
        let seen = (known.record.incarnation, known.record.version, known.view.round);
        let mut helpers = self.pick(rng, self.detector.helpers(now, node) * 2, &[node]);
        // Suspects answer less likely than others, as after the loss of a whole domain.
        helpers.sort_by_key(|(helper, _)| self.is_suspect(helper));
        helpers.truncate(self.detector.helpers(now, node));
        let outcome = self.detector.unanswered(now, node, helpers.len());
        self.conclude(now, node, outcome, effects);
        for (_, helper) in helpers {
            let message = Message::Probe { node: node.to_string(), address: address.clone(), seen };
            let purpose = Purpose::Helper { node: node.to_string() };
            self.call(helper, message, purpose, HELPER_TIMEOUT, effects);
        }
    }

    /// Pushes collected changes, or only a digest when a new position alone is to be told.
    pub(super) fn push(&mut self, rng: &mut Rng, effects: &mut Vec<Effect>) {
        let announce = std::mem::take(&mut self.announce);
        let count = self.rumours.len().min(PUSH_LIMIT);
        let mut records = Vec::new();
        let mut verdicts = Vec::new();
        for rumour in self.rumours.drain(..count) {
            if rumour.full {
                records.extend(self.table.held(&rumour.node));
            } else {
                verdicts.extend(self.table.verdict(&rumour.node));
            }
        }
        let mut peers = self.pick(rng, FANOUT, &[]);
        if peers.is_empty() && !self.seeds.is_empty() {
            let seed = self.seeds[rng.random_range(0..self.seeds.len())].clone();
            peers.push((String::new(), seed));
        }
        for (node, address) in peers {
            if !records.is_empty() || !verdicts.is_empty() {
                let message =
                    Message::Push { records: records.clone(), verdicts: verdicts.clone() };
                self.call(address.clone(), message, Purpose::Send, CALL_TIMEOUT, effects);
            }
            if announce {
                let node = (!node.is_empty()).then_some(node);
                let purpose = Purpose::Exchange { node, probe: false };
                let message = Message::Digest(self.digest());
                self.call(address, message, purpose, CALL_TIMEOUT, effects);
            }
        }
    }

    /// Returns up to `count` different random members without this process and `except`.
    pub(super) fn pick(
        &self,
        rng: &mut Rng,
        count: usize,
        except: &[&str],
    ) -> Vec<(NodeId, String)> {
        let nodes = self.table.nodes();
        let mut picked: Vec<(NodeId, String)> = Vec::with_capacity(count);
        let usable = |known: &Known| {
            let node = known.record.node.as_str();
            known.is_member() && node != self.own.node && !except.contains(&node)
        };
        for _ in 0..count * 4 {
            let known = &nodes[rng.random_range(0..nodes.len())];
            let taken = picked.iter().any(|(node, _)| *node == known.record.node);
            if picked.len() < count && !taken && usable(known) {
                picked.push((known.record.node.clone(), known.record.peers.clone()));
            }
        }
        let start = rng.random_range(0..nodes.len());
        for known in nodes[start..].iter().chain(&nodes[..start]) {
            if picked.len() >= count {
                break;
            }
            let taken = picked.iter().any(|(node, _)| *node == known.record.node);
            if !taken && usable(known) {
                picked.push((known.record.node.clone(), known.record.peers.clone()));
            }
        }
        picked
    }

    /// Returns a random seed at whose address no member is known.
    fn unknown_seed(&self, rng: &mut Rng) -> Option<usize> {
        let mut unknown = Vec::new();
        for (index, seed) in self.seeds.iter().enumerate() {
            if !self.table.members().any(|known| known.record.peers == *seed) {
                unknown.push(index);
            }
        }
        let choice = rng.random_range(0..unknown.len().max(1));
        unknown.get(choice).copied()
    }

    fn is_suspect(&self, node: &str) -> bool {
        self.table.get(node).is_some_and(|known| known.view.standing != Standing::Alive)
    }

    fn dead_peer(&self, rng: &mut Rng) -> Option<(NodeId, String)> {
        let nodes = self.table.nodes();
        let start = rng.random_range(0..nodes.len());
        let mut around = nodes[start..].iter().chain(&nodes[..start]);
        let dead = around.find(|known| known.view.standing == Standing::Dead)?;
        Some((dead.record.node.clone(), dead.record.peers.clone()))
    }
}
