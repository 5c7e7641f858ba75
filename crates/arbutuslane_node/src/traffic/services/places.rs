//! The servers of a service and where each of them is reached.

use std::net::SocketAddr;
use std::sync::Arc;

use arbutuslane_balance::candidate::{Candidate, Serving};
use arbutuslane_core::id::{Incarnation, NodeId, ServerId};
use arbutuslane_core::time::Time;

use crate::announce::Server;
use crate::shared::{RemoteServer, Shared};

/// Where a server is reached.
#[derive(Debug, Clone)]
pub(crate) enum ServerLocation {
    /// The server belongs to this node.
    Local(Arc<Server>),
    /// The server belongs to another node.
    Remote {
        incarnation: Incarnation,
        /// The node that owns the server.
        owner: NodeId,
        /// The `peers` address of the owner.
        address: SocketAddr,
    },
}

/// Returns the servers of `service` that accept new requests, in ascending order of their names.
pub(super) fn open_servers(
    shared: &Shared,
    service: &str,
    remote_servers: &[RemoteServer],
    now: Time,
) -> Vec<(ServerId, ServerLocation, Candidate)> {
    let mut located = Vec::new();
    for server in shared.servers.all() {
        if server.service != service || !server.is_open(now) {
            continue;
        }
        let candidate = Candidate {
            server: server.id.clone(),
            incarnation: server.incarnation,
            owner: shared.settings.node.clone(),
            domain: shared.settings.domain.clone(),
            slots: server.report().slots,
            serving: Serving::Open,
        };
        located.push((server.id.clone(), ServerLocation::Local(server), candidate));
    }
    let first = remote_servers.partition_point(|remote| remote.service.as_str() < service);
    for remote in &remote_servers[first..] {
        if remote.service != service {
            break;
        }
        let candidate = Candidate {
            server: remote.server.clone(),
            incarnation: remote.incarnation,
            owner: remote.owner.clone(),
            domain: remote.domain.clone(),
            slots: remote.slots,
            serving: Serving::Open,
        };
        let location = ServerLocation::Remote {
            incarnation: remote.incarnation,
            owner: remote.owner.clone(),
            address: remote.address,
        };
        located.push((remote.server.clone(), location, candidate));
    }
    // A server that is listed twice has moved to another owner; the higher incarnation is the later
    // one.
    located.sort_by(|left, right| {
        left.0.cmp(&right.0).then(right.2.incarnation.cmp(&left.2.incarnation))
    });
    located.dedup_by(|later, first| later.0 == first.0);
    located
}
