//! The entry's side: choice, retries, hedges, and the callers' resends.

use std::time::Duration;

use arbutuslane_balance::candidate::Serving;
use arbutuslane_balance::picker;
use arbutuslane_limit::budget::Origin;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::hedge;
use arbutuslane_limit::retry::{self, Decision, Outcome};
use rand::RngExt;

use super::owner::Attempted;
use super::queue::Event;
use super::{Attempt, Result, SUMMARY_BURST, Sim};

/// A caller sends an unanswered request again after this time, doubled each time.
const RESEND_AFTER: Duration = Duration::from_millis(100);

impl Sim<'_> {
    /// Chooses a server and sends the request to its owner.
    pub(super) fn send(&mut self, request: usize) {
        let now = self.now;
        let (entry, class) = {
            let request = self.requests.get(request);
            (request.entry, request.class)
        };
        let chosen = if self.config.policy.uses_picker() {
            let choice = picker::Request { class, tried: &self.requests.get(request).tried };
            let pick = self.entries[entry].picker.pick(&choice, now, &mut self.rng);
            pick.and_then(|pick| self.place_of(&pick.server).map(|place| (place, pick.is_trial)))
        } else {
            self.next_in_turn(entry, request).map(|place| (place, false))
        };
        let Some((server, trial)) = chosen else {
            self.requests.get(request).made += 1;
            return self.give_up(request);
        };
        let name = self.servers[server].name.clone();
        let state = &mut self.entries[entry];
        state.picker.sent(&name, now);
        let mut summary = None;
        if self.config.policy.preference().is_some() {
            state.summarizer.sent(&name, class, self.next_id + 1, now);
            let summaries = &mut state.summaries;
            summary = state.summarizer.due_summary(&name, class, now, |is_urgent| {
                summaries.take_with_reserve(if is_urgent { 0 } else { SUMMARY_BURST / 2 }, now)
            });
        }
        let stored = self.requests.get(request);
        stored.tried.push(name);
        stored.made += 1;
        stored.outstanding += 1;
        self.next_id += 1;
        let attempt = self.attempts.insert(Attempt {
            id: self.next_id,
            request,
            server,
            trial,
            summary,
            started: now,
            result: Result::Pending,
            load: None,
        });
        let hop = self.hop(entry, server);
        self.queue.push(now + hop, Event::AtOwner(attempt));
    }

    fn next_in_turn(&mut self, entry: usize, request: usize) -> Option<usize> {
        let count = self.servers.len();
        for _ in 0..count {
            let place = self.entries[entry].next % count;
            self.entries[entry].next += 1;
            let name = &self.servers[place].name;
            if self.requests.get(request).tried.contains(name)
                || self.rule.is_ejected(place, self.now)
            {
                continue;
            }
            return Some(place);
        }
        None
    }

    fn place_of(&self, name: &str) -> Option<usize> {
        self.servers.binary_search_by(|server| server.name.as_str().cmp(name)).ok()
    }

    pub(super) fn at_entry(&mut self, attempt: usize) {
        let now = self.now;
        let Attempted { server, request, trial } = self.attempted(attempt);
        let result = self.attempts.get(attempt).result;
        let load = self.attempts.get(attempt).load;
        let id = self.attempts.get(attempt).id;
        self.attempts.remove(attempt);
        let (entry, class) = {
            let request = self.requests.get(request);
            request.outstanding -= 1;
            (request.entry, request.class)
        };
        let name = self.servers[server].name.clone();
        let state = &mut self.entries[entry];
        if let Some(load) = load {
            state.picker.report(&name, &load, now);
        }
        state.summarizer.ended(id);
        match result {
            Result::Answered { latency, success } => {
                state.picker.record_response(&name, now, Some(latency), success);
                if !trial {
                    state.summarizer.observe(&name, class, latency, success, now);
                }
                if success {
                    return self.succeed(request);
                }
                self.retry(request, Outcome::Failed, trial);
            }
            Result::Unreachable => {
                state.picker.record_response(&name, now, None, false);
                state.picker.unreachable(&name, now);
                self.retry(request, Outcome::NotRun, trial);
            }
            Result::NotRun | Result::Pending => {
                state.picker.record_response(&name, now, None, false);
                let is_open = load.is_some_and(|load| load.serving == Serving::Open);
                if is_open && !trial {
                    state.picker.refused(&name, now);
                    state.summarizer.refused(&name, class, now);
                }
                self.retry(request, Outcome::NotRun, trial);
            }
        }
    }

    fn retry(&mut self, request: usize, outcome: Outcome, trial: bool) {
        let now = self.now;
        let is_measured = self.is_measured();
        let stored = self.requests.get(request);
        if stored.done || stored.outstanding > 0 {
            return self.free(request);
        }
        // A declined or failed trial is the fleet's own doing and is not charged to the budget.
        if trial && !stored.deadline.is_expired(now) {
            return self.send(request);
        }
        let attempt = retry::Attempt {
            class: stored.class,
            outcome,
            made: stored.made,
            limit: retry::DEFAULT_MAX_ATTEMPTS,
            response_started: false,
            deadline: stored.deadline,
        };
        let entry = stored.entry;
        match retry::decide(&attempt, &mut self.entries[entry].budget, now) {
            Decision::Retry => {
                if is_measured {
                    self.outcome.retries += 1;
                }
                self.send(request);
            }
            Decision::Unsafe | Decision::Exhausted => self.give_up(request),
        }
    }

    fn succeed(&mut self, request: usize) {
        let now = self.now;
        let stored = self.requests.get(request);
        if stored.done {
            return self.free(request);
        }
        stored.done = true;
        let in_time = now <= stored.deadline.at();
        let latency = now.saturating_sub(stored.arrived);
        let is_counted = stored.arrived >= self.config.warm_up;
        let second = self.outcome.second(now);
        second.ended += 1;
        second.good += u32::from(in_time);
        if is_counted {
            self.outcome.good += u64::from(in_time);
            self.outcome.wasted += u64::from(!in_time);
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.outcome.latency.saturating_record(micros);
        }
        self.free(request);
    }

    fn give_up(&mut self, request: usize) {
        let stored = self.requests.get(request);
        if stored.done || stored.outstanding > 0 {
            return self.free(request);
        }
        stored.done = true;
        let sent_before = stored.sent_before;
        self.outcome.second(self.now).ended += 1;
        if self.is_measured() {
            self.outcome.failed += 1;
        }
        if sent_before < self.config.caller_resends {
            self.requests.get(request).timers += 1;
            let wait = RESEND_AFTER * (1 << sent_before.min(4));
            let spread = self.rng.random_range(0.5..1.5);
            self.queue.push(self.now + wait.mul_f64(spread), Event::Resend(request));
        }
        self.free(request);
    }

    pub(super) fn resend(&mut self, request: usize) {
        let service = &self.config.service;
        let entry = self.rng.random_range(0..self.entries.len());
        let stored = self.requests.get(request);
        stored.timers -= 1;
        let mut again = stored.clone();
        self.free(request);
        again.entry = entry;
        again.arrived = self.now;
        again.deadline = Deadline::after(self.now, service.deadline);
        again.tried.clear();
        again.made = 0;
        again.timers = 0;
        again.done = false;
        again.sent_before += 1;
        self.entries[entry].budget.earn(Origin::Resend);
        if self.is_measured() {
            self.outcome.resends += 1;
        }
        let place = self.requests.insert(again);
        self.start_hedge_timer(place);
        self.send(place);
    }

    pub(super) fn start_hedge_timer(&mut self, request: usize) {
        if !self.config.hedging {
            return;
        }
        let stored = self.requests.get(request);
        let (entry, class) = (stored.entry, stored.class);
        let summary = self.entries[entry].summarizer.summary("", class, self.now);
        let Some(delay) = hedge::delay(class, summary.map(|summary| summary.p90)) else { return };
        self.requests.get(request).timers += 1;
        self.queue.push(self.now + delay, Event::Hedge(request));
    }

    pub(super) fn hedge(&mut self, request: usize) {
        let stored = self.requests.get(request);
        stored.timers -= 1;
        if stored.done || stored.outstanding != 1 {
            return self.free(request);
        }
        let (entry, deadline) = (stored.entry, stored.deadline);
        let median = Duration::from_secs_f64(self.config.service.shape.median);
        if hedge::decide(deadline, median, &mut self.entries[entry].budget, self.now) {
            if self.is_measured() {
                self.outcome.hedges += 1;
            }
            self.send(request);
        }
    }

    /// Frees the request when nothing refers to it any more.
    fn free(&mut self, request: usize) {
        let stored = self.requests.get(request);
        if stored.done && stored.outstanding == 0 && stored.timers == 0 {
            self.requests.remove(request);
        }
    }
}
