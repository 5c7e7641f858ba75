//! Starts and stops a control instance for items.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use arbutuslane_core::time::Clock;
use arbutuslane_event::buffer::Buffer;
use arbutuslane_event::clock::wall_ms;
use arbutuslane_event::kind::Kind;
use arbutuslane_event::reload::{self, WatchedFile};
use arbutuslane_event::{log, output, runtime, signal};
use arbutuslane_item::prelude::Replication;
use arbutuslane_member::record::Record;
use clap::{Arg, Command, value_parser};
use ntex::time::Seconds;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::daemon::Error;
use crate::gossip;

use super::core::Core;
use super::interface::OperatorFormat;
use super::kept::KeptForNodes;
use super::leader::Order;
use super::listener::{self, Opened, ServerState};
use super::settings::Settings;
use super::{disk, leader, push, settle, voters};

/// The log filter that applies without the argument `--log`.
const DEFAULT_LOG_FILTER: &str = "info,ntex_server=warn,ntex_rt=warn,ntex=warn";

/// The number of events kept on the timeline; older ones are dropped.
const MAX_EVENTS: usize = 4_096;

/// Parses the command line of the program `name` and runs an instance until a stop signal.
///
/// # Errors
///
/// See [`Error`].
pub fn run_from_arguments(
    name: &'static str,
    operators: Arc<dyn OperatorFormat>,
) -> miette::Result<()> {
    reload::install_sighup_handler();
    let settings = Arg::new("settings")
        .help("The JSON file with the settings of this instance")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let matches = Command::new(name)
        .about("Control instance of a fleet whose catalogue consists of items")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(
            Arg::new("log")
                .long("log")
                .default_value(DEFAULT_LOG_FILTER)
                .help("Log filter, such as `info`"),
        )
        .get_matches();
    log::init(matches.get_one::<String>("log").map_or(DEFAULT_LOG_FILTER, String::as_str));
    let path: PathBuf = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings = Settings::load(&path).map_err(Error::from)?;
    log::set_instance(&settings.name);
    Ok(run(settings, operators)?)
}

/// Runs an instance until a stop signal.
///
/// # Errors
///
/// See [`Error`]; the data folder and the listener are opened before anything is served.
pub fn run(settings: Settings, operators: Arc<dyn OperatorFormat>) -> Result<(), Error> {
    let events = Arc::new(Buffer::new(settings.name.clone(), MAX_EVENTS));
    let opened = disk::start(settings.data.clone(), settings.first_start, Arc::clone(&events));
    let (disk, recovered) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            // The report on standard error is not part of the log, which is what is collected.
            tracing::error!(event = "start-failed", %error);
            output::flush();
            return Err(error.into());
        }
    };
    let is_new = recovered.is_emptied || recovered.damage.is_some();
    let kept = KeptForNodes::start(&settings.data, is_new, Clock::start_counting_suspension())?;
    let listeners = listener::open_all(&settings)?;
    let quorum = settings.lost_disks + 1;
    let replication = Replication::new(&settings.name, quorum, recovered.replication);
    tracing::info!(
        event = "items-found",
        items = replication.stored().table.len(),
        complete = replication.is_complete()
    );
    let incarnation = wall_ms();
    let advertised = settings.advertised();
    let record = Record::new(&settings.name, incarnation, advertised, &settings.domain);
    let seeds = settings.other_seeds();
    let (orders, orders_inbox) = unbounded_channel();
    let core =
        Core::new(settings, disk, kept, replication, Arc::clone(&events), incarnation, orders);
    let (gossip, inbox) = gossip::channel();
    gossip::start(record, seeds, Arc::clone(&core), Arc::clone(&core.tokens), inbox);
    let version = env!("CARGO_PKG_VERSION").to_string();
    events.record(Kind::Start { version, incarnation });
    let system = runtime::system("arbutuslane-control");
    system.block_on(serve(core, gossip, operators, listeners, orders_inbox)).map_err(Error::Serve)
}

/// Applies the seeds of a changed settings file; other changed settings apply after a restart.
fn reload_settings(watched: &mut WatchedFile, path: &Path, gossip: &gossip::GossipHandle) {
    let Some(change) = watched.poll_change() else { return };
    match Settings::parse(path, &change.text) {
        Ok(settings) => {
            gossip.set_seeds(settings.other_seeds());
            change.log_applied(&["seeds"]);
        }
        Err(error) => reload::log_rejected(&error),
    }
}

async fn serve(
    core: Arc<Core>,
    gossip: gossip::GossipHandle,
    operators: Arc<dyn OperatorFormat>,
    listeners: Vec<Opened>,
    orders: UnboundedReceiver<Order>,
) -> std::io::Result<()> {
    let worker_core = Arc::clone(&core);
    let reload_gossip = gossip.clone();
    let stop_s = usize::try_from(core.settings.stop_ms / 1_000).unwrap_or(1).max(1);
    let state = ServerState { core: worker_core, gossip, operators };
    let server = listener::serve(listeners, state, Seconds::checked_new(stop_s))?;
    let _leader_task = ntex::rt::spawn(leader::run(Arc::clone(&core), orders));
    let _push_task = ntex::rt::spawn(push::run(Arc::clone(&core)));
    let _repair_task = ntex::rt::spawn(settle::run_repair(Arc::clone(&core)));
    let path = core.settings.path.clone();
    let mut watched = path.clone().map(WatchedFile::new);
    signal::wait_for_stop(|| {
        if let (Some(watched), Some(path)) = (&mut watched, &path) {
            reload_settings(watched, path, &reload_gossip);
        }
    })
    .await;
    voters::hand_over(&core).await;
    core.stop();
    core.events.record(Kind::Stop { in_flight: 0 });
    server.stop(true).await;
    core.events.record(Kind::Stopped { interrupted: 0 });
    output::flush();
    Ok(())
}
