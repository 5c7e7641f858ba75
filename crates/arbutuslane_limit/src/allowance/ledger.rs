//! The decisions of one entry on the requests of workspaces.

use std::collections::HashMap;
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::time::Time;

use super::base_share::BaseShare;
use super::demand::Demand;
use super::lender::MIN_CLEANUP_SIZE;
use super::{Bounds, LenderId, Loan, Quota, whole};

/// What an entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request runs; its token is spent.
    Admit,
    /// The entry asks `lender` for `wanted` tokens, records the result and decides again.
    Ask {
        /// The lender to ask.
        lender: LenderId,
        /// The number of tokens to ask for.
        wanted: u32,
    },
    /// The request is refused as not run.
    Refuse {
        /// The time before which no token is expected.
        retry_after: Duration,
    },
}

/// What an entry knows of a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LenderState {
    /// The lender can be asked.
    Ready,
    /// The lender has no token of the workspace for this time.
    Empty(Duration),
    /// The lender did not respond, and is not asked for this time.
    Unreachable(Duration),
}

/// The tokens of all workspaces at one entry.
#[derive(Debug, Clone)]
pub struct Ledger {
    bounds: Bounds,
    seed: u64,
    started_at: Time,
    /// A sorted vector would move some megabytes for each new workspace among 100,000.
    accounts: HashMap<String, Account>,
    /// The number of accounts at which idle ones are removed.
    cleanup_at: usize,
    /// The lenders that did not respond, sorted, and the time until which they are not asked.
    unreachable: Vec<(LenderId, Time)>,
    expired_tokens: u64,
}

/// The tokens of one workspace.
#[derive(Debug, Clone)]
struct Account {
    /// In the order in which they expire.
    loans: Vec<Held>,
    /// The requests for tokens without a result, oldest first.
    asked: Vec<Asked>,
    /// The lenders without tokens, sorted, and the time at which they have one again.
    empty: Vec<(LenderId, Time)>,
    demand: Demand,
    base: BaseShare,
    /// The quota at the last decision, and the time at which it was lowered last.
    quota: Quota,
    lowered_at: Time,
    used_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u32,
    expires_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    lender: LenderId,
    wanted: u32,
    expires_at: Time,
}

/// The time for which a lender that did not respond is not asked again.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

impl Ledger {
    /// Returns the ledger of an entry without tokens.
    ///
    /// `seed` differs between entries, so that they earn their base shares at different times.
    pub fn new(bounds: Bounds, seed: u64, now: Time) -> Self {
        Self {
            bounds,
            seed,
            started_at: now,
            accounts: HashMap::new(),
            cleanup_at: MIN_CLEANUP_SIZE,
            unreachable: Vec::new(),
            expired_tokens: 0,
        }
    }

    /// Decides on a request of `workspace`, whose quota holds for `nodes` entries together.
    ///
    /// `lenders` are in the order of preference. The caller records the result of each
    /// [`Decision::Ask`] before it decides on the same request again.
    pub fn decide(
        &mut self,
        workspace: &str,
        quota: Quota,
        lenders: &[LenderId],
        nodes: usize,
        now: Time,
    ) -> Decision {
        if !quota.is_limited() {
            return Decision::Admit;
        }
        let base_rate = self.bounds.base_rate(quota, nodes);
        let (lifetime, base_lifetime) = (self.bounds.loan_lifetime(), self.bounds.base_lifetime());
        self.open_account(workspace, quota, now);
        let account = self.accounts.get_mut(workspace).expect("the account was opened");
        account.used_at = now;
        account.set_quota(quota, now);
        account.base.refill(base_rate, now);
        self.expired_tokens += account.drop_expired(now);
        if account.spend_loan() || account.base.take(base_lifetime, now) {
            account.demand.observe(now);
            return Decision::Admit;
        }
        let mut wait = account.base.wait(base_rate);
        for lender in lenders {
            let unreachable_until = time_of(&self.unreachable, *lender);
            let until = unreachable_until.max(time_of(&account.empty, *lender));
            if until > now {
                wait = wait.min(until - now);
                continue;
            }
            let wanted = account.wanted(lifetime, now);
            account.asked.push(Asked { lender: *lender, wanted, expires_at: now + lifetime });
            return Decision::Ask { lender: *lender, wanted };
        }
        account.demand.observe(now);
        Decision::Refuse { retry_after: wait }
    }

    /// Records the loan of `lender`, which was asked at the time `asked_at`, before the message was
    /// sent. A loan that arrives after its lifetime is worth nothing.
    pub fn record_loan(
        &mut self,
        workspace: &str,
        lender: LenderId,
        loan: Loan,
        asked_at: Time,
        now: Time,
    ) {
        if let Ok(index) = self.unreachable.binary_search_by_key(&lender, |(id, _)| *id) {
            self.unreachable.remove(index);
        }
        let expires_at = asked_at + self.bounds.loan_lifetime();
        let Some(account) = self.accounts.get_mut(workspace) else { return };
        if let Some(index) = account.asked.iter().position(|asked| asked.lender == lender) {
            account.asked.remove(index);
        }
        if loan.tokens == 0 {
            set_time(&mut account.empty, lender, now + loan.retry_after);
        } else if expires_at <= now || asked_at < account.lowered_at {
            self.expired_tokens += u64::from(loan.tokens);
        } else {
            let index = account.loans.partition_point(|held| held.expires_at <= expires_at);
            account.loans.insert(index, Held { tokens: loan.tokens, expires_at });
        }
    }

