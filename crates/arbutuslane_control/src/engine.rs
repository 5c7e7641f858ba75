//! What other threads see of the engine, and its start.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread::{self, JoinHandle};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use arbutuslane_catalogue::change::{Change, Outcome};
use arbutuslane_catalogue::group::Candidate;
use arbutuslane_catalogue::state::State;
use arbutuslane_consensus::input::Refusal;
use arbutuslane_consensus::prelude::Reconfigure;
use arbutuslane_core::hash;
use arbutuslane_core::id::Shard;
use arbutuslane_event::buffer::Buffer;
use arbutuslane_event::clock::wall_ms;
use arbutuslane_member::configuration::Delta;
use arbutuslane_member::record::Record;
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::operator::Status;
use tokio::sync::oneshot;

use crate::border::Frame;
use crate::gossip::{self, Exchange};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::store;
use crate::token::Secrets;
use crate::transport;

/// The number of events that an instance keeps.
const EVENTS_KEPT: usize = 4_096;

/// What became of a request.
#[derive(Debug)]
pub enum Answer {
    /// The change was decided.
    Outcome(Outcome),
    /// The change of the membership is committed.
    Done,
    /// The applied state holds every change acknowledged before the request.
    Readable,
    /// This instance does not lead; the address of the leader's operator API, where known.
    NotLeader(Option<String>),
    /// The register group is not reset.
    ResetRefused(ResetRefusal),
    /// The change of the membership is not possible now.
    Refused(Refusal),
}

/// Why a register group is not reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetRefusal {
    /// The shard has no group.
    NoGroup,
    /// No node is alive that could be a member.
    NoNodes,
    /// The group has a majority, or may have one.
    HasMajority,
}

/// What a node reported last.
#[derive(Debug, Clone)]
pub struct Report {
    /// The revision in force there.
    pub revision: u64,
    /// When the report arrived.
    pub at: Instant,
}

/// Where an answer goes.
pub(crate) type Reply = oneshot::Sender<Answer>;

/// Work for the engine.
#[derive(Debug)]
pub(crate) enum Request {
    Change(Change, Reply),
    Read(Reply),
    Reconfigure(Reconfigure, Reply),
    /// A change id, an author and the shard whose group to reset.
    Reset(String, String, Shard, Reply),
    Frames(Vec<Frame>),
    /// The shards whose groups a node votes in, with their epochs.
    Votes(String, Vec<(u32, u64)>),
    Stop,
}

/// What other threads see of the engine.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) requests: Sender<Request>,
    /// The applied state.
    pub state: Arc<RwLock<State>>,
    /// The status that the operator API shows.
    pub status: Arc<RwLock<Status>>,
    /// The event timeline.
    pub events: Arc<Buffer>,
    /// The revisions that nodes reported, with the time of the report.
    pub nodes: Arc<RwLock<BTreeMap<String, Report>>>,
    /// The nodes that gossip holds for alive.
    pub alive: Arc<RwLock<Vec<Candidate>>>,
    /// The last steps of the applied state, for nodes that are little behind.
    pub(crate) steps: Arc<Mutex<VecDeque<Delta>>>,
    pub(crate) gossip: Exchange,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl Handle {
    /// Proposes `change` and waits for its answer.
    pub async fn change(&self, change: Change) -> Answer {
        self.ask(|reply| Request::Change(change, reply)).await
    }

    /// Waits until the applied state holds every change acknowledged before this call.
    pub async fn read(&self) -> Answer {
        self.ask(Request::Read).await
    }

    /// Changes the membership of the control group.
    pub async fn reconfigure(&self, change: Reconfigure) -> Answer {
        self.ask(|reply| Request::Reconfigure(change, reply)).await
    }

    /// Resets the register group of `shard`, giving up its registers.
    pub async fn reset(&self, id: String, author: String, shard: Shard) -> Answer {
        self.ask(|reply| Request::Reset(id, author, shard, reply)).await
    }

    /// Returns whether the daemon is being stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns the address of the leader's operator API, where known.
    pub fn leader_address(&self) -> Option<String> {
        self.status.read().unwrap_or_else(PoisonError::into_inner).leader_address.clone()
    }

    async fn ask(&self, request: impl FnOnce(Reply) -> Request) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(request(reply)).is_err() {
            return Answer::NotLeader(None);
        }
        // A proposal whose leader is cut off gets no answer; the operator's client resends it.
        let limit = ntex::time::Millis(5_000);
        match ntex::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::NotLeader(self.leader_address()),
        }
    }
}

/// Opens the data folder and starts the engine's thread.
///
/// # Errors
///
/// See [`Error`]; a damaged folder is refused, never repaired by itself.
pub fn start(settings: &Settings, secrets: &Secrets) -> Result<(Handle, JoinHandle<()>), Error> {
    start_on(store::open_disk(&settings.data)?, settings, secrets)
}

/// Starts the engine's thread on any disk.
pub(crate) fn start_on<D: Disk + Send + 'static>(
    disk: D,
    settings: &Settings,
    secrets: &Secrets,
) -> Result<(Handle, JoinHandle<()>), Error> {
    let (store, saved) = store::open(disk, &settings.name, fresh_instance(&settings.name))?;
    let (requests, inbox) = channel();
    let (exchange, gossip_inbox) = gossip::prepare();
    let handle = Handle {
        requests,
        state: Arc::default(),
        status: Arc::new(RwLock::new(Status {
            name: settings.name.clone(),
            role: "catching-up".to_string(),
            ..Status::default()
        })),
        events: Arc::new(Buffer::new(settings.name.clone(), EVENTS_KEPT)),
        nodes: Arc::default(),
        alive: Arc::default(),
        steps: Arc::default(),
        gossip: exchange,
        stopped: Arc::default(),
    };
    let outbox = transport::start(Arc::clone(&secrets.control));
    let record = Record::new(&settings.name, wall_ms(), &settings.peers, &settings.domain);
    let others = settings.members.iter().filter(|member| member.name != settings.name);
    let seeds = others.map(|member| member.peers.clone()).collect();
    gossip::start(record, seeds, handle.clone(), Arc::clone(&secrets.fleet), gossip_inbox);
    let mut replica = Replica::new(settings.clone(), store, saved, handle.clone(), outbox)?;
    let thread = thread::spawn(move || replica.run(&inbox));
    Ok((handle, thread))
}

/// Draws the instance number of a new data folder from the wall clock, the process and the name.
fn fresh_instance(name: &str) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let text = format!("{name} {} {}", now.as_nanos(), std::process::id());
    hash::of_bytes(text.as_bytes()).max(1)
}
