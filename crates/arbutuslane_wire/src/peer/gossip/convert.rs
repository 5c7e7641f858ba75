//! Conversions between the serialized types and those of the state machine.

use std::sync::Arc;

use arbutuslane_member::{configuration, message, record};

use super::{Answer, Delta, Digest, Held, Message, Payload, Position, Standing, State, Verdict};

impl From<record::View> for Standing {
    fn from(view: record::View) -> Self {
        match view.standing {
            record::Standing::Alive => Self::Alive,
            record::Standing::Suspect => Self::Suspect,
            record::Standing::Dead => Self::Dead,
            record::Standing::Left => Self::Left,
        }
    }
}

impl Standing {
    fn with_round(self, round: u64) -> record::View {
        let standing = match self {
            Self::Alive => record::Standing::Alive,
            Self::Suspect => record::Standing::Suspect,
            Self::Dead => record::Standing::Dead,
            Self::Left => record::Standing::Left,
        };
        record::View { round, standing }
    }
}

impl From<record::State> for State {
    fn from(state: record::State) -> Self {
        match state {
            record::State::Cold => Self::Cold,
            record::State::Serving => Self::Serving,
            record::State::Draining => Self::Draining,
            record::State::Ejected => Self::Ejected,
        }
    }
}

impl From<State> for record::State {
    fn from(state: State) -> Self {
        match state {
            State::Cold => Self::Cold,
            State::Serving => Self::Serving,
            State::Draining => Self::Draining,
            State::Ejected => Self::Ejected,
        }
    }
}

impl From<&message::RecordWithView> for Held {
    fn from(held: &message::RecordWithView) -> Self {
        let record = &held.record;
        let server = |server: &record::Server| {
            let record::Server { id, incarnation, service, slots, state } = server.clone();
            (id, incarnation, service, slots, state.into())
        };
        Self {
            node: record.node.clone(),
            inc: record.incarnation,
            ver: record.version,
            peers: record.peers.clone(),
            callers: record.callers.clone(),
            domain: record.domain.clone(),
            release: record.release.clone(),
            servers: record.servers.iter().map(server).collect(),
            round: held.view.round,
            standing: held.view.into(),
        }
    }
}

impl From<Held> for message::RecordWithView {
    fn from(held: Held) -> Self {
        let mut servers = Vec::new();
        for (id, incarnation, service, slots, state) in held.servers {
            servers.push(record::Server { id, incarnation, service, slots, state: state.into() });
        }
        let record = record::Record {
            node: held.node,
            incarnation: held.inc,
            version: held.ver,
            peers: held.peers,
            callers: held.callers,
            domain: held.domain,
            release: held.release,
            servers,
        };
        Self { record: Arc::new(record), view: held.standing.with_round(held.round) }
    }
}

fn to_wire_verdicts(verdicts: Vec<message::NodeView>) -> Vec<Verdict> {
    let to_wire = |verdict: message::NodeView| {
        let message::NodeView { node, incarnation, version, view } = verdict;
        (node, incarnation, version, view.round, view.into())
    };
    verdicts.into_iter().map(to_wire).collect()
}

fn from_wire_verdicts(verdicts: Vec<Verdict>) -> Vec<message::NodeView> {
    let from_wire = |(node, incarnation, version, round, standing): Verdict| message::NodeView {
        node,
        incarnation,
        version,
        view: standing.with_round(round),
    };
    verdicts.into_iter().map(from_wire).collect()
}

fn to_wire_records(records: &[message::RecordWithView]) -> Vec<Held> {
    records.iter().map(Held::from).collect()
}

fn from_wire_records(records: Vec<Held>) -> Vec<message::RecordWithView> {
    records.into_iter().map(message::RecordWithView::from).collect()
}

fn to_wire_position(position: configuration::Position) -> Position {
    (position.revision, position.groups)
}

fn from_wire_position((revision, groups): Position) -> configuration::Position {
    configuration::Position { revision, groups }
}

