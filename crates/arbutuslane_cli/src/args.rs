//! Defines the commands and arguments of the command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, ValueHint, value_parser};
use clap_complete::Shell;

use crate::exit;
use crate::settings;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "ARBUTUSLANE_SETTINGS";

/// Returns the definition of all commands.
pub fn command() -> Command {
    Command::new("arbutuslane")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates an arbutuslane proxy fleet")
        .after_help(exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("settings")
                .long("settings")
                .global(true)
                .env(SETTINGS_VARIABLE)
                .default_value(settings::DEFAULT_FILE)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .value_hint(ValueHint::FilePath)
                .help("Settings file with the addresses of the fleet and the token file"),
        )
        .arg(flag("json", "Shows JSON instead of text").global(true))
        .subcommand(catalogue())
        .subcommand(
            Command::new("status")
                .about("Shows instances and services as the fleet sees them now")
                .after_help("Example:\n  arbutuslane status --json"),
        )
        .subcommand(explain())
        .subcommand(groups())
        .subcommand(losses())
        .subcommand(timeline())
        .subcommand(
            Command::new("report")
                .about("Summarizes what happened and lists what needs action")
                .arg(since().required(true))
                .after_help("Example:\n  arbutuslane report --since 12h"),
        )
        .subcommand(
            Command::new("completions")
                .about("Writes shell completions")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell))
                        .help("The shell"),
                )
                .after_help("Example:\n  arbutuslane completions bash > arbutuslane.bash"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows what happened to a request, from the logs of all processes")
        .arg(Arg::new("id").required(true).help("The id that the caller gave the request"))
        .args([logs(), separator()])
        .after_help("Example:\n  arbutuslane explain 9c41d07be2a35f68 node-1.log node-2.log")
}

fn losses() -> Command {
    Command::new("losses")
        .about("Counts the requests that were not served, by cause, from the logs of all nodes")
        .args([logs(), separator()])
        .after_help("Example:\n  arbutuslane losses node-1.log node-2.log")
}

fn catalogue() -> Command {
    Command::new("catalogue")
        .about("Checks, compares and changes the catalogue")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks catalogue files without contacting the fleet")
                .arg(files())
                .after_help("Example:\n  arbutuslane catalogue check catalogue/"),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what would change, and the effects on running capacity")
                .arg(files())
                .after_help("Example:\n  arbutuslane catalogue diff catalogue/"),
        )
        .subcommand(
            add_proposal_arguments(
                Command::new("apply").about("Replaces the catalogue, all or nothing"),
            )
            .arg(files())
            .after_help(
                "Example:\n  arbutuslane catalogue apply --base 41 --wait catalogue/\n\n\
                     The change id is derived from the base revision, the author and the files, so \
                     the same\ncommand can be repeated after a lost response: the change is made \
                     at most once.",
            ),
        )
        .subcommand(
            Command::new("show")
                .about("Writes the catalogue in force as a catalogue file")
                .arg(number_option("revision", "REVISION").help("Shows this revision instead"))
                .after_help("Example:\n  arbutuslane catalogue show > catalogue.json"),
        )
        .subcommand(
            Command::new("history")
                .about("Shows the most recent accepted changes")
                .arg(number_option("limit", "COUNT").default_value("20").help("How many changes"))
                .after_help("Example:\n  arbutuslane catalogue history --limit 5"),
        )
        .subcommand(
            add_proposal_arguments(
                Command::new("rollback")
                    .about("Makes the catalogue of an earlier revision the newest one"),
            )
            .arg(
                number_option("to", "REVISION")
                    .required(true)
                    .help("The revision whose catalogue is restored"),
            )
            .after_help("Example:\n  arbutuslane catalogue rollback --base 41 --to 39 --wait"),
        )
}

fn groups() -> Command {
    Command::new("groups")
        .about("Repairs the groups of nodes that store idempotency keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("reset")
                .about("Discards the registers of a shard whose group has lost its majority")
                .arg(
                    Arg::new("shard")
                        .required(true)
                        .value_name("SHARD")
                        .value_parser(value_parser!(u32))
                        .help("The shard, as the event registers-unavailable names it"),
                )
                .arg(
                    flag("yes", "Accepts that keys of the last 24 h are no longer protected")
                        .requires("change-id"),
                )
                .arg(
                    option("change-id", "ID")
                        .help("The change id; repeat it when the command is run again"),
                )
                .after_help(
                    "Without --yes, nothing is reset: the command warns, and shows the command \
                     with a change id.\n\nExample:\n  arbutuslane groups reset 7",
                ),
        )
}

