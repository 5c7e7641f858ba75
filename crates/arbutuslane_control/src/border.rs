//! Serialized forms of the replicated log, in the data folder and between control instances.

use arbutuslane_consensus::prelude as consensus;
use serde::{Deserialize, Serialize};

/// The name and the disk id of a replica.
pub(crate) type Id = (String, u64);

/// A message from one control instance to another; a request to `/v1/raft` carries a list of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// A liveness message, sent to every instance twice a second.
    Hello(Hello),
    /// A message of the replicated log.
    Log(Envelope),
    /// A node's report, forwarded to the leader: the name of the node, and the shard and epoch of
    /// each group that it votes in.
    Votes(String, Vec<(u32, u64)>),
}

/// Reports that an instance is alive and which instances it receives hellos from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) from: Id,
    /// Whether the sender's data folder is new.
    pub(crate) empty: bool,
    /// The instances from which the sender received a hello recently.
    pub(crate) hears: Vec<String>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Envelope {
    from: Id,
    to: Id,
    message: Message,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    PreVote { term: u64, last_index: u64, last_term: u64 },
    PreVoted { term: u64, own_term: u64, granted: bool },
    Vote { term: u64, last_index: u64, last_term: u64 },
    Voted { term: u64, granted: bool },
    Append(Append),
    Appended { term: u64, round: u64, matched: u64, conflict: Option<u64> },
    Snapshot { term: u64, round: u64, snapshot: Snapshot },
    Joining,
    ReadIndex { read: u64 },
    ReadAt { read: u64, index: Option<u64> },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Append {
    term: u64,
    round: u64,
    /// The index and the term of the entry right before `entries`.
    prev: (u64, u64),
    /// The index, the term and the content of each entry.
    entries: Vec<(u64, u64, Body)>,
    commit: u64,
}

/// The content of a log entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Body {
    Blank,
    Command(Vec<u8>),
    Members(Vec<Member>),
}

/// A member of the control group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Member {
    id: Id,
    voter: bool,
    replaces: Option<String>,
    contact: String,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Snapshot {
    index: u64,
    term: u64,
    content: Content,
}

/// The content of a snapshot, in its file and in messages.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Content {
    pub(crate) members: Vec<Member>,
    pub(crate) state: Vec<u8>,
}

/// The durable state of a replica besides its log: its id, its current term and its vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Meta {
    pub(crate) id: Id,
    pub(crate) term: u64,
    pub(crate) vote: Option<Id>,
}

pub(crate) fn id_to_pair(id: &consensus::Id) -> Id {
    (id.name.clone(), id.disk_id)
}

pub(crate) fn id_from_pair((name, disk_id): Id) -> consensus::Id {
    consensus::Id { name, disk_id }
}

impl From<consensus::Member> for Member {
    fn from(member: consensus::Member) -> Self {
        Self {
            id: id_to_pair(&member.id),
            voter: member.voter,
            replaces: member.replaces,
            contact: member.addresses,
        }
    }
}

impl From<Member> for consensus::Member {
    fn from(member: Member) -> Self {
        Self {
            id: id_from_pair(member.id),
            voter: member.voter,
            replaces: member.replaces,
            addresses: member.contact,
        }
    }
}

impl From<consensus::Body> for Body {
    fn from(body: consensus::Body) -> Self {
        match body {
            consensus::Body::Noop => Self::Blank,
            consensus::Body::Command(command) => Self::Command(command),
            consensus::Body::Members(members) => {
                Self::Members(members.into_iter().map(Into::into).collect())
            }
        }
    }
}

impl From<Body> for consensus::Body {
    fn from(body: Body) -> Self {
        match body {
            Body::Blank => Self::Noop,
            Body::Command(command) => Self::Command(command),
            Body::Members(members) => Self::Members(members.into_iter().map(Into::into).collect()),
        }
    }
}

impl From<consensus::Snapshot> for Snapshot {
    fn from(snapshot: consensus::Snapshot) -> Self {
        let members = snapshot.members.into_iter().map(Into::into).collect();
        let content = Content { members, state: snapshot.payload };
        Self { index: snapshot.index, term: snapshot.term, content }
    }
}

impl From<Snapshot> for consensus::Snapshot {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.content.members.into_iter().map(Into::into).collect(),
            payload: snapshot.content.state,
        }
    }
}

impl From<consensus::Envelope> for Envelope {
    fn from(envelope: consensus::Envelope) -> Self {
        use consensus::Message as Source;
        let message = match envelope.message {
            Source::PreVote { term, last_index, last_term } => {
                Message::PreVote { term, last_index, last_term }
            }
            Source::PreVoted { term, own_term, granted } => {
                Message::PreVoted { term, own_term, granted }
            }
            Source::Vote { term, last_index, last_term } => {
                Message::Vote { term, last_index, last_term }
            }
            Source::Voted { term, granted } => Message::Voted { term, granted },
            Source::Append { term, round, prev_index, prev_term, entries, commit } => {
                let entries = entries.into_iter();
                let entries = entries.map(|entry| (entry.index, entry.term, entry.body.into()));
                let prev = (prev_index, prev_term);
                Message::Append(Append { term, round, prev, entries: entries.collect(), commit })
            }
            Source::Appended { term, round, matched, conflict } => {
                Message::Appended { term, round, matched, conflict }
            }
            Source::Snapshot { term, round, snapshot } => {
                Message::Snapshot { term, round, snapshot: snapshot.into() }
            }
            Source::JoinRequest => Message::Joining,
            Source::ReadIndex { read } => Message::ReadIndex { read },
            Source::ReadIndexResponse { read, index } => Message::ReadAt { read, index },
        };
        Self { from: id_to_pair(&envelope.from), to: id_to_pair(&envelope.to), message }
    }
}

impl From<Envelope> for consensus::Envelope {
    fn from(envelope: Envelope) -> Self {
        use consensus::Message as Target;
        let message = match envelope.message {
            Message::PreVote { term, last_index, last_term } => {
                Target::PreVote { term, last_index, last_term }
            }
            Message::PreVoted { term, own_term, granted } => {
                Target::PreVoted { term, own_term, granted }
            }
            Message::Vote { term, last_index, last_term } => {
                Target::Vote { term, last_index, last_term }
            }
            Message::Voted { term, granted } => Target::Voted { term, granted },
            Message::Append(Append { term, round, prev, entries, commit }) => {
                let entries = entries.into_iter();
                let entries = entries.map(|(index, term, body)| consensus::Entry {
                    index,
                    term,
                    body: body.into(),
                });
                let (prev_index, prev_term) = prev;
                let entries = entries.collect();
                Target::Append { term, round, prev_index, prev_term, entries, commit }
            }
            Message::Appended { term, round, matched, conflict } => {
                Target::Appended { term, round, matched, conflict }
            }
            Message::Snapshot { term, round, snapshot } => {
                Target::Snapshot { term, round, snapshot: snapshot.into() }
            }
            Message::Joining => Target::JoinRequest,
            Message::ReadIndex { read } => Target::ReadIndex { read },
            Message::ReadAt { read, index } => Target::ReadIndexResponse { read, index },
        };
        Self { from: id_from_pair(envelope.from), to: id_from_pair(envelope.to), message }
    }
}
