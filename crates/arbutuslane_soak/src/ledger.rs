//! Records what callers sent, what servers ran and what callers received, and checks it against the
//! guarantees of the fleet.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The most servers to which one request may be sent; the routes of the soak set it as their limit.
pub const MAX_ATTEMPTS: usize = 2;

/// How long after its acknowledgement a change of a route may not be in force yet at every node.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// How long all faults must be over before guarantees with a time limit are checked.
pub const SETTLING_TIME: Duration = Duration::from_secs(3);

/// A guarantee that the fleet did not meet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The short name of the guarantee in the users' documentation.
    pub rule: &'static str,
    /// When it was found, since the start of the run.
    pub at: Duration,
    /// What was observed.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at {:.3} s: {}", self.rule, self.at.as_secs_f64(), self.observed)
    }
}

/// A request of a caller.
#[derive(Debug, Clone)]
struct SentRequest {
    path: String,
    is_idempotent: bool,
    /// The service of the machine from which the caller sent it.
    origin: &'static str,
    /// When it was sent, since the start of the run.
    sent_at: Duration,
    /// The servers that started to run it, each with the time of that start.
    runs: Vec<(String, Duration)>,
    refusal_status: Option<u16>,
}

/// A change of the moving route, which an operator switches between the two services.
#[derive(Debug, Clone, Copy)]
struct Move {
    /// The service to which the route leads after the change.
    service: &'static str,
    /// When a control instance acknowledged the change.
    acknowledged: Option<Duration>,
}

/// The record of one run.
#[derive(Debug)]
pub struct Ledger {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    requests: BTreeMap<String, SentRequest>,
    violations: Vec<Violation>,
    /// The description of each fault, its start, and its end once it is over.
    faults: Vec<(String, Duration, Option<Duration>)>,
    moves: Vec<Move>,
    /// When each request ended, and whether it was served.
    results: Vec<(Duration, bool)>,
}

