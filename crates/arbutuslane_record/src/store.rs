//! The registers of one replica in memory.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use arbutuslane_core::id::Attempt;
use arbutuslane_core::time::Time;

use crate::key::Key;
use crate::message::{Answer, Claim, Copy, Holding, Kind, Refusal};

/// The time for which a claim under an idempotency key is kept.
pub const BOOKING_KEPT: Duration = Duration::from_secs(24 * 3_600);

/// The time for which a claim of a request that runs alone is kept; as long as its quarantine.
pub const EXCLUSIVE_KEPT: Duration = Duration::from_secs(600);

/// The time for which a response is kept.
pub const ANSWER_KEPT: Duration = Duration::from_secs(900);

/// The largest response that is kept.
pub const ANSWER_LIMIT: usize = 64 << 10;

/// The time for which a withdrawn attempt is remembered; longer than any claim stays on its way.
pub const TOMBSTONE_KEPT: Duration = Duration::from_secs(60);

/// The number of registers in one page of a pull without responses: about 30 KB.
const PAGE: usize = 512;

/// The bytes of responses in one page of a pull.
const PAGE_BYTES: usize = 256 << 10;

/// The limits on the memory of one replica.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The number of registers; further claims are refused.
    pub registers: usize,
    /// The bytes of responses; the oldest are dropped.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { registers: 1 << 16, answer_bytes: 2 << 20 }
    }
}

#[derive(Debug, Clone)]
struct Register {
    key: Key,
    attempt: Attempt,
    fingerprint: u64,
    claimed: u32,
    kind: Kind,
    complete: bool,
    #[expect(clippy::box_collection, reason = "16 bytes less in each of millions of registers")]
    rivals: Option<Box<Vec<(Attempt, u64)>>>,
    answer: Option<Box<(u32, Answer)>>,
}

/// Registers by key, with withdrawn attempts.
///
/// A hash map finds the key, because insertion into a sorted vector moves millions of entries. The
/// registers stay in their slots for as long as they exist, so that a pull in pages misses none.
#[derive(Debug, Clone, Default)]
pub struct Store {
    limits: Limits,
    slots: Vec<Option<Register>>,
    free: Vec<u32>,
    index: HashMap<Key, u32>,
    tombstones: VecDeque<(Time, Key, Attempt)>,
    answers: VecDeque<(u32, Key, Attempt)>,
    answer_bytes: usize,
    swept: usize,
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

    /// Accepts the first attempt for a register and returns what the register holds.
    pub(crate) fn claim(&mut self, now: Time, claim: &Claim) -> Holding {
        if self.is_withdrawn(claim.key, claim.attempt) {
            return Holding::Refused(Refusal::Withdrawn);
        }
        if let Some(register) = self.get(claim.key) {
            if register.attempt == claim.attempt && register.rivals.is_none() {
                return Holding::Accepted;
            }
            let (attempt, fingerprint) = register.other(claim.attempt);
            return Holding::Taken {
                attempt,
                fingerprint,
                complete: register.complete,
                answer: register.answer.as_ref().map(|kept| kept.1.clone()),
            };
        }
        if self.index.len() >= self.limits.registers {
            return Holding::Refused(Refusal::Full);
        }
        self.insert(Register {
            key: claim.key,
            attempt: claim.attempt,
            fingerprint: claim.fingerprint,
            claimed: seconds(now),
            kind: claim.kind,
            complete: false,
            rivals: None,
            answer: None,
        });
        Holding::Accepted
    }

