//! The registers of one replica, which are stored in memory.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use arbutuslane_core::id::Attempt;
use arbutuslane_core::time::Time;

use crate::key::Key;
use crate::message::{Claim, ClaimResult, Kind, Refusal, RegisterCopy, StoredResponse};

/// The time for which a register of an idempotency key is stored.
pub const BOOKING_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// The time for which a register of a request that runs one at a time is stored; equal to
/// [`QUARANTINE_DURATION`](crate::strike::QUARANTINE_DURATION).
pub const EXCLUSIVE_RETENTION: Duration = Duration::from_secs(600);

/// The time for which a response is stored.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(900);

/// The largest size in bytes of a response that is stored.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The time for which a withdrawn attempt is stored, so that a late claim of it is refused; longer
/// than any claim is in transit.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of registers in one page of a pull: about 30 KB without responses.
const MAX_PAGE_REGISTERS: usize = 512;

/// The number of response bytes after which a page of a pull ends.
const MAX_PAGE_ANSWER_BYTES: usize = 256 << 10;

/// The memory limits of one replica.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum number of registers; claims of further keys are refused.
    pub registers: usize,
    /// The maximum total size of stored responses in bytes; the oldest are removed beyond it.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { registers: 1 << 16, answer_bytes: 2 << 20 }
    }
}

/// A register that has accepted an attempt.
#[derive(Debug, Clone)]
struct Register {
    key: Key,
    attempt: Attempt,
    fingerprint: u64,
    /// The time of the claim in seconds.
    claimed_at_s: u32,
    kind: Kind,
    complete: bool,
    /// Other attempts that a majority may have accepted, with their fingerprints.
    #[expect(clippy::box_collection, reason = "saves 16 bytes in each of millions of registers")]
    rivals: Option<Box<Vec<(Attempt, u64)>>>,
    /// The time in seconds at which the response was stored, and the response.
    answer: Option<Box<(u32, StoredResponse)>>,
}

/// The registers by key, and the withdrawn attempts.
///
/// The index is a hash map, because an insertion into a sorted vector moves millions of entries. A
/// register stays in its slot for as long as it exists, so that a pull in several pages misses
/// none.
#[derive(Debug, Clone, Default)]
pub struct Store {
    limits: Limits,
    slots: Vec<Option<Register>>,
    free_slots: Vec<u32>,
    index: HashMap<Key, u32>,
    /// The withdrawn attempts, each with the time at which its tombstone expires.
    tombstones: VecDeque<(Time, Key, Attempt)>,
    /// The stored responses in the order of their storage, each with its time in seconds.
    answers: VecDeque<(u32, Key, Attempt)>,
    answer_bytes: usize,
    /// The slot that a sweep visited last.
    sweep_cursor: usize,
}

impl Store {
    /// Returns an empty store with the given limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the number of registers.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns true when there is no register.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Claims a register: accepts the first attempt and reports it to later ones.
    pub(crate) fn claim(&mut self, now: Time, claim: &Claim) -> ClaimResult {
        if self.is_withdrawn(claim.key, claim.attempt) {
            return ClaimResult::Refused(Refusal::Withdrawn);
        }
        if let Some(register) = self.get(claim.key) {
            if register.attempt == claim.attempt && register.rivals.is_none() {
                return ClaimResult::Accepted;
            }
            let (attempt, fingerprint) = register.competing_attempt(claim.attempt);
            return ClaimResult::Taken {
                attempt,
                fingerprint,
                complete: register.complete,
                answer: register.answer.as_ref().map(|stored| stored.1.clone()),
            };
        }
        if self.index.len() >= self.limits.registers {
            return ClaimResult::Refused(Refusal::Full);
        }
        self.insert(Register {
            key: claim.key,
            attempt: claim.attempt,
            fingerprint: claim.fingerprint,
            claimed_at_s: whole_seconds(now),
            kind: claim.kind,
            complete: false,
            rivals: None,
            answer: None,
        });
        ClaimResult::Accepted
    }

