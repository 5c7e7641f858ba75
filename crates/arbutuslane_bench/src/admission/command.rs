//! The subcommand `admission` of the program `arbutuslane-bench`.

use std::process::ExitCode;
use std::time::Duration;

use arbutuslane_limit::gate::Order;
use clap::{Arg, ArgMatches, Command, value_parser};
use miette::Result;

use super::scenario::Scenario;
use super::{Fate, run};
use crate::command::print_text;

/// The virtual time of a run.
const LENGTH: Duration = Duration::from_secs(120);

/// Returns the definition of the subcommand.
pub fn definition() -> Command {
    let seeds =
        Arg::new("seeds").long("seeds").help("Number of runs of each load, with seeds from 1");
    Command::new("admission")
        .about("Loads beyond the slots of a service, in each order of requests")
        .arg(seeds.value_parser(value_parser!(u64)).default_value("3"))
}

/// Runs the subcommand of parsed arguments.
///
/// # Errors
///
/// Returns an error when the table cannot be printed.
pub fn dispatch(options: &ArgMatches) -> Result<ExitCode> {
    let seeds = options.get_one("seeds").copied().unwrap_or(3);
    let mut text = "| load | requests | order | sent | in time | late | refused | refused after | \
                    in time with all calls |\n|---|---|---|---|---|---|---|---|---|\n"
        .to_string();
    for scenario in Scenario::all() {
        let replay = |order| {
            let runs: Vec<_> =
                (1..=seeds).map(|seed| run(&scenario, order, LENGTH, seed)).collect();
            let groups = 0..scenario.groups.len();
            let sum = |group: usize| Fate::sum(runs.iter().map(|run| &run.fates[group]));
            groups.map(sum).collect::<Vec<Fate>>()
        };
        let (priority, least_cost) = (replay(Order::Priority), replay(Order::LeastCost));
        for (index, group) in scenario.groups.iter().enumerate() {
            for (order, fates) in [("priority", &priority), ("least-cost", &least_cost)] {
                let (name, label) = (scenario.name, &group.label);
                text += &format!("| {name} | {label} | {order} | {} |\n", fates[index]);
            }
        }
    }
    print_text(&text)?;
    Ok(ExitCode::SUCCESS)
}
