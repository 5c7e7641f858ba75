//! The log lines about one request, and the changes of server and route state that affected it.

use std::fmt;

use serde::Serialize;

use super::LogLine;

/// A trace includes the state changes up to this long before the first line about the request,
/// because they may explain its outcome, in milliseconds.
const STATE_CHANGE_WINDOW_MS: u64 = 10_000;

/// The events of a request, in their causal order.
const REQUEST_EVENTS: [&str; 4] = ["allowance-refused", "dispatched", "attempt", "request"];

/// The events that change the state of a server or a route as a process sees it.
const STATE_CHANGE_EVENTS: [&str; 8] = [
    "drain",
    "item-accepted",
    "item-in-force",
    "lease-lost",
    "server-announced",
    "server-judged",
    "server-left",
    "strike",
];

/// The log lines about one request, in causal order.
#[derive(Debug, Serialize)]
pub struct RequestTrace {
    /// The id of the request.
    pub request: String,
    /// The outcome of the request, if the log of its entry contains it.
    pub outcome: Option<String>,
    /// The log lines.
    pub steps: Vec<Step>,
}

/// One log line of a trace.
#[derive(Debug, Serialize)]
pub struct Step {
    /// The time of the event, by the clock of its process.
    pub time: String,
    /// The instance that wrote the line.
    pub instance: String,
    /// The id of the request, or of a call that its server made; empty for a state change.
    pub request: String,
    /// The name of the event.
    pub event: String,
    /// The other fields of the line, with the inputs and the outcome.
    pub details: Vec<(String, String)>,
}

impl RequestTrace {
    /// Collects the lines about the request `id` and about calls, whose ids consist of `id`,
    /// `separator` and a suffix.
    pub fn of(id: &str, separator: char, lines: &[LogLine]) -> Self {
        let is_about_request = |line: &&LogLine| {
            let request = line.get("request").unwrap_or_default();
            let is_call = request.strip_prefix(id).is_some_and(|rest| rest.starts_with(separator));
            REQUEST_EVENTS.contains(&line.event.as_str()) && (request == id || is_call)
        };
        let mut selected: Vec<&LogLine> = lines.iter().filter(is_about_request).collect();
        let times_ms = || selected.iter().filter_map(|line| line.at_ms());
        let end = times_ms().max().unwrap_or_default();
        let start = times_ms().min().unwrap_or_default().saturating_sub(STATE_CHANGE_WINDOW_MS);
        let state_changes = lines.iter().filter(|line| {
            let Some(time_ms) = line.at_ms() else { return false };
            STATE_CHANGE_EVENTS.contains(&line.event.as_str())
                && (start..=end).contains(&time_ms)
                && selected.iter().any(|step| affects_step(line, step))
        });
        let state_changes: Vec<&LogLine> = state_changes.collect();
        selected.extend(state_changes);
        // Sorts the final line of the request's entry last, regardless of its time, because the
        // clocks of other machines may differ.
        let is_entry_line =
            |line: &LogLine| line.event == "request" && line.get("request") == Some(id);
        selected.sort_by_key(|line| {
            let causal_order = REQUEST_EVENTS.iter().position(|event| *event == line.event);
            (is_entry_line(line), line.time.clone(), causal_order)
        });
        let outcome = selected.iter().rev().find(|line| is_entry_line(line));
        let outcome = outcome.and_then(|line| line.get("outcome")).map(str::to_string);
        let steps = selected.into_iter().map(Step::from).collect();
        Self { request: id.to_string(), outcome, steps }
    }
}

impl From<&LogLine> for Step {
    fn from(line: &LogLine) -> Self {
        Self {
            time: line.time.clone(),
            instance: line.get("instance").unwrap_or_default().to_string(),
            request: line.get("request").unwrap_or_default().to_string(),
            event: line.event.clone(),
            details: line.details().cloned().collect(),
        }
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.steps.is_empty() {
            return write!(formatter, "no log line names request {}", self.request);
        }
        let outcome = self.outcome.as_deref().unwrap_or("not logged by its entry");
        write!(formatter, "request {}: {outcome}", self.request)?;
        for step in &self.steps {
            write!(formatter, "\n  {} {} {}", step.time, step.instance, step.event)?;
            if !step.request.is_empty() && step.request != self.request {
                write!(formatter, " call={}", step.request)?;
            }
            for (key, value) in &step.details {
                write!(formatter, " {key}={}", arbutuslane_event::event::quoted(value))?;
            }
        }
        Ok(())
    }
}

/// Returns whether a state change is about the server or the route of a step.
fn affects_step(state_change: &LogLine, step: &LogLine) -> bool {
    let has_same =
        |key: &str| state_change.get(key).is_some() && state_change.get(key) == step.get(key);
    let route = step.get("route").map(|route| format!("Route(\"{route}\")"));
    has_same("server") || (route.is_some() && state_change.get("item") == route.as_deref())
}
