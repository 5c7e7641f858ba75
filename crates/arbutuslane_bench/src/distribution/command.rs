//! Prints the figures of fleets of several sizes.

use super::fleet;
use super::plan::{Figures, Plan};

/// Runs each disruption at each number of nodes, and prints a table.
pub fn measure(seed: u64, sizes: &[usize]) {
    println!(
        "| nodes | disruption | in force p50, p99, max | late | requests and processor time of a control instance | of a node |"
    );
    println!("|---|---|---|---|---|---|");
    for nodes in sizes {
        for (name, plan) in plans(Plan { nodes: *nodes, seed, ..Plan::default() }) {
            print_row(*nodes, name, &fleet::run(plan));
        }
    }
}

/// Returns the disruptions that a fleet has to bear.
pub fn plans(calm: Plan) -> Vec<(&'static str, Plan)> {
    vec![
        ("none", calm),
        ("1% of messages lost", Plan { loss: 0.01, ..calm }),
        ("5% of messages lost", Plan { loss: 0.05, ..calm }),
        ("3% of uplinks full", Plan { full_uplinks: 0.03, ..calm }),
        ("10% failed, not known yet", Plan { failed: 0.1, ..calm }),
        ("half of the nodes start", Plan { starting: 0.5, ..calm }),
        ("pushing instance dies", Plan { death_at_change: Some(calm.changes / 2), ..calm }),
    ]
}

fn print_row(nodes: usize, disruption: &str, figures: &Figures) {
    let delay = |quantile| {
        figures
            .delay(quantile)
            .map_or("-".to_string(), |delay| format!("{:.2}", delay.as_secs_f64()))
    };
    println!(
        "| {nodes} | {disruption} | {}, {}, {} s | {} | {}, {:.2} s | {:.1}, {:.3} s |",
        delay(0.5),
        delay(0.99),
        delay(1.0),
        figures.late,
        figures.control_requests,
        figures.control_cpu.as_secs_f64(),
        figures.node_requests,
        figures.node_cpu.as_secs_f64(),
    );
}