impl Ledger {
    /// Returns an empty record whose clock starts now.
    pub fn start() -> Self {
        Self { started: Instant::now(), state: Mutex::default() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violation of the guarantee `rule`.
    pub fn record_violation(&self, rule: &'static str, observed: String) {
        let violation = Violation { rule, at: self.now(), observed };
        let mut state = self.lock();
        // Five of each rule are enough to diagnose it.
        if state.violations.iter().filter(|known| known.rule == rule).count() < 5 {
            state.violations.push(violation);
        }
    }

    /// Returns the violations, at most five for each rule.
    pub fn violations(&self) -> Vec<Violation> {
        self.lock().violations.clone()
    }

    /// Records the start of a fault and returns its number.
    pub fn record_fault_start(&self, description: String) -> usize {
        let now = self.now();
        let mut state = self.lock();
        state.faults.push((description, now, None));
        state.faults.len() - 1
    }

    /// Records the end of the fault `number`.
    pub fn record_fault_end(&self, number: usize) {
        let now = self.now();
        self.lock().faults[number].2 = Some(now);
    }

    /// Returns one line for each fault, which helps to diagnose a failed run.
    pub fn describe_faults(&self) -> Vec<String> {
        let line = |(description, from, to): &(String, Duration, Option<Duration>)| {
            let to = to.map_or("the end".to_string(), |to| format!("{:.3} s", to.as_secs_f64()));
            format!("{:.3} s to {to}: {description}", from.as_secs_f64())
        };
        self.lock().faults.iter().map(line).collect()
    }

    /// Returns whether no fault other than `except` was active since `from` or in the settling time
    /// before it.
    pub fn is_fault_free(&self, from: Duration, except: Option<usize>) -> bool {
        let since = from.saturating_sub(SETTLING_TIME);
        let state = self.lock();
        let mut faults = state.faults.iter().enumerate();
        faults.all(|(number, (_, _, to))| Some(number) == except || to.is_some_and(|to| to < since))
    }

    /// Records a request that a caller is about to send.
    pub fn record_request(&self, id: &str, path: &str, is_idempotent: bool, origin: &'static str) {
        let sent_at = self.now();
        let sent = SentRequest {
            path: path.to_string(),
            is_idempotent,
            origin,
            sent_at,
            runs: Vec::new(),
            refusal_status: None,
        };
        self.lock().requests.insert(id.to_string(), sent);
    }

    /// Records that a server starts to run a request, and checks whether it may.
    pub fn record_run(&self, id: &str, path: &str, server: &str, service: &str, origin: &str) {
        let now = self.now();
        let mut violations_found = Vec::new();
        {
            let mut state = self.lock();
            let moves = state.moves.clone();
            match state.requests.get_mut(id) {
                None => violations_found.push(("UNASKED", "which no caller sent".to_string())),
                Some(sent) => {
                    sent.runs.push((server.to_string(), now));
                    if sent.path != path {
                        violations_found
                            .push(("UNASKED", format!("which was sent as {}", sent.path)));
                    }
                    if sent.origin != origin {
                        violations_found
                            .push(("UNASKED", format!("as of {origin}, not {}", sent.origin)));
                    }
                    if !sent.is_idempotent && sent.runs.len() > 1 {
                        violations_found.push(("TWICE", format!("after {:?}", sent.runs)));
                    }
                    if let Some(status) = sent.refusal_status.filter(|_| !sent.is_idempotent) {
                        violations_found
                            .push(("REFUSED", format!("which was rejected with {status}")));
                    }
                    let is_wrong = match path.split('/').nth(1) {
                        Some("m") => is_wrong_service(&moves, sent.sent_at, service),
                        Some(owner) => owner != service,
                        None => true,
                    };
                    if is_wrong && path.starts_with("/m/") {
                        violations_found.push((
                            "CONFIG",
                            format!("sent at {:?}, moves {moves:?}", sent.sent_at),
                        ));
                    } else if is_wrong {
                        violations_found.push(("ROUTE", String::new()));
                    }
                }
            }
        }
        for (rule, detail) in violations_found {
            if rule == "CONFIG" && !self.is_fault_free(now.saturating_sub(APPLY_TIME), None) {
                continue;
            }
            self.record_violation(rule, format!("{server} of {service} ran {id} {path} {detail}"));
        }
    }

    /// Returns the servers that started to run a request, each with the time of that start.
    pub fn runs(&self, id: &str) -> Vec<(String, Duration)> {
        self.lock().requests.get(id).map(|sent| sent.runs.clone()).unwrap_or_default()
    }

    /// Records that a caller received `status`, which states that its request did not run.
    pub fn record_refusal(&self, id: &str, status: u16) {
        let ran = {
            let mut state = self.lock();
            let Some(sent) = state.requests.get_mut(id) else { return };
            sent.refusal_status = Some(status);
            !sent.is_idempotent && !sent.runs.is_empty()
        };
        if ran {
            self.record_violation(
                "REFUSED",
                format!("{id} was rejected with {status} although it ran: {:?}", self.runs(id)),
            );
        }
    }

    /// Records whether a request was served, for the check of recovery.
    pub fn record_result(&self, served: bool) {
        let now = self.now();
        self.lock().results.push((now, served));
    }

    /// Returns how many requests ended since `from`, and how many of them were served.
    pub fn served_since(&self, from: Duration) -> (usize, usize) {
        let state = self.lock();
        let recent: Vec<bool> =
            state.results.iter().filter(|(at, _)| *at >= from).map(|(_, served)| *served).collect();
        (recent.len(), recent.iter().filter(|served| **served).count())
    }

    /// Records that an operator is about to change the moving route so that it leads to `service`.
    pub fn record_move_start(&self, service: &'static str) {
        self.lock().moves.push(Move { service, acknowledged: None });
    }

    /// Records that the last change of the moving route was acknowledged.
    pub fn record_move_acknowledged(&self) {
        let now = self.now();
        if let Some(last) = self.lock().moves.last_mut() {
            last.acknowledged = Some(now);
        }
    }
}

/// Returns whether a request on the moving route, sent at `sent`, must not run at `service`.
///
/// This is so when the last change that must be in force by then, and every later change, leads to
/// another service.
fn is_wrong_service(moves: &[Move], sent: Duration, service: &str) -> bool {
    let applied = moves.iter().rposition(|change| {
        change.acknowledged.is_some_and(|acknowledged| acknowledged + APPLY_TIME < sent)
    });
    let Some(applied) = applied else { return false };
    moves[applied..].iter().all(|change| change.service != service)
}
