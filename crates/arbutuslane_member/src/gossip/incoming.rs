//! Requests of peers, and the answers and failures of this process's own requests.

use std::sync::Arc;

use arbutuslane_core::hash;
use arbutuslane_core::id::NodeId;
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;

use crate::configuration::Position;
use crate::detector::Outcome;
use crate::effect::{Call, Effect, Ticket};
use crate::gossip::{CALL_TIMEOUT, Gossip, Purpose, REFUTATIONS};
use crate::message::{Answer, Digest, Held, Message, Verdict};
use crate::record::{Standing, View};
use crate::table::BUCKETS;

/// The largest number of records in a difference that are pushed on; a larger difference is a table
/// that was far behind, and the rest of the fleet has its content.
const PUSHED_ON: usize = 16;

/// The number of nodes that tell a suspect about the suspicion.
const NOTIFIERS: u64 = 8;

impl Gossip {
    /// Answers a request of a peer; `ticket` names it in the effects.
    pub fn handle(&mut self, now: Time, ticket: Ticket, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        let answer = match message {
            Message::Digest(theirs) => {
                let differs = theirs.hash != self.table.hash();
                let buckets = if differs { self.table.buckets().to_vec() } else { Vec::new() };
                Answer::Digest { digest: self.digest(), buckets }
            }
            Message::Compare { buckets, verdicts } => {
                let (records, wanted) = self.table.difference(&buckets, &verdicts);
                Answer::Difference { records, wanted }
            }
            Message::Push { records, verdicts } => {
                self.learn(now, &records, true, &mut effects);
                self.judge(now, &verdicts, &mut effects);
                Answer::Done
            }
            Message::Probe { node, seen, .. } if self.refuted(&node, seen) => {
                Answer::Probed { reached: true }
            }
            Message::Probe { node, address, .. } => {
                let message = Message::Digest(self.digest());
                let purpose = Purpose::OnBehalf { node, ticket };
                self.call(address, message, purpose, CALL_TIMEOUT, &mut effects);
                return effects;
            }
            Message::Fetch { known } => Answer::Configuration(self.history.since(known)),
            Message::Offer(payload) => {
                if payload.position() > self.history.position() {
                    effects.push(Effect::Apply(payload));
                }
                Answer::Done
            }
        };
        effects.push(Effect::Reply { ticket, answer });
        effects
    }

    /// Takes the answer to one of this process's own requests, or nothing when there was none.
    pub fn answered(
        &mut self,
        now: Time,
        rng: &mut Rng,
        call: Call,
        answer: Option<Answer>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(index) = self.pending.iter().position(|pending| pending.call == call) else {
            return effects;
        };
        let pending = self.pending.swap_remove(index);
        match (pending.purpose, answer) {
            (Purpose::Exchange { node, probe }, Some(Answer::Digest { digest, buckets }))
                if node.as_ref().is_none_or(|node| *node == digest.node) =>
            {
                if probe {
                    self.detector.answered(&digest.node);
                    self.detector.clear(&digest.node);
                }
                self.compare(&digest, &buckets, pending.address, &mut effects);
            }
            (Purpose::Exchange { node: Some(node), probe: true }, _) => {
                self.ask_helpers(now, &node, rng, &mut effects);
            }
            (Purpose::Helper { node }, answer) => {
                let reached = match answer {
                    Some(Answer::Probed { reached }) => Some(reached),
                    _ => None,
                };
                let outcome = self.detector.found(&node, reached);
                self.conclude(now, &node, outcome, &mut effects);
            }
            (Purpose::OnBehalf { node, ticket }, answer) => {
                let reached = match answer {
                    Some(Answer::Digest { digest, .. }) => digest.node == node,
                    _ => false,
                };
                effects.push(Effect::Reply { ticket, answer: Answer::Probed { reached } });
            }
            (Purpose::Compare { buckets }, Some(Answer::Difference { records, wanted })) => {
                let small = records.len() <= PUSHED_ON;
                self.learn(now, &records, small, &mut effects);
                self.supply(&buckets, &wanted, pending.address, &mut effects);
            }
            (Purpose::Fetch, answer) => {
                self.fetching = false;
                if let Some(Answer::Configuration(Some(payload))) = answer
                    && payload.position() > self.history.position()
                {
                    effects.push(Effect::Apply(payload));
                }
            }
            _ => {}
        }
        effects
    }

