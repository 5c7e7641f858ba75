//! Claims a register at a majority of its group's replicas.

use arbutuslane_core::id::{Attempt, Incarnation};

use crate::group::Group;
use crate::key::Key;
use crate::message::{Claim, ClaimResult, Kind, Refusal, Request, Response, StoredResponse};

/// The outcome of a claim: what may be done with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A majority accepted the attempt, and its request may be dispatched once.
    Dispatch,
    /// An earlier request with the key has run and got this response, which is sent again.
    Replay(StoredResponse),
    /// An earlier request with the key may be running, or has run and its response is not stored.
    Unknown,
    /// The key was used for a request with another fingerprint.
    Mismatch,
    /// No majority accepted the claim; the request is refused as not run.
    NotRun,
}

/// One attempt to claim a register.
///
/// After [`Decision::Dispatch`] and the run of the request, the user of this type sends
/// [`Coordinator::complete`] to every member of the group. After any other decision it sends
/// [`Coordinator::withdraw`] to every member.
#[derive(Debug, Clone)]
pub struct Coordinator {
    group: Group,
    claim: Claim,
    responses: Vec<Option<(Vec<Incarnation>, ClaimResult)>>,
    decision: Option<Decision>,
}

impl Coordinator {
    /// Starts an attempt and returns the claim to send to every member of the group.
    pub fn claim(
        group: Group,
        key: Key,
        attempt: Attempt,
        fingerprint: u64,
        kind: Kind,
    ) -> (Self, Claim) {
        let claim =
            Claim { shard: group.shard, epoch: group.epoch, key, attempt, fingerprint, kind };
        let responses = vec![None; group.members.len()];
        (Self { group, claim: claim.clone(), responses, decision: None }, claim)
    }

    /// Returns the group whose members receive the claim.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Records the response of the member `from`.
    ///
    /// Returns the decision when this response settles it. Returns `None` while the decision is open
    /// and after it has been returned.
    pub fn replied(&mut self, from: &str, response: &Response) -> Option<Decision> {
        let Response::Claim { epoch, incarnations, result } = response else { return None };
        let index = self.group.member_index(from)?;
        if self.decision.is_some() {
            return None;
        }
        let valid = *epoch == self.group.epoch && incarnations.len() == self.group.members.len();
        let counted = match result {
            ClaimResult::Accepted if !valid => (Vec::new(), ClaimResult::Refused(Refusal::Epoch)),
            result if !valid => (Vec::new(), result.clone()),
            result => (incarnations.clone(), result.clone()),
        };
        self.responses[index] = Some(counted);
        self.decide(false)
    }

    /// Ends the attempt although responses are missing.
    ///
    /// Returns the decision, or `None` when it has been returned before.
    pub fn expired(&mut self) -> Option<Decision> {
        if self.decision.is_some() {
            return None;
        }
        self.decide(true)
    }

    /// Returns the request that withdraws the attempt.
    ///
    /// It may be sent only when the attempt did not and will not dispatch its request, or when the
    /// dispatched request provably did not run.
    pub fn withdraw(&self) -> Request {
        let Claim { shard, key, attempt, .. } = self.claim;
        Request::Withdraw { shard, key, attempt }
    }

    /// Returns the request that records that the dispatched request has run, with its response.
    pub fn complete(&self, answer: Option<StoredResponse>) -> Request {
        Request::Complete { claim: self.claim.clone(), answer }
    }

    fn decide(&mut self, expired: bool) -> Option<Decision> {
        let accepted = self.count_accepted();
        let missing = self.responses.iter().filter(|response| response.is_none()).count();
        let decision = if accepted >= self.group.majority() {
            Decision::Dispatch
        } else if let Some(decision) = self.conclusive_decision() {
            decision
        } else if !expired && accepted + missing >= self.group.majority() {
            return None;
        } else if !expired
            && missing > 0
            && (1..self.group.majority()).contains(&self.count_taken())
        {
            // A response that is still on its way may carry the stored response to replay.
            return None;
        } else if self.may_have_run(missing) {
            Decision::Unknown
        } else {
            Decision::NotRun
        };
        self.decision = Some(decision.clone());
        Some(decision)
    }

    /// Returns the number of members whose acceptance counts.
    ///
    /// An acceptance does not count when any response of this epoch carries a later incarnation of
    /// its member, because the member has restarted since and lost it.
    fn count_accepted(&self) -> usize {
        let mut latest = vec![0; self.responses.len()];
        let accepting = |response: &Option<(Vec<Incarnation>, ClaimResult)>| {
            response.as_ref().is_some_and(|(_, result)| *result == ClaimResult::Accepted)
        };
        for (incarnations, _) in self.responses.iter().flatten() {
            for (latest, incarnation) in latest.iter_mut().zip(incarnations) {
                *latest = (*latest).max(*incarnation);
            }
        }
        let mut count = 0;
        for (index, response) in self.responses.iter().enumerate() {
            let incarnation =
                response.as_ref().and_then(|(incarnations, _)| incarnations.get(index));
            if accepting(response) && incarnation == latest.get(index) {
                count += 1;
            }
        }
        count
    }

    /// Returns the decision that a single response settles, if there is such a response.
    fn conclusive_decision(&self) -> Option<Decision> {
        for (_, result) in self.responses.iter().flatten() {
            let ClaimResult::Taken { fingerprint, complete, answer, .. } = result else { continue };
            if *fingerprint != self.claim.fingerprint {
                return Some(Decision::Mismatch);
            }
            if let Some(answer) = answer {
                return Some(Decision::Replay(answer.clone()));
            }
            if *complete {
                return Some(Decision::Unknown);
            }
        }
        None
    }

    fn count_taken(&self) -> usize {
        let responses = self.responses.iter().flatten();
        responses.filter(|(_, result)| matches!(result, ClaimResult::Taken { .. })).count()
    }

    /// Returns true when another attempt may have been accepted by a majority.
    ///
    /// A member that refused or did not respond is counted as if it had accepted that attempt.
    fn may_have_run(&self, missing: usize) -> bool {
        let mut attempts: Vec<Attempt> = Vec::new();
        for (_, result) in self.responses.iter().flatten() {
            if let ClaimResult::Taken { attempt, .. } = result {
                attempts.push(*attempt);
            }
        }
        let refused = self.responses.iter().flatten();
        let refused =
            refused.filter(|(_, result)| matches!(result, ClaimResult::Refused(_))).count();
        attempts.iter().any(|attempt| {
            let held = attempts.iter().filter(|other| *other == attempt).count();
            held + missing + refused >= self.group.majority()
        })
    }
}
