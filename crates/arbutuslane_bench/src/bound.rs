//! Checks result files against the targets of the design.

use crate::report::{Report, Row};

/// Returns one line for each exceeded bound.
///
/// The bounds are those of the design page, never measured figures: detection time at 60% load, no
/// false ejection where no server is unhealthy, goodput, retries and recovery.
pub fn broken(report: &Report) -> Vec<String> {
    let mut broken = Vec::new();
    for row in &report.rows {
        check_detection(row, report, &mut broken);
        check_false_ejections(row, &mut broken);
        check_overload(row, &mut broken);
    }
    broken
}

/// Returns the bound in seconds, at p99, until an unhealthy server receives only trials.
fn detection_bound(scenario: &str) -> Option<f64> {
    match scenario {
        "failing" => Some(1.0),
        "straggler-10x" => Some(2.0),
        "straggler-3x" => Some(8.0),
        _ => None,
    }
}

/// The largest detection time of `few_false_ejections` as a multiple of that of `fast_detection`.
const MAX_DETECTION_RATIO: f64 = 4.0;

/// The bound on recovery in seconds. The design requires recovery "in seconds", and requests of the
/// slowest service take up to 5 s.
const MAX_RECOVERY_S: f64 = 10.0;

fn check_detection(row: &Row, report: &Report, broken: &mut Vec<String>) {
    let Some(bound) = detection_bound(&row.scenario) else { return };
    if row.load_percent != 60 {
        return;
    }
    let p99 = row.detection(0.99);
    match row.policy.as_str() {
        "fast_detection" if p99 > bound => {
            broken.push(format!("{}: detection p99 {p99:.2} s, bound {bound} s", row_label(row)));
        }
        "few_false_ejections" => {
            let fast = report.rows.iter().find(|other| {
                other.scenario == row.scenario
                    && other.service == row.service
                    && other.load_percent == row.load_percent
                    && other.policy == "fast_detection"
            });
            let Some(fast) = fast else { return };
            let bound = MAX_DETECTION_RATIO * fast.detection(0.99);
            if p99 > bound {
                broken.push(format!(
                    "{}: detection p99 {p99:.2} s, bound {bound:.2} s",
                    row_label(row)
                ));
            }
        }
        _ => {}
    }
}

fn check_false_ejections(row: &Row, broken: &mut Vec<String>) {
    let must_be_zero = match row.policy.as_str() {
        "few_false_ejections" => true,
        "fast_detection" => {
            ["slow-route", "heavy-caller", "cold-start"].contains(&row.scenario.as_str())
        }
        _ => false,
    };
    let total: u32 = row.runs.iter().map(|run| run.false_ejections).sum();
    if must_be_zero && total > 0 {
        broken.push(format!("{}: {total} false ejections, bound 0", row_label(row)));
    }
}

fn check_overload(row: &Row, broken: &mut Vec<String>) {
    if !["fast_detection", "few_false_ejections"].contains(&row.policy.as_str()) {
        return;
    }
    if row.runs.iter().all(|run| run.goodput.is_none()) {
        return;
    }
    let goodput = row.quantile(0.01, |run| run.goodput.unwrap_or(0.0));
    if goodput <= 0.9 {
        broken.push(format!("{}: goodput {goodput:.3} of capacity, bound 0.9", row_label(row)));
    }
    let retries = row.quantile(0.99, |run| run.retry_share);
    if retries >= 0.1 {
        broken.push(format!("{}: retries {retries:.3}, bound 0.1", row_label(row)));
    }
    let recovery = row.quantile(0.99, |run| run.recovery_s.unwrap_or(f64::INFINITY));
    if recovery > MAX_RECOVERY_S {
        broken.push(format!(
            "{}: recovery {recovery:.0} s, bound {MAX_RECOVERY_S} s",
            row_label(row)
        ));
    }
}

/// Returns the label of a row in messages.
fn row_label(row: &Row) -> String {
    format!("{} {} {}% {}", row.scenario, row.service, row.load_percent, row.policy)
}
