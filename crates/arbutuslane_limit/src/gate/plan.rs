//! The least-cost order: which queued requests start when, and which ones are refused.

use std::time::Duration;

use arbutuslane_core::time::Time;

use super::decision::{Reason, Shed};
use super::order::{BEYOND_SHARE, Waiting};
use super::schedule::Schedule;
use super::shares::Shares;
use super::{Arrival, Gate, LOWER_RANK_QUEUE_DIVISOR, MIN_SHARE_LEFT, Ticket};

/// The part of the slots that a request is taken to have at least that will be late, of those that it
/// would have in time. A burst uses all slots for a moment, and if this were taken to last, requests
/// would be refused that can be answered soon: of a load of 0.6 with bursts of 2.4, 92.7% were in
/// time instead of the 93.3% in the order of priority.
const MIN_LATE_PART: f64 = 0.5;

/// What is to become of the queued requests.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// The requests that stay, in the order in which they start.
    pub(super) queue: Vec<Waiting>,
    /// The requests that are refused.
    pub(super) shed: Vec<Shed>,
    /// The time that each request waits, or would wait if it were not refused.
    waits: Vec<(Ticket, Duration)>,
}

impl Plan {
    /// Returns the time that the request with `ticket` waits for a slot.
    pub(super) fn wait(&self, ticket: Ticket) -> Duration {
        let known = self.waits.iter().rfind(|(known, _)| *known == ticket);
        known.map(|(_, wait)| *wait).unwrap_or_default()
    }

    /// Returns why the request with `ticket` is refused, or `None` if it is not.
    pub(super) fn refusal(&self, ticket: Ticket) -> Option<Reason> {
        self.shed.iter().find(|shed| shed.ticket == ticket).map(|shed| shed.reason)
    }
}

impl Gate {
    /// Returns the plan for the queue with one more request, which gets the next ticket.
    pub(super) fn plan_with(&self, shares: &Shares, arrival: &Arrival, now: Time) -> Plan {
        let mut queue = self.queue.clone();
        queue.push(Waiting::new(self.next_ticket + 1, *arrival));
        self.plan(shares, queue, now)
    }

    /// Returns the plan for the requests of `queue`.
    ///
    /// Where not all requests can be in time, the number of those that are late is smallest if the
    /// one with the most work gives way each time that one would be late (the rule of Moore and
    /// Hodgson). It holds for requests in the order of their due times, and is therefore applied
    /// to the requests of one level and precedence at a time.
    pub(super) fn plan(&self, shares: &Shares, mut queue: Vec<Waiting>, now: Time) -> Plan {
        for waiting in &mut queue {
            waiting.is_late = false;
        }
        shares.mark_beyond(&mut queue, |waiting| self.work(waiting), now);
        queue.sort_by_key(Waiting::sort_key);
        let mut planner = Planner {
            gate: self,
            now,
            schedule: Schedule::new(self, now),
            lowest_rank: queue.last().map_or(0, |last| last.arrival.rank),
            plan: Plan::default(),
        };
        for of_rank in queue.chunk_by(|left, right| left.arrival.rank == right.arrival.rank) {
            let mut late = Vec::new();
            let group = |waiting: &Waiting| (waiting.level(), waiting.arrival.precedence);
            for requests in of_rank.chunk_by(|left, right| group(left) == group(right)) {
                late.extend(planner.add_timely(requests));
            }
            planner.add_late(late);
        }
        planner.shed_overflow();
        planner.plan
    }

    /// Returns the expected service time of a queued request.
    fn work(&self, waiting: &Waiting) -> Duration {
        self.service_times.mean_or_overall(waiting.arrival.kind)
    }
}

/// A plan that is being made.
#[derive(Debug)]
struct Planner<'a> {
    gate: &'a Gate,
    now: Time,
    schedule: Schedule,
    /// The least important rank among the queued requests.
    lowest_rank: u8,
    plan: Plan,
}

