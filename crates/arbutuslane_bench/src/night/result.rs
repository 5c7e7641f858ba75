//! The results file and its table.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use super::detection::Detection;

/// The cases of a count that the results file names.
const CASES: usize = 20;

/// The results of a night.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed of the script.
    pub seed: u64,
    /// Requests of callers.
    pub requests: u64,
    /// Attempts, resends included.
    pub attempts: u64,
    /// Runs at servers.
    pub runs: u64,
    /// Attempts by kind and ending.
    pub endings: BTreeMap<String, u64>,
    /// Changes of the catalogue that were acknowledged.
    pub acknowledged_changes: u64,
    /// The counts with their bounds.
    pub counts: Vec<Count>,
    /// When unhealthy servers were ejected.
    pub detections: Vec<Detection>,
    /// Ejections of servers that the script leaves healthy.
    pub other_ejections: Vec<String>,
}

/// One count.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// What is counted.
    pub name: String,
    /// The largest allowed count.
    pub bound: u64,
    /// The count.
    pub count: u64,
    /// The first cases.
    pub cases: Vec<String>,
}

impl Count {
    /// Returns the count of `cases`.
    pub fn new(name: &str, bound: u64, mut cases: Vec<String>) -> Self {
        let count = u64::try_from(cases.len()).unwrap_or(u64::MAX);
        cases.truncate(CASES);
        Self { name: name.to_string(), bound, count, cases }
    }

    /// Returns whether the count exceeds its bound.
    pub fn broken(&self) -> bool {
        self.count > self.bound
    }
}

impl Report {
    /// Returns whether a count exceeds its bound.
    pub fn broken(&self) -> bool {
        self.counts.iter().any(Count::broken)
    }

    /// Returns the results as Markdown.
    pub fn table(&self) -> String {
        let mut text = format!(
            "seed {}: {} requests, {} attempts, {} runs, {} acknowledged changes\n\n\
             | count | found | bound | |\n|---|---|---|---|\n",
            self.seed, self.requests, self.attempts, self.runs, self.acknowledged_changes
        );
        for count in &self.counts {
            let verdict = if count.broken() { "BROKEN" } else { "ok" };
            text +=
                &format!("| {} | {} | {} | {verdict} |\n", count.name, count.count, count.bound);
        }
        text += "\n| server | fault | ejected after s |\n|---|---|---|\n";
        for one in &self.detections {
            let seconds = one.seconds.map_or("-".to_string(), |seconds| format!("{seconds:.1}"));
            text += &format!("| {} | {} | {seconds} |\n", one.server, one.fault);
        }
        text += &format!("\nother servers ejected: {}\n", self.other_ejections.len());
        text
    }
}
