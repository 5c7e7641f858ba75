//! The subcommand `scarcity` of the program `arbutuslane-bench`.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::Result;

use super::{Fate, Plan, run};
use crate::command::print_text;

/// Returns the definition of the subcommand.
pub fn definition() -> Command {
    let list = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::Append).value_delimiter(',').help(help)
    };
    Command::new("scarcity")
        .about("A small service that many entries share while some of its servers fail")
        .arg(
            list("load", "Loads in percent of the healthy slots (default 70,85,100,120,150)")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            list("failing", "Numbers of failing servers of nine (default 3,5)")
                .value_parser(value_parser!(u32).range(0..9)),
        )
        .arg(Arg::new("seeds").long("seeds").value_parser(value_parser!(u64)).default_value("8"))
}

/// Runs the subcommand of parsed arguments.
///
/// # Errors
///
/// Returns an error when the table cannot be printed.
pub fn dispatch(options: &ArgMatches) -> Result<ExitCode> {
    let list = |name: &str, default: &[u32]| -> Vec<u32> {
        let given: Vec<u32> = options.get_many(name).unwrap_or_default().copied().collect();
        if given.is_empty() { default.to_vec() } else { given }
    };
    let seeds = options.get_one("seeds").copied().unwrap_or(8);
    let mut text =
        "| failing | load | goodput | questions | repeats | bookings: in time, late, failed, \
                    refused | lookups |\n|---|---|---|---|---|---|---|\n"
            .to_string();
    for failing in list("failing", &[3, 5]) {
        for load in list("load", &[70, 85, 100, 120, 150]) {
            text += &row(failing as usize, f64::from(load) / 100.0, seeds);
        }
    }
    print_text(&text)?;
    Ok(ExitCode::SUCCESS)
}

/// Returns one row of the table: the mean figures over the seeds.
#[expect(clippy::cast_precision_loss, reason = "counts of short runs")]
fn row(failing: usize, load: f64, seeds: u64) -> String {
    let mut fates: Vec<Fate> = Vec::new();
    let (mut goodput, mut questions, mut repeats) = (0.0, 0, 0);
    for seed in 1..=seeds {
        let mut plan = Plan::small_service(load, seed);
        plan.set_failing(failing);
        let outcome = run(&plan);
        goodput += outcome.goodput(&plan) / seeds as f64;
        questions += outcome.questions;
        repeats += outcome.repeats;
        fates.resize(outcome.fates.len(), Fate::default());
        for (sum, fate) in fates.iter_mut().zip(&outcome.fates) {
            sum.add(fate);
        }
    }
    let offered: u64 = fates.iter().map(|fate| fate.offered).sum();
    let per_request = |count: u64| count as f64 / (offered as f64).max(1.0);
    let mut text = format!(
        "| {failing} | {load:.2} | {goodput:.3} | {:.2} | {:.3} |",
        per_request(questions),
        per_request(repeats)
    );
    for fate in fates {
        let share = |count: u64| count as f64 / (fate.offered as f64).max(1.0);
        let Fate { in_time, late, failed, refused, .. } = fate;
        text += &format!(
            " {:.3}, {:.3}, {:.3}, {:.3} |",
            share(in_time),
            share(late),
            share(failed),
            share(refused)
        );
    }
    text + "\n"
}
