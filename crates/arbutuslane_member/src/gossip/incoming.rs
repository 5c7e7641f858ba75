//! Handling of requests from peers, and of responses to this process's own requests.

use std::sync::Arc;

use arbutuslane_core::hash;
use arbutuslane_core::id::NodeId;
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;

use crate::configuration::Position;
use crate::detector::ProbeOutcome;
use crate::effect::{CallId, Effect, RequestId};
use crate::gossip::{CALL_TIMEOUT, Gossip, Purpose, REFUTATION_PUSHES};
use crate::message::{Digest, Message, NodeView, RecordWithView, Response};
use crate::record::{Standing, View};
use crate::table::BUCKET_COUNT;

/// The maximum number of records in a difference that are pushed to further peers. A larger
/// difference means that this table was far behind, and the rest of the fleet has the records.
const MAX_FORWARDED_RECORDS: usize = 16;

/// The approximate number of nodes that notify a suspect of the suspicion.
const SUSPECT_NOTIFIERS: u64 = 8;

impl Gossip {
    /// Handles a request from a peer; `request` identifies it in the effects.
    pub fn handle(&mut self, now: Time, request: RequestId, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        let response = match message {
            Message::Digest(theirs) => {
                let differs = theirs.hash != self.table.hash();
                let buckets = if differs { self.table.buckets().to_vec() } else { Vec::new() };
                Response::Digest { digest: self.digest(), buckets }
            }
            Message::Compare { buckets, views } => {
                let (records, wanted) = self.table.difference(&buckets, &views);
                Response::Difference { records, wanted }
            }
            Message::Push { records, views } => {
                self.merge_records(now, &records, true, &mut effects);
                self.merge_views(now, &views, &mut effects);
                Response::Done
            }
            Message::Probe { node, seen, .. } if self.has_refuted(&node, seen) => {
                Response::Probed { reached: true }
            }
            Message::Probe { node, address, .. } => {
                let message = Message::Digest(self.digest());
                let purpose = Purpose::ProbeOnBehalf { node, request };
                self.send_request(address, message, purpose, CALL_TIMEOUT, &mut effects);
                return effects;
            }
            Message::Fetch { known } => Response::Configuration(self.history.payload_since(known)),
            Message::Offer(payload) => {
                if payload.position() > self.history.position() {
                    effects.push(Effect::Apply(payload));
                }
                Response::Done
            }
        };
        effects.push(Effect::Respond { request, response });
        effects
    }

    /// Handles the response to one of this process's own requests; `response` is `None` when the
    /// request failed.
    pub fn handle_response(
        &mut self,
        now: Time,
        rng: &mut Rng,
        call: CallId,
        response: Option<Response>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(index) = self.pending_calls.iter().position(|pending| pending.call == call) else {
            return effects;
        };
        let pending = self.pending_calls.swap_remove(index);
        match (pending.purpose, response) {
            (Purpose::Exchange { node, probe }, Some(Response::Digest { digest, buckets }))
                if node.as_ref().is_none_or(|node| *node == digest.node) =>
            {
                if probe {
                    self.detector.end_probe(&digest.node);
                    self.detector.clear_suspicion(&digest.node);
                }
                self.continue_exchange(&digest, &buckets, pending.address, &mut effects);
            }
            (Purpose::Exchange { node: Some(node), probe: true }, _) => {
                self.request_indirect_probes(now, &node, rng, &mut effects);
            }
            (Purpose::IndirectProbe { node }, response) => {
                let reached = match response {
                    Some(Response::Probed { reached }) => Some(reached),
                    _ => None,
                };
                let outcome = self.detector.record_helper_report(&node, reached);
                self.apply_probe_outcome(now, &node, outcome, &mut effects);
            }
            (Purpose::ProbeOnBehalf { node, request }, response) => {
                let reached = match response {
                    Some(Response::Digest { digest, .. }) => digest.node == node,
                    _ => false,
                };
                effects.push(Effect::Respond { request, response: Response::Probed { reached } });
            }
            (Purpose::Compare { buckets }, Some(Response::Difference { records, wanted })) => {
                let forward = records.len() <= MAX_FORWARDED_RECORDS;
                self.merge_records(now, &records, forward, &mut effects);
                self.send_records(&buckets, &wanted, pending.address, &mut effects);
            }
            (Purpose::Fetch, response) => {
                self.fetch_pending = false;
                if let Some(Response::Configuration(Some(payload))) = response
                    && payload.position() > self.history.position()
                {
                    effects.push(Effect::Apply(payload));
                }
            }
            _ => {}
        }
        effects
    }

