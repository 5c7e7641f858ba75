//! The owner's side: admission, dispatch, judgement, permits.

use std::time::Duration;

use arbutuslane_balance::candidate::Load;
use arbutuslane_health::detector::Start;
use arbutuslane_health::ejection::{Permission, StageEvent, TrialResult};
use arbutuslane_limit::gate::{Admission, Arrival, QueueChange, Ticket};

use super::queue::Event;
use super::{GOSSIP, Gradient, RENEWAL, Result, Sim};
use crate::fault::{Fault, REPORT_LAG, WARM_UP};
use crate::sample::exponential;

/// Seconds between pauses of a server, on average, and the longest pause in seconds.
const PAUSE_EVERY: f64 = 60.0;
const PAUSE_MAX: f64 = 0.3;

/// The share of its service time after which a failing server answers with an error.
const FAILS_AFTER: f64 = 0.2;

impl Sim<'_> {
    pub(super) fn at_owner(&mut self, attempt: usize) {
        let now = self.now;
        let Attempted { server, request, trial } = self.attempted(attempt);
        if self.config.fault.is_gone(server, self.servers.len(), self.since_fault()) {
            return self.respond(attempt, Result::Unreachable);
        }
        let (class, deadline) = {
            let request = self.requests.get(request);
            (request.class, request.deadline)
        };
        if let Some(summary) = self.attempts.get(attempt).summary.take() {
            let entry = u64::try_from(self.requests.get(request).entry).unwrap_or(u64::MAX);
            self.servers[server].baseline.record(entry, summary, now);
        }
        let permission = self.servers[server].stage.admit(class, trial, now);
        if permission == Permission::Refused {
            return self.respond(attempt, Result::NotRun);
        }
        self.attempts.get(attempt).trial = permission == Permission::Trial;
        match self.servers[server].gate.arrive(now, Arrival::of_class(class, now, deadline)) {
            Admission::Run(ticket) => {
                self.servers[server].held.push((ticket, attempt));
                self.dispatch(attempt);
            }
            Admission::Queued { ticket, displaced } => {
                self.servers[server].held.push((ticket, attempt));
                if let Some(displaced) = displaced {
                    self.refuse_ticket(server, displaced);
                }
            }
            Admission::Refused(_) => {
                if permission == Permission::Trial {
                    self.step(server, StageEvent::TrialEnded(TrialResult::Cancelled));
                }
                self.respond(attempt, Result::NotRun);
            }
        }
    }

    fn dispatch(&mut self, attempt: usize) {
        let now = self.now;
        let Attempted { server, request, trial } = self.attempted(attempt);
        let (class, route, caller, deadline) = {
            let request = self.requests.get(request);
            (request.class, request.route, request.caller, request.deadline)
        };
        let since = self.since_fault();
        if server == 0 && since.is_some() {
            self.outcome.target_ran += 1;
        }
        let id = self.attempts.get(attempt).id;
        self.attempts.get(attempt).started = now;
        let start = Start { class, route, caller, at: now };
        if !trial {
            self.servers[server].detector.started(id, start);
        }
        let fails = self.config.fault.fails(server, caller, since);
        let slowdown = self.config.fault.slowdown(server, route, since);
        let drawn = self.config.service.shape.draw(&mut self.rng);
        let share = if fails { FAILS_AFTER } else { 1.0 };
        let time = drawn * self.servers[server].speed * slowdown * share;
        let time = self.with_pauses(server, Duration::from_secs_f64(time));
        let remaining = deadline.remaining(now);
        let success = !fails && time <= remaining;
        let time = time.min(remaining);
        self.attempts.get(attempt).result = Result::Answered { latency: time, success };
        self.queue.push(now + time, Event::End(attempt));
    }

    /// Returns the service time with the pauses of the server that fall into it.
    fn with_pauses(&mut self, server: usize, time: Duration) -> Duration {
        let mut pause = self.servers[server].pause;
        while pause.0 + pause.1 < self.now {
            let wait = exponential(PAUSE_EVERY, &mut self.rng);
            let length = exponential(0.1, &mut self.rng).min(PAUSE_MAX);
            let from = pause.0 + pause.1 + Duration::from_secs_f64(wait);
            pause = (from, Duration::from_secs_f64(length));
        }
        self.servers[server].pause = pause;
        let (from, length) = pause;
        if from >= self.now + time {
            return time;
        }
        time + (from + length).saturating_sub(self.now.max(from))
    }

    pub(super) fn service_end(&mut self, attempt: usize) {
        let now = self.now;
        let Attempted { server, trial, .. } = self.attempted(attempt);
        let Result::Answered { latency, success } = self.attempts.get(attempt).result else {
            return;
        };
        let id = self.attempts.get(attempt).id;
        let held = &mut self.servers[server].held;
        let ticket = held.iter().position(|(_, other)| *other == attempt);
        if let Some(place) = ticket {
            let (ticket, _) = held.swap_remove(place);
            let next = self.servers[server].gate.finish(ticket, now);
            self.follow(server, &next);
        }
        let state = &mut self.servers[server];
        state.latency =
            if state.latency.is_zero() { latency } else { (state.latency * 15 + latency) / 16 };
        self.adapt(server, latency);
        self.rule.observe(server, success, now);
        if self.config.policy.preference().is_some() {
            if trial {
                self.conclude_trial(server, attempt, latency, success);
            } else {
                let state = &mut self.servers[server];
                state.detector.finished(id, now, success, &state.baseline);
                self.judge(server);
            }
        }
        self.note_rule(server);
        self.respond(attempt, Result::Answered { latency, success });
    }

    fn conclude_trial(&mut self, server: usize, attempt: usize, latency: Duration, success: bool) {
        let request = self.attempts.get(attempt).request;
        let class = self.requests.get(request).class;
        let peers = self.servers[server].baseline.peers(class);
        let result = match (success, peers) {
            (false, _) => TrialResult::Failed,
            (true, Some(peers)) if latency > peers.p90 => TrialResult::Slow,
            (true, _) => TrialResult::Good,
        };
        self.step(server, StageEvent::TrialEnded(result));
    }

    /// Applies the gradient concurrency limit, when it is compared.
    fn adapt(&mut self, server: usize, latency: Duration) {
        if !self.config.gradient {
            return;
        }
        let slots = self.config.service.slots;
        let Gradient { mut long, mut short } = self.servers[server].gradient;
        let sample = latency.as_secs_f64();
        long = if long == 0.0 { sample } else { long + 0.002 * (sample - long) };
        short = if short == 0.0 { sample } else { short + 0.05 * (sample - short) };
        self.servers[server].gradient = Gradient { long, short };
        let gradient = (1.5 * long / short).clamp(0.2, 1.0);
        let all = u32::try_from(slots).unwrap_or(u32::MAX);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "1 to slots")]
        let limit = (gradient * f64::from(all)).ceil() as usize;
        let next = self.servers[server].gate.set_slots(limit, self.now);
        self.follow(server, &next);
    }

    fn follow(&mut self, server: usize, next: &QueueChange) {
        for ticket in &next.refuse {
            self.refuse_ticket(server, *ticket);
        }
        for ticket in &next.start {
            let held = &self.servers[server].held;
            let Some((_, attempt)) = held.iter().find(|(other, _)| other == ticket) else {
                continue;
            };
            self.dispatch(*attempt);
        }
    }

    pub(super) fn refuse_ticket(&mut self, server: usize, ticket: Ticket) {
        let held = &mut self.servers[server].held;
        let Some(place) = held.iter().position(|(other, _)| *other == ticket) else { return };
        let (_, attempt) = held.swap_remove(place);
        if self.attempts.get(attempt).trial {
            self.step(server, StageEvent::TrialEnded(TrialResult::Cancelled));
        }
        self.respond(attempt, Result::NotRun);
    }

    fn respond(&mut self, attempt: usize, result: Result) {
        let Attempted { server, request, .. } = self.attempted(attempt);
        let entry = self.requests.get(request).entry;
        let load = match self.config.fault {
            Fault::LaggingReports => {
                let seen = self.now.saturating_sub(REPORT_LAG);
                let reports = &self.servers[server].reports;
                reports.iter().rev().find(|(at, _)| *at <= seen).map(|(_, load)| *load)
            }
            _ => Some(self.load_of(server)),
        };
        let stored = self.attempts.get(attempt);
        stored.result = result;
        stored.load = if result == Result::Unreachable { None } else { load };
        let hop = self.hop(entry, server);
        self.queue.push(self.now + hop, Event::AtEntry(attempt));
    }

    pub(super) fn load_of(&self, server: usize) -> Load {
        let state = &self.servers[server];
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Load {
            in_flight: number(state.gate.in_flight()),
            queued: number(state.gate.queued()),
            slots: number(state.gate.slots()),
            latency: state.latency,
            serving: self.serving_of(server),
            ramp_percent: state.stage.ramp_percent(self.now),
        }
    }

    pub(super) fn judge(&mut self, server: usize) {
        if self.config.policy.preference().is_none() {
            return;
        }
        let now = self.now;
        let warming = self.config.fault == Fault::ColdStart
            && server == 0
            && self.since_fault().is_some_and(|since| since < WARM_UP);
        let state = &mut self.servers[server];
        state.detector.set_warming(warming);
        let suspicion = state.detector.suspicion(now, &state.baseline);
        self.step(server, StageEvent::Evaluated(suspicion));
    }

    /// Applies an input to the server's stage and what follows from it.
    fn step(&mut self, server: usize, input: StageEvent) {
        let before = self.servers[server].stage;
        let after = before.step(input, self.now);
        self.servers[server].stage = after;
        if before.claim().is_some() && after.claim().is_none() {
            self.permits.withdraw(server);
        }
        if after.claim().is_some() && !self.servers[server].claiming {
            self.servers[server].claiming = true;
            let round_trip = self.config.service.hop * 2;
            self.queue.push(self.now + round_trip, Event::Claim(server));
        }
        if before.is_ejected() == after.is_ejected() {
            return;
        }
        let serving = self.serving_of(server);
        self.queue.push(self.now + GOSSIP, Event::gossip(server, serving));
        if !after.is_ejected() {
            self.permits.release(server);
            return;
        }
        self.note_ejection(server);
        self.servers[server].detector.reset();
        for ticket in self.servers[server].gate.refuse_queued() {
            self.refuse_ticket(server, ticket);
        }
    }

    fn permit_limit(&self) -> usize {
        let since = self.since_fault();
        let gone = |server: &usize| self.config.fault.is_gone(*server, self.servers.len(), since);
        let live = (0..self.servers.len()).filter(|server| !gone(server)).count();
        live.saturating_sub(self.config.service.floor)
    }

    pub(super) fn claim(&mut self, server: usize) {
        let Some(suspicion) = self.servers[server].stage.claim() else {
            self.servers[server].claiming = false;
            return;
        };
        let limit = self.permit_limit();
        if !self.permits.claim(server, suspicion.severity, limit) {
            self.queue.push(self.now + RENEWAL, Event::Claim(server));
            return;
        }
        self.servers[server].claiming = false;
        self.outcome.permits = self.outcome.permits.max(self.permits.held());
        self.step(server, StageEvent::PermitGranted);
    }

    pub(super) fn renewal(&mut self) {
        self.queue.push(self.now + RENEWAL, Event::Renewal);
        let limit = self.permit_limit();
        for server in self.permits.renew(limit) {
            self.step(server, StageEvent::PermitLost);
        }
        for server in &mut self.servers {
            server.baseline.expire(self.now);
        }
    }

    pub(super) fn attempted(&mut self, attempt: usize) -> Attempted {
        let attempt = self.attempts.get(attempt);
        Attempted { server: attempt.server, request: attempt.request, trial: attempt.trial }
    }
}

/// The parts of an attempt that most steps need.
pub(super) struct Attempted {
    pub(super) server: usize,
    pub(super) request: usize,
    pub(super) trial: bool,
}
