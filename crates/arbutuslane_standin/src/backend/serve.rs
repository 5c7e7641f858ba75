//! The listener of a stand-in backend server.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuslane_listen::server::{self, Listener, Server, ServiceBuilder};
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, Method, Request, Response, StatusCode};
use ntex::rt::signals::signal;
use ntex::rt::{DefaultRuntime, System};
use ntex::service::fn_service;
use ntex::time::{Seconds, sleep};
use ntex::util::BytesMut;

use super::state::State;
use super::work::{self, ResponseSwap};
use super::{Faults, Settings, announce};

/// The most connections at a time.
const MAX_CONNECTIONS: usize = 4_096;

/// How long requests in flight may take after the server has left.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(60);

/// Runs a backend server until the process receives a signal to stop; then drains and leaves.
pub fn run(settings: Settings) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen)?;
    let address = listener.local_addr()?;
    println!("{address}");
    System::build().name("backend").build(DefaultRuntime).block_on(async move {
        let state = Arc::new(State::new(settings)?);
        let server = start(&state, listener)?;
        System::current().enable_signals();
        let announcing = ntex::rt::spawn(announce::run(Arc::clone(&state), address));
        let _ = signal().await;
        state.draining.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(500)).await;
        state.left.store(true, Ordering::Relaxed);
        let _ = announcing.await;
        server.stop(true).await;
        Ok(())
    })
}

fn start(state: &Arc<State>, socket: TcpListener) -> std::io::Result<Server> {
    let state = Arc::clone(state);
    let http = HttpServiceConfig::new().set_keepalive(Seconds(75)).set_client_timeout(Seconds(5));
    let service: ServiceBuilder = Arc::new(move || {
        let (state, swap) = (Arc::clone(&state), Rc::<ResponseSwap>::default());
        let service = HttpService::h1(fn_service(async move |request: Request| {
            Ok::<_, std::io::Error>(handle(&state, &swap, request).await)
        }));
        Box::pin(std::future::ready(server::boxed_service(service)))
    });
    let config = SharedCfg::new("backend").add(http).into();
    let listener = Listener { socket, limit: MAX_CONNECTIONS, config, service };
    server::start(vec![listener], 1, SHUTDOWN_TIMEOUT)
}

/// Responds to the control and health endpoints; handles every other path as work.
async fn handle(state: &State, swap: &Rc<ResponseSwap>, mut request: Request) -> Response {
    let path = request.path().to_string();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/health") => match state.is_healthy() {
            true => Response::new(StatusCode::OK),
            false => Response::new(StatusCode::SERVICE_UNAVAILABLE),
        },
        (Method::POST, "/standin/faults") => set_faults(state, &mut request).await,
        (Method::GET, "/standin/runs") => {
            let (total, by_key) = state.runs();
            let runs = serde_json::json!({ "total": total, "by_key": by_key });
            Response::build(StatusCode::OK).json(&runs)
        }
        (Method::POST, "/standin/drain") => {
            state.draining.store(true, Ordering::Relaxed);
            Response::new(StatusCode::NO_CONTENT)
        }
        (Method::POST, "/standin/leave") => {
            state.left.store(true, Ordering::Relaxed);
            Response::new(StatusCode::NO_CONTENT)
        }
        _ => work::handle(state, swap, request).await,
    }
}

async fn set_faults(state: &State, request: &mut Request) -> Response {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(Ok(chunk)) = payload.recv().await {
        body.extend_from_slice(&chunk);
    }
    match serde_json::from_slice::<Faults>(&body) {
        Ok(faults) => {
            state.set_faults(faults);
            Response::new(StatusCode::NO_CONTENT)
        }
        Err(error) => Response::build(StatusCode::BAD_REQUEST).body(error.to_string()),
    }
}
