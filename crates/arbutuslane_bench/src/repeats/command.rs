//! The subcommand `repeats` of the program `arbutuslane-bench`.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::Result;

use super::{Plan, Tally, run};
use crate::command::print_text;

/// The numbers of owners.
const OWNERS: [usize; 4] = [10, 30, 100, 300];

/// Returns the definition of the subcommand.
pub fn definition() -> Command {
    let seeds =
        Arg::new("seeds").long("seeds").help("Number of runs of each row, with seeds from 1");
    Command::new("repeats")
        .about("The limit on repeats of a fleet: wrongly refused repeats, and the largest use")
        .arg(seeds.value_parser(value_parser!(u64)).default_value("20"))
}

/// Runs the subcommand of parsed arguments.
///
/// # Errors
///
/// Returns an error when the table cannot be printed.
pub fn dispatch(options: &ArgMatches) -> Result<ExitCode> {
    let seeds = options.get_one("seeds").copied().unwrap_or(20);
    let mut text = "| owners | failing | order | refused with room | refused | urgent admitted | \
                    others admitted | largest use |\n|---|---|---|---|---|---|---|---|\n"
        .to_string();
    for owners in OWNERS {
        for failing in [1, owners * 3 / 10, owners] {
            for has_precedence in [false, true] {
                text += &row(Plan { owners, failing, has_precedence, seed: 0 }, seeds);
            }
        }
    }
    print_text(&text)?;
    Ok(ExitCode::SUCCESS)
}

/// Returns one row of the table, over runs with `seeds` seeds.
fn row(plan: Plan, seeds: u64) -> String {
    let (mut urgent, mut ordinary, mut max_use) = (Tally::default(), Tally::default(), 0.0_f64);
    for seed in 1..=seeds {
        let outcome = run(Plan { seed, ..plan });
        urgent.add(outcome.urgent);
        ordinary.add(outcome.ordinary);
        max_use = max_use.max(outcome.max_use);
    }
    let mut all = urgent;
    all.add(ordinary);
    let order = if plan.has_precedence { "precedence" } else { "first come" };
    format!(
        "| {} | {} | {order} | {:.3} | {:.3} | {:.3} | {:.3} | {max_use:.3} |\n",
        plan.owners,
        plan.failing,
        all.share(all.refused_with_room),
        all.share(all.refused),
        urgent.share(urgent.admitted),
        ordinary.share(ordinary.admitted),
    )
}