    /// Continues an exchange after the peer's digest.
    fn compare(
        &mut self,
        theirs: &Digest,
        buckets: &[u64],
        address: String,
        effects: &mut Vec<Effect>,
    ) {
        if theirs.node == self.own.node {
            return;
        }
        if !self.settled && !self.asked.contains(&theirs.node) {
            self.asked.push(theirs.node.clone());
            self.required = self.required.max(theirs.position);
        }
        self.align(theirs.position, address.clone(), effects);
        if buckets.len() != usize::from(BUCKETS) {
            return;
        }
        let mut differing = Vec::new();
        for (index, (mine, theirs)) in (0..BUCKETS).zip(self.table.buckets().iter().zip(buckets)) {
            if mine != theirs {
                differing.push(index);
            }
        }
        if differing.is_empty() {
            return;
        }
        let verdicts = self.table.verdicts(&differing);
        let message = Message::Compare { buckets: differing.clone(), verdicts };
        let purpose = Purpose::Compare { buckets: differing };
        self.call(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Fetches newer configuration from a peer, or offers it what it lacks.
    fn align(&mut self, theirs: Position, address: String, effects: &mut Vec<Effect>) {
        let known = self.history.position();
        if theirs > known && !self.fetching {
            self.fetching = true;
            let message = Message::Fetch { known };
            self.call(address, message, Purpose::Fetch, CALL_TIMEOUT * 4, effects);
        } else if let Some(payload) = self.history.since(theirs) {
            let message = Message::Offer(payload);
            self.call(address, message, Purpose::Send, CALL_TIMEOUT * 4, effects);
        }
    }

    /// Sends a peer the records that it lacks.
    fn supply(
        &mut self,
        buckets: &[u16],
        wanted: &[NodeId],
        address: String,
        effects: &mut Vec<Effect>,
    ) {
        if buckets.is_empty() || wanted.is_empty() {
            return;
        }
        let records = wanted.iter().filter_map(|node| self.table.held(node)).collect();
        let message = Message::Push { records, verdicts: Vec::new() };
        self.call(address, message, Purpose::Send, CALL_TIMEOUT * 4, effects);
    }

    /// Takes over records; pushes them on when `spread` is set.
    fn learn(&mut self, now: Time, records: &[Held], spread: bool, effects: &mut Vec<Effect>) {
        for held in records {
            if held.record.node == self.own.node {
                self.refute(now, held.record.order(), held.view);
                continue;
            }
            let before = self.table.get(&held.record.node).map(|known| known.view.standing);
            if !self.table.merge(now, held) {
                continue;
            }
            if before != Some(held.view.standing) {
                self.changed(&held.record.node, effects);
            }
            if spread {
                self.spread(&held.record.node, true);
            }
        }
    }

    /// Takes over views of known records and pushes them on.
    fn judge(&mut self, now: Time, verdicts: &[Verdict], effects: &mut Vec<Effect>) {
        for verdict in verdicts {
            if verdict.node == self.own.node {
                self.refute(now, (verdict.incarnation, verdict.version), verdict.view);
                continue;
            }
            let before = self.table.get(&verdict.node).map(|known| known.view.standing);
            if !self.table.judge(now, verdict) {
                continue;
            }
            if before != Some(verdict.view.standing) {
                self.changed(&verdict.node, effects);
            }
            self.spread(&verdict.node, false);
            if verdict.view.standing == Standing::Suspect {
                self.notify(verdict, effects);
            }
        }
    }

    /// Tells a suspect, so that it can refute also when most paths to it are cut.
    ///
    /// A hash picks about [`NOTIFIERS`] nodes of the fleet for each suspicion.
    fn notify(&mut self, verdict: &Verdict, effects: &mut Vec<Effect>) {
        let Some(known) = self.table.get(&verdict.node) else { return };
        let address = known.record.peers.clone();
        let key = format!("{} {} {}", verdict.node, verdict.version, verdict.view.round);
        let members = u64::try_from(self.table.nodes().len()).unwrap_or(u64::MAX);
        if hash::weight(&self.own.node, &key) % members >= NOTIFIERS {
            return;
        }
        let message = Message::Push { records: Vec::new(), verdicts: vec![verdict.clone()] };
        self.call(address, message, Purpose::Send, CALL_TIMEOUT, effects);
    }

    /// Returns true when a node has shown that it lives after the state `seen`.
    fn refuted(&self, node: &str, seen: (u64, u64, u64)) -> bool {
        self.table.get(node).is_some_and(|known| {
            let state = (known.record.incarnation, known.record.version, known.view.round);
            known.view.standing == Standing::Alive && state > seen
        })
    }

    /// Contradicts a view of this process that is not its own.
    fn refute(&mut self, now: Time, order: (u64, u64), view: View) {
        let mine = (self.own.order(), self.view);
        if (order, view) <= mine || self.view.standing == Standing::Left {
            return;
        }
        self.view.round = self.view.round.max(view.round) + 1;
        self.refuting = REFUTATIONS;
        if order > self.own.order() {
            let mut record = (*self.own).clone();
            if order.0 > record.incarnation {
                record.incarnation = order.0 + 1;
            }
            record.version = record.version.max(order.1) + 1;
            self.publish(now, record);
            return;
        }
        let held = Held { record: Arc::clone(&self.own), view: self.view };
        self.table.merge(now, &held);
        let node = self.own.node.clone();
        self.spread(&node, false);
    }

    /// Acts on the result of a probe.
    pub(super) fn conclude(
        &mut self,
        now: Time,
        node: &str,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        if outcome == Outcome::Reached {
            self.detector.clear(node);
        }
        let Outcome::Failed { deciding } = outcome else { return };
        let Some(known) = self.table.get(node).filter(|known| known.is_member()) else {
            self.detector.clear(node);
            return;
        };
        let (incarnation, version) = known.record.order();
        let round = known.view.round;
        let dead = self.detector.suspect(now, node, (incarnation, version, round), deciding);
        let standing = if dead { Standing::Dead } else { Standing::Suspect };
        let view = View { round, standing };
        let verdict = Verdict { node: node.to_string(), incarnation, version, view };
        self.judge(now, &[verdict], effects);
    }

    fn changed(&self, node: &str, effects: &mut Vec<Effect>) {
        if let Some(known) = self.table.get(node) {
            effects.push(Effect::Changed {
                node: node.to_string(),
                incarnation: known.record.incarnation,
                standing: known.view.standing,
            });
        }
    }
}
