//! What happened to one request, and what its processes believed at the time.

use std::fmt;

use serde::Serialize;

use super::Line;

/// How long before a request a change of belief may explain it, in milliseconds.
const BEFORE_MS: u64 = 10_000;

/// The events that say what became of a request, in their causal order.
const OF_REQUESTS: [&str; 3] = ["dispatched", "attempt", "request"];

/// The events that change what a process believes of a server or a route.
const OF_BELIEFS: [&str; 8] = [
    "drain",
    "item-accepted",
    "item-in-force",
    "lease-lost",
    "server-announced",
    "server-judged",
    "server-left",
    "strike",
];

/// What happened to one request, in causal order.
#[derive(Debug, Serialize)]
pub struct Story {
    /// The id of the request.
    pub request: String,
    /// What became of it, where a log says so.
    pub outcome: Option<String>,
    /// What happened.
    pub steps: Vec<Step>,
}

/// One line of a log as a part of a story.
#[derive(Debug, Serialize)]
pub struct Step {
    /// When it happened, by the clock of its process.
    pub time: String,
    /// The process.
    pub instance: String,
    /// The request, or a call that its server made for it; empty for a change of belief.
    pub request: String,
    /// What happened.
    pub event: String,
    /// The inputs and the outcome.
    pub details: Vec<(String, String)>,
}

impl Story {
    /// Collects the story of `id` and of the calls whose ids extend it after `separator`.
    pub fn of(id: &str, separator: char, lines: &[Line]) -> Self {
        let own = |line: &&Line| {
            let request = line.get("request").unwrap_or_default();
            let call = request.strip_prefix(id).is_some_and(|rest| rest.starts_with(separator));
            OF_REQUESTS.contains(&line.event.as_str()) && (request == id || call)
        };
        let mut chosen: Vec<&Line> = lines.iter().filter(own).collect();
        let end = chosen.iter().map(|line| millis(&line.time)).max().unwrap_or_default();
        let begin = chosen.iter().map(|line| millis(&line.time)).min().unwrap_or_default();
        let begin = begin.saturating_sub(BEFORE_MS);
        let beliefs = lines.iter().filter(|line| {
            let at = millis(&line.time);
            OF_BELIEFS.contains(&line.event.as_str())
                && (begin..=end).contains(&at)
                && chosen.iter().any(|step| concerns(line, step))
        });
        let beliefs: Vec<&Line> = beliefs.collect();
        chosen.extend(beliefs);
        // The last word on a request is its entry's, whatever the clocks of other machines say.
        let is_last = |line: &Line| line.event == "request" && line.get("request") == Some(id);
        chosen.sort_by_key(|line| {
            let phase = OF_REQUESTS.iter().position(|event| *event == line.event);
            (is_last(line), line.time.clone(), phase)
        });
        let outcome = chosen.iter().rev().find(|line| is_last(line));
        let outcome = outcome.and_then(|line| line.get("outcome")).map(str::to_string);
        let steps = chosen.into_iter().map(Step::from).collect();
        Self { request: id.to_string(), outcome, steps }
    }
}

impl From<&Line> for Step {
    fn from(line: &Line) -> Self {
        Self {
            time: line.time.clone(),
            instance: line.get("instance").unwrap_or_default().to_string(),
            request: line.get("request").unwrap_or_default().to_string(),
            event: line.event.clone(),
            details: line.details().cloned().collect(),
        }
    }
}

impl fmt::Display for Story {
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

/// Returns whether a change of belief concerns the server or the route of a step.
fn concerns(belief: &Line, step: &Line) -> bool {
    let same = |key: &str| belief.get(key).is_some() && belief.get(key) == step.get(key);
    let route = step.get("route").map(|route| format!("Route(\"{route}\")"));
    same("server") || (route.is_some() && belief.get("item") == route.as_deref())
}

/// Returns the time of day of RFC 3339 text in milliseconds, with the day of the month.
fn millis(time: &str) -> u64 {
    let number = |range: std::ops::Range<usize>| {
        time.get(range).and_then(|digits| digits.parse::<u64>().ok()).unwrap_or_default()
    };
    let seconds = ((number(8..10) * 24 + number(11..13)) * 60 + number(14..16)) * 60;
    (seconds + number(17..19)) * 1_000 + number(20..23)
}
