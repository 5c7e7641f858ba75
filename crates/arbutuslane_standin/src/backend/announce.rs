//! Announces the server to a node and renews its lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::time::{sleep, timeout_checked};

use arbutuslane_wire::announce::{Announcement, Lease};

use super::state::State;

/// How long one request to a node may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// How long to wait after a failed announcement before the next node is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Announces the server until it leaves; tries the next node when one does not accept it.
pub(super) async fn run(state: Arc<State>, address: SocketAddr) {
    let client = match Client::builder().build(SharedCfg::new("announce")).await {
        Ok(client) => client,
        Err(error) => {
            tracing::error!(event = "no-client", %error);
            return;
        }
    };
    let nodes = state.settings.nodes.clone();
    let mut node = 0;
    let mut incarnation = new_incarnation(0);
    while !nodes.is_empty() && !state.has_left() {
        let announcement = Announcement {
            service: state.settings.service.clone(),
            server: state.settings.server.clone(),
            incarnation,
            address: address.to_string(),
            slots: state.settings.slots,
            revision: state.revision.load(Ordering::Relaxed),
            sequence: 0,
            draining: false,
            warming_ms: None,
        };
        let Some(lease) = announce(&client, nodes[node], &announcement).await else {
            node = (node + 1) % nodes.len();
            // The next node must receive a higher incarnation than the one that it may already
            // know.
            incarnation = new_incarnation(incarnation);
            sleep(RETRY_DELAY).await;
            continue;
        };
        state.revision.fetch_max(lease.revision, Ordering::Relaxed);
        if state.draining.load(Ordering::Relaxed) {
            request_drain_or_leave(&client, nodes[node], &state, true).await;
        }
        let renewal = Duration::from_millis(lease.renew_ms.max(10));
        // A drain or leave is sent at once instead of with the next renewal.
        let mut waited = Duration::ZERO;
        let mut drain_requested = state.draining.load(Ordering::Relaxed);
        while waited < renewal && !state.has_left() {
            sleep(Duration::from_millis(10)).await;
            waited += Duration::from_millis(10);
            if !drain_requested && state.draining.load(Ordering::Relaxed) {
                drain_requested = true;
                request_drain_or_leave(&client, nodes[node], &state, true).await;
            }
        }
    }
    if let Some(node) = nodes.get(node) {
        request_drain_or_leave(&client, *node, &state, false).await;
    }
}

/// Returns the Unix time in milliseconds, or `previous` + 1 if that is greater.
fn new_incarnation(previous: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0).max(previous + 1)
}

/// Sends one announcement; returns `None` when the node does not accept it in time.
async fn announce(client: &Client, node: SocketAddr, announcement: &Announcement) -> Option<Lease> {
    let sending = async {
        let request = client.post(format!("http://{node}/v1/servers"));
        let response = request.send_json(announcement).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json::<Lease>().await.ok()
    };
    timeout_checked(REQUEST_TIMEOUT, sending).await.ok().flatten()
}

/// Asks the node to drain the server, or reports to it that the server leaves.
async fn request_drain_or_leave(client: &Client, node: SocketAddr, state: &State, drain: bool) {
    let server = &state.settings.server;
    let request = if drain {
        client.post(format!("http://{node}/v1/servers/{server}/drain"))
    } else {
        client.delete(format!("http://{node}/v1/servers/{server}"))
    };
    if timeout_checked(REQUEST_TIMEOUT, request.send()).await.is_err() {
        tracing::warn!(event = "drain-unanswered", node = %node, drain);
    }
}
