//! Has the departures that this node confirms kept by other instances, and gets them back after a
//! restart.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::Incarnation;
use arbutuslane_core::time::Time;
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_member::departure::{
    CONFIRMATION_TIMEOUT, Confirmation, Departure, FULL_RECOVERY_TIMEOUT, Keeper, MAX_DEPARTURES,
    Policy, RETENTION, Recovery, Stage, Storage,
};
use arbutuslane_wire::peer::{Answer, Message};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ntex::time::sleep;

use crate::peers;
use crate::settings::Source;
use crate::shared::Shared;
use crate::timeout::within;
use crate::traffic::Pool;

use super::items::members;
use super::strikes;

/// The number of other nodes that keep departures beside all control instances.
const KEEPER_NODES: usize = 3;

/// The time between two attempts to reach instances that have not responded.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two checks whether there is anything to exchange.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time that an announcement waits until this node knows its departures.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// How often a waiting announcement checks whether this node knows its departures.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The departures of servers of this node, and those that it keeps for others.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    policy: Policy,
    keeper: Mutex<Keeper>,
    own: Mutex<Vec<Own>>,
    recovery: Mutex<Recovery>,
}

/// A departure that this node has confirmed, or is about to.
#[derive(Debug)]
struct Own {
    departure: Departure,
    at: Time,
    confirmation: Confirmation,
}

impl Departures {
    /// Returns the state of a node that has just started.
    pub(crate) fn new(source: Source, now: Time) -> Self {
        let policy = match source {
            Source::Items => Policy::Disk,
            // The control instances of a catalogue keep no departures.
            Source::Catalogue => Policy::Memory,
        };
        let recovery = Mutex::new(Recovery::new(policy, now));
        Self { policy, recovery, ..Self::default() }
    }

    /// Keeps departures for another node.
    pub(crate) fn keep(&self, node: &str, departures: Vec<Departure>, now: Time) {
        lock(&self.keeper).keep(node, departures, now);
    }

    /// Returns the departures that are kept for another node.
    pub(crate) fn kept(&self, node: &str, now: Time) -> Vec<Departure> {
        lock(&self.keeper).departures(node, now)
    }

    /// Begins to have a departure kept by `asked` instances, or begins again.
    fn begin(&self, departure: &Departure, asked: usize, now: Time) {
        let mut own = lock(&self.own);
        if let Some(known) = own.iter_mut().find(|known| known.departure == *departure) {
            known.confirmation.restart(asked, now);
            return;
        }
        let confirmation = Confirmation::new(self.policy, asked, now);
        own.push(Own { departure: departure.clone(), at: now, confirmation });
        let excess = own.len().saturating_sub(MAX_DEPARTURES);
        own.drain(..excess);
    }

    fn record_kept(&self, departures: &[Departure], keeper: SocketAddr, storage: Storage) {
        let keeper = keeper.to_string();
        for known in lock(&self.own).iter_mut() {
            if departures.contains(&known.departure) {
                known.confirmation.record_kept(&keeper, storage);
            }
        }
    }

    /// Returns what `read` finds about a departure that is about to be confirmed, or `None` if newer
    /// ones took its place.
    fn read<T>(&self, departure: &Departure, read: impl FnOnce(&Confirmation) -> T) -> Option<T> {
        let own = lock(&self.own);
        let known = own.iter().find(|known| known.departure == *departure)?;
        Some(read(&known.confirmation))
    }

