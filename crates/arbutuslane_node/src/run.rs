//! Starts the threads of a node and stops them in order.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use ntex::rt::signals::{Signal, signal};
use ntex::rt::{DefaultRuntime, System};
use ntex::time::{sleep, timeout_checked};

use arbutuslane_event::output;
use arbutuslane_event::prelude::{Draft, Kind, log};
use arbutuslane_event::reload::{EVERY, Watched, outlive_hangup};

use crate::cluster;
use crate::configuration;
use crate::interface::Interface;
use crate::reload;
use crate::settings::{self, Settings};
use crate::shared::{Shared, read_token};
use crate::traffic::listener;

/// How long a stopping node still accepts connections.
///
/// It covers a server lease (2.5 s) and the exchange of server lists, so that servers have
/// announced themselves elsewhere and other nodes know it before the listeners close.
const LINGER: Duration = Duration::from_millis(3_500);

/// The same where servers cannot announce themselves elsewhere: other nodes learn within a second that
/// they are withdrawn, and whoever asks for the readiness of the node has asked twice.
const WITHDRAWN_LINGER: Duration = Duration::from_millis(2_900);

/// How often a stopping node looks whether requests are in flight.
const LOOK: Duration = Duration::from_millis(20);

/// The looks without a request in flight after which a stopping node ends: a response that was handed
/// over to the system has been sent by then.
const QUIET: u32 = 5;

/// What is logged by default: the server library reports every start of a thread.
const LOG: &str = "info,ntex_server=warn,ntex_rt=warn";

/// A node that cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The settings cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The token cannot be read.
    #[error("cannot read token file {path}: {source}")]
    #[diagnostic(help("write the fleet's shared secret to the file that `token_file` names"))]
    Token {
        /// The path of the file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The catalogue file cannot be used.
    #[error("cannot read catalogue file {path}: {reason}")]
    #[diagnostic(help(
        "write a catalogue snapshot in JSON to the file that `catalogue_file` names"
    ))]
    Catalogue {
        /// The path of the file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// A listener cannot be opened or a thread cannot be started.
    #[error("cannot start: {0}")]
    #[diagnostic(help(
        "check that the addresses of the settings are free and belong to this host"
    ))]
    Start(#[from] std::io::Error),
}

/// Reads the arguments of the process and runs a node that is called in the form of `interface`.
pub fn from_arguments(name: &'static str, interface: Arc<dyn Interface>) -> miette::Result<()> {
    outlive_hangup();
    let settings = Arg::new("settings")
        .help("The JSON file with the settings of the node")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let matches = Command::new(name)
        .about("Runs a node of the proxy fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(Arg::new("log").long("log").default_value(LOG).help("What is logged"))
        .get_matches();
    log::init(matches.get_one::<String>("log").map_or(LOG, String::as_str));
    let path: PathBuf = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings = Settings::read(&path)?;
    log::name(&settings.node);
    Ok(run(settings, interface)?)
}

/// Runs a node until the process is told to stop.
pub fn run(settings: Settings, interface: Arc<dyn Interface>) -> Result<(), Error> {
    let token = match settings.token_file.clone() {
        Some(path) => read_token(&path).map_err(|source| Error::Token { path, source })?,
        None => String::new(),
    };
    let shared = Shared::new(settings, interface, token);
    if let Some(path) = &shared.settings.catalogue_file {
        let read = configuration::read(path);
        let configuration =
            read.map_err(|reason| Error::Catalogue { path: path.clone(), reason })?;
        shared.cluster.learn(shared.clock.now(), configuration.snapshot().clone());
        shared.adopt(configuration);
    }
    let control = Arc::clone(&shared);
    std::thread::Builder::new().name("control".to_string()).spawn(move || {
        System::new("control", DefaultRuntime).block_on(cluster::control::work(control));
    })?;
    System::build().name("node").build(DefaultRuntime).block_on(serve(shared))
}

async fn serve(shared: Arc<Shared>) -> Result<(), Error> {
    let server = listener::start(&shared)?;
    System::current().enable_signals();
    let version = env!("CARGO_PKG_VERSION").to_string();
    let incarnation = shared.incarnation;
    shared.events.record(Draft::new(Kind::Start { version, incarnation }));
    let mut watched = shared.settings.path.clone().map(Watched::new);
    let mut signals = Box::pin(signal());
    loop {
        match timeout_checked(EVERY, signals.as_mut()).await {
            // The file may change without a signal.
            Err(()) => {}
            Ok(Ok(received)) if received.iter().all(|signal| matches!(signal, Signal::Hup)) => {
                signals = Box::pin(signal());
            }
            Ok(Ok(_)) => break,
            Ok(Err(_)) => {
                sleep(EVERY).await;
                signals = Box::pin(signal());
            }
        }
        if let Some(watched) = &mut watched {
            reload::look(&shared, watched);
        }
    }
    shared.stop();
    let stopping = shared.clock.now();
    let in_flight = || shared.metrics.in_flight.load(Ordering::Relaxed).unsigned_abs();
    shared.events.record(Draft::new(Kind::Stop { in_flight: in_flight() }));
    let limit = Duration::from_millis(shared.settings.stop_ms);
    let linger = if shared.settings.withdraw_on_stop { WITHDRAWN_LINGER } else { LINGER };
    sleep(linger.min(limit)).await;
    shared.end_intake();
    // The server library breaks off requests that still run when it stops, and callers use open
    // connections until they are closed.
    let mut quiet = 0;
    while quiet < QUIET && shared.clock.now().saturating_sub(stopping) < limit {
        quiet = if in_flight() > 0 { 0 } else { quiet + 1 };
        sleep(LOOK).await;
    }
    server.stop(true).await;
    // What is still in flight after the workers have ended was cut by the time limit of the stop.
    shared.events.record(Draft::new(Kind::Stopped { interrupted: in_flight() }));
    output::flush();
    Ok(())
}
