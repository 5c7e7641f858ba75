//! Exchange of server lists with the seeds of the settings.
//!
//! This is the whole membership of the first version: every node sends what it knows to each seed
//! and learns what the seed knows. The gossip of the `member` crate replaces it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ntex::http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, ServerId, ServiceName};
use arbutuslane_core::time::Time;

use crate::peers;
use crate::shared::{Remote, Shared};
use crate::traffic::Pool;

/// The path of the exchange on the `peers` listener.
pub(crate) const PATH: &str = "/v1/seeds";

/// How often a node exchanges lists with its seeds.
pub(crate) const PERIOD: Duration = Duration::from_millis(500);

/// How long a node is listed that has sent nothing newer.
const KEPT: Duration = Duration::from_secs(5);

/// What one node says about itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Listing {
    node: NodeId,
    incarnation: Incarnation,
    /// Raised with each exchange, so that the newest listing wins.
    version: u64,
    address: SocketAddr,
    domain: DomainName,
    servers: Vec<Listed>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Listed {
    service: ServiceName,
    server: ServerId,
    incarnation: Incarnation,
    slots: u32,
}

/// What is known of other nodes, in ascending order of their names.
#[derive(Debug, Default)]
pub(crate) struct Known {
    listings: Mutex<Vec<(Listing, Time)>>,
}

/// Exchanges lists with every seed once.
pub(crate) async fn exchange(shared: &Arc<Shared>, pool: &Rc<Pool>) {
    let Ok(body) = serde_json::to_vec(&all(shared)) else { return };
    for seed in &shared.settings.seeds {
        if *seed == shared.settings.advertised() {
            continue;
        }
        let sent = peers::post(shared, pool, *seed, PATH, body.clone().into(), PERIOD).await;
        match sent.map(|bytes| serde_json::from_slice::<Vec<Listing>>(&bytes)) {
            Ok(Ok(listings)) => learn(shared, listings),
            Ok(Err(error)) => tracing::debug!(event = "bad-listing", peer = %seed, %error),
            Err(error) => tracing::debug!(event = "seed-unreachable", peer = %seed, error),
        }
    }
    learn(shared, Vec::new());
}

/// Answers the exchange of another node.
pub(crate) fn answer(shared: &Arc<Shared>, body: &[u8]) -> Response {
    let Ok(listings) = serde_json::from_slice::<Vec<Listing>>(body) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    learn(shared, listings);
    Response::build(StatusCode::OK).json(&all(shared))
}

fn own(shared: &Shared) -> Listing {
    let now = shared.clock.now();
    let mut servers = Vec::new();
    for server in shared.servers.all() {
        // A stopping node keeps its servers until they have announced themselves elsewhere.
        if !server.open(now) {
            continue;
        }
        servers.push(Listed {
            service: server.service.clone(),
            server: server.id.clone(),
            incarnation: server.incarnation,
            slots: server.admission.occupancy().2,
        });
    }
    Listing {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        version: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        address: shared.settings.advertised(),
        domain: shared.settings.domain.clone(),
        servers,
    }
}

fn all(shared: &Shared) -> Vec<Listing> {
    let known = shared.known.listings.lock().unwrap_or_else(PoisonError::into_inner);
    let mut listings: Vec<Listing> = known.iter().map(|(listing, _)| listing.clone()).collect();
    listings.push(own(shared));
    listings
}

fn learn(shared: &Shared, listings: Vec<Listing>) {
    let now = shared.clock.now();
    let mut known = shared.known.listings.lock().unwrap_or_else(PoisonError::into_inner);
    for listing in listings {
        if listing.node == shared.settings.node {
            continue;
        }
        let age = |listing: &Listing| (listing.incarnation, listing.version);
        match known.binary_search_by(|(other, _)| other.node.cmp(&listing.node)) {
            Ok(index) if age(&known[index].0) < age(&listing) => known[index] = (listing, now),
            Ok(_) => {}
            Err(index) => known.insert(index, (listing, now)),
        }
    }
    known.retain(|(_, learned)| now < *learned + KEPT);
    let mut remotes = Vec::new();
    for (listing, _) in known.iter() {
        for server in &listing.servers {
            remotes.push(Remote {
                service: server.service.clone(),
                server: server.server.clone(),
                incarnation: server.incarnation,
                slots: server.slots,
                owner: listing.node.clone(),
                address: listing.address,
                domain: listing.domain.clone(),
            });
        }
    }
    shared.set_remotes(remotes);
}
