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

/// Reads the arguments of the process and runs what they ask for.
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
            Command::new("loss").about("The loss of a share of the fleet").args([seed, sizes]),
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
        Some(("gossip", found)) => {
            gossip(number(found, "seed"), number(found, "seconds"), &sizes(found));
        }
        Some(("loss", found)) => loss(number(found, "seed"), &sizes(found)),
        Some(("memory", _)) => table_memory(),
        _ => registers(),
    }
    Ok(())
}

fn gossip(seed: u64, seconds: u64, sizes: &[usize]) {
    println!(
        "| nodes | load | requests/s | bytes/s (HTTP) | bytes/s (with TCP/IP) | peak bytes in 1 s | CPU µs/s | changes | in force p50 ms | p99 ms | max ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut points = [Vec::new(), Vec::new(), Vec::new()];
    for nodes in sizes {
        let rest = Plan {
            nodes: *nodes,
            servers: 12,
            seconds,
            changes: 0.0,
            restarts: 0.0,
            lost_percent: 0,
            seed,
        };
        show(*nodes, "rest", &fleet::run(rest));
        let share = *nodes as f64 / 1_400.0;
        let busy = Plan { changes: 3_500.0, restarts: 3_400.0 * share, ..rest };
        let figures = fleet::run(busy);
        show(*nodes, "3,500 changes a day, restarts in proportion", &figures);
        points[0].push((*nodes as f64, figures.bytes));
        points[1].push((*nodes as f64, figures.messages));
        points[2].push((*nodes as f64, figures.cpu_us));
    }
    for (name, points) in ["bytes/s", "requests/s", "CPU µs/s"].iter().zip(&points) {
        let line = Line::through(points);
        println!(
            "{name} = {:.1} + {:.4} x nodes, largest deviation {:.1}%, at 1,400: {:.1}",
            line.base,
            line.slope,
            line.error * 100.0,
            line.at(1_400.0)
        );
    }
}

fn show(nodes: usize, load: &str, figures: &Figures) {
    let delay = |share: f64| {
        let last = figures.delays.len().saturating_sub(1) as f64;
        let place = (last * share).round();
        let place = figures.delays.iter().enumerate().find(|(index, _)| *index as f64 >= place);
        place.map_or("-".to_string(), |(_, delay)| delay.to_string())
    };
    println!(
        "| {nodes} | {load} | {:.2} | {:.0} | {:.0} | {} | {:.0} | {} | {} | {} | {} |",
        figures.messages,
        figures.bytes,
        figures.wire_bytes,
        figures.peak_bytes,
        figures.cpu_us,
        figures.changes,
        delay(0.5),
        delay(0.99),
        delay(1.0),
    );
}

fn loss(seed: u64, sizes: &[usize]) {
    println!(
        "| nodes | lost | seen dead by all after ms | requests/s a node | peak requests in 1 s | bytes/s (HTTP) | peak bytes in 1 s |"
    );
    println!("|---|---|---|---|---|---|---|");
    for nodes in sizes {
        for lost_percent in [1, 8, 20] {
            let plan = Plan {
                nodes: *nodes,
                servers: 12,
                seconds: 20,
                changes: 0.0,
                restarts: 0.0,
                lost_percent,
                seed,
            };
            let figures = fleet::run(plan);
            let noticed = figures.noticed_ms.map_or("over 20,000".to_string(), |ms| ms.to_string());
            println!(
                "| {nodes} | {lost_percent}% | {noticed} | {:.1} | {} | {:.0} | {} |",
                figures.messages, figures.peak_messages, figures.bytes, figures.peak_bytes
            );
        }
    }
}

/// Measures tables whose records were decoded from messages, as in a node.
fn table_memory() {
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
        let before = memory::resident();
        let mut tables = Vec::new();
        for _ in 0..copies {
            tables.push(table(&encoded));
        }
        let bytes = memory::resident().saturating_sub(before) as f64 / copies as f64;
        // Freed memory would be used again without growth of the process.
        std::mem::forget(black_box(tables));
        let record = encoded.iter().map(Vec::len).sum::<usize>() / encoded.len();
        println!("| {nodes} | {servers} | {bytes:.0} | {:.0} | {record} |", bytes / nodes as f64);
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
        line.base,
        line.slope,
        line.error * 100.0
    );
    let line = Line::through(&by_servers);
    println!(
        "bytes = {:.0} + {:.0} x servers at 1,400 nodes, largest deviation {:.1}%",
        line.base,
        line.slope,
        line.error * 100.0
    );
}

fn table(encoded: &[Vec<u8>]) -> Table {
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

fn registers() {
    println!(
        "| keys | bytes a key | replica claims/s a core | coordinator claims/s a core | claim bytes | answer bytes | bytes a key in a pull |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut points = Vec::new();
    for keys in [125_000, 250_000, 500_000, 1_000_000, 2_000_000] {
        let cost = register::measure(keys);
        println!(
            "| {keys} | {:.0} | {:.0} | {:.0} | {} | {} | {:.0} |",
            cost.bytes, cost.replica, cost.coordinator, cost.message.0, cost.message.1, cost.copy
        );
        points.push((f64::from(keys), cost.bytes * f64::from(keys)));
    }
    let line = Line::through(&points);
    println!(
        "bytes = {:.0} + {:.1} x keys, largest deviation {:.1}%",
        line.base,
        line.slope,
        line.error * 100.0
    );
}
