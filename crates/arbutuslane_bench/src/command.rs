//! The subcommands of the program `arbutuslane-bench`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arbutuslane_balance::picker::Weights;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{Context, IntoDiagnostic, Result};

use crate::campaign::{self, Plan};
use crate::report::Report;
use crate::{admission, bound, compare, cost, matrix, night, plot, repeats, scarcity};

/// Parses the arguments of the process and runs the subcommand.
///
/// # Errors
///
/// Returns an error when a file cannot be read or written.
pub fn execute() -> Result<ExitCode> {
    dispatch(&definition().get_matches())
}

/// Runs the subcommand of parsed arguments. The exit code is not zero when a bound is exceeded.
///
/// # Errors
///
/// Returns an error when a file cannot be read or written.
pub fn dispatch(matches: &ArgMatches) -> Result<ExitCode> {
    match matches.subcommand() {
        Some(("detect", options)) => write_and_print(&campaign::detection(&plan(options)), options),
        Some(("soak", options)) => {
            let hours = options.get_one::<u64>("hours").copied().unwrap_or(24);
            write_and_print(
                &campaign::soak(&plan(options), Duration::from_secs(hours * 3_600)),
                options,
            )
        }
        Some(("overload", options)) => {
            write_and_print(&campaign::overload(&plan(options)), options)
        }
        Some(("cost", options)) => {
            let costs = cost::measure();
            if let Some(path) = options.get_one::<PathBuf>("svg") {
                plot::cost(&costs, path)?;
            }
            print_text(&cost::table(&costs))?;
            report_bounds(&cost::broken(&costs))
        }
        Some(("compare", options)) => {
            let differences =
                compare::compare(&read_report(options, "before")?, &read_report(options, "after")?);
            print_text(&compare::table(&differences))?;
            Ok(ExitCode::SUCCESS)
        }
        Some(("check", options)) => report_bounds(&bound::broken(&read_report(options, "file")?)),
        Some(("matrix", options)) => {
            print_text(&matrix::tables(&read_report(options, "file")?))?;
            Ok(ExitCode::SUCCESS)
        }
        Some(("plot", options)) => {
            let text = |name: &str| options.get_one::<String>(name).cloned().unwrap_or_default();
            let path = options.get_one::<PathBuf>("svg").cloned().unwrap_or_default();
            let report = read_report(options, "file")?;
            plot::detection(&report, &text("scenario"), &text("policy"), &path)?;
            Ok(ExitCode::SUCCESS)
        }
        Some(("night", options)) => night::command::dispatch(options),
        Some(("admission", options)) => admission::command::dispatch(options),
        Some(("repeats", options)) => repeats::command::dispatch(options),
        Some(("scarcity", options)) => scarcity::command::dispatch(options),
        _ => Ok(ExitCode::FAILURE),
    }
}

/// Returns the definition of the command line.
pub fn definition() -> Command {
    Command::new("arbutuslane-bench")
        .about("Runs the decision code in virtual time and counts runs on real processes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_campaign_options(
            Command::new("detect").about("Detection and false ejections"),
        ))
        .subcommand(
            with_campaign_options(
                Command::new("soak").about("Healthy heavy-tailed servers for hours"),
            )
            .arg(
                Arg::new("hours")
                    .long("hours")
                    .value_parser(value_parser!(u64))
                    .default_value("24"),
            ),
        )
        .subcommand(with_campaign_options(
            Command::new("overload").about("Goodput, retries and recovery"),
        ))
        .subcommand(
            Command::new("cost")
                .about("Time of one decision by the wall clock")
                .arg(file("svg").long("svg")),
        )
        .subcommand(
            Command::new("compare")
                .about("Compares two result files, with 95% confidence intervals")
                .arg(file("before").required(true))
                .arg(file("after").required(true)),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a result file against the targets of the design")
                .arg(file("file").required(true)),
        )
        .subcommand(
            Command::new("matrix")
                .about("Prints a table per scenario, policies side by side")
                .arg(file("file").required(true)),
        )
        .subcommand(
            Command::new("plot")
                .about("Plots the detection time over the load")
                .arg(file("file").required(true))
                .arg(Arg::new("scenario").long("scenario").default_value("straggler-10x"))
                .arg(Arg::new("policy").long("policy").default_value("fast_detection"))
                .arg(file("svg").long("svg").required(true)),
        )
        .subcommand(night::command::definition())
        .subcommand(admission::command::definition())
        .subcommand(repeats::command::definition())
        .subcommand(scarcity::command::definition())
}

