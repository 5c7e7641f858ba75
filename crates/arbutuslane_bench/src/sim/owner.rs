//! The owners: admission, dispatch, detection of unhealthy servers, and ejection permits.

use std::time::Duration;

use arbutuslane_balance::candidate::Load;
use arbutuslane_health::detector::Start;
use arbutuslane_health::ejection::{Permission, StageEvent, TrialResult};
use arbutuslane_limit::gate::{Admission, Arrival, QueueChange, Ticket};

use super::event::Event;
use super::{AttemptResult, GOSSIP_DELAY, Gradient, PERMIT_RENEWAL_INTERVAL, Sim};
use crate::fault::{COLD_START_WARM_UP, Fault, LOAD_REPORT_AGE};
use crate::sample::exponential;

/// The mean time in seconds between pauses of a server.
const MEAN_PAUSE_INTERVAL_S: f64 = 60.0;

/// The longest pause of a server in seconds.
const MAX_PAUSE_S: f64 = 0.3;

/// The share of the service time after which a failed request responds with an error.
const FAILURE_TIME_SHARE: f64 = 0.2;

impl Sim<'_> {
    /// Admits, queues or refuses an attempt that reached the owner of its server.
    pub(super) fn handle_at_owner(&mut self, attempt: usize) {
        let now = self.now;
        let AttemptRef { server, request, is_trial } = self.attempt_ref(attempt);
        if self.config.fault.is_server_lost(server, self.servers.len(), self.time_since_fault()) {
            return self.send_response(attempt, AttemptResult::Unreachable);
        }
        let (class, deadline) = {
            let request = self.requests.get(request);
            (request.class, request.deadline)
        };
        if let Some(summary) = self.attempts.get(attempt).summary.take() {
            let entry = u64::try_from(self.requests.get(request).entry).unwrap_or(u64::MAX);
            self.servers[server].baseline.record(entry, summary, now);
        }
        let permission = self.servers[server].stage.admit(class, is_trial, now);
        if permission == Permission::Refused {
            return self.send_response(attempt, AttemptResult::NotRun);
        }
        self.attempts.get(attempt).is_trial = permission == Permission::Trial;
        match self.servers[server].gate.arrive(now, Arrival::of_class(class, now, deadline)) {
            Admission::Run(ticket) => {
                self.servers[server].admitted.push((ticket, attempt));
                self.dispatch(attempt);
            }
            Admission::Queued { ticket, displaced } => {
                self.servers[server].admitted.push((ticket, attempt));
                if let Some(displaced) = displaced {
                    self.refuse_ticket(server, displaced);
                }
            }
            Admission::Refused(_) => {
                if permission == Permission::Trial {
                    self.apply_stage_input(server, StageEvent::TrialEnded(TrialResult::Cancelled));
                }
                self.send_response(attempt, AttemptResult::NotRun);
            }
        }
    }

    /// Starts an attempt at its server and schedules its end.
    fn dispatch(&mut self, attempt: usize) {
        let now = self.now;
        let AttemptRef { server, request, is_trial } = self.attempt_ref(attempt);
        let (class, route, caller, deadline) = {
            let request = self.requests.get(request);
            (request.class, request.route, request.caller, request.deadline)
        };
        let since = self.time_since_fault();
        if server == 0 && since.is_some() {
            self.outcome.target_ran += 1;
        }
        let id = self.attempts.get(attempt).id;
        self.attempts.get(attempt).started = now;
        let start = Start { class, route, caller, at: now };
        if !is_trial {
            self.servers[server].detector.started(id, start);
        }
        let is_failed = self.config.fault.fails(server, caller, since);
        let fault_factor = self.config.fault.service_time_factor(server, route, since);
        let healthy_time = self.config.service.shape.draw(&mut self.rng);
        let share = if is_failed { FAILURE_TIME_SHARE } else { 1.0 };
        let time = healthy_time * self.servers[server].service_time_factor * fault_factor * share;
        let time = self.add_pause(server, Duration::from_secs_f64(time));
        let remaining = deadline.remaining(now);
        let success = !is_failed && time <= remaining;
        let time = time.min(remaining);
        self.attempts.get(attempt).result = AttemptResult::Answered { latency: time, success };
        self.queue.push(now + time, Event::ServiceEnded(attempt));
    }

    /// Returns the service time plus the part of the server's next pause that delays it.
    fn add_pause(&mut self, server: usize, time: Duration) -> Duration {
        let mut pause = self.servers[server].pause;
        while pause.0 + pause.1 < self.now {
            let wait = exponential(MEAN_PAUSE_INTERVAL_S, &mut self.rng);
            let length = exponential(0.1, &mut self.rng).min(MAX_PAUSE_S);
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

    /// Ends the run of an attempt: updates gate, detector and rule, and sends the response.
    pub(super) fn finish_service(&mut self, attempt: usize) {
        let now = self.now;
        let AttemptRef { server, is_trial, .. } = self.attempt_ref(attempt);
        let AttemptResult::Answered { latency, success } = self.attempts.get(attempt).result else {
            return;
        };
        let id = self.attempts.get(attempt).id;
        let admitted = &mut self.servers[server].admitted;
        let index = admitted.iter().position(|(_, other)| *other == attempt);
        if let Some(index) = index {
            let (ticket, _) = admitted.swap_remove(index);
            let next = self.servers[server].gate.finish(ticket, now);
            self.apply_gate_changes(server, &next);
        }
        let state = &mut self.servers[server];
        state.average_latency = if state.average_latency.is_zero() {
            latency
        } else {
            (state.average_latency * 15 + latency) / 16
        };
        self.update_gradient_limit(server, latency);
        self.rule.observe(server, success, now);
        if self.config.policy.preference().is_some() {
            if is_trial {
                self.finish_trial(server, attempt, latency, success);
            } else {
                let state = &mut self.servers[server];
                state.detector.finished(id, now, success, &state.baseline);
                self.evaluate_detector(server);
            }
        }
        self.record_rule_ejection(server);
        self.send_response(attempt, AttemptResult::Answered { latency, success });
    }

    /// Applies the result of a trial; a success slower than the p90 of the peers counts as slow.
    fn finish_trial(&mut self, server: usize, attempt: usize, latency: Duration, success: bool) {
        let request = self.attempts.get(attempt).request;
        let class = self.requests.get(request).class;
        let peers = self.servers[server].baseline.peers(class);
        let result = match (success, peers) {
            (false, _) => TrialResult::Failed,
            (true, Some(peers)) if latency > peers.p90 => TrialResult::Slow,
            (true, _) => TrialResult::Good,
        };
        self.apply_stage_input(server, StageEvent::TrialEnded(result));
    }

    /// Updates the gradient concurrency limit when the configuration enables it.
    fn update_gradient_limit(&mut self, server: usize, latency: Duration) {
        if !self.config.gradient {
            return;
        }
        let slots = self.config.service.slots;
        let Gradient { mut long_term, mut short_term } = self.servers[server].gradient;
        let sample = latency.as_secs_f64();
        long_term =
            if long_term == 0.0 { sample } else { long_term + 0.002 * (sample - long_term) };
        short_term =
            if short_term == 0.0 { sample } else { short_term + 0.05 * (sample - short_term) };
        self.servers[server].gradient = Gradient { long_term, short_term };
        let gradient = (1.5 * long_term / short_term).clamp(0.2, 1.0);
        let all = u32::try_from(slots).unwrap_or(u32::MAX);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "1 to slots")]
        let limit = (gradient * f64::from(all)).ceil() as usize;
        let next = self.servers[server].gate.set_slots(limit, self.now);
        self.apply_gate_changes(server, &next);
    }

    /// Refuses and dispatches the attempts that the gate returned.
    fn apply_gate_changes(&mut self, server: usize, next: &QueueChange) {
        for ticket in &next.refuse {
            self.refuse_ticket(server, *ticket);
        }
        for ticket in &next.start {
            let admitted = &self.servers[server].admitted;
            let Some((_, attempt)) = admitted.iter().find(|(other, _)| other == ticket) else {
                continue;
            };
            self.dispatch(*attempt);
        }
    }

    /// Responds `NotRun` to the attempt that holds `ticket`.
    pub(super) fn refuse_ticket(&mut self, server: usize, ticket: Ticket) {
        let admitted = &mut self.servers[server].admitted;
        let Some(index) = admitted.iter().position(|(other, _)| *other == ticket) else { return };
        let (_, attempt) = admitted.swap_remove(index);
        if self.attempts.get(attempt).is_trial {
            self.apply_stage_input(server, StageEvent::TrialEnded(TrialResult::Cancelled));
        }
        self.send_response(attempt, AttemptResult::NotRun);
    }

    /// Sends the result of an attempt, with a load report, to its entry.
    fn send_response(&mut self, attempt: usize, result: AttemptResult) {
        let AttemptRef { server, request, .. } = self.attempt_ref(attempt);
        let entry = self.requests.get(request).entry;
        let load = match self.config.fault {
            Fault::LaggingReports => {
                let latest = self.now.saturating_sub(LOAD_REPORT_AGE);
                let reports = &self.servers[server].reports;
                reports.iter().rev().find(|(at, _)| *at <= latest).map(|(_, load)| *load)
            }
            _ => Some(self.load_report(server)),
        };
        let stored = self.attempts.get(attempt);
        stored.result = result;
        stored.load = if result == AttemptResult::Unreachable { None } else { load };
        let delay = self.hop_delay(entry, server);
        self.queue.push(self.now + delay, Event::ReachedEntry(attempt));
    }

    pub(super) fn load_report(&self, server: usize) -> Load {
        let state = &self.servers[server];
        let to_u32 = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Load {
            in_flight: to_u32(state.gate.in_flight()),
            queued: to_u32(state.gate.queued()),
            slots: to_u32(state.gate.slots()),
            latency: state.average_latency,
            serving: self.serving_state(server),
            ramp_percent: state.stage.ramp_percent(self.now),
        }
    }

    /// Evaluates the detector of a server and applies its suspicion to the ejection stage.
    pub(super) fn evaluate_detector(&mut self, server: usize) {
        if self.config.policy.preference().is_none() {
            return;
        }
        let now = self.now;
        let is_warming = self.config.fault == Fault::ColdStart
            && server == 0
            && self.time_since_fault().is_some_and(|since| since < COLD_START_WARM_UP);
        let state = &mut self.servers[server];
        state.detector.set_warming(is_warming);
        let suspicion = state.detector.suspicion(now, &state.baseline);
        self.apply_stage_input(server, StageEvent::Evaluated(suspicion));
    }

    /// Applies an input to the server's ejection stage, and updates its permit, the entries and its
    /// queue accordingly.
    fn apply_stage_input(&mut self, server: usize, input: StageEvent) {
        let before = self.servers[server].stage;
        let after = before.step(input, self.now);
        self.servers[server].stage = after;
        if before.claim().is_some() && after.claim().is_none() {
            self.permits.withdraw(server);
        }
        if after.claim().is_some() && !self.servers[server].is_claiming {
            self.servers[server].is_claiming = true;
            let round_trip = self.config.service.hop_delay * 2;
            self.queue.push(self.now + round_trip, Event::ClaimPermit(server));
        }
        if before.is_ejected() == after.is_ejected() {
            return;
        }
        let serving = self.serving_state(server);
        self.queue.push(self.now + GOSSIP_DELAY, Event::serving_update(server, serving));
        if !after.is_ejected() {
            self.permits.release(server);
            return;
        }
        self.record_ejection(server);
        self.servers[server].detector.reset();
        for ticket in self.servers[server].gate.refuse_queued() {
            self.refuse_ticket(server, ticket);
        }
    }

    /// Returns the number of ejections that the capacity floor allows.
    fn permit_limit(&self) -> usize {
        let since = self.time_since_fault();
        let is_lost =
            |server: &usize| self.config.fault.is_server_lost(*server, self.servers.len(), since);
        let live = (0..self.servers.len()).filter(|server| !is_lost(server)).count();
        live.saturating_sub(self.config.service.floor)
    }

    /// Claims the permit that the stage of a server waits for.
    pub(super) fn claim_permit(&mut self, server: usize) {
        let Some(suspicion) = self.servers[server].stage.claim() else {
            self.servers[server].is_claiming = false;
            return;
        };
        let limit = self.permit_limit();
        if !self.permits.claim(server, suspicion.severity, limit) {
            self.queue.push(self.now + PERMIT_RENEWAL_INTERVAL, Event::ClaimPermit(server));
            return;
        }
        self.servers[server].is_claiming = false;
        self.outcome.max_permits = self.outcome.max_permits.max(self.permits.held_count());
        self.apply_stage_input(server, StageEvent::PermitGranted);
    }

    /// Renews all permits and expires old summaries of peers.
    pub(super) fn renew_permits(&mut self) {
        self.queue.push(self.now + PERMIT_RENEWAL_INTERVAL, Event::RenewPermits);
        let limit = self.permit_limit();
        for server in self.permits.renew(limit) {
            self.apply_stage_input(server, StageEvent::PermitLost);
        }
        for server in &mut self.servers {
            server.baseline.expire(self.now);
        }
    }

    pub(super) fn attempt_ref(&mut self, attempt: usize) -> AttemptRef {
        let attempt = self.attempts.get(attempt);
        AttemptRef { server: attempt.server, request: attempt.request, is_trial: attempt.is_trial }
    }
}

/// The fields of an attempt that most handlers use.
pub(super) struct AttemptRef {
    pub(super) server: usize,
    pub(super) request: usize,
    pub(super) is_trial: bool,
}
