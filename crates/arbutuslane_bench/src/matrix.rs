//! A result file as one Markdown table per scenario, with a column per policy.

use crate::report::{Report, Row};

/// Returns one table per scenario, with a row per service and load and a column per policy.
///
/// In scenarios with an unhealthy server, a cell has the detection time in seconds at p50 and p99, or
/// a dash when the server was not ejected. It then has the false ejections per run at p50 and p99,
/// and in brackets their total over all runs.
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
                let is_match = |row: &&&Row| {
                    row.policy == *policy
                        && row.service == first.service
                        && row.load_percent == first.load_percent
                };
                let cell = rows.iter().find(is_match).map(|row| cell(row)).unwrap_or_default();
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
    let false_ejections =
        format!("{:.0}/{:.0} ({total})", row.false_ejections(0.5), row.false_ejections(0.99));
    if row.runs.iter().all(|run| run.detection_s.is_none()) && !has_unhealthy_server(&row.scenario)
    {
        return false_ejections;
    }
    format!("{}/{} s; {false_ejections}", seconds(row.detection(0.5)), seconds(row.detection(0.99)))
}

fn has_unhealthy_server(scenario: &str) -> bool {
    ["failing", "straggler-3x", "straggler-10x", "flapping", "lagging-reports"].contains(&scenario)
}