fn file(name: &'static str) -> Arg {
    Arg::new(name).value_parser(value_parser!(PathBuf))
}

/// Adds the options of a campaign to a subcommand.
fn with_campaign_options(command: Command) -> Command {
    let list = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::Append).value_delimiter(',').help(help)
    };
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(f64)).help(help)
    };
    command
        .arg(list("service", "Services (default all six)"))
        .arg(list("load", "Loads in percent (default 30,60,85)").value_parser(value_parser!(u32)))
        .arg(list("scenario", "Scenarios (default all)"))
        .arg(list("policy", "Policies (default all)"))
        .arg(
            Arg::new("first-seed")
                .long("first-seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(Arg::new("seeds").long("seeds").value_parser(value_parser!(u64)).default_value("20"))
        .arg(
            Arg::new("threads")
                .long("threads")
                .value_parser(value_parser!(usize))
                .default_value("4"),
        )
        .arg(
            Arg::new("entries")
                .long("entries")
                .value_parser(value_parser!(usize))
                .default_value("6"),
        )
        .arg(
            Arg::new("retry-percent")
                .long("retry-percent")
                .value_parser(value_parser!(u32))
                .default_value("10")
                .help("Retry budget in percent of first requests"),
        )
        .arg(number("latency-limit", "Largest factor of latency in a score"))
        .arg(number("success-floor", "Success rate below which a score rises no further"))
        .arg(number("report-half-life", "Seconds in which a load report loses half its weight"))
        .arg(number("remote-penalty", "Factor that favours the own failure domain"))
        .arg(Arg::new("gradient").long("gradient").action(ArgAction::SetTrue))
        .arg(Arg::new("out").long("out").value_parser(value_parser!(PathBuf)).help("Result file"))
}

/// Returns the plan that the options of a campaign describe.
fn plan(options: &ArgMatches) -> Plan {
    let list = |name: &str| -> Vec<String> {
        options.get_many::<String>(name).unwrap_or_default().cloned().collect()
    };
    let default = Plan::default();
    let number = |name: &str, default: f64| options.get_one(name).copied().unwrap_or(default);
    let weights = Weights {
        latency_limit: number("latency-limit", default.weights.latency_limit),
        success_floor: number("success-floor", default.weights.success_floor),
        report_half_life: number("report-half-life", default.weights.report_half_life),
        remote_penalty: number("remote-penalty", default.weights.remote_penalty),
    };
    let loads: Vec<u32> = options.get_many::<u32>("load").unwrap_or_default().copied().collect();
    Plan {
        services: list("service"),
        loads: if loads.is_empty() { default.loads } else { loads },
        faults: list("scenario"),
        policies: list("policy"),
        first_seed: options.get_one("first-seed").copied().unwrap_or(default.first_seed),
        seeds: options.get_one("seeds").copied().unwrap_or(default.seeds),
        threads: options.get_one("threads").copied().unwrap_or(default.threads),
        entry_count: options.get_one("entries").copied().unwrap_or(default.entry_count),
        retry_percent: options.get_one("retry-percent").copied().unwrap_or(default.retry_percent),
        weights,
        gradient: options.get_flag("gradient"),
    }
}

/// Writes the report to the file of `--out`, if there is one, and prints it as a table.
fn write_and_print(report: &Report, options: &ArgMatches) -> Result<ExitCode> {
    if let Some(path) = options.get_one::<PathBuf>("out") {
        report.write(path).wrap_err("the results were not saved")?;
    }
    print_text(&report.table())?;
    Ok(ExitCode::SUCCESS)
}

fn read_report(options: &ArgMatches, name: &str) -> Result<Report> {
    let path = options.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    Ok(Report::read(&path)?)
}

/// Prints the exceeded bounds and returns exit code 1 when there are any.
fn report_bounds(broken: &[String]) -> Result<ExitCode> {
    for bound in broken {
        print_text(&format!("broken: {bound}\n"))?;
    }
    print_text(&format!("{} bounds broken\n", broken.len()))?;
    Ok(if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints `text` to the standard output.
pub(crate) fn print_text(text: &str) -> Result<()> {
    use std::io::Write;
    std::io::stdout().write_all(text.as_bytes()).into_diagnostic()
}
