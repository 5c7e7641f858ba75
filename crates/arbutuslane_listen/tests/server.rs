//! Starts and stops of a server.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arbutuslane_listen::server::{self, Listener, ServiceBuilder};
use ntex::SharedCfg;
use ntex::io::Io;
use ntex::rt::{DefaultRuntime, System};
use ntex::service::fn_service;
use ntex::time::{Seconds, timeout_checked};
use tokio::net::TcpStream;

/// The servers at a time for each processor, so that threads are interrupted anywhere.
const SERVERS_PER_PROCESSOR: usize = 2;

/// How often each server starts and stops.
const ROUNDS: usize = 150;

/// The time limit of each stop, which none of them needs.
const STOP_TIMEOUT: Seconds = Seconds(60);

/// The time after which a stop counts as stuck.
const PATIENCE: Duration = Duration::from_secs(20);

fn listener() -> Listener {
    let service: ServiceBuilder = Arc::new(|| {
        let service = fn_service(async |_: Io| Ok::<_, ()>(()));
        Box::pin(std::future::ready(server::boxed_service(service)))
    });
    Listener {
        socket: TcpListener::bind("127.0.0.1:0").unwrap(),
        limit: 8,
        config: SharedCfg::new("test").into(),
        service,
    }
}

/// Starts a server, waits until it serves a connection, and returns whether it stops.
async fn stops() -> bool {
    let listener = listener();
    let address = listener.socket.local_addr().unwrap();
    let server = server::start(vec![listener], 2, STOP_TIMEOUT).unwrap();
    // The service closes the connection.
    let connection = TcpStream::connect(address).await.unwrap();
    connection.readable().await.unwrap();
    timeout_checked(PATIENCE, server.stop(true)).await.is_ok()
}

/// Returns how many of the stops are stuck.
fn count_stuck() -> usize {
    let system = System::build().name("test").testing().build(DefaultRuntime);
    system.block_on(async {
        let mut stuck = 0;
        for _ in 0..ROUNDS {
            stuck += usize::from(!stops().await);
        }
        stuck
    })
}

/// Guards against a stop that waits for a worker that has already ended, until its time limit.
#[test]
fn stop_idle() {
    let processors = thread::available_parallelism().map_or(1, usize::from);
    let mut servers = Vec::new();
    for _ in 0..processors * SERVERS_PER_PROCESSOR {
        servers.push(thread::spawn(count_stuck));
    }
    let stuck: usize = servers.into_iter().map(|server| server.join().unwrap()).sum();
    assert_eq!(stuck, 0, "stops are stuck");
}
