//! Result files: rows of figures, one set of figures per seed.

use std::fs;
use std::path::{Path, PathBuf};

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::outcome::Outcome;

/// The figures of one configuration, run with several seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the scenario.
    pub scenario: String,
    /// The name of the service.
    pub service: String,
    /// The offered load in percent of the capacity.
    pub load_percent: u32,
    /// The name of the policy that chose and ejected servers.
    pub policy: String,
    /// The figures of each seed.
    pub runs: Vec<Run>,
}

/// The figures of one seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// Seconds from the start of the fault to the ejection of the unhealthy server, or `None` when it
    /// was not ejected.
    pub detection_s: Option<f64>,
    /// Ejections of healthy servers.
    pub false_ejections: u32,
    /// All ejections.
    pub ejections: u32,
    /// The share of first requests that were answered within their deadline.
    pub good_share: f64,
    /// Retries as a share of first requests.
    pub retry_share: f64,
    /// Requests that the unhealthy server ran.
    pub target_ran: u64,
    /// The median latency of answered requests in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of answered requests in milliseconds.
    pub p99_ms: f64,
    /// Requests answered in time as a share of the remaining capacity; overload runs only.
    pub goodput: Option<f64>,
    /// Seconds from the end of an overload until 95% of the requests are answered in time in every
    /// window of 5 s; overload runs only.
    pub recovery_s: Option<f64>,
}

/// A result file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The subcommand and options that produced the file.
    pub command: String,
    /// The rows.
    pub rows: Vec<Row>,
}

/// An error while reading or writing a result file.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The file cannot be read or written.
    #[error("cannot access {path}")]
    #[diagnostic(help("check that the folder exists and is writable"))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not a result file.
    #[error("{path} is not a result file")]
    #[diagnostic(help("use a file that this program wrote with --out"))]
    Format {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

impl Run {
    /// Returns the figures of a finished run.
    pub fn of(seed: u64, outcome: &Outcome) -> Self {
        let offered = as_f64(outcome.offered).max(1.0);
        let quantile = |quantile| as_f64(outcome.latency.value_at_quantile(quantile)) / 1_000.0;
        Self {
            seed,
            detection_s: outcome.detection.map(|detection| detection.as_secs_f64()),
            false_ejections: outcome.false_ejections,
            ejections: outcome.ejections,
            good_share: as_f64(outcome.in_time) / offered,
            retry_share: as_f64(outcome.retries) / offered,
            target_ran: outcome.target_ran,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            goodput: None,
            recovery_s: None,
        }
    }
}

impl Row {
    /// Returns the detection time in seconds at `quantile` over the seeds; a run without detection
    /// counts as infinite.
    pub fn detection(&self, quantile: f64) -> f64 {
        self.quantile(quantile, |run| run.detection_s.unwrap_or(f64::INFINITY))
    }

    /// Returns the number of false ejections at `quantile` over the seeds.
    pub fn false_ejections(&self, quantile: f64) -> f64 {
        self.quantile(quantile, |run| f64::from(run.false_ejections))
    }

    /// Returns a figure at `quantile` over the seeds by nearest rank, or NaN without runs.
    pub fn quantile(&self, quantile: f64, figure: impl Fn(&Run) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(figure).collect();
        values.sort_unstable_by(f64::total_cmp);
        if values.is_empty() {
            return f64::NAN;
        }
        let exact_rank = as_f64(values.len() as u64) * quantile;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rank")]
        let rank = exact_rank.ceil() as usize;
        values[rank.clamp(1, values.len()) - 1]
    }

    /// Returns the mean of a figure over the seeds.
    pub fn mean(&self, figure: impl Fn(&Run) -> f64) -> f64 {
        self.runs.iter().map(figure).sum::<f64>() / as_f64(self.runs.len() as u64).max(1.0)
    }
}

impl Report {
    /// Reads a result file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not a result file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.to_path_buf(), source })?;
        serde_json::from_str(&text)
            .map_err(|source| Error::Format { path: path.to_path_buf(), source })
    }

    /// Writes a result file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self)
            .map_err(|source| Error::Format { path: path.to_path_buf(), source })?;
        fs::write(path, text + "\n")
            .map_err(|source| Error::File { path: path.to_path_buf(), source })
    }

    /// Returns the rows as a Markdown table.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "| scenario | service | load | policy | detection p50 s | p99 s | not detected | \
             false p50 | p99 | runs with false | answered in time | retries | p99 latency ms | \
             goodput | recovery s |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for row in &self.rows {
            let undetected = row.runs.iter().filter(|run| run.detection_s.is_none()).count();
            let runs_with_false = row.runs.iter().filter(|run| run.false_ejections > 0).count();
            let goodput = row.quantile(0.01, |run| run.goodput.unwrap_or(f64::NAN));
            let recovery = row.quantile(0.99, |run| run.recovery_s.unwrap_or(f64::NAN));
            text += &format!(
                "| {} | {} | {} | {} | {:.2} | {:.2} | {} | {:.0} | {:.0} | {} of {} | {:.3} | {:.3} | {:.0} | {:.3} | {:.1} |\n",
                row.scenario,
                row.service,
                row.load_percent,
                row.policy,
                row.detection(0.5),
                row.detection(0.99),
                undetected,
                row.false_ejections(0.5),
                row.false_ejections(0.99),
                runs_with_false,
                row.runs.len(),
                row.mean(|run| run.good_share),
                row.mean(|run| run.retry_share),
                row.quantile(0.5, |run| run.p99_ms),
                goodput,
                recovery,
            );
        }
        text
    }
}

/// Converts a count to `f64`. Counts stay far below the 53 bits that convert exactly.
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
