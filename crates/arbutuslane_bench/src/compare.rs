//! Comparison of two result files with confidence intervals.

use arbutuslane_core::rng;
use rand::RngExt;

use crate::report::{Report, Row, Run, as_f64};

/// The difference of one figure between two files, the second less the first.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Scenario, service, load and policy.
    pub row: String,
    /// The figure.
    pub figure: &'static str,
    /// The mean of the first file.
    pub before: f64,
    /// The mean of the second file.
    pub after: f64,
    /// The 95% confidence interval of the difference of the means.
    pub interval: (f64, f64),
}

impl Difference {
    /// Returns whether the interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.interval.0 > 0.0 || self.interval.1 < 0.0
    }
}

/// A run without detection counts as this many seconds, the length of the measured part.
const UNDETECTED: f64 = 40.0;

const RESAMPLES: usize = 2_000;

type Figure = (&'static str, fn(&Run) -> f64);

const FIGURES: [Figure; 5] = [
    ("detection s", |run| run.detection_s.unwrap_or(UNDETECTED)),
    ("false ejections", |run| run.false_ejections as f64),
    ("answered in time", |run| run.good_share),
    ("retries", |run| run.retry_share),
    ("p99 latency ms", |run| run.p99_ms),
];

/// Compares the rows that both files have, by a bootstrap over the seeds.
pub fn compare(before: &Report, after: &Report) -> Vec<Difference> {
    let mut differences = Vec::new();
    for old in &before.rows {
        let same = |new: &&Row| key(new) == key(old);
        let Some(new) = after.rows.iter().find(same) else { continue };
        for (name, figure) in FIGURES {
            let old_values: Vec<f64> = old.runs.iter().map(figure).collect();
            let new_values: Vec<f64> = new.runs.iter().map(figure).collect();
            if old_values.is_empty() || new_values.is_empty() {
                continue;
            }
            differences.push(Difference {
                row: key(old),
                figure: name,
                before: mean(&old_values),
                after: mean(&new_values),
                interval: interval(&old_values, &new_values),
            });
        }
    }
    differences
}

/// Returns the differences as a Markdown table.
pub fn table(differences: &[Difference]) -> String {
    let mut text = String::from(
        "| row | figure | before | after | 95% of difference |\n|---|---|---|---|---|\n",
    );
    for one in differences.iter().filter(|one| one.is_significant()) {
        text += &format!(
            "| {} | {} | {:.3} | {:.3} | {:+.3} to {:+.3} |\n",
            one.row, one.figure, one.before, one.after, one.interval.0, one.interval.1
        );
    }
    let rest = differences.iter().filter(|one| !one.is_significant()).count();
    text + &format!("\n{rest} of {} figures do not differ at 95%.\n", differences.len())
}

fn key(row: &Row) -> String {
    format!("{} {} {} {}", row.scenario, row.service, row.load_percent, row.policy)
}

fn interval(before: &[f64], after: &[f64]) -> (f64, f64) {
    let mut rng = rng::seeded(1);
    let mut draw = |values: &[f64]| {
        let sum: f64 = values.iter().map(|_| values[rng.random_range(0..values.len())]).sum();
        sum / as_f64(values.len() as u64)
    };
    let mut differences: Vec<f64> = (0..RESAMPLES).map(|_| draw(after) - draw(before)).collect();
    differences.sort_unstable_by(f64::total_cmp);
    (differences[RESAMPLES / 40], differences[RESAMPLES - 1 - RESAMPLES / 40])
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / as_f64(values.len() as u64)
}
