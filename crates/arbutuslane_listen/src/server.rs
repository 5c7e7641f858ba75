//! Accepts connections as long as there is room for them, and serves them in worker threads.
//!
//! The library's own acceptor takes connections without a bound, until the process has no
//! descriptor left. Here each listener has a number of places, and the next connection is accepted
//! when one is free; a worker makes room by closing a connection that gives way.

use std::fmt::{self, Debug, Formatter};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arbutuslane_limit::places::{Place, Places};
use futures_util::future::{Either, select};
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::service::boxed::{self, BoxService, BoxServiceFactory};
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::time::{Millis, Seconds, sleep};
use ntex_server::{ServerConfiguration, WorkerPool};
use tokio::sync::Notify;

/// How long to wait for a place, or after an error of the system.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// How often a stop checks whether all listeners have been closed.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The places of a listener beyond its limit, for connections that a worker has yet to count or to
/// close: one for this many.
const SPARE_DIVISOR: usize = 4;

/// The fewest places beyond the limit.
const MIN_SPARE: usize = 8;

/// The service of the connections of one listener, in one thread.
pub type ConnectionService = BoxServiceFactory<SharedCfg, Io, (), (), ()>;

/// Returns the service of a listener in the thread that calls it.
pub type ServiceBuilder =
    Arc<dyn Fn() -> Pin<Box<dyn Future<Output = ConnectionService>>> + Send + Sync>;

/// Running workers and the tasks that accept their connections.
pub type Server = ntex_server::Server<Accepted>;

/// An open listener and how its connections are served.
pub struct Listener {
    /// The open socket.
    pub socket: TcpListener,
    /// The most connections, over all threads.
    pub limit: usize,
    /// The configuration of the connections.
    pub config: SharedCfg,
    /// The service of the connections.
    pub service: ServiceBuilder,
}

/// A connection that was accepted, with its place.
#[derive(Debug)]
pub struct Accepted {
    stream: TcpStream,
    listener: usize,
    place: Place,
}

/// Starts `threads` workers that serve `listeners`, and that may take `stop_timeout` to end.
///
/// # Errors
///
/// Returns the error of the system if a socket cannot be watched.
pub fn start(
    listeners: Vec<Listener>,
    threads: usize,
    stop_timeout: Seconds,
) -> std::io::Result<Server> {
    let (mut sockets, mut services) = (Vec::new(), Vec::new());
    for Listener { socket, limit, config, service } in listeners {
        socket.set_nonblocking(true)?;
        sockets.push((tokio::net::TcpListener::from_std(socket)?, limit));
        services.push((service, config));
    }
    let acceptors = Arc::new(Acceptors::default());
    let workers = Workers {
        services: Arc::new(services),
        acceptors: Arc::clone(&acceptors),
        enrolment: Arc::new(Enrolment::new(threads)),
    };
    let server = WorkerPool::new()
        .workers(threads)
        .disable_signals()
        .shutdown_timeout(Millis::from(stop_timeout))
        .run(workers);
    for (listener, (socket, limit)) in sockets.into_iter().enumerate() {
        let spare = (limit / SPARE_DIVISOR).max(MIN_SPARE);
        let places = Places::new(limit + spare);
        acceptors.running.fetch_add(1, Ordering::AcqRel);
        let (server, acceptors) = (server.clone(), Arc::clone(&acceptors));
        ntex::rt::spawn(async move {
            acceptors.accept_until_stopped(&socket, listener, &places, &server).await;
            drop(socket);
            acceptors.running.fetch_sub(1, Ordering::AcqRel);
        });
    }
    Ok(server)
}

/// The tasks that accept connections.
#[derive(Debug, Default)]
struct Acceptors {
    is_stopping: AtomicBool,
    stopped: Notify,
    running: AtomicUsize,
}

impl Acceptors {
    fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.stopped.notify_waiters();
    }

    async fn accept_until_stopped(
        &self,
        socket: &tokio::net::TcpListener,
        listener: usize,
        places: &Arc<Places>,
        server: &Server,
    ) {
        let stopped = self.stopped.notified();
        if self.is_stopping.load(Ordering::Acquire) {
            return;
        }
        let accepting = std::pin::pin!(accept_all(socket, listener, places, server));
        let stopped = std::pin::pin!(stopped);
        match select(accepting, stopped).await {
            Either::Left(((), _)) | Either::Right(_) => {}
        }
    }
}

