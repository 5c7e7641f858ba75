//! The results file of a night and its table.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use super::detection::Detection;

/// The largest number of cases that the results file lists for one count.
const MAX_CASES: usize = 20;

/// The results of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed of the script.
    pub seed: u64,
    /// The number of requests of callers.
    pub requests: u64,
    /// The number of attempts, resends included.
    pub attempts: u64,
    /// The number of requests that servers ran.
    pub runs: u64,
    /// The number of attempts by kind and ending.
    pub endings: BTreeMap<String, u64>,
    /// The number of acknowledged changes of the catalogue.
    pub acknowledged_changes: u64,
    /// The counts with their bounds.
    pub counts: Vec<Count>,
    /// The detection of each fault.
    pub detections: Vec<Detection>,
    /// The ejections of servers that the script leaves healthy.
    pub other_ejections: Vec<String>,
}

/// The number of cases in which a guarantee was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// The kind of case that is counted.
    pub name: String,
    /// The largest allowed count.
    pub bound: u64,
    /// The number of cases.
    pub count: u64,
    /// The first cases, at most 20.
    pub cases: Vec<String>,
}

impl Count {
    /// Creates the count of `cases`.
    pub fn new(name: &str, bound: u64, mut cases: Vec<String>) -> Self {
        let count = u64::try_from(cases.len()).unwrap_or(u64::MAX);
        cases.truncate(MAX_CASES);
        Self { name: name.to_string(), bound, count, cases }
    }

    /// Returns whether the count exceeds its bound.
    pub fn exceeds_bound(&self) -> bool {
        self.count > self.bound
    }
}

impl Report {
    /// Returns whether a count exceeds its bound.
    pub fn exceeds_bounds(&self) -> bool {
        self.counts.iter().any(Count::exceeds_bound)
    }

    /// Returns the results as Markdown.
    pub fn table(&self) -> String {
        let mut text = format!(
            "seed {}: {} requests, {} attempts, {} runs, {} acknowledged changes\n\n\
             | count | found | bound | |\n|---|---|---|---|\n",
            self.seed, self.requests, self.attempts, self.runs, self.acknowledged_changes
        );
        for count in &self.counts {
            let verdict = if count.exceeds_bound() { "BROKEN" } else { "ok" };
            text +=
                &format!("| {} | {} | {} | {verdict} |\n", count.name, count.count, count.bound);
        }
        text += "\n| server | fault | ejected after s |\n|---|---|---|\n";
        for detection in &self.detections {
            let seconds =
                detection.seconds.map_or("-".to_string(), |seconds| format!("{seconds:.1}"));
            text += &format!("| {} | {} | {seconds} |\n", detection.server, detection.fault);
        }
        text += &format!("\nother servers ejected: {}\n", self.other_ejections.len());
        text
    }
}
