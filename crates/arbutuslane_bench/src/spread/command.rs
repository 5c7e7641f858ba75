//! The command line of `arbutuslane-spread`.

use std::hint::black_box;
use std::time::Duration;

use arbutuslane_member::prelude::Table;
use arbutuslane_member::record::{Standing, View};
use arbutuslane_wire::{codec, peer};
use clap::{Arg, Command, value_parser};

use super::fit::Line;
use super::plan::{Figures, Plan};
use super::{fleet, memory, register};
use crate::distribution;
use crate::quantile::nearest_rank;

/// Parses the arguments of the process and runs the subcommand.
pub fn execute() -> miette::Result<()> {
    let seed = Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64));
    let sizes = Arg::new("sizes")
        .long("sizes")
        .default_value("175,350,700,1400")
        .value_delimiter(',')
        .value_parser(value_parser!(usize));
    let seconds =
        Arg::new("seconds").long("seconds").default_value("120").value_parser(value_parser!(u64));
    let matches = Command::new("arbutuslane-spread")
        .about("Measures membership, configuration spreading and quorum registers")
        .subcommand_required(true)
        .subcommand(
            Command::new("gossip")
                .about("Messages, bytes, processor time and delays in virtual time")
                .args([seed.clone(), sizes.clone(), seconds]),
        )
        .subcommand(
            Command::new("loss")
                .about("The loss of a share of the fleet")
                .args([seed.clone(), sizes.clone()]),
        )
        .subcommand(
            Command::new("items")
                .about("The delay until accepted items are in force, in virtual time")
                .args([seed, sizes]),
        )
        .subcommand(Command::new("memory").about("Memory of the membership table"))
        .subcommand(Command::new("registers").about("Memory and rate of quorum registers"))
        .get_matches();
    let number =
        |matches: &clap::ArgMatches, name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let sizes = |matches: &clap::ArgMatches| {
        matches.get_many::<usize>("sizes").unwrap_or_default().copied().collect::<Vec<usize>>()
    };
    match matches.subcommand() {
        Some(("gossip", options)) => {
            measure_gossip(number(options, "seed"), number(options, "seconds"), &sizes(options));
        }
        Some(("loss", options)) => measure_loss(number(options, "seed"), &sizes(options)),
        Some(("items", options)) => {
            distribution::command::measure(number(options, "seed"), &sizes(options));
        }
        Some(("memory", _)) => measure_table_memory(),
        _ => measure_registers(),
    }
    Ok(())
}

