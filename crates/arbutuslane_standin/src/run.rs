//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::IntoDiagnostic;
use ntex::rt::{DefaultRuntime, System};

use crate::{backend, caller};

/// Parses the arguments of the process and runs a stand-in.
pub fn from_arguments() -> miette::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("backend", arguments)) => {
            backend::run(backend_settings(arguments)?).into_diagnostic()
        }
        Some(("caller", arguments)) => {
            let settings = caller_settings(arguments);
            let system = System::build().name("caller").build(DefaultRuntime);
            let summary = system.block_on(caller::run(settings)).into_diagnostic()?;
            println!("{}", serde_json::to_string(&summary).into_diagnostic()?);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn command() -> Command {
    Command::new("arbutuslane-standin")
        .about("Stand-ins for backend servers and callers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(backend_command())
        .subcommand(caller_command())
}

fn backend_command() -> Command {
    Command::new("backend")
        .about("Runs a backend server; prints its address once it listens")
        .arg(text("service", "slots", "The service that the server belongs to"))
        .arg(text("server", "server-1", "The name of the server, unique in the fleet"))
        .arg(address("listen", "127.0.0.1:0", "The address on which the server listens"))
        .arg(addresses("node", "The admin address of a node; repeat in order of preference"))
        .arg(number("slots", "5", "Requests that run at the same time"))
        .arg(number("queue", "5", "Requests that may wait before the server sheds load"))
        .arg(float("service-ms", "20", "The median service time in milliseconds"))
        .arg(float("spread", "0.5", "The standard deviation of the service time's logarithm"))
        .arg(number(
            "cold-start-ms",
            "0",
            "How long the server is slow after its start, in milliseconds",
        ))
        .arg(number(
            "health-lag-ms",
            "5000",
            "How long after a change the health endpoint reports it, in milliseconds",
        ))
        .arg(number("seed", "1", "The seed of service times and faults"))
        .arg(text("faults", "{}", "The faults that are active at the start, as JSON"))
        .arg(record("Appends a line of JSON for each run to this file"))
}

fn caller_command() -> Command {
    Command::new("caller")
        .about("Sends a bounded open-loop load and prints one JSON summary")
        .arg(addresses("node", "The callers address of a node; repeat to use several in turn"))
        .arg(
            Arg::new("host")
                .long("host")
                .help("The host header of requests; the address of the node by default"),
        )
        .arg(float("rate", "100", "Requests per second"))
        .arg(float("seconds", "10", "How long new requests are sent, in seconds"))
        .arg(number("in-flight", "512", "The most requests in flight"))
        .arg(float("lookups", "8", "The weight of lookups"))
        .arg(text("lookup-path", "/slots", "The path of lookups"))
        .arg(float("bookings", "2", "The weight of bookings"))
        .arg(text("booking-path", "/bookings", "The path of bookings"))
        .arg(float("downloads", "0", "The weight of downloads"))
        .arg(text("download-path", "/download", "The path of downloads"))
        .arg(number("download-bytes", "1048576", "The size of each download in bytes"))
        .arg(number("deadline-ms", "5000", "The deadline that requests state, in milliseconds"))
        .arg(number(
            "seed",
            "1",
            "The seed of the gaps between requests, their kinds and their bodies",
        ))
        .arg(number("resends", "0", "How often an unanswered booking is resent"))
        .arg(record("Appends a line of JSON for each attempt to this file"))
}

fn backend_settings(arguments: &ArgMatches) -> miette::Result<backend::Settings> {
    Ok(backend::Settings {
        service: get(arguments, "service"),
        server: get(arguments, "server"),
        listen: get(arguments, "listen"),
        nodes: arguments.get_many("node").unwrap_or_default().copied().collect(),
        slots: u32::try_from(get::<u64>(arguments, "slots")).into_diagnostic()?,
        queue: u32::try_from(get::<u64>(arguments, "queue")).into_diagnostic()?,
        service_time: Duration::from_secs_f64(get::<f64>(arguments, "service-ms") / 1_000.0),
        spread: get(arguments, "spread"),
        cold_start: Duration::from_millis(get(arguments, "cold-start-ms")),
        health_lag: Duration::from_millis(get(arguments, "health-lag-ms")),
        seed: get(arguments, "seed"),
        faults: serde_json::from_str(&get::<String>(arguments, "faults")).into_diagnostic()?,
        record: arguments.get_one("record").cloned(),
        ..backend::Settings::default()
    })
}

fn caller_settings(arguments: &ArgMatches) -> caller::Settings {
    let kind = |weight: &str, path: &str| caller::RequestKind {
        weight: get(arguments, weight),
        path: get(arguments, path),
    };
    caller::Settings {
        nodes: arguments.get_many("node").unwrap_or_default().copied().collect(),
        host: arguments.get_one("host").cloned(),
        rate: get(arguments, "rate"),
        duration: Duration::from_secs_f64(get(arguments, "seconds")),
        max_in_flight: usize::try_from(get::<u64>(arguments, "in-flight")).unwrap_or(usize::MAX),
        lookups: kind("lookups", "lookup-path"),
        bookings: kind("bookings", "booking-path"),
        downloads: kind("downloads", "download-path"),
        download_bytes: get(arguments, "download-bytes"),
        deadline: Duration::from_millis(get(arguments, "deadline-ms")),
        seed: get(arguments, "seed"),
        resends: u32::try_from(get::<u64>(arguments, "resends")).unwrap_or(u32::MAX),
        record: arguments.get_one("record").cloned(),
    }
}

/// Returns the value of an argument that has a default.
fn get<T: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> T {
    arguments.get_one::<T>(name).expect("every argument read here has a default").clone()
}

fn record(help: &'static str) -> Arg {
    Arg::new("record").long("record").value_parser(value_parser!(PathBuf)).help(help)
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(u64))
}

fn float(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(f64))
}

fn address(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(SocketAddr))
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(SocketAddr))
        .action(clap::ArgAction::Append)
}