    /// Continues an exchange after the peer has sent its digest.
    fn continue_exchange(
        &mut self,
        theirs: &Digest,
        buckets: &[u64],
        address: String,
        effects: &mut Vec<Effect>,
    ) {
        if theirs.node == self.own_record.node {
            return;
        }
        if !self.startup_complete && !self.contacted.contains(&theirs.node) {
            self.contacted.push(theirs.node.clone());
            self.required_position = self.required_position.max(theirs.position);
        }
        self.sync_configuration(theirs.position, address.clone(), effects);
        if buckets.len() != usize::from(BUCKET_COUNT) {
            return;
        }
        let mut differing = Vec::new();
        for (index, (own, theirs)) in
            (0..BUCKET_COUNT).zip(self.table.buckets().iter().zip(buckets))
        {
            if own != theirs {
                differing.push(index);
            }
        }
        if differing.is_empty() {
            return;
        }
        let views = self.table.views(&differing);
        let message = Message::Compare { buckets: differing.clone(), views };
        let purpose = Purpose::Compare { buckets: differing };
        self.send_request(address, message, purpose, CALL_TIMEOUT, effects);
    }

    /// Fetches newer configuration from a peer, or sends the peer the configuration that it lacks.
    fn sync_configuration(&mut self, theirs: Position, address: String, effects: &mut Vec<Effect>) {
        let known = self.history.position();
        if theirs > known && !self.fetch_pending {
            self.fetch_pending = true;
            let message = Message::Fetch { known };
            self.send_request(address, message, Purpose::Fetch, CALL_TIMEOUT * 4, effects);
        } else if let Some(payload) = self.history.payload_since(theirs) {
            let message = Message::Offer(payload);
            self.send_request(address, message, Purpose::Send, CALL_TIMEOUT * 4, effects);
        }
    }

    /// Sends a peer the records that it lacks.
    fn send_records(
        &mut self,
        buckets: &[u16],
        wanted: &[NodeId],
        address: String,
        effects: &mut Vec<Effect>,
    ) {
        if buckets.is_empty() || wanted.is_empty() {
            return;
        }
        let records = wanted.iter().filter_map(|node| self.table.record_with_view(node)).collect();
        let message = Message::Push { records, views: Vec::new() };
        self.send_request(address, message, Purpose::Send, CALL_TIMEOUT * 4, effects);
    }

    /// Merges records into the table; queues the new ones for a push if `forward` is set.
    fn merge_records(
        &mut self,
        now: Time,
        records: &[RecordWithView],
        forward: bool,
        effects: &mut Vec<Effect>,
    ) {
        for received in records {
            if received.record.node == self.own_record.node {
                self.refute_view(now, received.record.order(), received.view);
                continue;
            }
            let before = self.table.get(&received.record.node).map(|known| known.view.standing);
            if !self.table.merge(now, received) {
                continue;
            }
            if before != Some(received.view.standing) {
                self.report_standing(&received.record.node, effects);
            }
            if forward {
                self.queue_update(&received.record.node, true);
            }
        }
    }

