//! The payloads of the log: what is read from them at the start, and their serialized form.

use std::sync::Arc;

use arbutuslane_item::border::{self, agreement};
use arbutuslane_item::prelude::{Item, State, Table, Update};
use arbutuslane_storage::prelude::{Error, log};
use arbutuslane_wire::codec;
use serde::{Deserialize, Serialize};

use super::Entry;

/// The states that the log leads to.
#[derive(Debug, Clone, Default)]
pub(super) struct States {
    /// The newest state.
    pub(super) stored: State,
    /// The newest state that is known to be accepted.
    pub(super) accepted: Option<State>,
}

impl States {
    /// Applies an entry; returns whether it follows the newest state.
    pub(super) fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::Update(update) => self.stored.apply(update),
            Entry::Accepted(position) => {
                if self.stored.position == *position {
                    self.accepted = Some(self.stored.clone());
                }
                true
            }
        }
    }
}

/// The payload of a log entry or a snapshot.
enum Payload {
    /// An entry.
    Entry(Entry),
    /// A snapshot of the stored state, and the update that leads from it to the accepted one.
    Snapshot { stored: Update, accepted: Update },
    /// Items that an earlier release wrote, which belong to no position.
    Items(Vec<Arc<Item>>),
}

/// The serialized form of the payloads that tell which state is accepted.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Mark {
    /// An entry: the state before it is accepted.
    Accepted(agreement::Position),
    /// A snapshot with both states.
    Snapshot { stored: Box<agreement::Update>, accepted: Box<agreement::Update> },
}

/// Returns the states that the entries in a log lead to.
pub(super) fn read_states(recovered: &log::Recovered) -> Result<States, Error> {
    let mut states = States::default();
    for payload in payloads(recovered) {
        match decode(payload)? {
            // A snapshot that was written after a fault may contain the entry after it.
            Payload::Entry(Entry::Update(update)) if includes(&states.stored, &update) => {}
            Payload::Entry(entry) if states.apply(&entry) => {}
            Payload::Entry(entry) => return Err(mismatch(&entry)),
            Payload::Snapshot { stored, accepted } => {
                states = read_snapshot(stored, &accepted)?;
            }
            // When two declarations have the same version, the accepted one is written last.
            Payload::Items(items) => drop(states.stored.table.merge_accepted(items)),
        }
    }
    Ok(states)
}

fn read_snapshot(stored: Update, accepted: &Update) -> Result<States, Error> {
    let mut states = States::default();
    let entry = Entry::Update(stored);
    if !states.apply(&entry) {
        return Err(mismatch(&entry));
    }
    let mut state = states.stored.clone();
    if !state.apply(accepted) {
        return Err(mismatch(&Entry::Update(accepted.clone())));
    }
    states.accepted = Some(state);
    Ok(states)
}

fn includes(state: &State, update: &Update) -> bool {
    update.position < state.position
        || (update.position == state.position && update.digest == state.table.digest())
}

/// Returns the items of a log with missing entries.
pub(super) fn read_items(recovered: &log::Recovered) -> Result<Table, Error> {
    let mut table = Table::default();
    for payload in payloads(recovered) {
        let items = match decode(payload)? {
            Payload::Entry(Entry::Update(update)) => update.items,
            Payload::Entry(Entry::Accepted(_)) => continue,
            Payload::Snapshot { stored, .. } => stored.items,
            Payload::Items(items) => items,
        };
        table.merge_accepted(items);
    }
    Ok(table)
}

fn payloads(recovered: &log::Recovered) -> impl Iterator<Item = &Vec<u8>> {
    let snapshot = recovered.snapshot.iter().map(|snapshot| &snapshot.payload);
    snapshot.chain(recovered.entries.iter().map(|entry| &entry.payload))
}

pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error(&error))
}

fn decode(bytes: &[u8]) -> Result<Payload, Error> {
    if let Ok(update) = codec::decode::<agreement::Update>(bytes) {
        return Ok(Payload::Entry(Entry::Update(update.into())));
    }
    match codec::decode(bytes) {
        Ok(Mark::Accepted(position)) => {
            return Ok(Payload::Entry(Entry::Accepted(position.into())));
        }
        Ok(Mark::Snapshot { stored, accepted }) => {
            let (stored, accepted) = ((*stored).into(), (*accepted).into());
            return Ok(Payload::Snapshot { stored, accepted });
        }
        Err(_) => {}
    }
    let items = codec::decode(bytes).map_err(|error| codec_error(&error))?;
    Ok(Payload::Items(border::decode(items)))
}

pub(super) fn mismatch(entry: &Entry) -> Error {
    let (Entry::Update(Update { position, .. }) | Entry::Accepted(position)) = entry;
    let reason = format!("the update to {position:?} does not follow the state");
    Error::Corrupt { file: "items".to_string(), offset: 0, reason }
}

pub(super) fn codec_error(error: &codec::Error) -> Error {
    Error::Corrupt { file: "items".to_string(), offset: 0, reason: error.to_string() }
}
