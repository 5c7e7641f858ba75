//! The entries: choice of a server, retries, and the resends of callers.

use std::time::Duration;

use arbutuslane_balance::candidate::Serving;
use arbutuslane_balance::picker;
use arbutuslane_limit::budget::Origin;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::retry::{self, Decision, Outcome};
use rand::RngExt;

use super::event::Event;
use super::owner::AttemptRef;
use super::{Attempt, AttemptResult, SUMMARY_BURST, Sim};

/// The mean delay before a caller's first resend of a failed request. It doubles with each resend, up
/// to 16 times this value.
const FIRST_RESEND_DELAY: Duration = Duration::from_millis(100);

impl Sim<'_> {
    /// Chooses a server and sends the request to its owner.
    pub(super) fn send_attempt(&mut self, request: usize) {
        let now = self.now;
        let stored = self.requests.get(request);
        let (entry, class) = (stored.entry, stored.class);
        let chosen = if self.config.policy.uses_picker() {
            let choice = picker::Request { class, tried: &self.requests.get(request).tried };
            let pick = self.entries[entry].picker.pick(&choice, now, &mut self.rng);
            pick.and_then(|pick| {
                self.server_index(&pick.server).map(|server| (server, pick.is_trial))
            })
        } else {
            self.next_round_robin(entry, request).map(|server| (server, false))
        };
        let Some((server, is_trial)) = chosen else {
            self.requests.get(request).attempts_made += 1;
            return self.finish_without_response(request);
        };
        let name = self.servers[server].name.clone();
        let state = &mut self.entries[entry];
        state.picker.sent(&name, now);
        let mut summary = None;
        if self.config.policy.preference().is_some() {
            state.summarizer.sent(&name, class, self.last_attempt_id + 1, now);
            let summaries = &mut state.summary_bucket;
            summary = state.summarizer.due_summary(&name, class, now, |is_urgent| {
                summaries.take_with_reserve(if is_urgent { 0 } else { SUMMARY_BURST / 2 }, now)
            });
        }
        let stored = self.requests.get(request);
        stored.tried.push(name);
        stored.attempts_made += 1;
        self.last_attempt_id += 1;
        let attempt = self.attempts.insert(Attempt {
            id: self.last_attempt_id,
            request,
            server,
            is_trial,
            summary,
            started: now,
            result: AttemptResult::Pending,
            load: None,
        });
        let delay = self.hop_delay(entry, server);
        self.queue.push(now + delay, Event::ReachedOwner(attempt));
    }

    /// Returns the next server in round-robin order that was not tried and is not ejected.
    fn next_round_robin(&mut self, entry: usize, request: usize) -> Option<usize> {
        let count = self.servers.len();
        for _ in 0..count {
            let server = self.entries[entry].next_server % count;
            self.entries[entry].next_server += 1;
            let name = &self.servers[server].name;
            if self.requests.get(request).tried.contains(name)
                || self.rule.is_ejected(server, self.now)
            {
                continue;
            }
            return Some(server);
        }
        None
    }

    fn server_index(&self, name: &str) -> Option<usize> {
        self.servers.binary_search_by(|server| server.name.as_str().cmp(name)).ok()
    }

    /// Handles the response of an attempt, or its failure, at the entry.
    pub(super) fn handle_at_entry(&mut self, attempt: usize) {
        let now = self.now;
        let AttemptRef { server, request, is_trial } = self.attempt_ref(attempt);
        let result = self.attempts.get(attempt).result;
        let load = self.attempts.get(attempt).load;
        let id = self.attempts.get(attempt).id;
        self.attempts.remove(attempt);
        let stored = self.requests.get(request);
        let (entry, class) = (stored.entry, stored.class);
        let name = self.servers[server].name.clone();
        let state = &mut self.entries[entry];
        if let Some(load) = load {
            state.picker.report(&name, &load, now);
        }
        state.summarizer.ended(id);
        match result {
            AttemptResult::Answered { latency, success } => {
                state.picker.record_response(&name, now, Some(latency), success);
                if !is_trial {
                    state.summarizer.observe(&name, class, latency, success, now);
                }
                if success {
                    return self.finish_with_response(request);
                }
                self.retry_or_finish(request, Outcome::Failed, is_trial);
            }
            AttemptResult::Unreachable => {
                state.picker.record_response(&name, now, None, false);
                state.picker.unreachable(&name, now);
                self.retry_or_finish(request, Outcome::NotRun, is_trial);
            }
            AttemptResult::NotRun | AttemptResult::Pending => {
                state.picker.record_response(&name, now, None, false);
                let is_open = load.is_some_and(|load| load.serving == Serving::Open);
                if is_open && !is_trial {
                    state.picker.refused(&name, now);
                    state.summarizer.refused(&name, class, now);
                }
                self.retry_or_finish(request, Outcome::NotRun, is_trial);
            }
        }
    }

    /// Sends the request again, or ends it when a retry is unsafe or exceeds a limit.
    fn retry_or_finish(&mut self, request: usize, outcome: Outcome, is_trial: bool) {
        let now = self.now;
        let is_counted = self.has_fault_started();
        let stored = self.requests.get(request);
        // The fleet chose to send a trial, so a declined or failed one is not charged to the budget.
        if is_trial && !stored.deadline.is_expired(now) {
            return self.send_attempt(request);
        }
        let attempt = retry::Attempt {
            class: stored.class,
            outcome,
            made: stored.attempts_made,
            limit: retry::DEFAULT_MAX_ATTEMPTS,
            response_started: false,
            deadline: stored.deadline,
        };
        let entry = stored.entry;
        match retry::decide(&attempt, &mut self.entries[entry].retry_budget, now) {
            Decision::Retry => {
                if is_counted {
                    self.outcome.retries += 1;
                }
                self.send_attempt(request);
            }
            Decision::Unsafe | Decision::Exhausted => self.finish_without_response(request),
        }
    }

    /// Ends a request with a successful response.
    fn finish_with_response(&mut self, request: usize) {
        let now = self.now;
        let stored = self.requests.get(request);
        let is_in_time = now <= stored.deadline.at();
        let latency = now.saturating_sub(stored.arrived);
        let is_counted = stored.arrived >= self.config.warm_up;
        let second = self.outcome.second(now);
        second.ended += 1;
        second.in_time += u32::from(is_in_time);
        if is_counted {
            self.outcome.in_time += u64::from(is_in_time);
            self.outcome.late += u64::from(!is_in_time);
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.outcome.latency.saturating_record(micros);
        }
        self.requests.remove(request);
    }

    /// Ends a request without a successful response; its caller may resend it later.
    fn finish_without_response(&mut self, request: usize) {
        let resends = self.requests.get(request).resends;
        self.outcome.second(self.now).ended += 1;
        if self.has_fault_started() {
            self.outcome.failed += 1;
        }
        if resends >= self.config.caller_resends {
            return self.requests.remove(request);
        }
        let delay = FIRST_RESEND_DELAY * (1 << resends.min(4));
        let jitter = self.rng.random_range(0.5..1.5);
        self.queue.push(self.now + delay.mul_f64(jitter), Event::Resend(request));
    }

    /// Sends a failed request of a caller again, as a new request through a random entry.
    pub(super) fn resend(&mut self, request: usize) {
        let service = &self.config.service;
        let entry = self.rng.random_range(0..self.entries.len());
        let stored = self.requests.get(request);
        stored.entry = entry;
        stored.arrived = self.now;
        stored.deadline = Deadline::after(self.now, service.deadline);
        stored.tried.clear();
        stored.attempts_made = 0;
        stored.resends += 1;
        self.entries[entry].retry_budget.earn(Origin::Resend);
        if self.has_fault_started() {
            self.outcome.resends += 1;
        }
        self.send_attempt(request);
    }
}
