//! Results as one Markdown table per scenario, policies side by side.

use crate::report::{Report, Row};

/// Returns a table per scenario: a line per service and load, a column per policy.
///
/// A cell holds the detection time at p50 and p99 in seconds where a server is unhealthy (a dash
/// when it was not ejected), and the false ejections of one run at p50 and p99 and their number over
/// all runs.
pub fn tables(report: &Report) -> String {
    let mut scenarios: Vec<&str> = Vec::new();
    let mut policies: Vec<&str> = Vec::new();
    for row in &report.rows {
        if !scenarios.contains(&row.scenario.as_str()) {
            scenarios.push(&row.scenario);
        }
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
    }
    let mut text = String::new();
    for scenario in scenarios {
        text += &format!("\n#### {scenario}\n\n| service, load |");
        for policy in &policies {
            text += &format!(" {policy} |");
        }
        text += &format!("\n|---|{}\n", "---|".repeat(policies.len()));
        let rows: Vec<&Row> = report.rows.iter().filter(|row| row.scenario == scenario).collect();
        for first in rows.iter().filter(|row| row.policy == policies[0]) {
            text += &format!("| {}, {}% |", first.service, first.load_percent);
            for policy in &policies {
                let same = |row: &&&Row| {
                    row.policy == *policy
                        && row.service == first.service
                        && row.load_percent == first.load_percent
                };
                let cell = rows.iter().find(same).map(|row| cell(row)).unwrap_or_default();
                text += &format!(" {cell} |");
            }
            text += "\n";
        }
    }
    text
}

fn cell(row: &Row) -> String {
    let seconds = |value: f64| match value.is_finite() {
        true => format!("{value:.2}"),
        false => "-".to_string(),
    };
    let total: u32 = row.runs.iter().map(|run| run.false_ejections).sum();
    let wrong =
        format!("{:.0}/{:.0} ({total})", row.false_ejections(0.5), row.false_ejections(0.99));
    if row.runs.iter().all(|run| run.detection_s.is_none()) && !has_target(&row.scenario) {
        return wrong;
    }
    format!("{}/{} s; {wrong}", seconds(row.detection(0.5)), seconds(row.detection(0.99)))
}

fn has_target(scenario: &str) -> bool {
    ["failing", "straggler-3x", "straggler-10x", "flapping", "lagging-reports"].contains(&scenario)
}