/// Accepts connections without end.
async fn accept_all(
    socket: &tokio::net::TcpListener,
    listener: usize,
    places: &Arc<Places>,
    server: &Server,
) {
    loop {
        let Some(place) = places.take() else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let accepted = socket.accept().await;
        let stream = match accepted.and_then(|(stream, _)| stream.into_std()) {
            Ok(stream) => stream,
            Err(error) => {
                // All others concern the process, such as a lack of descriptors.
                let is_of_connection = matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
                );
                if !is_of_connection {
                    sleep(RETRY_INTERVAL).await;
                }
                continue;
            }
        };
        let mut accepted = Accepted { stream, listener, place };
        // No worker is ready right after the start.
        while let Err(refused) = server.process(accepted) {
            accepted = refused;
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// How each worker serves the listeners.
#[derive(Clone)]
struct Workers {
    services: Arc<Vec<(ServiceBuilder, SharedCfg)>>,
    acceptors: Arc<Acceptors>,
    enrolment: Arc<Enrolment>,
}

/// Makes new workers wait until the pool has seen that they are not ready yet.
///
/// The pool asks each worker for its state once and then waits for changes. A worker that gets ready
/// before it was asked is entered twice, and a stop then waits for its second entry until the
/// timeout.
#[derive(Debug)]
struct Enrolment {
    workers: usize,
    /// How often the pool has seen a worker that is not ready, while none was.
    seen: AtomicUsize,
    changed: Notify,
}

impl Enrolment {
    fn new(workers: usize) -> Self {
        Self { workers, seen: AtomicUsize::new(0), changed: Notify::new() }
    }

    /// Records that the pool has seen a worker that is not ready.
    fn record(&self) {
        self.seen.fetch_add(1, Ordering::AcqRel);
        self.changed.notify_waiters();
    }

    /// Lets no worker wait any longer, because the pool has stopped.
    fn end(&self) {
        self.seen.store(self.workers, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Waits until the pool has seen all workers.
    async fn complete(&self) {
        loop {
            let changed = self.changed.notified();
            if self.seen.load(Ordering::Acquire) >= self.workers {
                return;
            }
            changed.await;
        }
    }
}

/// Builds the services of one worker.
struct WorkerFactory {
    services: Vec<(ConnectionService, SharedCfg)>,
}

/// The services of one worker, one for each listener.
struct Worker {
    services: Vec<(BoxService<Io, (), ()>, SharedCfg)>,
}

impl ServerConfiguration for Workers {
    type Item = Accepted;
    type Factory = WorkerFactory;

    async fn create(&self) -> Result<WorkerFactory, ()> {
        let mut services = Vec::new();
        for (service, config) in self.services.iter() {
            services.push((service().await, config.clone()));
        }
        self.enrolment.complete().await;
        Ok(WorkerFactory { services })
    }

    fn paused(&self) {
        self.enrolment.record();
    }

    fn terminate(&self) {
        self.acceptors.stop();
        self.enrolment.end();
    }

    async fn stop(&self) {
        self.acceptors.stop();
        while self.acceptors.running.load(Ordering::Acquire) > 0 {
            sleep(STOP_CHECK_INTERVAL).await;
        }
    }
}

impl ServiceFactory<Accepted> for WorkerFactory {
    type Response = ();
    type Error = ();
    type Service = Worker;
    type InitError = ();

    async fn create(&self, (): ()) -> Result<Worker, ()> {
        let mut services = Vec::new();
        for (service, config) in &self.services {
            services.push((service.create(config.clone()).await?, config.clone()));
        }
        Ok(Worker { services })
    }
}

impl Service<Accepted> for Worker {
    type Response = ();
    type Error = ();

    async fn ready(&self, ctx: ServiceCtx<'_, Self>) -> Result<(), ()> {
        for (service, _) in &self.services {
            ctx.ready(service).await?;
        }
        Ok(())
    }

    async fn shutdown(&self) {
        let services = self.services.iter().map(|(service, _)| service.shutdown());
        futures_util::future::join_all(services).await;
    }

    async fn call(&self, accepted: Accepted, ctx: ServiceCtx<'_, Self>) -> Result<(), ()> {
        let Accepted { stream, listener, place } = accepted;
        let (service, config) = &self.services[listener];
        let io = ntex::rt::from_tcp_stream(stream, config.clone()).map_err(|_| ())?;
        let served = ctx.call(service, io).await;
        drop(place);
        served
    }
}

/// Returns `service` with errors that only end its connection.
pub fn boxed_service<F>(service: F) -> ConnectionService
where
    F: ServiceFactory<Io, SharedCfg, Response = ()> + 'static,
{
    boxed::factory(service.map_err(|_| ()).map_init_err(|_| ()))
}

impl Debug for Listener {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { socket, limit, .. } = self;
        formatter
            .debug_struct("Listener")
            .field("socket", socket)
            .field("limit", limit)
            .finish_non_exhaustive()
    }
}