    /// Removes an attempt and stores a tombstone, so that a late claim of it is refused.
    pub(crate) fn withdraw(&mut self, now: Time, key: Key, attempt: Attempt) {
        self.tombstones.push_back((now + TOMBSTONE_RETENTION, key, attempt));
        let Some(register) = self.get_mut(key) else { return };
        if register.attempt == attempt {
            match register.rivals.as_mut().and_then(|rivals| rivals.pop()) {
                Some((rival, fingerprint)) => {
                    register.attempt = rival;
                    register.fingerprint = fingerprint;
                }
                None => return self.remove(key),
            }
        } else if let Some(rivals) = &mut register.rivals {
            rivals.retain(|(rival, _)| *rival != attempt);
        }
        if register.rivals.as_ref().is_some_and(|rivals| rivals.is_empty()) {
            register.rivals = None;
        }
    }

    /// Records that the request of `claim` has run.
    ///
    /// Removes the rivals, because at most one attempt can have run its request.
    pub(crate) fn complete(&mut self, now: Time, claim: &Claim, answer: Option<StoredResponse>) {
        let answer = answer.filter(|answer| answer.size() <= MAX_ANSWER_BYTES);
        if self.get(claim.key).is_none() {
            self.insert(Register {
                key: claim.key,
                attempt: claim.attempt,
                fingerprint: claim.fingerprint,
                claimed_at_s: whole_seconds(now),
                kind: claim.kind,
                complete: true,
                rivals: None,
                answer: None,
            });
        }
        let Some(register) = self.get_mut(claim.key) else { return };
        register.attempt = claim.attempt;
        register.fingerprint = claim.fingerprint;
        register.complete = true;
        register.rivals = None;
        if register.answer.is_none()
            && let Some(answer) = answer
        {
            self.store_answer(whole_seconds(now), claim.key, claim.attempt, answer);
        }
    }

    /// Merges a copy of a register from another replica.
    pub(crate) fn merge(&mut self, now: Time, copy: &RegisterCopy) {
        let now_s = whole_seconds(now);
        for (attempt, fingerprint) in &copy.attempts {
            if self.is_withdrawn(copy.key, *attempt) {
                continue;
            }
            match self.get_mut(copy.key) {
                Some(register) => register.add_rival(*attempt, *fingerprint),
                None => self.insert(Register {
                    key: copy.key,
                    attempt: *attempt,
                    fingerprint: *fingerprint,
                    claimed_at_s: now_s.saturating_sub(copy.age),
                    kind: copy.kind,
                    complete: false,
                    rivals: None,
                    answer: None,
                }),
            }
        }
        let Some((attempt, fingerprint)) = copy.attempts.first().copied() else { return };
        let Some(register) = self.get_mut(copy.key) else { return };
        if !copy.complete || register.complete {
            return;
        }
        register.attempt = attempt;
        register.fingerprint = fingerprint;
        register.complete = true;
        register.rivals = None;
        if let Some((age, answer)) = &copy.answer {
            self.store_answer(now_s.saturating_sub(*age), copy.key, attempt, answer.clone());
        }
    }

    /// Returns copies of the registers from slot `cursor` on, and the cursor of the next page,
    /// which is `None` on the last page.
    pub(crate) fn page(&self, now: Time, cursor: u32) -> (Vec<RegisterCopy>, Option<u32>) {
        let now_s = whole_seconds(now);
        let mut copies = Vec::new();
        let mut bytes = 0;
        let start = usize::try_from(cursor).unwrap_or(usize::MAX);
        for (offset, slot) in self.slots.iter().enumerate().skip(start) {
            if copies.len() >= MAX_PAGE_REGISTERS || bytes >= MAX_PAGE_ANSWER_BYTES {
                return (copies, u32::try_from(offset).ok());
            }
            let Some(register) = slot else { continue };
            bytes += register.answer.as_ref().map_or(0, |stored| stored.1.size());
            copies.push(register.to_copy(now_s));
        }
        (copies, None)
    }

    /// Removes expired tombstones and responses, and expired registers in the next `budget` slots.
    pub fn sweep(&mut self, now: Time, budget: usize) {
        while self.tombstones.front().is_some_and(|(expiry, _, _)| *expiry <= now) {
            self.tombstones.pop_front();
        }
        let oldest_s = whole_seconds(now.saturating_sub(ANSWER_RETENTION));
        while self.answers.front().is_some_and(|(stored_at_s, _, _)| *stored_at_s < oldest_s) {
            self.drop_oldest_answer();
        }
        for _ in 0..budget.min(self.slots.len()) {
            self.sweep_cursor = (self.sweep_cursor + 1) % self.slots.len();
            let Some(register) = &self.slots[self.sweep_cursor] else { continue };
            let retention = match register.kind {
                Kind::Booking => BOOKING_RETENTION,
                Kind::Exclusive => EXCLUSIVE_RETENTION,
            };
            if Duration::from_secs(register.claimed_at_s.into()) + retention < now {
                self.remove(register.key);
            }
        }
    }

