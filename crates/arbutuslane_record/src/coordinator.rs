//! Claims a register with a majority of its group.

use arbutuslane_core::id::{Attempt, Incarnation};

use crate::group::Group;
use crate::key::Key;
use crate::message::{Answer, Claim, Holding, Kind, Refusal, Request, Response};

/// What may be done with the request of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be dispatched once; the register is this attempt's.
    Dispatch,
    /// An earlier request with the key got this response.
    Replay(Answer),
    /// An earlier request with the key runs, or has run and its response is not kept.
    Unknown,
    /// The key belongs to a different request.
    Mismatch,
    /// No majority; the request is refused as not run.
    NotRun,
}

/// One attempt to claim a register.
///
/// After any decision but [`Decision::Dispatch`] the caller sends [`Coordinator::withdraw`] to every
/// member, and after the dispatched request has run, [`Coordinator::complete`].
#[derive(Debug, Clone)]
pub struct Coordinator {
    group: Group,
    claim: Claim,
    replies: Vec<Option<(Vec<Incarnation>, Holding)>>,
    decided: Option<Decision>,
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
        let replies = vec![None; group.members.len()];
        (Self { group, claim: claim.clone(), replies, decided: None }, claim)
    }

    /// Returns the group that is asked.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Takes the response of the member `from`; returns the decision once, when there is one.
    pub fn replied(&mut self, from: &str, response: &Response) -> Option<Decision> {
        let Response::Claim { epoch, incarnations, holding } = response else { return None };
        let place = self.group.place(from)?;
        if self.decided.is_some() {
            return None;
        }
        let valid = *epoch == self.group.epoch && incarnations.len() == self.group.members.len();
        let reply = match holding {
            Holding::Accepted if !valid => (Vec::new(), Holding::Refused(Refusal::Epoch)),
            holding if !valid => (Vec::new(), holding.clone()),
            holding => (incarnations.clone(), holding.clone()),
        };
        self.replies[place] = Some(reply);
        self.decide(false)
    }

    /// Ends the attempt when replies are missing; returns the decision unless there was one.
    pub fn expired(&mut self) -> Option<Decision> {
        if self.decided.is_some() {
            return None;
        }
        self.decide(true)
    }

    /// Returns the request that gives up the attempt.
    ///
    /// It may be sent only when the attempt did not and will not dispatch, or its dispatch provably
    /// did not run.
    pub fn withdraw(&self) -> Request {
        let Claim { shard, key, attempt, .. } = self.claim;
        Request::Withdraw { shard, key, attempt }
    }

    /// Returns the request that records the response of the dispatched request.
    pub fn complete(&self, answer: Option<Answer>) -> Request {
        Request::Complete { claim: self.claim.clone(), answer }
    }

    fn decide(&mut self, expired: bool) -> Option<Decision> {
        let accepted = self.accepted();
        let missing = self.replies.iter().filter(|reply| reply.is_none()).count();
        let decision = if accepted >= self.group.majority() {
            Decision::Dispatch
        } else if let Some(decision) = self.settled() {
            decision
        } else if !expired && accepted + missing >= self.group.majority() {
            return None;
        } else if !expired && missing > 0 && (1..self.group.majority()).contains(&self.taken()) {
            // A reply on its way may carry the response to replay.
            return None;
        } else if self.may_have_run(missing) {
            Decision::Unknown
        } else {
            Decision::NotRun
        };
        self.decided = Some(decision.clone());
        Some(decision)
    }

    /// Returns the number of members whose acceptance still stands: not those of which another
    /// accepting member knows a later incarnation, since they have forgotten it.
    fn accepted(&self) -> usize {
        let mut latest = vec![0; self.replies.len()];
        let accepting = |reply: &Option<(Vec<Incarnation>, Holding)>| {
            reply.as_ref().is_some_and(|(_, holding)| *holding == Holding::Accepted)
        };
        for (incarnations, _) in self.replies.iter().flatten() {
            for (latest, incarnation) in latest.iter_mut().zip(incarnations) {
                *latest = (*latest).max(*incarnation);
            }
        }
        let mut count = 0;
        for (place, reply) in self.replies.iter().enumerate() {
            let incarnation = reply.as_ref().and_then(|(incarnations, _)| incarnations.get(place));
            if accepting(reply) && incarnation == latest.get(place) {
                count += 1;
            }
        }
        count
    }

    /// Returns the decision that one reply is enough for.
    fn settled(&self) -> Option<Decision> {
        for (_, holding) in self.replies.iter().flatten() {
            let Holding::Taken { fingerprint, complete, answer, .. } = holding else { continue };
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

    fn taken(&self) -> usize {
        let replies = self.replies.iter().flatten();
        replies.filter(|(_, holding)| matches!(holding, Holding::Taken { .. })).count()
    }

    /// Returns true when some other attempt can hold a majority, as far as the replies tell.
    fn may_have_run(&self, missing: usize) -> bool {
        let mut attempts: Vec<Attempt> = Vec::new();
        for (_, holding) in self.replies.iter().flatten() {
            if let Holding::Taken { attempt, .. } = holding {
                attempts.push(*attempt);
            }
        }
        let refused = self.replies.iter().flatten();
        let refused = refused.filter(|(_, holding)| matches!(holding, Holding::Refused(_))).count();
        attempts.iter().any(|attempt| {
            let held = attempts.iter().filter(|other| *other == attempt).count();
            held + missing + refused >= self.group.majority()
        })
    }
}
