//! Selects and runs the command that the arguments name.

use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use arbutuslane_event::clock;
use clap::ArgMatches;
use clap_complete::Shell;

use crate::catalogue::{self, Proposal};
use crate::error::Error;
use crate::exit::Code;
use crate::settings::Settings;
use crate::timeline::{Filter, OutputFormat};
use crate::{args, explain, groups, losses, report, status, timeline, when};

/// Parses `arguments`, runs the command and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match args::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() { Code::Usage } else { Code::Done }.into();
        }
    };
    let code = match dispatch(&matches) {
        Ok(code) => code,
        Err(error) => {
            let code = error.code();
            eprintln!("{:?}", miette::Report::new(error));
            code
        }
    };
    code.into()
}

fn dispatch(matches: &ArgMatches) -> Result<Code, Error> {
    let json = matches.get_flag("json");
    match matches.subcommand() {
        Some(("completions", matches)) => {
            if let Some(shell) = matches.get_one::<Shell>("shell") {
                let mut command = args::command();
                clap_complete::generate(*shell, &mut command, "arbutuslane", &mut io::stdout());
            }
            Ok(Code::Done)
        }
        Some(("catalogue", matches)) => dispatch_catalogue(matches, json),
        Some(("explain", matches)) => {
            let id = text(matches, "id").unwrap_or_default();
            explain::show(&id, separator(matches), &paths(matches, "logs"), json)
        }
        Some(("groups", matches)) => dispatch_groups(matches, json),
        Some(("losses", matches)) => {
            losses::show(separator(matches), &paths(matches, "logs"), json)
        }
        Some(("status", matches)) => block_on(status::show(settings(matches)?, json)),
        Some(("timeline", matches)) => dispatch_timeline(matches, json),
        Some(("report", matches)) => {
            let since = text(matches, "since").unwrap_or_default();
            let since_ms = when::parse(&since, clock::wall_ms())?;
            block_on(report::show(since_ms, settings(matches)?, json))
        }
        _ => Ok(Code::Usage),
    }
}

fn dispatch_catalogue(matches: &ArgMatches, json: bool) -> Result<Code, Error> {
    match matches.subcommand() {
        Some(("check", matches)) => catalogue::check(&paths(matches, "files"), json),
        Some(("diff", matches)) => {
            block_on(catalogue::diff(paths(matches, "files"), settings(matches)?, json))
        }
        Some(("apply", matches)) => {
            let (settings, proposal) = (settings(matches)?, proposal(matches));
            block_on(catalogue::apply(paths(matches, "files"), proposal, settings, json))
        }
        Some(("rollback", matches)) => {
            let (settings, proposal) = (settings(matches)?, proposal(matches));
            block_on(catalogue::rollback(number(matches, "to"), proposal, settings, json))
        }
        Some(("show", matches)) => {
            let revision = matches.get_one::<u64>("revision").copied();
            block_on(catalogue::show(revision, settings(matches)?, json))
        }
        Some(("history", matches)) => {
            let limit = usize::try_from(number(matches, "limit")).unwrap_or(usize::MAX);
            block_on(catalogue::history(limit, settings(matches)?, json))
        }
        _ => Ok(Code::Usage),
    }
}

fn dispatch_groups(matches: &ArgMatches, json: bool) -> Result<Code, Error> {
    match matches.subcommand() {
        Some(("reset", matches)) => {
            let shard = matches.get_one::<u32>("shard").copied().unwrap_or_default();
            let change_id = text(matches, "change-id").filter(|_| matches.get_flag("yes"));
            block_on(groups::reset(shard, change_id, settings(matches)?, json))
        }
        _ => Ok(Code::Usage),
    }
}

fn dispatch_timeline(matches: &ArgMatches, json: bool) -> Result<Code, Error> {
    let values = |name: &str| -> Vec<String> {
        matches.get_many::<String>(name).unwrap_or_default().cloned().collect()
    };
    let parse_time = |name: &str| match text(matches, name) {
        Some(text) => when::parse(&text, clock::wall_ms()).map(Some),
        None => Ok(None),
    };
    let filter = Filter {
        services: values("service"),
        servers: values("server"),
        instances: values("instance"),
        kinds: values("kind"),
        since_ms: parse_time("since")?,
        until_ms: parse_time("until")?,
    };
    let format = match matches.get_one::<PathBuf>("html") {
        Some(path) => OutputFormat::Html(path.clone()),
        None if json => OutputFormat::JsonLines,
        None => OutputFormat::Text,
    };
    block_on(timeline::show(filter, format, matches.get_flag("follow"), settings(matches)?))
}

fn block_on<F>(future: F) -> Result<Code, Error>
where
    F: Future<Output = Result<Code, Error>> + 'static,
{
    ntex::rt::System::new("arbutuslane", ntex::rt::DefaultRuntime).block_on(future)
}

fn settings(matches: &ArgMatches) -> Result<Settings, Error> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    Settings::read(&path)
}

fn proposal(matches: &ArgMatches) -> Proposal {
    Proposal {
        base: number(matches, "base"),
        change_id: text(matches, "change-id"),
        author: text(matches, "author"),
        wait: matches.get_flag("wait"),
        timeout: Duration::from_secs(number(matches, "timeout")),
    }
}

fn separator(matches: &ArgMatches) -> char {
    matches.get_one::<char>("separator").copied().unwrap_or('.')
}

fn paths(matches: &ArgMatches, name: &str) -> Vec<PathBuf> {
    matches.get_many::<PathBuf>(name).unwrap_or_default().cloned().collect()
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}