    /// Merges views of known records into the table and queues the new ones for a push.
    fn merge_views(&mut self, now: Time, views: &[NodeView], effects: &mut Vec<Effect>) {
        for node_view in views {
            if node_view.node == self.own_record.node {
                self.refute_view(now, (node_view.incarnation, node_view.version), node_view.view);
                continue;
            }
            let before = self.table.get(&node_view.node).map(|known| known.view.standing);
            if !self.table.merge_view(now, node_view) {
                continue;
            }
            if before != Some(node_view.view.standing) {
                self.report_standing(&node_view.node, effects);
            }
            self.queue_update(&node_view.node, false);
            if node_view.view.standing == Standing::Suspect {
                self.notify_suspect(node_view, effects);
            }
        }
    }

    /// Notifies a suspect of the suspicion, so that it can refute it even when most links to it are
    /// cut.
    ///
    /// A hash selects about [`SUSPECT_NOTIFIERS`] nodes of the fleet for each suspicion.
    fn notify_suspect(&mut self, node_view: &NodeView, effects: &mut Vec<Effect>) {
        let Some(known) = self.table.get(&node_view.node) else { return };
        let address = known.record.peers.clone();
        let key = format!("{} {} {}", node_view.node, node_view.version, node_view.view.round);
        let members = u64::try_from(self.table.nodes().len()).unwrap_or(u64::MAX);
        if hash::weight(&self.own_record.node, &key) % members >= SUSPECT_NOTIFIERS {
            return;
        }
        let message = Message::Push { records: Vec::new(), views: vec![node_view.clone()] };
        self.send_request(address, message, Purpose::Send, CALL_TIMEOUT, effects);
    }

    /// Returns whether a node is known to be alive in a newer state than `seen`.
    fn has_refuted(&self, node: &str, seen: (u64, u64, u64)) -> bool {
        self.table.get(node).is_some_and(|known| {
            let state = (known.record.incarnation, known.record.version, known.view.round);
            known.view.standing == Standing::Alive && state > seen
        })
    }

    /// Refutes a view of this process that is newer than its own.
    ///
    /// A view of a record that is newer than the own one requires a new record as well.
    fn refute_view(&mut self, now: Time, record_order: (u64, u64), view: View) {
        let own = (self.own_record.order(), self.own_view);
        if (record_order, view) <= own || self.own_view.standing == Standing::Left {
            return;
        }
        self.own_view.round = self.own_view.round.max(view.round) + 1;
        self.refutations_left = REFUTATION_PUSHES;
        if record_order > self.own_record.order() {
            let mut record = (*self.own_record).clone();
            if record_order.0 > record.incarnation {
                record.incarnation = record_order.0 + 1;
            }
            record.version = record.version.max(record_order.1) + 1;
            self.publish_own_state(now, record);
            return;
        }
        let own_state =
            RecordWithView { record: Arc::clone(&self.own_record), view: self.own_view };
        self.table.merge(now, &own_state);
        let node = self.own_record.node.clone();
        self.queue_update(&node, false);
    }

    /// Updates the standing of a node after a probe.
    pub(super) fn apply_probe_outcome(
        &mut self,
        now: Time,
        node: &str,
        outcome: ProbeOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if outcome == ProbeOutcome::Reached {
            self.detector.clear_suspicion(node);
        }
        let ProbeOutcome::Failed { confirming } = outcome else { return };
        let Some(known) = self.table.get(node).filter(|known| known.is_member()) else {
            self.detector.clear_suspicion(node);
            return;
        };
        let (incarnation, version) = known.record.order();
        let round = known.view.round;
        let is_dead =
            self.detector.record_failure(now, node, (incarnation, version, round), confirming);
        let standing = if is_dead { Standing::Dead } else { Standing::Suspect };
        let view = View { round, standing };
        let node_view = NodeView { node: node.to_string(), incarnation, version, view };
        self.merge_views(now, &[node_view], effects);
    }

    /// Adds the effect that reports the standing of a node.
    fn report_standing(&self, node: &str, effects: &mut Vec<Effect>) {
        if let Some(known) = self.table.get(node) {
            effects.push(Effect::StandingChanged {
                node: node.to_string(),
                incarnation: known.record.incarnation,
                standing: known.view.standing,
            });
        }
    }
}
