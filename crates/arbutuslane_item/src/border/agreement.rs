//! The serialized form of what control instances send each other to agree on the catalogue, and of
//! what they write to disk for it.

use serde::{Deserialize, Serialize};

use super::Item;
use crate::{ballot, replication, state, voter};

/// A request from one control instance to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Requests the status of the receiver.
    Status,
    /// Requests a promise to refuse states of lower ballots.
    Promise(Ballot),
    /// Requests that the receiver store a state on its disk.
    Store(Update),
    /// Requests the update to the receiver's state from a table with these hashes of its buckets.
    Fetch {
        /// The hash of each bucket of the sender's table.
        buckets: Vec<u64>,
        /// Which of the receiver's states.
        kind: Kind,
    },
    /// Announces that the state at a position is accepted.
    Accepted(Position),
    /// Requests that the receiver, which leads, accept a change.
    Change(Vec<Item>),
}

/// A state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The newest state that the instance stored.
    Stored,
    /// The newest state that it knows to be accepted.
    Accepted,
}

/// The response to a [`Request`].
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// The status of the instance. In response to [`Request::Promise`], it says whether the promise
    /// was given.
    Status(Status),
    /// The instance has the state, which names no voters, on its disk.
    Stored(String),
    /// The instance has the state on the disk that it names.
    StoredBy(Voter),
    /// The instance does not store the state.
    Refused(Refusal),
    /// The update that was requested.
    Update(Update),
    /// The change is accepted.
    Accepted,
    /// The change is invalid, for this reason.
    Invalid(String),
    /// The instance cannot do what was requested.
    Unavailable,
}

/// See [`ballot::Ballot`].
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Ballot {
    round: u64,
    instance: String,
    incarnation: u64,
}

/// See [`ballot::Position`].
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Position {
    ballot: Ballot,
    change: u64,
}

/// See [`voter::Voter`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Voter {
    instance: String,
    disk: u64,
}

/// See [`voter::Electorate`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Electorate {
    voters: Vec<Voter>,
    replaced: Vec<Voter>,
}

/// See [`state::Update`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    position: Position,
    replaced: Vec<usize>,
    items: Vec<Item>,
    digest: u64,
    /// Earlier releases have none.
    #[serde(default)]
    electorate: Electorate,
}

/// See [`replication::Status`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    instance: String,
    #[serde(rename = "is_complete")]
    is_founder: bool,
    promised: Ballot,
    position: Position,
    digest: u64,
    accepted: Option<Position>,
    /// Earlier releases state none.
    #[serde(default)]
    disk: Option<u64>,
    #[serde(default)]
    electorate: Electorate,
    #[serde(default)]
    is_leaving: bool,
}

/// See [`replication::Refusal`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Refusal {
    /// See [`replication::Refusal::Promised`].
    Promised(Ballot),
    /// See [`replication::Refusal::Overtaken`].
    Overtaken,
    /// See [`replication::Refusal::Behind`].
    Behind(Vec<u64>),
    /// See [`replication::Refusal::Recovering`].
    Recovering,
}

impl From<&ballot::Ballot> for Ballot {
    fn from(ballot: &ballot::Ballot) -> Self {
        let instance = ballot.instance.clone();
        Self { round: ballot.round, instance, incarnation: ballot.incarnation }
    }
}

impl From<Ballot> for ballot::Ballot {
    fn from(ballot: Ballot) -> Self {
        let Ballot { round, instance, incarnation } = ballot;
        Self { round, instance, incarnation }
    }
}

impl From<&ballot::Position> for Position {
    fn from(position: &ballot::Position) -> Self {
        Self { ballot: Ballot::from(&position.ballot), change: position.change }
    }
}

impl From<Position> for ballot::Position {
    fn from(position: Position) -> Self {
        Self { ballot: position.ballot.into(), change: position.change }
    }
}

impl From<&voter::Voter> for Voter {
    fn from(voter: &voter::Voter) -> Self {
        Self { instance: voter.instance.clone(), disk: voter.disk }
    }
}

impl From<Voter> for voter::Voter {
    fn from(voter: Voter) -> Self {
        Self { instance: voter.instance, disk: voter.disk }
    }
}

impl From<&voter::Electorate> for Electorate {
    fn from(electorate: &voter::Electorate) -> Self {
        Self {
            voters: electorate.voters.iter().map(Voter::from).collect(),
            replaced: electorate.replaced.iter().map(Voter::from).collect(),
        }
    }
}

impl From<Electorate> for voter::Electorate {
    fn from(electorate: Electorate) -> Self {
        Self {
            voters: electorate.voters.into_iter().map(Into::into).collect(),
            replaced: electorate.replaced.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&state::Update> for Update {
    fn from(update: &state::Update) -> Self {
        Self {
            position: Position::from(&update.position),
            replaced: update.replaced.clone(),
            items: super::encode(&update.items),
            digest: update.digest,
            electorate: Electorate::from(&update.electorate),
        }
    }
}

impl From<Update> for state::Update {
    fn from(update: Update) -> Self {
        Self {
            position: update.position.into(),
            replaced: update.replaced,
            items: super::decode(update.items),
            digest: update.digest,
            electorate: update.electorate.into(),
        }
    }
}

impl From<&replication::Status> for Status {
    fn from(status: &replication::Status) -> Self {
        Self {
            instance: status.voter.instance.clone(),
            is_founder: status.is_founder,
            promised: Ballot::from(&status.promised),
            position: Position::from(&status.position),
            digest: status.digest,
            accepted: status.accepted.as_ref().map(Position::from),
            disk: Some(status.voter.disk),
            electorate: Electorate::from(&status.electorate),
            is_leaving: status.is_leaving,
        }
    }
}

impl From<Status> for replication::Status {
    fn from(status: Status) -> Self {
        Self {
            voter: voter::Voter {
                instance: status.instance,
                disk: status.disk.unwrap_or(voter::UNKNOWN_DISK),
            },
            is_founder: status.is_founder,
            promised: status.promised.into(),
            position: status.position.into(),
            digest: status.digest,
            accepted: status.accepted.map(ballot::Position::from),
            electorate: status.electorate.into(),
            is_leaving: status.is_leaving,
        }
    }
}

impl From<replication::Refusal> for Refusal {
    fn from(refusal: replication::Refusal) -> Self {
        match refusal {
            replication::Refusal::Promised(ballot) => Self::Promised(Ballot::from(&ballot)),
            replication::Refusal::Overtaken => Self::Overtaken,
            replication::Refusal::Behind(buckets) => Self::Behind(buckets),
            replication::Refusal::Recovering => Self::Recovering,
        }
    }
}

impl From<Refusal> for replication::Refusal {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Promised(ballot) => Self::Promised(ballot.into()),
            Refusal::Overtaken => Self::Overtaken,
            Refusal::Behind(buckets) => Self::Behind(buckets),
            Refusal::Recovering => Self::Recovering,
        }
    }
}
