//! Starts the threads of a node and shuts them down in order.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use ntex::time::sleep;

use arbutuslane_event::prelude::{Draft, Kind, log};
use arbutuslane_event::reload::{WatchedFile, install_sighup_handler};
use arbutuslane_event::{output, runtime, signal};

use crate::cluster;
use crate::configuration;
use crate::interface::Interface;
use crate::reload;
use crate::settings::{self, Settings};
use crate::shared::{Shared, read_token};
use crate::state_file::StateFile;
use crate::timeout::within;
use crate::traffic::listener;

/// How long a stopping node continues to accept connections.
///
/// The time covers a server lease (2.5 s) and the gossip of server lists, so that servers have
/// announced themselves to other nodes and the fleet knows it before the listeners close.
const STOP_DELAY: Duration = Duration::from_millis(3_500);

/// How long a stopping node continues to accept connections where servers cannot announce
/// themselves to another node. Within this time the readiness of the node is checked twice.
const WITHDRAWN_STOP_DELAY: Duration = Duration::from_millis(2_900);

/// How long before the end of the intake a stopping node withdraws its servers, so that other nodes
/// learn of it. Until then the servers are used: withdrawn at once, each planned stop would take them
/// out of use for seconds longer.
const WITHDRAWAL_SPREAD_TIME: Duration = Duration::from_secs(1);

/// The time between two checks of a stopping node for requests in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stopping node that begins no new connection waits after the last request before it
/// ends. A response that was written to the socket has been sent by then, and the requests on the
/// connections that the system had accepted before have been read.
const IDLE_TIME: Duration = Duration::from_millis(100);

/// The default log filter. It mutes the HTTP library, which reports every start of a thread at
/// level info.
const DEFAULT_LOG_FILTER: &str = "info,ntex_server=warn,ntex_rt=warn";

/// The reason why a node cannot start.
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
        /// The error that the operating system reported.
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
        /// A description of the fault.
        reason: String,
    },
    /// A listener cannot be opened or a thread cannot be started.
    #[error("cannot start: {0}")]
    #[diagnostic(help(
        "check that the addresses of the settings are free and belong to this host"
    ))]
    Start(#[from] std::io::Error),
}

/// Reads the arguments of the process and runs a node that serves `interface`.
pub fn from_arguments(name: &'static str, interface: Arc<dyn Interface>) -> miette::Result<()> {
    install_sighup_handler();
    let settings = Arg::new("settings")
        .help("The JSON file with the settings of the node")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let matches = Command::new(name)
        .about("Runs a node of the proxy fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(Arg::new("log").long("log").default_value(DEFAULT_LOG_FILTER).help("The log filter"))
        .get_matches();
    log::init(matches.get_one::<String>("log").map_or(DEFAULT_LOG_FILTER, String::as_str));
    let path: PathBuf = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings = Settings::read(&path)?;
    log::set_instance(&settings.node);
    settings.experiment.apply();
    Ok(run(settings, interface)?)
}

/// Runs a node until the process receives a signal to stop.
pub fn run(settings: Settings, interface: Arc<dyn Interface>) -> Result<(), Error> {
    let token = match settings.token_file.clone() {
        Some(path) => read_token(&path).map_err(|source| Error::Token { path, source })?,
        None => String::new(),
    };
    let state = settings.state_file.as_deref().map(StateFile::open_or_warn).unwrap_or_default();
    let shared = Shared::new(settings, interface, token, Arc::new(state));
    if let Some(path) = &shared.settings.catalogue_file {
        let read = configuration::read(path);
        let configuration =
            read.map_err(|reason| Error::Catalogue { path: path.clone(), reason })?;
        shared.cluster.install_snapshot(shared.clock.now(), configuration.snapshot().clone());
        shared.adopt(configuration);
    }
    let control = Arc::clone(&shared);
    std::thread::Builder::new().name("control".to_string()).spawn(move || {
        runtime::system("control").block_on(cluster::control::run(control));
    })?;
    runtime::system("node").block_on(serve(shared))
}

/// Returns whether requests that are still without a response must be given up within `margin`, so
/// that their callers get one.
fn is_time_up_within(shared: &Shared, margin: Duration) -> bool {
    shared.stop.requests_end_at().is_some_and(|end| shared.clock.now() + margin >= end)
}

/// Serves the listeners until a signal to stop, then lets requests in flight finish.
async fn serve(shared: Arc<Shared>) -> Result<(), Error> {
    let (server, listeners) = listener::start(&shared)?;
    let version = env!("CARGO_PKG_VERSION").to_string();
    let incarnation = shared.incarnation;
    shared.events.record(Draft::new(Kind::Start { version, incarnation }));
    let mut watched = shared.settings.path.clone().map(WatchedFile::new);
    signal::wait_for_stop(|| {
        if let Some(watched) = &mut watched {
            reload::reload_if_changed(&shared, watched);
        }
    })
    .await;
    let limit = shared.settings.stop_limit();
    let stop_start = shared.clock.now();
    shared.stop.begin(stop_start, limit);
    let in_flight = || shared.metrics.in_flight.load(Ordering::Relaxed).unsigned_abs();
    shared.events.record(Draft::new(Kind::Stop { in_flight: in_flight() }));
    if shared.settings.withdraw_on_stop {
        let delay = WITHDRAWN_STOP_DELAY.min(limit);
        let spread_time = WITHDRAWAL_SPREAD_TIME.min(delay);
        sleep(delay - spread_time).await;
        shared.stop.withdraw_servers();
        sleep(spread_time).await;
    } else {
        sleep(STOP_DELAY.min(limit)).await;
    }
    shared.stop.end_intake();
    // Until the last request has its response, new connections are accepted and their requests
    // refused, so that their callers learn at once that the requests did not run.
    while in_flight() > 0 && !is_time_up_within(&shared, IDLE_TIME) {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
    listeners.ignore_handshakes();
    // The HTTP library interrupts running requests when it stops, and callers use open connections
    // until they are closed.
    let mut idle_since = shared.clock.now();
    let mut finished = shared.metrics.finished();
    while shared.clock.now() < idle_since + IDLE_TIME && !is_time_up_within(&shared, Duration::ZERO)
    {
        sleep(IDLE_CHECK_INTERVAL).await;
        let earlier = std::mem::replace(&mut finished, shared.metrics.finished());
        if in_flight() > 0 || finished != earlier {
            idle_since = shared.clock.now();
        }
    }
    shared.stop.give_up();
    // The library waits for bodies that are still being sent, for longer than the stop may take.
    let left = (stop_start + limit).saturating_sub(shared.clock.now());
    let stopping = server.stop(true);
    drop(listeners);
    let _ = within(left, stopping).await;
    // Requests that are in flight now were interrupted by the time limit of the stop.
    shared.events.record(Draft::new(Kind::Stopped { interrupted: in_flight() }));
    output::flush();
    Ok(())
}
