//! The owners: admission, dispatch and the standing of their servers.

use std::time::Duration;

use arbutuslane_balance::candidate::{Load, Serving};
use arbutuslane_limit::attempts::Effort;
use arbutuslane_limit::gate::{Admission, Arrival, QueueChange, Ticket};
use arbutuslane_limit::repeats::Precedence;
use rand::RngExt;

use super::{
    Attempt, AttemptResult, Event, FAILING_SHARE, FAILURE_TIME, HEALTHY_FAILURE_SHARE, Sim,
};

/// The time that it takes to forward a request to another server.
const FORWARDING_TIME: Duration = Duration::from_millis(5);

impl Sim<'_> {
    /// Admits, queues or refuses an attempt that reached the owner of its server.
    pub(super) fn handle_at_owner(&mut self, attempt: usize) {
        if let Some(refusal) = self.refusal(attempt) {
            return self.respond(attempt, refusal);
        }
        let (server, arrival) = (self.attempts.get(attempt).server, self.arrival(attempt));
        match self.owners[server].gate.arrive(self.now, arrival) {
            Admission::Run(ticket) => {
                self.owners[server].admitted.push((ticket, attempt));
                self.dispatch(attempt);
            }
            Admission::Queued { ticket, displaced } => {
                self.owners[server].admitted.push((ticket, attempt));
                if let Some(displaced) = displaced {
                    self.refuse(server, displaced);
                }
            }
            Admission::Refused(refusal) => {
                self.respond(attempt, AttemptResult::Full(refusal.retry_after));
            }
        }
    }

    /// Returns why the owner does not let an attempt enter the queue.
    fn refusal(&mut self, attempt: usize) -> Option<AttemptResult> {
        let now = self.now;
        let arrival = self.arrival(attempt);
        let Attempt { server, effort, is_repeat, request, .. } = *self.attempts.get(attempt);
        let class = self.plan.kinds[self.requests.get(request).kind].class;
        let owner = &mut self.owners[server];
        if is_repeat && !owner.repeats.admits(Precedence::Low, now) {
            return Some(AttemptResult::RepeatLimit);
        }
        if matches!(effort, Effort::Insist | Effort::Suspect) {
            return None;
        }
        if owner.streak.is_suspect() {
            let is_repeatable = class.is_repeatable() && effort == Effort::Ordinary;
            if let Err(wait) = owner.streak.try_start_trial(now, is_repeatable) {
                return Some(AttemptResult::Suspect(wait));
            }
        }
        let wait = owner.gate.predicted_wait(&arrival, now);
        (wait > FORWARDING_TIME).then_some(AttemptResult::Full(wait))
    }

    fn arrival(&mut self, attempt: usize) -> Arrival {
        let request = self.attempts.get(attempt).request;
        let request = self.requests.get(request);
        let kind = self.plan.kinds[request.kind];
        Arrival {
            kind: request.kind as u64,
            rank: kind.rank,
            precedence: 0,
            due: request.arrived + kind.objective,
            deadline: request.deadline,
            workspace: 0,
            weight: 1,
            is_call: false,
        }
    }

    /// Starts an attempt at its server and schedules its end.
    fn dispatch(&mut self, attempt: usize) {
        let now = self.now;
        let Attempt { request, server, is_repeat, .. } = *self.attempts.get(attempt);
        let owner = &mut self.owners[server];
        match is_repeat {
            true => owner.repeats.count_repeat(now),
            false => owner.repeats.count_first(now),
        }
        self.outcome.repeats += u64::from(is_repeat);
        let (kind, deadline) = {
            let request = self.requests.get(request);
            (request.kind, request.deadline)
        };
        let is_failing = self.is_failing(server);
        let share = if is_failing { FAILING_SHARE } else { HEALTHY_FAILURE_SHARE };
        let is_failed = self.rng.random::<f64>() < share;
        let time = match is_failing && is_failed {
            true => FAILURE_TIME,
            false => self.service_time(kind),
        };
        let left = deadline.remaining(now);
        let success = !is_failed && time <= left;
        let latency = time.min(left);
        let stored = self.attempts.get(attempt);
        stored.started = now;
        stored.result = Some(AttemptResult::Answered { latency, success });
        self.queue.push(now + latency, Event::ServiceEnded(attempt));
    }

    /// Ends the run of an attempt and starts those that waited for its slot.
    pub(super) fn finish_service(&mut self, attempt: usize) {
        let Attempt { server, result, .. } = *self.attempts.get(attempt);
        let Some(result @ AttemptResult::Answered { success, .. }) = result else { return };
        let owner = &mut self.owners[server];
        // A change of the standing needs no action: arriving requests ask for it.
        let _ = owner.streak.observe(success);
        if let Some(index) = owner.admitted.iter().position(|(_, other)| *other == attempt) {
            let (ticket, _) = owner.admitted.swap_remove(index);
            let change = owner.gate.finish(ticket, self.now);
            self.apply_change(server, &change);
        }
        self.respond(attempt, result);
    }

    fn apply_change(&mut self, server: usize, change: &QueueChange) {
        for ticket in &change.refuse {
            self.refuse(server, *ticket);
        }
        for ticket in &change.start {
            let admitted = &self.owners[server].admitted;
            let Some((_, attempt)) = admitted.iter().find(|(other, _)| other == ticket) else {
                continue;
            };
            self.dispatch(*attempt);
        }
    }

    /// Refuses the queued attempt that holds `ticket`.
    fn refuse(&mut self, server: usize, ticket: Ticket) {
        let admitted = &mut self.owners[server].admitted;
        let Some(index) = admitted.iter().position(|(other, _)| *other == ticket) else { return };
        let (_, attempt) = admitted.swap_remove(index);
        let wait = {
            let arrival = self.arrival(attempt);
            self.owners[server].gate.predicted_wait(&arrival, self.now)
        };
        self.respond(attempt, AttemptResult::Full(wait));
    }

    /// Sends the result of an attempt, with a load report, to its entry.
    fn respond(&mut self, attempt: usize, result: AttemptResult) {
        let Attempt { request, server, .. } = *self.attempts.get(attempt);
        let entry = self.requests.get(request).entry;
        let gate = &self.owners[server].gate;
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let load = Load {
            in_flight: number(gate.in_flight()),
            queued: number(gate.queued()),
            slots: number(gate.slots()),
            latency: Duration::ZERO,
            serving: Serving::Open,
            ramp_percent: 100,
        };
        let stored = self.attempts.get(attempt);
        stored.result = Some(result);
        stored.load = Some(load);
        self.queue.push(self.now + self.hop_delay(entry, server), Event::ReachedEntry(attempt));
    }
}
