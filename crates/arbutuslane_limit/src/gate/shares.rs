//! How much of a server each workspace has had lately, and which ones ask for more than their share.

use std::time::Duration;

use arbutuslane_core::time::Time;

use super::order::Waiting;

/// The time constant of the decaying sums. It spans several requests of a workspace that sends few.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// A workspace that has occupied less than this number of slots is forgotten, which bounds their
/// number.
const MIN_SLOTS: f64 = 0.01;

/// The number of requests that a workspace may have beyond its share, because requests arrive at random.
/// Beside a workspace at eight times its usual load, one within its share lost 2.4% of its requests
/// with 0, 0.5% with 1 and none with 2.
const SLACK_REQUESTS: f64 = 2.0;

/// The mean number of slots that the requests of each workspace occupy.
///
/// What the server has done for the requests of a rank is divided among the workspaces so that each has
/// what it asks for, or as much in relation to its weight as any other one (weighted max-min
/// fairness). A workspace asks for what it has had and what it has waiting. It is beyond its share when
/// that is more than its part.
///
/// With equal weights, a large workspace within its quota lost 457 of some 1,600 requests in 12 s although
/// the slots would have sufficed for most of them.
#[derive(Debug, Clone, Default)]
pub(super) struct Shares {
    /// The ranks and workspaces in ascending order.
    used: Vec<((u8, u64), Use)>,
    updated_at: Time,
}

/// What a workspace has had of a server.
#[derive(Debug, Clone, Copy)]
struct Use {
    /// The slots at the time of the last update.
    slots: f64,
    weight: f64,
}

/// What a workspace asks for.
#[derive(Debug, Clone, Copy)]
struct Demand {
    workspace: u64,
    slots: f64,
    weight: f64,
}

impl Shares {
    /// Records that a request of `workspace` starts whose expected service time is `work`.
    ///
    /// Recording it at the end would let a burst of one workspace take all slots first.
    pub(super) fn charge(&mut self, key: (u8, u64), weight: u32, work: Duration, now: Time) {
        self.add(key, Some(weight), slots(work), now);
    }

    /// Corrects the charge of a request by the time that it has occupied its slot.
    pub(super) fn correct(&mut self, key: (u8, u64), charged: Duration, used: Duration, now: Time) {
        self.add(key, None, slots(used) - slots(charged), now);
    }

    /// Marks the requests of workspaces that are beyond their share. `work` returns the expected service
    /// time of a request.
    pub(super) fn mark_beyond(
        &self,
        queue: &mut [Waiting],
        work: impl Fn(&Waiting) -> Duration,
        now: Time,
    ) {
        queue.sort_by_key(|waiting| waiting.arrival.rank);
        let decay = decay(now.saturating_sub(self.updated_at));
        for of_rank in queue.chunk_by_mut(|left, right| left.arrival.rank == right.arrival.rank) {
            let rank = of_rank[0].arrival.rank;
            let used = self.used.iter().filter(|((known, _), _)| *known == rank);
            let mut demands: Vec<Demand> = used
                .map(|((_, workspace), used)| Demand {
                    workspace: *workspace,
                    slots: used.slots * decay,
                    weight: used.weight,
                })
                .collect();
            let served: f64 = demands.iter().map(|demand| demand.slots).sum();
            for waiting in of_rank.iter().filter(|waiting| waiting.arrival.workspace != 0) {
                let workspace = waiting.arrival.workspace;
                let added = slots(work(waiting));
                match demands.binary_search_by_key(&workspace, |demand| demand.workspace) {
                    Ok(index) => demands[index].slots += added,
                    Err(index) => {
                        let weight = f64::from(waiting.arrival.weight);
                        demands.insert(index, Demand { workspace, slots: added, weight });
                    }
                }
            }
            let part = fair_part(demands.clone(), served);
            for waiting in of_rank {
                let workspace = waiting.arrival.workspace;
                let found = demands.binary_search_by_key(&workspace, |demand| demand.workspace);
                let Ok(index) = found else { continue };
                let slack = SLACK_REQUESTS * slots(work(waiting));
                let share = part * demands[index].weight;
                waiting.share = (demands[index].slots > share + slack).then_some(share);
            }
        }
    }

    fn add(&mut self, key: (u8, u64), weight: Option<u32>, added: f64, now: Time) {
        if key.1 == 0 {
            return;
        }
        let factor = decay(now.saturating_sub(self.updated_at));
        self.updated_at = now;
        self.used.retain_mut(|(_, used)| {
            used.slots *= factor;
            used.slots >= MIN_SLOTS
        });
        match self.used.binary_search_by_key(&key, |(known, _)| *known) {
            Ok(index) => {
                let used = &mut self.used[index].1;
                used.slots = (used.slots + added).max(0.0);
                used.weight = weight.map_or(used.weight, f64::from);
            }
            Err(index) if added > 0.0 => {
                let weight = f64::from(weight.unwrap_or(1));
                self.used.insert(index, (key, Use { slots: added, weight }));
            }
            Err(_) => {}
        }
    }
}

/// Returns the most that a workspace has for each unit of its weight when `served` is divided among
/// `demands`, so that each has what it asks for or this most.
fn fair_part(mut demands: Vec<Demand>, served: f64) -> f64 {
    if demands.len() < 2 {
        return f64::INFINITY;
    }
    let per_weight = |demand: &Demand| demand.slots / demand.weight;
    demands.sort_by(|left, right| per_weight(left).total_cmp(&per_weight(right)));
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut left = served;
    for demand in &demands {
        let part = left / weight;
        if per_weight(demand) >= part {
            return part;
        }
        left -= demand.slots;
        weight -= demand.weight;
    }
    f64::INFINITY
}

/// Returns the mean number of slots that one request of `time` occupies.
fn slots(time: Duration) -> f64 {
    time.as_secs_f64() / TIME_CONSTANT.as_secs_f64()
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