    /// Stores a response and removes the oldest ones beyond the memory limit.
    fn store_answer(
        &mut self,
        stored_at_s: u32,
        key: Key,
        attempt: Attempt,
        answer: StoredResponse,
    ) {
        self.answer_bytes += answer.size();
        self.answers.push_back((stored_at_s, key, attempt));
        if let Some(register) = self.get_mut(key) {
            register.answer = Some(Box::new((stored_at_s, answer)));
        }
        while self.answer_bytes > self.limits.answer_bytes && !self.answers.is_empty() {
            self.drop_oldest_answer();
        }
    }

    fn drop_oldest_answer(&mut self) {
        let Some((_, key, attempt)) = self.answers.pop_front() else { return };
        let Some(register) = self.get_mut(key) else { return };
        if register.attempt != attempt {
            return;
        }
        if let Some(stored) = register.answer.take() {
            self.answer_bytes -= stored.1.size();
        }
    }

    fn is_withdrawn(&self, key: Key, attempt: Attempt) -> bool {
        self.tombstones.iter().any(|(_, withdrawn_key, withdrawn_attempt)| {
            *withdrawn_key == key && *withdrawn_attempt == attempt
        })
    }

    fn get(&self, key: Key) -> Option<&Register> {
        let slot = usize::try_from(*self.index.get(&key)?).ok()?;
        self.slots[slot].as_ref()
    }

    fn get_mut(&mut self, key: Key) -> Option<&mut Register> {
        let slot = usize::try_from(*self.index.get(&key)?).ok()?;
        self.slots[slot].as_mut()
    }

    fn insert(&mut self, register: Register) {
        let key = register.key;
        let slot = match self.free_slots.pop() {
            Some(slot) => slot,
            None => {
                let Ok(slot) = u32::try_from(self.slots.len()) else { return };
                self.slots.push(None);
                slot
            }
        };
        self.index.insert(key, slot);
        if let Some(target) = self.slots.get_mut(usize::try_from(slot).unwrap_or(usize::MAX)) {
            *target = Some(register);
        }
    }

    fn remove(&mut self, key: Key) {
        let Some(slot) = self.index.remove(&key) else { return };
        let Some(vacated) = self.slots.get_mut(usize::try_from(slot).unwrap_or(usize::MAX)) else {
            return;
        };
        if let Some(stored) = vacated.take().and_then(|register| register.answer) {
            self.answer_bytes -= stored.1.size();
        }
        self.free_slots.push(slot);
    }
}

impl Register {
    /// Adds a competing attempt, unless it is known or the register is complete.
    fn add_rival(&mut self, attempt: Attempt, fingerprint: u64) {
        if self.complete || self.attempt == attempt {
            return;
        }
        let rivals = self.rivals.get_or_insert_with(Box::default);
        if !rivals.iter().any(|(rival, _)| *rival == attempt) {
            rivals.push((attempt, fingerprint));
        }
    }

    /// Returns an attempt of the register other than `attempt`, with its fingerprint; prefers the
    /// one that was accepted first.
    fn competing_attempt(&self, attempt: Attempt) -> (Attempt, u64) {
        let own = (self.attempt, self.fingerprint);
        let rivals = self.rivals.iter().flat_map(|rivals| rivals.iter()).copied();
        std::iter::once(own).chain(rivals).find(|(other, _)| *other != attempt).unwrap_or(own)
    }

    fn to_copy(&self, now_s: u32) -> RegisterCopy {
        let mut attempts = vec![(self.attempt, self.fingerprint)];
        attempts.extend(self.rivals.iter().flat_map(|rivals| rivals.iter()).copied());
        let answer = self.answer.as_ref();
        RegisterCopy {
            key: self.key,
            attempts,
            kind: self.kind,
            age: now_s.saturating_sub(self.claimed_at_s),
            complete: self.complete,
            answer: answer.map(|stored| (now_s.saturating_sub(stored.0), stored.1.clone())),
        }
    }
}

fn whole_seconds(time: Time) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}