impl From<message::Digest> for Digest {
    fn from(digest: message::Digest) -> Self {
        Self {
            node: digest.node,
            inc: digest.incarnation,
            pos: to_wire_position(digest.position),
            hash: digest.hash,
        }
    }
}

impl From<Digest> for message::Digest {
    fn from(digest: Digest) -> Self {
        Self {
            node: digest.node,
            incarnation: digest.inc,
            position: from_wire_position(digest.pos),
            hash: digest.hash,
        }
    }
}

impl From<configuration::Payload> for Payload {
    fn from(payload: configuration::Payload) -> Self {
        match payload {
            configuration::Payload::Deltas(deltas) => {
                let delta = |delta: configuration::Delta| Delta {
                    base: to_wire_position(delta.base),
                    pos: to_wire_position(delta.position),
                    bytes: delta.bytes,
                };
                Self::Deltas(deltas.into_iter().map(delta).collect())
            }
            configuration::Payload::Snapshot { position, bytes } => {
                Self::Snapshot { pos: to_wire_position(position), bytes }
            }
        }
    }
}

impl From<Payload> for configuration::Payload {
    fn from(payload: Payload) -> Self {
        match payload {
            Payload::Deltas(deltas) => {
                let delta = |delta: Delta| configuration::Delta {
                    base: from_wire_position(delta.base),
                    position: from_wire_position(delta.pos),
                    bytes: delta.bytes,
                };
                Self::Deltas(deltas.into_iter().map(delta).collect())
            }
            Payload::Snapshot { pos, bytes } => {
                Self::Snapshot { position: from_wire_position(pos), bytes }
            }
        }
    }
}

impl From<message::Message> for Message {
    fn from(message: message::Message) -> Self {
        match message {
            message::Message::Digest(digest) => Self::Digest(digest.into()),
            message::Message::Compare { buckets, views } => {
                Self::Compare { buckets, verdicts: to_wire_verdicts(views) }
            }
            message::Message::Push { records, views } => {
                Self::Push { records: to_wire_records(&records), verdicts: to_wire_verdicts(views) }
            }
            message::Message::Probe { node, address, seen } => Self::Probe { node, address, seen },
            message::Message::Fetch { known } => Self::Fetch { known: to_wire_position(known) },
            message::Message::Offer(payload) => Self::Offer(payload.into()),
        }
    }
}

impl From<Message> for message::Message {
    fn from(message: Message) -> Self {
        match message {
            Message::Digest(digest) => Self::Digest(digest.into()),
            Message::Compare { buckets, verdicts } => {
                Self::Compare { buckets, views: from_wire_verdicts(verdicts) }
            }
            Message::Push { records, verdicts } => Self::Push {
                records: from_wire_records(records),
                views: from_wire_verdicts(verdicts),
            },
            Message::Probe { node, address, seen } => Self::Probe { node, address, seen },
            Message::Fetch { known } => Self::Fetch { known: from_wire_position(known) },
            Message::Offer(payload) => Self::Offer(payload.into()),
        }
    }
}

impl From<message::Response> for Answer {
    fn from(answer: message::Response) -> Self {
        match answer {
            message::Response::Digest { digest, buckets } => {
                Self::Digest { digest: digest.into(), buckets }
            }
            message::Response::Difference { records, wanted } => {
                Self::Difference { records: to_wire_records(&records), wanted }
            }
            message::Response::Probed { reached } => Self::Probed { reached },
            message::Response::Configuration(payload) => {
                Self::Configuration(payload.map(Payload::from))
            }
            message::Response::Done => Self::Done,
        }
    }
}

impl From<Answer> for message::Response {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Digest { digest, buckets } => Self::Digest { digest: digest.into(), buckets },
            Answer::Difference { records, wanted } => {
                Self::Difference { records: from_wire_records(records), wanted }
            }
            Answer::Probed { reached } => Self::Probed { reached },
            Answer::Configuration(payload) => {
                Self::Configuration(payload.map(configuration::Payload::from))
            }
            Answer::Done => Self::Done,
        }
    }
}
