//! Starts the engine, which runs the replica, and gives other threads access to it.

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
use crate::gossip::{self, GossipHandle};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::store;
use crate::token::Secrets;
use crate::transport;

/// The number of events kept on the timeline; older ones are dropped.
const MAX_EVENTS: usize = 4_096;

/// The response to a request to the engine.
#[derive(Debug)]
pub enum Response {
    /// The change was decided.
    Outcome(Outcome),
    /// The change of the membership is committed.
    Done,
    /// The applied state holds every change acknowledged before the request.
    Readable,
    /// This instance is not the leader; holds the address of the leader's operator API, if known.
    NotLeader(Option<String>),
    /// The register group was not reset.
    ResetRefused(ResetRefusal),
    /// The change of the membership is not possible now.
    Refused(Refusal),
}

/// The reason why a register group was not reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetRefusal {
    /// The shard has no group.
    NoGroup,
    /// No node that could be a member is alive.
    NoNodes,
    /// The group has a majority, or may have one.
    HasMajority,
}

/// The last report of a node.
#[derive(Debug, Clone)]
pub struct Report {
    /// The revision in force at the node.
    pub revision: u64,
    /// The time at which the report arrived.
    pub at: Instant,
}

/// Sends the response to a request.
pub(crate) type ResponseSender = oneshot::Sender<Response>;

/// A request to the engine.
#[derive(Debug)]
pub(crate) enum Request {
    Change(Change, ResponseSender),
    Read(ResponseSender),
    Reconfigure(Reconfigure, ResponseSender),
    /// A change id, an author and the shard whose group is to be reset.
    Reset(String, String, Shard, ResponseSender),
    Frames(Vec<Frame>),
    /// The shards whose groups a node votes in, with their epochs.
    Votes(String, Vec<(u32, u64)>),
    Stop,
}

/// Access to the engine from other threads.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) requests: Sender<Request>,
    /// The applied state.
    pub state: Arc<RwLock<State>>,
    /// The status that the operator API shows.
    pub status: Arc<RwLock<Status>>,
    /// The event timeline.
    pub events: Arc<Buffer>,
    /// The last report of each node, by node name.
    pub node_reports: Arc<RwLock<BTreeMap<String, Report>>>,
    /// The nodes that gossip considers alive.
    pub alive_nodes: Arc<RwLock<Vec<Candidate>>>,
    /// The latest deltas of the applied state, for nodes that are only a few revisions behind.
    pub(crate) deltas: Arc<Mutex<VecDeque<Delta>>>,
    pub(crate) gossip: GossipHandle,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl Handle {
    /// Proposes `change` and waits for its outcome.
    pub async fn change(&self, change: Change) -> Response {
        self.send_request(|reply| Request::Change(change, reply)).await
    }

    /// Waits until the applied state holds every change acknowledged before this call.
    pub async fn read(&self) -> Response {
        self.send_request(Request::Read).await
    }

    /// Changes the membership of the control group.
    pub async fn reconfigure(&self, change: Reconfigure) -> Response {
        self.send_request(|reply| Request::Reconfigure(change, reply)).await
    }

    /// Resets the register group of `shard`, which discards its registers.
    pub async fn reset(&self, id: String, author: String, shard: Shard) -> Response {
        self.send_request(|reply| Request::Reset(id, author, shard, reply)).await
    }

    /// Returns whether the daemon is being stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns the address of the leader's operator API, if known.
    pub fn leader_address(&self) -> Option<String> {
        self.status.read().unwrap_or_else(PoisonError::into_inner).leader_address.clone()
    }

    async fn send_request(&self, request: impl FnOnce(ResponseSender) -> Request) -> Response {
        let (reply, response) = oneshot::channel();
        if self.requests.send(request(reply)).is_err() {
            return Response::NotLeader(None);
        }
        // A proposal whose leader is cut off gets no response; the operator's client resends it.
        let response_timeout = ntex::time::Millis(5_000);
        match ntex::time::timeout(response_timeout, response).await {
            Ok(Ok(response)) => response,
            _ => Response::NotLeader(self.leader_address()),
        }
    }
}

/// Opens the data folder and starts the engine's thread.
///
/// # Errors
///
/// See [`Error`]; a damaged folder is refused and never repaired automatically.
pub fn start(settings: &Settings, secrets: &Secrets) -> Result<(Handle, JoinHandle<()>), Error> {
    start_on(store::open_disk(&settings.data)?, settings, secrets)
}

/// Starts the engine's thread with the given disk, which may be a fake one.
pub(crate) fn start_on<D: Disk + Send + 'static>(
    disk: D,
    settings: &Settings,
    secrets: &Secrets,
) -> Result<(Handle, JoinHandle<()>), Error> {
    let (store, saved) =
        store::open(disk, &settings.name, generate_instance_number(&settings.name))?;
    let (requests, inbox) = channel();
    let (gossip_handle, gossip_inbox) = gossip::channel();
    let handle = Handle {
        requests,
        state: Arc::default(),
        status: Arc::new(RwLock::new(Status {
            name: settings.name.clone(),
            role: "catching-up".to_string(),
            ..Status::default()
        })),
        events: Arc::new(Buffer::new(settings.name.clone(), MAX_EVENTS)),
        node_reports: Arc::default(),
        alive_nodes: Arc::default(),
        deltas: Arc::default(),
        gossip: gossip_handle,
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

/// Generates the disk id of a new data folder from the wall clock, the process id and the
/// name.
fn generate_instance_number(name: &str) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let text = format!("{name} {} {}", now.as_nanos(), std::process::id());
    hash::of_bytes(text.as_bytes()).max(1)
}
