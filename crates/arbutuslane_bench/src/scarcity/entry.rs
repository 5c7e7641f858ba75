//! The entries: choice of a server, and further attempts.

use arbutuslane_limit::attempts::{AttemptFailure, Attempts, Effort};
use arbutuslane_limit::avoidance::Avoidance;
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::retry;
use arbutuslane_limit::tried::TriedServers;
use rand::RngExt;

use arbutuslane_balance::picker;

use super::{Attempt, AttemptResult, Event, Request, Sim};

impl Sim<'_> {
    pub(super) fn handle_arrival(&mut self, kind: usize) {
        self.push_arrival(kind);
        let entry = self.rng.random_range(0..self.entries.len());
        let described = self.plan.kinds[kind];
        let deadline = Deadline::after(self.now, described.timeout);
        let attempts = Attempts::new(described.class, self.plan.attempts, deadline)
            .with_max_owners(self.entries[entry].acceptance.max_owners());
        let effort = attempts.first_effort();
        let tried = TriedServers::default();
        let request = Request { kind, entry, arrived: self.now, deadline, attempts, tried };
        self.outcome.fates[kind].offered += 1;
        let request = self.requests.insert(request);
        self.send_attempt(request, effort);
    }

    /// Sends the request to the best server that it may use, or ends it without one.
    fn send_attempt(&mut self, request: usize, effort: Effort) {
        let now = self.now;
        let stored = self.requests.get(request);
        let entry = &mut self.entries[stored.entry];
        let class = self.plan.kinds[stored.kind].class;
        let wanted = stored.tried.shortest_wait(effort);
        let exclusions = stored.tried.exclusions(effort);
        let wanted = wanted.and_then(|wanted| entry.picker.pick_named(&wanted));
        let pick = wanted.or_else(|| {
            entry.avoided.select(exclusions, now, |tried| {
                entry.picker.pick(&picker::Request { class, tried }, now, &mut self.rng)
            })
        });
        let Some(pick) = pick else {
            self.outcome.fates[stored.kind].refused += 1;
            return self.requests.remove(request);
        };
        exclusions.push(pick.server.clone());
        entry.picker.sent(&pick.server, now);
        let is_repeat = stored.attempts.is_repeat();
        let entry = stored.entry;
        let server = self.owners.iter().position(|owner| owner.name == pick.server);
        let server = server.unwrap_or_default();
        let attempt =
            Attempt { request, server, effort, is_repeat, started: now, result: None, load: None };
        let attempt = self.attempts.insert(attempt);
        self.outcome.questions += 1;
        self.queue.push(now + self.hop_delay(entry, server), Event::ReachedOwner(attempt));
    }

    /// Handles the end of an attempt at the entry.
    pub(super) fn handle_at_entry(&mut self, attempt: usize) {
        let now = self.now;
        let Attempt { request, server, effort, result, load, .. } =
            self.attempts.get(attempt).clone();
        self.attempts.remove(attempt);
        let Some(result) = result else { return };
        let stored = self.requests.get(request);
        let kind = self.plan.kinds[stored.kind];
        let entry = &mut self.entries[stored.entry];
        let name = &self.owners[server].name;
        if let Some(load) = load {
            entry.picker.report(name, &load, now);
        }
        let (latency, success) = match result {
            AttemptResult::Answered { latency, success } => (Some(latency), success),
            _ => (None, false),
        };
        entry.picker.record_response(name, now, latency, success);
        let accepted = match result {
            AttemptResult::Answered { .. } => Some(true),
            AttemptResult::Full(_) => Some(false),
            AttemptResult::Suspect(_) | AttemptResult::RepeatLimit => None,
        };
        if let Some(accepted) = accepted.filter(|_| effort != Effort::Insist) {
            entry.acceptance.record(accepted);
        }
        if success {
            let in_time = now.saturating_sub(stored.arrived) <= kind.objective;
            let fate = &mut self.outcome.fates[stored.kind];
            *if in_time { &mut fate.in_time } else { &mut fate.late } += 1;
            return self.requests.remove(request);
        }
        let (failure, wait) = match result {
            AttemptResult::Answered { .. } => (AttemptFailure::Sent(retry::Outcome::Failed), None),
            AttemptResult::Full(wait) => (AttemptFailure::Busy, Some(wait)),
            AttemptResult::Suspect(wait) => (AttemptFailure::Suspect, Some(wait)),
            AttemptResult::RepeatLimit => (AttemptFailure::RepeatLimit, None),
        };
        match result {
            AttemptResult::Full(_) => entry.picker.refused(name, now),
            AttemptResult::Suspect(wait) => {
                entry.avoided.add(name, Avoidance::Suspect(wait), now);
            }
            _ => {}
        }
        let names: Vec<_> = entry.picker.candidates().map(|known| &known.server).collect();
        let untried = entry.avoided.untried(names, stored.tried.exclusions(effort), now);
        let mut budget = RetryBudget::unlimited();
        let next = stored.attempts.next_effort(failure, untried, &mut budget, now);
        stored.tried.record_failure(effort, Some(failure));
        stored.tried.record_wait(Some(failure), wait);
        let Some(next) = next else {
            let has_run = stored.attempts.may_have_run();
            let fate = &mut self.outcome.fates[stored.kind];
            *if has_run { &mut fate.failed } else { &mut fate.refused } += 1;
            return self.requests.remove(request);
        };
        self.send_attempt(request, next);
    }
}