    /// Removes an attempt and refuses a late claim of it.
    pub(crate) fn withdraw(&mut self, now: Time, key: Key, attempt: Attempt) {
        self.tombstones.push_back((now + TOMBSTONE_KEPT, key, attempt));
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

    /// Records that the attempt of `claim` has run; it is the only one that can have.
    pub(crate) fn complete(&mut self, now: Time, claim: &Claim, answer: Option<Answer>) {
        let answer = answer.filter(|answer| answer.size() <= ANSWER_LIMIT);
        if self.get(claim.key).is_none() {
            self.insert(Register {
                key: claim.key,
                attempt: claim.attempt,
                fingerprint: claim.fingerprint,
                claimed: seconds(now),
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
            self.keep(seconds(now), claim.key, claim.attempt, answer);
        }
    }

    /// Adds a copy from another replica to what is held.
    pub(crate) fn merge(&mut self, now: Time, copy: &Copy) {
        let now_seconds = seconds(now);
        for (attempt, fingerprint) in &copy.attempts {
            if self.is_withdrawn(copy.key, *attempt) {
                continue;
            }
            match self.get_mut(copy.key) {
                Some(register) => register.rival(*attempt, *fingerprint),
                None => self.insert(Register {
                    key: copy.key,
                    attempt: *attempt,
                    fingerprint: *fingerprint,
                    claimed: now_seconds.saturating_sub(copy.age),
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
            self.keep(now_seconds.saturating_sub(*age), copy.key, attempt, answer.clone());
        }
    }

    /// Returns registers from slot `cursor` on, and the slot to go on with.
    pub(crate) fn page(&self, now: Time, cursor: u32) -> (Vec<Copy>, Option<u32>) {
        let now = seconds(now);
        let mut copies = Vec::new();
        let mut bytes = 0;
        let start = usize::try_from(cursor).unwrap_or(usize::MAX);
        for (offset, slot) in self.slots.iter().enumerate().skip(start) {
            if copies.len() >= PAGE || bytes >= PAGE_BYTES {
                return (copies, u32::try_from(offset).ok());
            }
            let Some(register) = slot else { continue };
            bytes += register.answer.as_ref().map_or(0, |kept| kept.1.size());
            copies.push(register.copy(now));
        }
        (copies, None)
    }

    /// Drops what is no longer kept, looking at up to `budget` slots.
    pub fn sweep(&mut self, now: Time, budget: usize) {
        while self.tombstones.front().is_some_and(|(until, _, _)| *until <= now) {
            self.tombstones.pop_front();
        }
        let oldest = seconds(now.saturating_sub(ANSWER_KEPT));
        while self.answers.front().is_some_and(|(kept, _, _)| *kept < oldest) {
            self.drop_oldest_answer();
        }
        for _ in 0..budget.min(self.slots.len()) {
            self.swept = (self.swept + 1) % self.slots.len();
            let Some(register) = &self.slots[self.swept] else { continue };
            let kept = match register.kind {
                Kind::Booking => BOOKING_KEPT,
                Kind::Exclusive => EXCLUSIVE_KEPT,
            };
            if Duration::from_secs(register.claimed.into()) + kept < now {
                self.remove(register.key);
            }
        }
    }

    fn keep(&mut self, kept: u32, key: Key, attempt: Attempt, answer: Answer) {
        self.answer_bytes += answer.size();
        self.answers.push_back((kept, key, attempt));
        if let Some(register) = self.get_mut(key) {
            register.answer = Some(Box::new((kept, answer)));
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
        if let Some(kept) = register.answer.take() {
            self.answer_bytes -= kept.1.size();
        }
    }

    fn is_withdrawn(&self, key: Key, attempt: Attempt) -> bool {
        self.tombstones.iter().any(|(_, other, withdrawn)| *other == key && *withdrawn == attempt)
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
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                let Ok(slot) = u32::try_from(self.slots.len()) else { return };
                self.slots.push(None);
                slot
            }
        };
        self.index.insert(key, slot);
        if let Some(place) = self.slots.get_mut(usize::try_from(slot).unwrap_or(usize::MAX)) {
            *place = Some(register);
        }
    }

    fn remove(&mut self, key: Key) {
        let Some(slot) = self.index.remove(&key) else { return };
        let Some(place) = self.slots.get_mut(usize::try_from(slot).unwrap_or(usize::MAX)) else {
            return;
        };
        if let Some(kept) = place.take().and_then(|register| register.answer) {
            self.answer_bytes -= kept.1.size();
        }
        self.free.push(slot);
    }
}

impl Register {
    fn rival(&mut self, attempt: Attempt, fingerprint: u64) {
        if self.complete || self.attempt == attempt {
            return;
        }
        let rivals = self.rivals.get_or_insert_with(Box::default);
        if !rivals.iter().any(|(rival, _)| *rival == attempt) {
            rivals.push((attempt, fingerprint));
        }
    }

    fn other(&self, attempt: Attempt) -> (Attempt, u64) {
        let own = (self.attempt, self.fingerprint);
        let rivals = self.rivals.iter().flat_map(|rivals| rivals.iter()).copied();
        std::iter::once(own).chain(rivals).find(|(other, _)| *other != attempt).unwrap_or(own)
    }

    fn copy(&self, now: u32) -> Copy {
        let mut attempts = vec![(self.attempt, self.fingerprint)];
        attempts.extend(self.rivals.iter().flat_map(|rivals| rivals.iter()).copied());
        let answer = self.answer.as_ref();
        Copy {
            key: self.key,
            attempts,
            kind: self.kind,
            age: now.saturating_sub(self.claimed),
            complete: self.complete,
            answer: answer.map(|kept| (now.saturating_sub(kept.0), kept.1.clone())),
        }
    }
}

fn seconds(time: Time) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}
