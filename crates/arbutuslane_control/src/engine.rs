//! The thread that owns the replica and the data folder.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, RwLock};
use std::thread;

use arbutuslane_catalogue::change::{Change, Outcome};
use arbutuslane_catalogue::state::State;
use arbutuslane_catalogue::stored::{self, Command};
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;
use arbutuslane_wire::operator::{Event, Status};
use tokio::sync::oneshot;

use crate::settings::Settings;

/// What became of a change.
#[derive(Debug)]
pub enum Answer {
    /// The change was decided.
    Outcome(Outcome),
    /// This instance does not lead; the address of the leader's operator API, where known.
    NotLeader(Option<String>),
}

/// Work for the engine.
#[derive(Debug)]
pub enum Request {
    /// Proposes a change.
    Change(Change, oneshot::Sender<Answer>),
    /// Asks for the right to read the current state as the latest one.
    Read(oneshot::Sender<Answer>),
}

/// What other threads see of the engine.
#[derive(Debug, Clone)]
pub struct Handle {
    requests: Sender<Request>,
    /// The applied state.
    pub state: Arc<RwLock<State>>,
    /// The status that the operator API shows.
    pub status: Arc<RwLock<Status>>,
    /// The last events, oldest first.
    pub events: Arc<RwLock<Vec<Event>>>,
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

    async fn ask(&self, request: impl FnOnce(oneshot::Sender<Answer>) -> Request) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(request(reply)).is_err() {
            return Answer::NotLeader(None);
        }
        answer.await.unwrap_or(Answer::NotLeader(None))
    }
}

/// Opens the data folder and starts the engine's thread.
pub fn start(settings: &Settings) -> Result<Handle, Error> {
    let disk = disk::Real::open(&settings.data).map_err(|source| Error::Io {
        operation: "open",
        file: settings.data.display().to_string(),
        source,
    })?;
    let (log, recovered) = Log::open(disk, log::SEGMENT_BYTES)?;
    let mut state = State::default();
    let mut index = 0;
    for entry in recovered.entries {
        index = entry.index;
        if let Ok(Command::Change(proposal)) = codec::decode(&entry.payload) {
            state.apply(proposal.into());
        }
    }
    let (requests, inbox) = channel();
    let handle = Handle {
        requests,
        state: Arc::new(RwLock::new(state)),
        status: Arc::new(RwLock::new(Status {
            name: settings.name.clone(),
            role: "leader".to_string(),
            leader: Some(settings.name.clone()),
            ..Status::default()
        })),
        events: Arc::default(),
    };
    let state = Arc::clone(&handle.state);
    thread::spawn(move || serve(&inbox, log, index, &state));
    Ok(handle)
}

fn serve(
    inbox: &Receiver<Request>,
    mut log: Log<disk::Real>,
    mut index: u64,
    state: &RwLock<State>,
) {
    while let Ok(request) = inbox.recv() {
        match request {
            Request::Read(reply) => {
                let _ = reply.send(Answer::Outcome(Outcome::Accepted { revision: 0 }));
            }
            Request::Change(change, reply) => {
                let Ok(mut state) = state.write() else { return };
                let proposal = state.reduce(change);
                let command = Command::Change(stored::Proposal::from(proposal.clone()));
                let Ok(payload) = codec::encode(&command) else { continue };
                index += 1;
                let entries = vec![Entry { index, term: 1, payload }];
                if log.append(&Batch { meta: None, entries }).is_err() {
                    return;
                }
                let _ = reply.send(Answer::Outcome(state.apply(proposal)));
            }
        }
    }
}
