//! The listeners of a control instance, whose connections stay within its memory and descriptors.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use arbutuslane_listen::budget::{Budget, Share};
use arbutuslane_listen::config;
use arbutuslane_listen::connections::Connections;
use arbutuslane_listen::gate::Gate;
use arbutuslane_listen::server::{self, ConnectionService, Listener, Server, ServiceBuilder};
use arbutuslane_listen::socket;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::http::HttpService;
use ntex::time::Seconds;
use ntex::web::{self, App};

use crate::daemon::Error;
use crate::gossip::GossipHandle;

use super::core::Core;
use super::interface::OperatorFormat;
use super::server as handlers;
use super::settings::Settings;

/// The share of the listener for operators, nodes and other instances. A large change needs a
/// larger receive buffer to arrive within seconds.
const MAIN_SHARE: Share = Share { memory: 24, descriptors: 24, receive_buffer: 32 << 10 };

/// The share of the listener for metrics.
const METRICS_SHARE: Share = Share { memory: 1, descriptors: 2, receive_buffer: 16 << 10 };

/// The threads that serve requests.
const THREADS: usize = 1;

/// What the handlers of requests need.
pub(super) struct ServerState {
    pub(super) core: Arc<Core>,
    pub(super) gossip: GossipHandle,
    pub(super) operators: Arc<dyn OperatorFormat>,
}

/// An open socket and the most connections that it may have.
pub(super) type Opened = (TcpListener, usize);

/// Opens the listeners that the settings name.
pub(super) fn open_all(settings: &Settings) -> Result<Vec<Opened>, Error> {
    let budget = Budget::new(settings.memory_mb, settings.descriptors);
    budget.log();
    let addresses = std::iter::once((&settings.listen, MAIN_SHARE))
        .chain(settings.metrics.iter().map(|address| (address, METRICS_SHARE)));
    let mut opened = Vec::new();
    for (address, share) in addresses {
        let limit = budget.connections(share);
        let socket = parse(address)
            .and_then(|parsed| socket::open(parsed, budget.backlog(limit), share.receive_buffer))
            .map_err(|source| Error::Listen { address: address.clone(), source })?;
        opened.push((socket, limit));
    }
    Ok(opened)
}

/// Starts to serve the requests of open listeners.
pub(super) fn serve(
    opened: Vec<Opened>,
    state: ServerState,
    stop_timeout: Seconds,
) -> std::io::Result<Server> {
    let state = Arc::new(state);
    let mut listeners = Vec::new();
    for (socket, limit) in opened {
        let state = Arc::clone(&state);
        let service: ServiceBuilder = Arc::new(move || {
            let state = Arc::clone(&state);
            Box::pin(async move { build_service(&state, limit).await })
        });
        listeners.push(Listener { socket, limit, config: connection_config(), service });
    }
    server::start(listeners, THREADS, stop_timeout)
}

/// Builds the service of a listener for this thread.
async fn build_service(state: &ServerState, limit: usize) -> ConnectionService {
    let connections = Connections::new(limit, Arc::clone(&state.core.connections));
    let shared = Rc::new(handlers::Shared {
        core: Arc::clone(&state.core),
        gossip: state.gossip.clone(),
        operators: Arc::clone(&state.operators),
        client: Client::new().await,
        connections: connections.clone(),
    });
    let app = App::new()
        .state(shared)
        .configure(handlers::configure)
        .default_service(web::route().to(handlers::handle_operator_request));
    server::boxed_service(Gate { inner: HttpService::h1(app), connections })
}

/// Returns the configuration of the connections.
fn connection_config() -> SharedCfg {
    SharedCfg::new("control").add(config::http()).add(config::io()).into()
}

fn parse(address: &str) -> std::io::Result<SocketAddr> {
    let parsed = address.parse::<SocketAddr>();
    parsed.map_err(|error| std::io::Error::new(std::io::ErrorKind::InvalidInput, error))
}
