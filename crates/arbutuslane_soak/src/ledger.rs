//! What callers sent, what servers ran and what callers got, checked against the promises.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The most servers that a request may be sent to, as the routes of the soak say.
pub const MAX_ATTEMPTS: usize = 2;

/// How long after its acknowledgement a change may not be in force yet, and a drain not yet kept.
const APPLIED: Duration = Duration::from_secs(2);

/// How long faults must have been over before a bound in time counts.
pub const CALM: Duration = Duration::from_secs(3);

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The name of the rule on the users' pages.
    pub rule: &'static str,
    /// When, since the start of the run.
    pub at: Duration,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.seen)
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
struct Sent {
    path: String,
    idempotent: bool,
    /// The service of the machine where it began.
    origin: &'static str,
    at: Duration,
    /// The server, and when it began.
    runs: Vec<(String, Duration)>,
    refused: Option<u16>,
}

/// A change of the moving route.
#[derive(Debug, Clone, Copy)]
struct Move {
    /// The service to which the route leads then.
    service: &'static str,
    acknowledged: Option<Duration>,
}

/// The record of one run.
#[derive(Debug)]
pub struct Ledger {
    began: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    requests: BTreeMap<String, Sent>,
    violations: Vec<Violation>,
    /// When each fault began and, once it is over, when it ended.
    faults: Vec<(String, Duration, Option<Duration>)>,
    moves: Vec<Move>,
    answered: Vec<(Duration, bool)>,
}

impl Ledger {
    /// Returns an empty record that begins now.
    pub fn start() -> Self {
        Self { began: Instant::now(), state: Mutex::default() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn violate(&self, rule: &'static str, seen: String) {
        let violation = Violation { rule, at: self.now(), seen };
        let mut state = self.lock();
        // A few of a kind tell as much as all.
        if state.violations.iter().filter(|known| known.rule == rule).count() < 5 {
            state.violations.push(violation);
        }
    }

    /// Returns the broken promises.
    pub fn violations(&self) -> Vec<Violation> {
        self.lock().violations.clone()
    }

    /// Notes the beginning of a fault; returns its number.
    pub fn fault_begins(&self, what: String) -> usize {
        let now = self.now();
        let mut state = self.lock();
        state.faults.push((what, now, None));
        state.faults.len() - 1
    }

    /// Notes the end of a fault.
    pub fn fault_ends(&self, number: usize) {
        let now = self.now();
        self.lock().faults[number].2 = Some(now);
    }

    /// Returns the faults as lines, for whoever reads a failed run.
    pub fn faults(&self) -> Vec<String> {
        let line = |(what, from, to): &(String, Duration, Option<Duration>)| {
            let to = to.map_or("the end".to_string(), |to| format!("{:.3} s", to.as_secs_f64()));
            format!("{:.3} s to {to}: {what}", from.as_secs_f64())
        };
        self.lock().faults.iter().map(line).collect()
    }

    /// Returns whether no fault but `except` touched the time from `from` on, nor the calm before it.
    pub fn is_calm(&self, from: Duration, except: Option<usize>) -> bool {
        let since = from.saturating_sub(CALM);
        let state = self.lock();
        let mut faults = state.faults.iter().enumerate();
        faults.all(|(number, (_, _, to))| Some(number) == except || to.is_some_and(|to| to < since))
    }

    /// Notes a request that a caller is about to send.
    pub fn sent(&self, id: &str, path: &str, idempotent: bool, origin: &'static str) {
        let at = self.now();
        let sent = Sent {
            path: path.to_string(),
            idempotent,
            origin,
            at,
            runs: Vec::new(),
            refused: None,
        };
        self.lock().requests.insert(id.to_string(), sent);
    }

    /// Notes that a server begins a request.
    pub fn ran(&self, id: &str, path: &str, server: &str, service: &str, origin: &str) {
        let now = self.now();
        let mut broken = Vec::new();
        {
            let mut state = self.lock();
            let moves = state.moves.clone();
            match state.requests.get_mut(id) {
                None => broken.push(("UNASKED", "which no caller sent".to_string())),
                Some(sent) => {
                    sent.runs.push((server.to_string(), now));
                    if sent.path != path {
                        broken.push(("UNASKED", format!("which was sent as {}", sent.path)));
                    }
                    if sent.origin != origin {
                        broken.push(("UNASKED", format!("as of {origin}, not {}", sent.origin)));
                    }
                    if !sent.idempotent && sent.runs.len() > 1 {
                        broken.push(("TWICE", format!("after {:?}", sent.runs)));
                    }
                    if let Some(status) = sent.refused.filter(|_| !sent.idempotent) {
                        broken.push(("REFUSED", format!("which was answered {status}")));
                    }
                    let wrong = match path.split('/').nth(1) {
                        Some("m") => wrong_side(&moves, sent.at, service),
                        Some(owner) => owner != service,
                        None => true,
                    };
                    if wrong && path.starts_with("/m/") {
                        broken.push(("CONFIG", format!("sent at {:?}, moves {moves:?}", sent.at)));
                    } else if wrong {
                        broken.push(("ROUTE", String::new()));
                    }
                }
            }
        }
        for (rule, what) in broken {
            if rule == "CONFIG" && !self.is_calm(now.saturating_sub(APPLIED), None) {
                continue;
            }
            self.violate(rule, format!("{server} of {service} ran {id} {path} {what}"));
        }
    }

    /// Returns the servers that began a request.
    pub fn runs(&self, id: &str) -> Vec<(String, Duration)> {
        self.lock().requests.get(id).map(|sent| sent.runs.clone()).unwrap_or_default()
    }

    /// Notes that a caller was told that its request did not run.
    pub fn refused(&self, id: &str, status: u16) {
        let ran = {
            let mut state = self.lock();
            let Some(sent) = state.requests.get_mut(id) else { return };
            sent.refused = Some(status);
            !sent.idempotent && !sent.runs.is_empty()
        };
        if ran {
            self.violate(
                "REFUSED",
                format!("{id} was answered {status}, and ran: {:?}", self.runs(id)),
            );
        }
    }

    /// Notes whether a request was served, for the check of recovery.
    pub fn ended(&self, served: bool) {
        let now = self.now();
        self.lock().answered.push((now, served));
    }

    /// Returns how many requests ended since `from`, and how many of them were served.
    pub fn served_since(&self, from: Duration) -> (usize, usize) {
        let state = self.lock();
        let recent: Vec<bool> = state
            .answered
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, served)| *served)
            .collect();
        (recent.len(), recent.iter().filter(|served| **served).count())
    }

    /// Notes that an operator is about to let the moving route lead to `service`.
    pub fn move_begins(&self, service: &'static str) {
        self.lock().moves.push(Move { service, acknowledged: None });
    }

    /// Notes that the last move was acknowledged.
    pub fn move_acknowledged(&self) {
        let now = self.now();
        if let Some(last) = self.lock().moves.last_mut() {
            last.acknowledged = Some(now);
        }
    }
}

/// Returns whether a request on the moving route, sent at `sent`, must not run at `service`: the last
/// move that had time to be applied leads elsewhere, and so do those that came later.
fn wrong_side(moves: &[Move], sent: Duration, service: &str) -> bool {
    let applied = moves.iter().rposition(|change| {
        change.acknowledged.is_some_and(|acknowledged| acknowledged + APPLIED < sent)
    });
    let Some(applied) = applied else { return false };
    moves[applied..].iter().all(|change| change.service != service)
}