    /// Records that `lender` did not respond. It is not asked again for 1 s.
    pub fn record_failure(&mut self, lender: LenderId, now: Time) {
        self.unreachable.retain(|(_, until)| *until > now);
        set_time(&mut self.unreachable, lender, now + UNREACHABLE_TIME);
    }

    /// Returns what is known of `lender` with regard to `workspace`.
    pub fn lender_state(&self, workspace: &str, lender: LenderId, now: Time) -> LenderState {
        let left = |times: &[(LenderId, Time)]| time_of(times, lender).saturating_sub(now);
        let unreachable = left(&self.unreachable);
        if unreachable > Duration::ZERO {
            return LenderState::Unreachable(unreachable);
        }
        let empty = self.accounts.get(workspace).map_or(Duration::ZERO, |known| left(&known.empty));
        match empty > Duration::ZERO {
            true => LenderState::Empty(empty),
            false => LenderState::Ready,
        }
    }

    /// Returns the number of lent tokens that expired before they were spent.
    pub fn expired_tokens(&self) -> u64 {
        self.expired_tokens
    }

    /// Returns the number of workspaces in the table.
    pub fn workspaces(&self) -> usize {
        self.accounts.len()
    }

    /// Adds an account for `workspace` if there is none. Removes idle ones first when their number has
    /// doubled, so that those of removed workspaces do not stay.
    fn open_account(&mut self, workspace: &str, quota: Quota, now: Time) {
        if self.accounts.contains_key(workspace) {
            return;
        }
        if self.accounts.len() >= self.cleanup_at {
            let idle_time = self.bounds.window;
            self.accounts.retain(|_, account| now.saturating_sub(account.used_at) < idle_time);
            self.cleanup_at = (self.accounts.len() * 2).max(MIN_CLEANUP_SIZE);
        }
        // The progress at the start depends on nothing else, so that an account that is removed and
        // added again earns its tokens at the same times.
        let hash = hash::of_bytes(workspace.as_bytes()) ^ self.seed;
        let progress = hash::of_bytes(&hash.to_le_bytes()) as f64 / u64::MAX as f64;
        let account = Account {
            loans: Vec::new(),
            asked: Vec::new(),
            empty: Vec::new(),
            demand: Demand::default(),
            base: BaseShare::new(progress, self.started_at),
            quota,
            lowered_at: Time::ZERO,
            used_at: now,
        };
        self.accounts.insert(workspace.to_string(), account);
    }
}

impl Account {
    /// Drops the lent tokens that have expired and returns their number.
    fn drop_expired(&mut self, now: Time) -> u64 {
        let valid = self.loans.partition_point(|held| held.expires_at <= now);
        self.loans.drain(..valid).map(|held| u64::from(held.tokens)).sum()
    }

    /// Changes the quota. Tokens under a higher one are lost, also those that were asked for.
    fn set_quota(&mut self, quota: Quota, now: Time) {
        if quota.rate < self.quota.rate || quota.burst < self.quota.burst {
            self.loans.clear();
            self.base.clear();
            self.lowered_at = now;
        }
        self.quota = quota;
    }

    /// Spends the lent token that expires first, and returns whether there was one.
    fn spend_loan(&mut self) -> bool {
        let Some(held) = self.loans.first_mut() else { return false };
        held.tokens -= 1;
        if held.tokens == 0 {
            self.loans.remove(0);
        }
        true
    }

    /// Returns what the workspace needs for half the lifetime of a token, without what was asked for
    /// already, but at least one.
    fn wanted(&mut self, lifetime: Duration, now: Time) -> u32 {
        self.asked.retain(|asked| asked.expires_at > now);
        let asked = self.asked.iter().fold(0, |sum: u32, asked| sum.saturating_add(asked.wanted));
        let needed = self.demand.per_second(now) * (lifetime / 2).as_secs_f64();
        whole(needed).saturating_sub(asked).max(1)
    }
}

/// Returns the time that a sorted list has for `lender`, or zero.
fn time_of(times: &[(LenderId, Time)], lender: LenderId) -> Time {
    times.binary_search_by_key(&lender, |(id, _)| *id).map_or(Time::ZERO, |index| times[index].1)
}

/// Changes the time that a sorted list has for `lender`.
fn set_time(times: &mut Vec<(LenderId, Time)>, lender: LenderId, time: Time) {
    match times.binary_search_by_key(&lender, |(id, _)| *id) {
        Ok(index) => times[index].1 = time,
        Err(index) => times.insert(index, (lender, time)),
    }
}
