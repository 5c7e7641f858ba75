//! Messages between nodes and control instances, sent by POST to `/v1/peer`.

pub mod departure;
pub mod gossip;
pub mod register;
pub mod strike;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A request from one process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the replicated state if the receiver has a newer one.
    FetchSnapshot {
        /// The revision that the sender has in force.
        known_revision: u64,
    },
    /// A message about membership or configuration.
    Gossip(gossip::Message),
    /// A request to a replica of quorum registers.
    Register(register::Message),
    /// Reports strikes against requests, also those that were cleared.
    Strikes {
        /// The strikes.
        strikes: Vec<strike::Strike>,
        /// The hash of each bucket of the sender's strikes, if it asks for those in which the receiver's
        /// differ; empty otherwise.
        buckets: Vec<u64>,
    },
    /// Asks whether a request that may crash servers may run now.
    BeginTrial {
        /// The fingerprint of the request.
        request: u64,
        /// The server that is to run it.
        server: String,
        /// The failure domain of the server.
        domain: String,
        /// The most such runs of the request at a time.
        max: usize,
        /// The time within which the run ends.
        for_ms: u64,
    },
    /// Reports that such a run has ended.
    EndTrial {
        /// The fingerprint of the request.
        request: u64,
        /// The server.
        server: String,
    },
    /// Reports the revision and group epochs that a node has in force to a control instance.
    InForce {
        /// The node.
        node: String,
        /// The catalogue revision in force.
        revision: u64,
        /// The shards in whose groups the node votes, with the groups' epochs.
        votes: Vec<(u32, u64)>,
    },
    /// Requests the catalogue items in which the receiver's table differs from the sender's.
    SyncItems {
        /// The hash of each bucket of the sender's table.
        buckets: Vec<u64>,
        /// Whether the sender needs any state that the receiver has, because too few control instances
        /// are left to tell what is accepted.
        unaccepted: bool,
        /// The largest number of items in the response; of more items it contains the hashes.
        /// `None`, which earlier releases send, stands for no limit.
        #[serde(default)]
        max_items: Option<usize>,
    },
    /// Requests the catalogue items that have these hashes.
    FetchItems {
        /// The hashes of the items.
        hashes: Vec<u64>,
        /// See [`Message::SyncItems`].
        unaccepted: bool,
    },
    /// Announces accepted catalogue items, which the receiver fetches if it lacks them.
    AnnounceItems {
        /// The hashes of the items; empty when they are too many for one message.
        hashes: Vec<u64>,
        /// The `peers` addresses of the nodes that the receiver passes the message on to.
        #[serde(default)]
        relay_to: Vec<SocketAddr>,
    },
    /// A request from one control instance to another about the agreement on the items, encoded.
    ItemAgreement(Vec<u8>),
    /// Announces accepted catalogue items.
    AcceptedItems {
        /// The items, encoded.
        items: Vec<u8>,
        /// The `peers` addresses of the nodes that the receiver passes the message on to.
        #[serde(default)]
        relay_to: Vec<SocketAddr>,
    },
    /// Requests that a node lend tokens of workspaces' allowances.
    BorrowAllowance {
        /// What each workspace needs.
        requests: Vec<AllowanceRequest>,
    },
    /// Requests that the receiver keep departures of servers for a node.
    KeepDepartures {
        /// The node.
        node: String,
        /// The departures.
        departures: Vec<departure::Departure>,
        /// Whether the sender understands [`Answer::DeparturesKept`].
        #[serde(default)]
        on_disk: bool,
    },
    /// Requests the departures that the receiver keeps for a node.
    FetchDepartures {
        /// The node.
        node: String,
        /// Whether the sender understands [`Answer::DeparturesOnDisk`].
        #[serde(default)]
        on_disk: bool,
    },
}

impl Message {
    /// Returns a copy of a message about accepted items for a receiver that passes it on to others;
    /// `None` for other messages, which are not passed on.
    pub fn relayed(&self, relay_to: Vec<SocketAddr>) -> Option<Self> {
        match self {
            Self::AnnounceItems { hashes, .. } => {
                Some(Self::AnnounceItems { hashes: hashes.clone(), relay_to })
            }
            Self::AcceptedItems { items, .. } => {
                Some(Self::AcceptedItems { items: items.clone(), relay_to })
            }
            _ => None,
        }
    }
}

/// The tokens that an entry requests for a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// The name of the workspace.
    pub workspace: String,
    /// The number of tokens; each lets one request run.
    pub tokens: u32,
}

/// The tokens that a node lends an entry for a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceLoan {
    /// The name of the workspace.
    pub workspace: String,
    /// The number of tokens.
    pub tokens: u32,
    /// The time in milliseconds after which the node can lend a token, if it lends none now.
    pub retry_ms: u64,
}

/// The response to a [`Message`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// A newer state, encoded as a snapshot of the catalogue.
    Snapshot(Vec<u8>),
    /// The receiver has no newer state.
    Unchanged,
    /// The receiver does not handle this message.
    Unsupported,
    /// The response to [`Message::Gossip`].
    Gossip(gossip::Answer),
    /// The response to [`Message::Register`].
    Register(register::Answer),
    /// Confirms receipt; there is no data to return.
    Done,
    /// The response to [`Message::SyncItems`].
    Items {
        /// The instance or node that responds.
        instance: String,
        /// Whether the responder has all items that were accepted before it started.
        complete: bool,
        /// The items that differ, encoded.
        items: Vec<u8>,
        /// The hashes of the items that differ, when `items` would exceed the requested number.
        #[serde(default)]
        hashes: Vec<u64>,
        /// Whether more items differ than `hashes` names.
        #[serde(default)]
        more: bool,
        /// The position of the state that the items belong to, encoded; none if the responder is no
        /// control instance, or knows of no accepted state.
        #[serde(default)]
        position: Option<Vec<u8>>,
    },
    /// The response to [`Message::FetchItems`]: the items that the receiver has, encoded.
    Fetched(Vec<u8>),
    /// The response to [`Message::ItemAgreement`], encoded.
    ItemAgreement(Vec<u8>),
    /// The response to [`Message::BorrowAllowance`].
    Allowance {
        /// The loans, in the order of the requests.
        loans: Vec<AllowanceLoan>,
    },
    /// The response to [`Message::Strikes`].
    Strikes {
        /// The strikes that were asked for.
        strikes: Vec<strike::Strike>,
        /// The hash of each bucket of the sender's strikes.
        buckets: Vec<u64>,
    },
    /// The response to [`Message::BeginTrial`].
    Trial {
        /// Whether the request may run.
        is_granted: bool,
    },
    /// The response to [`Message::FetchDepartures`].
    Departures(Vec<departure::Departure>),
    /// The response of a control instance to [`Message::KeepDepartures`]: they are on its disk.
    DeparturesKept {
        /// The number of control instances that must have them on their disks; none if the sender is
        /// not one of those that count.
        quorum: Option<usize>,
    },
    /// The response of a control instance to [`Message::FetchDepartures`].
    DeparturesOnDisk {
        /// The departures.
        departures: Vec<departure::Departure>,
        /// The number of control instances that must respond so; none if the sender is not one of
        /// those that count, or may lack departures.
        quorum: Option<usize>,
    },
}