    /// Returns the departures that the instance at `keeper` does not keep yet.
    fn missing_at(&self, keeper: SocketAddr, now: Time) -> Vec<Departure> {
        let keeper = keeper.to_string();
        let mut own = lock(&self.own);
        own.retain(|known| now < known.at + RETENTION);
        let missing = own.iter().filter(|known| !known.confirmation.is_kept_by(&keeper));
        missing.map(|known| known.departure.clone()).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the instances that keep departures and strikes for this node: all control instances, the seeds, and
/// nodes that are chosen by their names, so that they are the same after a restart.
pub(super) fn keepers(shared: &Shared) -> Vec<SocketAddr> {
    let mut keepers: Vec<SocketAddr> = shared.control().iter().copied().collect();
    let seeds = shared.settings.gossip_seeds().into_iter();
    keepers.extend(seeds.filter_map(|seed| seed.parse::<SocketAddr>().ok()));
    let (control, nodes) = members(shared);
    keepers.extend(control);
    let rank = |node: &str| hash::of_bytes(format!("{} {node}", shared.settings.node).as_bytes());
    let mut nodes: Vec<(u64, SocketAddr)> =
        nodes.into_iter().map(|(node, address)| (rank(&node), address)).collect();
    nodes.sort_unstable();
    keepers.extend(nodes.into_iter().take(KEEPER_NODES).map(|(_, address)| address));
    keepers.retain(|address| *address != shared.settings.peers);
    keepers.sort_unstable();
    keepers.dedup();
    keepers
}

/// Has a departure kept by other instances; returns whether this node confirms it.
pub(crate) async fn confirm(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    server: &str,
    incarnation: Incarnation,
    stage: Stage,
) -> bool {
    let departure = Departure { server: server.to_string(), incarnation, stage };
    let started_at = shared.clock.now();
    let keepers = keepers(shared);
    shared.departures.begin(&departure, keepers.len(), started_at);
    let (replies, mut inbox) = tokio::sync::mpsc::unbounded_channel();
    for keeper in keepers {
        let is_kept = |confirmation: &Confirmation| confirmation.is_kept_by(&keeper.to_string());
        if shared.departures.read(&departure, is_kept) != Some(false) {
            continue;
        }
        let (shared, pool) = (Arc::clone(shared), Rc::clone(pool));
        let (departures, replies) = ([departure.clone()], replies.clone());
        // After the confirmation, too, all others are to keep the departure at once.
        ntex::rt::spawn(async move {
            let _ = replies.send(send(&shared, &pool, keeper, &departures).await);
        });
    }
    drop(replies);
    let is_due = |confirmation: &Confirmation| confirmation.is_due(shared.clock.now());
    let waiting = async {
        while shared.departures.read(&departure, is_due) == Some(false) {
            if inbox.recv().await.is_none() {
                return;
            }
        }
    };
    // The control thread sends the departure again to those that have not responded.
    let _ = within(CONFIRMATION_TIMEOUT, waiting).await;
    let is_granted = shared.departures.read(&departure, Confirmation::is_granted).unwrap_or(false);
    let took_ms = (shared.clock.now() - started_at).as_millis();
    match is_granted {
        true => tracing::info!(event = "departure-kept", server, ?stage, took_ms),
        false => tracing::info!(event = "departure-not-kept", server, ?stage, took_ms),
    }
    is_granted
}

/// Has departures kept by the instance at `keeper`; returns whether it does.
async fn send(
    shared: &Shared,
    pool: &Rc<Pool>,
    keeper: SocketAddr,
    departures: &[Departure],
) -> bool {
    let message = Message::KeepDepartures {
        node: shared.settings.node.clone(),
        departures: departures.iter().cloned().map(Into::into).collect(),
        on_disk: true,
    };
    let answer = peers::send(shared, pool, keeper, &message, CONFIRMATION_TIMEOUT).await;
    let storage = match answer {
        Ok(Answer::Done) => memory_of(shared, keeper),
        Ok(Answer::DeparturesKept { quorum }) => storage_of(quorum),
        _ => return false,
    };
    shared.departures.record_kept(departures, keeper, storage);
    true
}

/// Returns the storage of an instance that states which quorum it counts for.
fn storage_of(quorum: Option<usize>) -> Storage {
    quorum.map_or(Storage::Memory, |quorum| Storage::Disk { quorum })
}

/// Returns the storage of the instance at `address`, which keeps departures in its memory.
fn memory_of(shared: &Shared, address: SocketAddr) -> Storage {
    let is_control = shared.control().contains(&address) || members(shared).0.contains(&address);
    if is_control { Storage::ControlMemory } else { Storage::Memory }
}

/// Returns whether this node knows which departures it confirmed before its start, after a short wait
/// if it does not yet.
pub(crate) async fn wait_recovered(shared: &Shared) -> bool {
    let deadline = shared.clock.now() + ANNOUNCEMENT_TIMEOUT;
    while !is_recovered(shared) {
        if shared.clock.now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}

fn is_recovered(shared: &Shared) -> bool {
    let addresses: Vec<String> = keepers(shared).iter().map(ToString::to_string).collect();
    let now = shared.clock.now();
    lock(&shared.departures.recovery).is_complete(addresses.iter().map(String::as_str), now)
}

/// Asks for departures from before the start, and has those since then kept by instances that were
/// not reached, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, pool: Rc<Pool>) {
    loop {
        let mut exchanges: FuturesUnordered<_> =
            keepers(&shared).into_iter().map(|keeper| exchange(&shared, &pool, keeper)).collect();
        let mut is_idle = true;
        while let Some(is_done) = exchanges.next().await {
            is_idle &= is_done;
        }
        // Gossip finds most of the instances in the first second.
        let is_starting = shared.clock.now() < FULL_RECOVERY_TIMEOUT;
        sleep(if is_idle && !is_starting { IDLE_INTERVAL } else { RETRY_INTERVAL }).await;
    }
}

/// Exchanges departures with one instance, as far as there is a need; returns whether there is none
/// any more.
async fn exchange(shared: &Arc<Shared>, pool: &Rc<Pool>, keeper: SocketAddr) -> bool {
    let address = keeper.to_string();
    // The clock starts with the node; later, nobody keeps a departure from before.
    let is_recent = shared.clock.now() < RETENTION;
    if is_recent && !lock(&shared.departures.recovery).has_responded(&address) {
        let node = shared.settings.node.clone();
        let message = Message::FetchDepartures { node, on_disk: true };
        let (departures, storage) =
            match peers::send(shared, pool, keeper, &message, CONFIRMATION_TIMEOUT).await {
                Ok(Answer::Departures(departures)) => (departures, memory_of(shared, keeper)),
                Ok(Answer::DeparturesOnDisk { departures, quorum }) => {
                    (departures, storage_of(quorum))
                }
                // Instances of another kind or release keep none.
                Ok(_) => (Vec::new(), Storage::Memory),
                Err(_) => return false,
            };
        for departure in departures {
            apply(shared, &departure.into());
        }
        // A server must get no request that crashed others while this node was away.
        if !strikes::compare_with(shared, pool, keeper).await {
            return false;
        }
        lock(&shared.departures.recovery).record_response(&address, storage);
    }
    let missing = shared.departures.missing_at(keeper, shared.clock.now());
    missing.is_empty() || send(shared, pool, keeper, &missing).await
}

/// Applies a departure from before the start.
fn apply(shared: &Shared, departure: &Departure) {
    let Departure { server, incarnation, stage } = departure;
    tracing::info!(event = "departure-recovered", server, incarnation, ?stage);
    let now = shared.clock.now();
    // Instances that have taken the place of others do not keep it yet.
    shared.departures.begin(departure, 0, now);
    match stage {
        Stage::Left => {
            let known = shared.servers.get(server);
            shared.servers.leave(server, Some(*incarnation), now);
            if let Some(known) = known.filter(|_| shared.servers.get(server).is_none()) {
                let kind = Kind::ServerLeft { incarnation: known.incarnation };
                shared.events.record(Draft::new(kind).service(&known.service).server(server));
            }
        }
        Stage::Draining => shared.servers.recover_drain(server, *incarnation),
    }
}