fn measure_gossip(seed: u64, seconds: u64, sizes: &[usize]) {
    println!(
        "| nodes | load | requests/s | bytes/s (HTTP) | bytes/s (with TCP/IP) | peak bytes in 1 s | CPU µs/s | changes | in force p50 ms | p99 ms | max ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut points = [Vec::new(), Vec::new(), Vec::new()];
    for nodes in sizes {
        let idle_plan = Plan {
            nodes: *nodes,
            servers_per_node: 12,
            measured_seconds: seconds,
            changes_per_day: 0.0,
            restarts_per_day: 0.0,
            lost_percent: 0,
            seed,
        };
        print_row(*nodes, "rest", &fleet::run(idle_plan));
        let share = *nodes as f64 / 1_400.0;
        let busy_plan =
            Plan { changes_per_day: 3_500.0, restarts_per_day: 3_400.0 * share, ..idle_plan };
        let figures = fleet::run(busy_plan);
        print_row(*nodes, "3,500 changes a day, restarts in proportion", &figures);
        points[0].push((*nodes as f64, figures.bytes_per_s));
        points[1].push((*nodes as f64, figures.requests_per_s));
        points[2].push((*nodes as f64, figures.cpu_us_per_s));
    }
    for (name, points) in ["bytes/s", "requests/s", "CPU µs/s"].iter().zip(&points) {
        let line = Line::through(points);
        println!(
            "{name} = {:.1} + {:.4} x nodes, largest deviation {:.1}%, at 1,400: {:.1}",
            line.intercept,
            line.slope,
            line.max_error * 100.0,
            line.at(1_400.0)
        );
    }
}

fn print_row(nodes: usize, load: &str, figures: &Figures) {
    let delay = |quantile: f64| {
        let found = nearest_rank(&figures.in_force_delays_ms, quantile);
        found.map_or("-".to_string(), |delay| delay.to_string())
    };
    println!(
        "| {nodes} | {load} | {:.2} | {:.0} | {:.0} | {} | {:.0} | {} | {} | {} | {} |",
        figures.requests_per_s,
        figures.bytes_per_s,
        figures.wire_bytes_per_s,
        figures.peak_bytes_per_s,
        figures.cpu_us_per_s,
        figures.changes,
        delay(0.5),
        delay(0.99),
        delay(1.0),
    );
}

fn measure_loss(seed: u64, sizes: &[usize]) {
    println!(
        "| nodes | lost | seen dead by all after ms | requests/s a node | peak requests in 1 s | bytes/s (HTTP) | peak bytes in 1 s |"
    );
    println!("|---|---|---|---|---|---|---|");
    for nodes in sizes {
        for lost_percent in [1, 8, 20] {
            let plan = Plan {
                nodes: *nodes,
                servers_per_node: 12,
                measured_seconds: 20,
                changes_per_day: 0.0,
                restarts_per_day: 0.0,
                lost_percent,
                seed,
            };
            let figures = fleet::run(plan);
            let detected =
                figures.loss_detected_ms.map_or("over 20,000".to_string(), |ms| ms.to_string());
            println!(
                "| {nodes} | {lost_percent}% | {detected} | {:.1} | {} | {:.0} | {} |",
                figures.requests_per_s,
                figures.peak_requests_per_s,
                figures.bytes_per_s,
                figures.peak_bytes_per_s
            );
        }
    }
}

/// Prints the memory of membership tables whose records were decoded from messages, as in a node.
fn measure_table_memory() {
    println!(
        "| nodes | servers a node | bytes of a table | bytes a node | encoded bytes a record |"
    );
    println!("|---|---|---|---|---|");
    let mut by_nodes = Vec::new();
    let mut by_servers = Vec::new();
    for (nodes, servers) in
        [(175, 12), (350, 12), (700, 12), (1_400, 12), (1_400, 0), (1_400, 6), (1_400, 24)]
    {
        let copies = 11_200 / nodes;
        let mut encoded = Vec::new();
        for node in 0..nodes {
            let held = arbutuslane_member::message::RecordWithView {
                record: fleet::record(node, servers).into(),
                view: View { round: 0, standing: Standing::Alive },
            };
            let push = arbutuslane_member::prelude::Message::Push {
                records: vec![held],
                views: Vec::new(),
            };
            encoded.push(codec::encode(&peer::Message::Gossip(push.into())).unwrap_or_default());
        }
        let before = memory::resident_bytes();
        let mut tables = Vec::new();
        for _ in 0..copies {
            tables.push(decode_table(&encoded));
        }
        let bytes = memory::resident_bytes().saturating_sub(before) as f64 / copies as f64;
        // Leaks the tables: the next size would reuse freed memory without growth of the process.
        std::mem::forget(black_box(tables));
        let record_bytes = encoded.iter().map(Vec::len).sum::<usize>() / encoded.len();
        println!(
            "| {nodes} | {servers} | {bytes:.0} | {:.0} | {record_bytes} |",
            bytes / nodes as f64
        );
        if servers == 12 {
            by_nodes.push((nodes as f64, bytes));
        }
        if nodes == 1_400 {
            by_servers.push((f64::from(u32::try_from(servers * nodes).unwrap_or(0)), bytes));
        }
    }
    let line = Line::through(&by_nodes);
    println!(
        "bytes = {:.0} + {:.0} x nodes with 12 servers each, largest deviation {:.1}%",
        line.intercept,
        line.slope,
        line.max_error * 100.0
    );
    let line = Line::through(&by_servers);
    println!(
        "bytes = {:.0} + {:.0} x servers at 1,400 nodes, largest deviation {:.1}%",
        line.intercept,
        line.slope,
        line.max_error * 100.0
    );
}

/// Returns a table with the records of the encoded messages.
fn decode_table(encoded: &[Vec<u8>]) -> Table {
    let mut table = Table::default();
    for bytes in encoded {
        let Ok(peer::Message::Gossip(message)) = codec::decode(bytes) else { continue };
        let message: arbutuslane_member::prelude::Message = message.into();
        let arbutuslane_member::prelude::Message::Push { records, .. } = message else { continue };
        for held in &records {
            table.merge(Duration::ZERO, held);
        }
    }
    table
}

fn measure_registers() {
    println!(
        "| keys | bytes a key | replica claims/s a core | coordinator claims/s a core | claim bytes | answer bytes | bytes a key in a pull |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut points = Vec::new();
    for keys in [125_000, 250_000, 500_000, 1_000_000, 2_000_000] {
        let cost = register::measure(keys);
        println!(
            "| {keys} | {:.0} | {:.0} | {:.0} | {} | {} | {:.0} |",
            cost.bytes_per_key,
            cost.replica_claims_per_s,
            cost.coordinator_claims_per_s,
            cost.message_bytes.0,
            cost.message_bytes.1,
            cost.pull_bytes_per_key
        );
        points.push((f64::from(keys), cost.bytes_per_key * f64::from(keys)));
    }
    let line = Line::through(&points);
    println!(
        "bytes = {:.0} + {:.1} x keys, largest deviation {:.1}%",
        line.intercept,
        line.slope,
        line.max_error * 100.0
    );
}
