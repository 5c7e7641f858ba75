//! The subcommand `night` of the program `arbutuslane-bench`.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, Result};

use super::evidence::Evidence;
use super::script::Script;
use super::{count, plot, timeline};

/// Returns the definition of the subcommand.
pub fn definition() -> Command {
    let file = |name: &'static str| Arg::new(name).value_parser(value_parser!(PathBuf));
    Command::new("night")
        .about("Reads the fault script of tools/night.sh and evaluates the records of its run")
        .subcommand_required(true)
        .subcommand(
            Command::new("plan")
                .about("Prints seed, seconds and rate, then one line per step")
                .arg(file("script").required(true)),
        )
        .subcommand(
            Command::new("count")
                .about("Counts a run; the exit code is 1 when a count exceeds its bound")
                .arg(file("script").required(true))
                .arg(file("folder").required(true).help("The folder of the run"))
                .arg(file("out").long("out").required(true).help("Results file"))
                .arg(file("svg").long("svg").required(true).help("Plot"))
                .arg(file("timeline").long("timeline").required(true).help("Timeline as text")),
        )
}

/// Runs the subcommand of parsed arguments.
///
/// # Errors
///
/// Returns an error when a file cannot be read or written.
pub fn dispatch(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((name, options)) = matches.subcommand() else { return Ok(ExitCode::FAILURE) };
    let path = |name: &str| options.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let script = Script::read(&path("script"))?;
    let mut out = std::io::stdout();
    if name == "plan" {
        let summary = format!("{}\t{}\t{}\n", script.seed, script.seconds, script.rate);
        out.write_all((summary + &script.lines()).as_bytes()).into_diagnostic()?;
        return Ok(ExitCode::SUCCESS);
    }
    let evidence = Evidence::read(&path("folder"))?;
    let report = count::counts(&script, &evidence);
    let text = serde_json::to_string_pretty(&report).into_diagnostic()? + "\n";
    std::fs::write(path("out"), text).into_diagnostic()?;
    out.write_all(report.table().as_bytes()).into_diagnostic()?;
    std::fs::write(path("timeline"), timeline::text(&script, &evidence)).into_diagnostic()?;
    plot::draw(&evidence, &path("svg"))?;
    Ok(if report.exceeds_bounds() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