fn add_proposal_arguments(command: Command) -> Command {
    command
        .arg(
            number_option("base", "REVISION")
                .required(true)
                .help("The revision that the change was made from, as `catalogue diff` shows it"),
        )
        .arg(option("change-id", "ID").help("The change id; by default derived from the change"))
        .arg(option("author", "NAME").help("The author; by default the one in the settings"))
        .arg(flag("wait", "Waits until the revision is in force on every live instance"))
        .arg(
            number_option("timeout", "SECONDS")
                .default_value("30")
                .help("How long to resend, and to wait with --wait"),
        )
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Shows events of all instances in causal order")
        .arg(repeated_option("service", "SERVICE").help("Only events of this service"))
        .arg(repeated_option("server", "SERVER").help("Only events of this backend server"))
        .arg(
            repeated_option("instance", "INSTANCE").help("Only events that this instance recorded"),
        )
        .arg(
            repeated_option("kind", "KIND")
                .value_parser(clap::builder::PossibleValuesParser::new(
                    arbutuslane_event::kind::Kind::NAMES,
                ))
                .hide_possible_values(true)
                .help(
                    "Only events of this kind, for example ejection; docs/OPERATIONS.md lists all",
                ),
        )
        .arg(since())
        .arg(option("until", "TIME").help("Only events up to this time or age"))
        .arg(flag("follow", "Continues with new events as they occur").conflicts_with("html"))
        .arg(
            option("html", "FILE")
                .value_parser(value_parser!(PathBuf))
                .value_hint(ValueHint::FilePath)
                .help("Writes one self-contained HTML page to this file instead"),
        )
        .after_help(
            "With --json, each event is one line. Instances that were not reached are named on \
             standard error.\n\nExamples:\n  arbutuslane timeline --since 8h --service agenda\n  \
             arbutuslane timeline --follow --kind ejection --kind return\n  \
             arbutuslane timeline --since 2026-12-03T22:00:00Z --html night.html",
        )
}

fn logs() -> Arg {
    Arg::new("logs")
        .num_args(0..)
        .value_parser(value_parser!(PathBuf))
        .value_hint(ValueHint::FilePath)
        .help("Log files; reads standard input if none is given")
}

fn separator() -> Arg {
    Arg::new("separator")
        .long("separator")
        .default_value(".")
        .value_parser(value_parser!(char))
        .help("The character between the id of a request and the suffix in the id of a call")
}

fn files() -> Arg {
    Arg::new("files")
        .required(true)
        .num_args(1..)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .value_hint(ValueHint::AnyPath)
        .help("Catalogue files; a folder selects the .json files in it")
}

fn since() -> Arg {
    option("since", "TIME").help("From this UTC time (2026-12-03T22:00:00Z) or age (30m, 8h, 2d)")
}

fn option(name: &'static str, placeholder: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(placeholder)
}

fn repeated_option(name: &'static str, placeholder: &'static str) -> Arg {
    option(name, placeholder).action(ArgAction::Append)
}

fn number_option(name: &'static str, placeholder: &'static str) -> Arg {
    option(name, placeholder).value_parser(value_parser!(u64))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against contradictory definitions, which clap detects only when they are used.
    #[test]
    fn command_consistent() {
        command().debug_assert();
    }

    /// Guards against an example in the help that the program does not accept.
    #[test]
    fn command_examples() {
        fn collect(command: &Command, lines: &mut Vec<String>) {
            let help = command.get_after_help().map(ToString::to_string).unwrap_or_default();
            let examples = help.lines().filter_map(|line| line.strip_prefix("  arbutuslane "));
            lines.extend(examples.map(str::to_string));
            for subcommand in command.get_subcommands() {
                collect(subcommand, lines);
            }
        }
        let mut lines = Vec::new();
        collect(&command(), &mut lines);
        assert!(lines.len() >= 12, "{lines:?}");
        for line in lines {
            let words = line.split_whitespace().take_while(|word| *word != ">");
            let arguments = std::iter::once("arbutuslane").chain(words);
            if let Err(error) = command().try_get_matches_from(arguments) {
                panic!("{line}: {error}");
            }
        }
    }

    /// Guards against an argument for the token, because other users can see command lines.
    #[test]
    fn command_no_token_argument() {
        fn check(command: &Command) {
            assert!(
                command
                    .get_arguments()
                    .all(|argument| !argument.get_id().as_str().contains("token"))
            );
            command.get_subcommands().for_each(check);
        }
        check(&command());
    }
}
