//! Comparison of two result files with confidence intervals.

use arbutuslane_core::rng;
use rand::RngExt;

use crate::report::{Report, Row, Run, as_f64};

/// The difference of one figure between two result files, second minus first.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The scenario, service, load and policy of the row.
    pub row: String,
    /// The name of the figure.
    pub figure: &'static str,
    /// The mean in the first file.
    pub before: f64,
    /// The mean in the second file.
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

/// The detection time in seconds of a run without detection: the length of the measured part.
const UNDETECTED_S: f64 = 40.0;

/// The number of bootstrap resamples.
const RESAMPLES: usize = 2_000;

type Figure = (&'static str, fn(&Run) -> f64);

const FIGURES: [Figure; 5] = [
    ("detection s", |run| run.detection_s.unwrap_or(UNDETECTED_S)),
    ("false ejections", |run| run.false_ejections as f64),
    ("answered in time", |run| run.good_share),
    ("retries", |run| run.retry_share),
    ("p99 latency ms", |run| run.p99_ms),
];

/// Compares the rows that are in both files, by a bootstrap over the seeds.
pub fn compare(before: &Report, after: &Report) -> Vec<Difference> {
    let mut differences = Vec::new();
    for old in &before.rows {
        let same = |new: &&Row| row_key(new) == row_key(old);
        let Some(new) = after.rows.iter().find(same) else { continue };
        for (name, figure) in FIGURES {
            let old_values: Vec<f64> = old.runs.iter().map(figure).collect();
            let new_values: Vec<f64> = new.runs.iter().map(figure).collect();
            if old_values.is_empty() || new_values.is_empty() {
                continue;
            }
            differences.push(Difference {
                row: row_key(old),
                figure: name,
                before: mean(&old_values),
                after: mean(&new_values),
                interval: interval(&old_values, &new_values),
            });
        }
    }
    differences
}

/// Returns the significant differences as a Markdown table, and the number of the other ones.
pub fn table(differences: &[Difference]) -> String {
    let mut text = String::from(
        "| row | figure | before | after | 95% of difference |\n|---|---|---|---|---|\n",
    );
    for difference in differences.iter().filter(|difference| difference.is_significant()) {
        text += &format!(
            "| {} | {} | {:.3} | {:.3} | {:+.3} to {:+.3} |\n",
            difference.row,
            difference.figure,
            difference.before,
            difference.after,
            difference.interval.0,
            difference.interval.1
        );
    }
    let unchanged = differences.iter().filter(|difference| !difference.is_significant()).count();
    text + &format!("\n{unchanged} of {} figures do not differ at 95%.\n", differences.len())
}

fn row_key(row: &Row) -> String {
    format!("{} {} {} {}", row.scenario, row.service, row.load_percent, row.policy)
}

/// Returns the 95% confidence interval of the difference of the means.
fn interval(before: &[f64], after: &[f64]) -> (f64, f64) {
    let mut rng = rng::seeded(1);
    let mut resampled_mean = |values: &[f64]| {
        let sum: f64 = values.iter().map(|_| values[rng.random_range(0..values.len())]).sum();
        sum / as_f64(values.len() as u64)
    };
    let mut differences: Vec<f64> =
        (0..RESAMPLES).map(|_| resampled_mean(after) - resampled_mean(before)).collect();
    differences.sort_unstable_by(f64::total_cmp);
    (differences[RESAMPLES / 40], differences[RESAMPLES - 1 - RESAMPLES / 40])
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / as_f64(values.len() as u64)
}
