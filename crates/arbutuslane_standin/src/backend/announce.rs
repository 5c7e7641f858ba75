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

/// How long one announcement may take.
const WAIT: Duration = Duration::from_millis(800);

/// How long to wait before the next node is tried.
const PAUSE: Duration = Duration::from_millis(100);

/// Announces the server until it leaves; moves to the next node when one does not accept it.
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
    while !nodes.is_empty() && !state.gone() {
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
            // Another node must see a higher incarnation than the one that it may have heard of.
            incarnation = new_incarnation(incarnation);
            sleep(PAUSE).await;
            continue;
        };
        state.revision.fetch_max(lease.revision, Ordering::Relaxed);
        if state.draining.load(Ordering::Relaxed) {
            ask(&client, nodes[node], &state, true).await;
        }
        let renewal = Duration::from_millis(lease.renew_ms.max(10));
        // A drain or leave is passed on at once rather than with the next renewal.
        let mut waited = Duration::ZERO;
        let mut drained = state.draining.load(Ordering::Relaxed);
        while waited < renewal && !state.gone() {
            sleep(Duration::from_millis(10)).await;
            waited += Duration::from_millis(10);
            if !drained && state.draining.load(Ordering::Relaxed) {
                drained = true;
                ask(&client, nodes[node], &state, true).await;
            }
        }
    }
    if let Some(node) = nodes.get(node) {
        ask(&client, *node, &state, false).await;
    }
}

/// Returns the start time in milliseconds, or more where `last` is not below it.
fn new_incarnation(last: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0).max(last + 1)
}

async fn announce(client: &Client, node: SocketAddr, announcement: &Announcement) -> Option<Lease> {
    let sending = async {
        let request = client.post(format!("http://{node}/v1/servers"));
        let response = request.send_json(announcement).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json::<Lease>().await.ok()
    };
    timeout_checked(WAIT, sending).await.ok().flatten()
}

async fn ask(client: &Client, node: SocketAddr, state: &State, drain: bool) {
    let server = &state.settings.server;
    let request = if drain {
        client.post(format!("http://{node}/v1/servers/{server}/drain"))
    } else {
        client.delete(format!("http://{node}/v1/servers/{server}"))
    };
    if timeout_checked(WAIT, request.send()).await.is_err() {
        tracing::warn!(event = "drain-unanswered", node = %node, drain);
    }
}
