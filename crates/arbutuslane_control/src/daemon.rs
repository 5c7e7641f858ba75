//! Starts and stops the daemon.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::{self, JoinHandle};

use arbutuslane_storage::disk::Disk;
use clap::{Arg, ArgAction, Command};
use ntex::web::{self, App, HttpServer};
use tokio::sync::oneshot;

use crate::settings::Settings;
use crate::token::{Secrets, Tokens};
use crate::{engine, operators, peers, settings, store};

/// An error that keeps the daemon from starting or serving.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The settings cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The data folder cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Storage(#[from] arbutuslane_storage::error::Error),
    /// A listener cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    #[diagnostic(
        code(daemon::listen),
        help("check that the address belongs to this instance and that its port is free")
    )]
    Listen {
        /// The address from the settings.
        address: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The server ended with an error.
    #[error("cannot serve: {0}")]
    #[diagnostic(code(daemon::serve), help("check the limits on open files and threads"))]
    Serve(std::io::Error),
}

/// Parses the command line and runs the daemon until a stop signal.
pub fn main() -> miette::Result<()> {
    let matches = command().get_matches();
    arbutuslane_event::log::init("info");
    let path = matches.get_one::<String>("settings").cloned().unwrap_or_default();
    let settings = Settings::load(Path::new(&path)).map_err(Error::from)?;
    if matches.get_flag("rebuild") {
        rebuild(&settings)?;
    }
    run(&settings, true)?;
    Ok(())
}

/// Renames the files of a damaged data folder, so that the replica copies the state from the other
/// instances.
pub fn rebuild(settings: &Settings) -> Result<(), Error> {
    let moved = store::set_aside(&settings.data)?;
    tracing::warn!(files = moved, "renamed the files of the damaged data folder");
    Ok(())
}

fn command() -> Command {
    Command::new("arbutuslane-control")
        .about("Control instance of an arbutuslane fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("JSON file with the settings of this instance"),
        )
        .arg(
            Arg::new("rebuild")
                .long("rebuild")
                .action(ArgAction::SetTrue)
                .help("Set a damaged data folder aside and copy the state from the others"),
        )
}

/// Runs the daemon until a stop signal, or without end when `handle_signals` is false.
///
/// # Errors
///
/// See [`Error`]; the data folder and the listeners are opened before anything is served.
pub fn run(settings: &Settings, handle_signals: bool) -> Result<(), Error> {
    let listeners = Listeners::open(settings)?;
    let secrets = Secrets::new(settings);
    let (engine, _) = engine::start(settings, &secrets)?;
    serve(settings, listeners, engine, secrets, handle_signals, None)
}

struct Listeners {
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    fn open(settings: &Settings) -> Result<Self, Error> {
        let listen = |address: &str| {
            TcpListener::bind(address)
                .map_err(|source| Error::Listen { address: address.to_string(), source })
        };
        Ok(Self { operators: listen(&settings.operators)?, peers: listen(&settings.peers)? })
    }
}

fn serve(
    settings: &Settings,
    listeners: Listeners,
    engine: engine::Handle,
    secrets: Secrets,
    handle_signals: bool,
    stop: Option<oneshot::Receiver<()>>,
) -> Result<(), Error> {
    let operators_state = Arc::new(operators::Shared {
        engine: engine.clone(),
        tokens: Tokens::new(&settings.operator_tokens),
    });
    let peers_state =
        Arc::new(peers::Shared { engine, fleet: secrets.fleet, control: secrets.control });
    let system = arbutuslane_event::runtime::system("arbutuslane-control");
    system
        .block_on(async move {
            let mut operators = HttpServer::new(async move || {
                App::new()
                    .state(Arc::clone(&operators_state))
                    .configure(operators::configure)
                    .default_service(web::route().to(operators::no_route))
            })
            .workers(1)
            .listen(listeners.operators)?;
            let mut peers = HttpServer::new(async move || {
                App::new().state(Arc::clone(&peers_state)).configure(peers::configure)
            })
            .workers(1)
            .listen(listeners.peers)?;
            if !handle_signals {
                operators = operators.disable_signals();
                peers = peers.disable_signals();
            }
            let operators = operators.run();
            let peers = peers.run();
            let (handles, stopped) = ((operators.clone(), peers.clone()), stop);
            let servers = futures_util::future::join(operators, peers);
            let Some(stopped) = stopped else {
                let (first, second) = servers.await;
                return first.and(second);
            };
            let _ = stopped.await;
            let (operators, peers) = handles;
            futures_util::future::join(operators.stop(false), peers.stop(false)).await;
            Ok(())
        })
        .map_err(Error::Serve)
}

/// A daemon that runs on threads of this process; for tests.
pub struct Daemon {
    thread: Option<JoinHandle<Result<(), Error>>>,
    stop: Option<oneshot::Sender<()>>,
    requests: Sender<engine::Request>,
    replica: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon and returns when its listeners are open.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let disk = store::open_disk(&settings.data)?;
        Self::start_on(disk, settings)
    }

    /// Starts a daemon on `disk` instead of the data folder, so that a test can make the disk fail.
    pub fn start_on<D: Disk + Send + 'static>(disk: D, settings: Settings) -> Result<Self, Error> {
        let listeners = Listeners::open(&settings)?;
        let secrets = Secrets::new(&settings);
        let (engine, replica) = engine::start_on(disk, &settings, &secrets)?;
        let requests = engine.requests.clone();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            serve(&settings, listeners, engine, secrets, false, Some(stopped))
        });
        Ok(Self { thread: Some(thread), stop: Some(stop), requests, replica: Some(replica) })
    }

    /// Stops the daemon without a planned stop, like a killed process, and waits for its threads.
    pub fn kill(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        let _ = self.requests.send(engine::Request::Stop);
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(replica) = self.replica.take() {
            let _ = replica.join();
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.shut_down();
    }
}