impl Planner<'_> {
    /// Adds the requests of one level and precedence, in the order of their due times; returns those
    /// that give way to the others.
    fn add_timely(&mut self, requests: &[Waiting]) -> Vec<Waiting> {
        let (first, before) = (self.plan.queue.len(), self.schedule.clone());
        let mut late = Vec::new();
        for waiting in requests {
            if self.add(*waiting) {
                continue;
            }
            let queue = &self.plan.queue;
            let longest = (first..queue.len()).max_by_key(|index| self.gate.work(&queue[*index]));
            let longest = longest.unwrap_or(first);
            let removed = self.plan.queue.remove(longest);
            if self.add_again(first, &before) {
                late.push(removed);
                continue;
            }
            // The request is late whichever of the others gives way.
            self.plan.queue.insert(longest, removed);
            late.extend(self.plan.queue.pop());
            self.add_again(first, &before);
        }
        late
    }

    /// Adds the requests of the same rank that will be late. Refuses those that cannot end before
    /// their deadline either.
    fn add_late(&mut self, mut late: Vec<Waiting>) {
        late.sort_by_key(|waiting| waiting.arrival.due);
        for mut waiting in late {
            let before = self.schedule.clone();
            waiting.is_late = true;
            self.add(waiting);
            let ends_in = self.plan.wait(waiting.ticket) + self.gate.work(&waiting);
            if ends_in <= waiting.arrival.deadline.remaining(self.now) {
                continue;
            }
            self.schedule = before;
            self.plan.queue.pop();
            // The wait for which the request may be sent again is the one in time.
            self.plan.waits.pop();
            let reason = self.reason(&waiting);
            self.plan.shed.push(Shed { ticket: waiting.ticket, reason });
        }
    }

    /// Adds a request to the end of the queue; returns whether it will be in time.
    fn add(&mut self, waiting: Waiting) -> bool {
        let wait = self.schedule.take(self.gate, self.gate.work(&waiting), self.now);
        let wait = self.wait_for_others(&waiting, wait);
        self.plan.queue.push(waiting);
        self.plan.waits.push((waiting.ticket, wait));
        self.gate.is_timely(&waiting.arrival, self.now + wait)
    }

    /// Adds the requests from the index `first` on again, to a schedule without them; returns whether the last
    /// one will be in time.
    fn add_again(&mut self, first: usize, before: &Schedule) -> bool {
        self.schedule = before.clone();
        let mut is_timely = true;
        for waiting in self.plan.queue.split_off(first) {
            is_timely = self.add(waiting);
        }
        is_timely
    }

    /// Returns the time until a request starts that would start after `wait` if none arrived later that
    /// precedes it.
    #[expect(clippy::cast_precision_loss, reason = "a number of slots")]
    fn wait_for_others(&self, waiting: &Waiting, wait: Duration) -> Duration {
        let rank = waiting.arrival.rank;
        let is_first = self.plan.queue.last().is_none_or(|last| last.arrival.rank < rank);
        if is_first && rank == self.lowest_rank {
            // It gets the next start that is reserved for lower ranks.
            return wait;
        }
        let gate = self.gate;
        let slots = (gate.slots as f64).max(1.0);
        let share_left = |level| {
            let preceding = gate.rank_loads.above(level, self.now) / slots;
            (1.0 - preceding).max(MIN_SHARE_LEFT)
        };
        let Some(share) = waiting.share else {
            let left = share_left(waiting.level());
            return wait.div_f64(left.max(share_left(waiting.timely_level()) * MIN_LATE_PART));
        };
        // Requests beyond the share of a workspace start at the rate of this share.
        let wait = wait.div_f64(share_left(waiting.level() - BEYOND_SHARE));
        let of_workspace = |other: &&Waiting| other.arrival.workspace == waiting.arrival.workspace;
        let ahead = self.plan.queue.iter().filter(of_workspace);
        let work: Duration = ahead.map(|other| gate.work(other)).sum();
        wait.max(work.div_f64(share.max(MIN_SHARE_LEFT)))
    }

    /// Returns why a request is refused that cannot end before its deadline.
    fn reason(&self, waiting: &Waiting) -> Reason {
        let first = |other: &Waiting| (other.arrival.rank, !other.arrival.is_call);
        let is_displaced =
            self.plan.queue.first().is_some_and(|other| first(other) < first(waiting));
        match is_displaced {
            _ if waiting.is_beyond_share() => Reason::BeyondShare,
            true => Reason::Displaced,
            false => Reason::TooLate,
        }
    }

    /// Refuses the requests for which the queue has no room.
    ///
    /// They are of the least important rank, unless its requests are few and have a start reserved.
    fn shed_overflow(&mut self) {
        let gate = self.gate;
        let reserved = gate.queue_limit / LOWER_RANK_QUEUE_DIVISOR;
        while self.plan.queue.len() > gate.queue_limit {
            let queue = &self.plan.queue;
            let first_rank = queue[0].arrival.rank;
            let lower_start = queue.partition_point(|waiting| waiting.arrival.rank <= first_rank);
            let candidates = match queue.len() - lower_start > reserved {
                true => {
                    let rank = queue[queue.len() - 1].arrival.rank;
                    queue.partition_point(|waiting| waiting.arrival.rank < rank)..queue.len()
                }
                false => 0..lower_start,
            };
            let cost = |index: &usize| {
                let waiting = &queue[*index];
                (waiting.level(), gate.work(waiting))
            };
            let Some(index) = candidates.max_by_key(cost) else { return };
            let ticket = self.plan.queue.remove(index).ticket;
            self.plan.shed.push(Shed { ticket, reason: Reason::Full });
        }
    }
}
