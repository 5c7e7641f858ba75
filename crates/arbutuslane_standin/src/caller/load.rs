//! Arrivals, bounded in number and time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::SharedCfg;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use rand::RngExt;
// The library's timers count in steps of 16 ms, which would send the arrivals in bursts.
use tokio::time::sleep;

use arbutuslane_core::rng::{self, Rng};

use crate::record::{Attempt, Fit, Writer, wall_ms};

use super::exchange::{self, Ending, Planned};
use super::summary::Latencies;
use super::{Kind, Settings, Summary};

/// The state of a run.
struct Run {
    settings: Settings,
    client: Client,
    summary: RefCell<Summary>,
    latencies: RefCell<Latencies>,
    in_flight: RefCell<usize>,
    record: Option<Writer>,
}

/// Why a load run cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The client cannot be built.
    #[error("cannot build the client: {0}")]
    Client(#[from] ClientBuilderError),
    /// The file of records cannot be opened.
    #[error("cannot open the file of records: {0}")]
    Record(#[from] std::io::Error),
}

/// How long a caller waits before it sends a booking again.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// Sends the load that `settings` describe and returns what was counted.
pub async fn run(settings: Settings) -> Result<Summary, Error> {
    let connector = Connector::default().limit(settings.in_flight.max(1));
    let client = Client::builder()
        .connector::<&str>(connector)
        .response_payload_limit(1 << 30)
        .build(SharedCfg::new("caller"))
        .await?;
    let record = settings.record.as_deref().map(Writer::open).transpose()?;
    let run = Rc::new(Run {
        settings,
        client,
        summary: RefCell::default(),
        latencies: RefCell::new(Latencies::new()),
        in_flight: RefCell::new(0),
        record,
    });
    let started = Instant::now();
    send_all(&run, started).await;
    let patience = run.settings.deadline + Duration::from_secs(2);
    let sent = Instant::now();
    while *run.in_flight.borrow() > 0 && sent.elapsed() < patience {
        sleep(Duration::from_millis(5)).await;
    }
    let mut summary = run.summary.borrow().clone();
    summary.latency = run.latencies.borrow().summarize();
    summary.seconds = started.elapsed().as_secs_f64();
    Ok(summary)
}

async fn send_all(run: &Rc<Run>, started: Instant) {
    let settings = &run.settings;
    let mut rng = rng::seeded(settings.seed);
    let mut due = Duration::ZERO;
    let mut number = 0_u64;
    while due < settings.duration && !settings.nodes.is_empty() {
        let wait = due.saturating_sub(started.elapsed());
        if wait >= Duration::from_millis(1) {
            sleep(wait).await;
        }
        let planned = plan(settings, &mut rng, number);
        let node = usize::try_from(number).unwrap_or(0) % settings.nodes.len();
        number += 1;
        let gap = -(1.0 - rng.random::<f64>()).ln() / settings.rate.max(0.001);
        due += Duration::from_secs_f64(gap.min(3_600.0));
        if *run.in_flight.borrow() >= settings.in_flight {
            run.summary.borrow_mut().dropped += 1;
            continue;
        }
        *run.in_flight.borrow_mut() += 1;
        run.summary.borrow_mut().sent += 1;
        let task = Rc::clone(run);
        ntex::rt::spawn(async move {
            let began = Instant::now();
            let result = task.complete(&planned, node).await;
            task.count(planned.kind, &result, began.elapsed());
        });
    }
}

fn plan(settings: &Settings, rng: &mut Rng, number: u64) -> Planned {
    let name = format!("{}-{number}", settings.seed);
    let kinds = [
        ("lookup", &settings.lookups),
        ("booking", &settings.bookings),
        ("download", &settings.downloads),
    ];
    let total: f64 = kinds.iter().map(|(_, kind)| kind.weight.max(0.0)).sum();
    let mut draw = rng.random::<f64>() * total;
    let mut chosen = kinds[0];
    for kind in kinds {
        chosen = kind;
        draw -= kind.1.weight.max(0.0);
        if draw < 0.0 {
            break;
        }
    }
    let (kind, Kind { path, .. }) = chosen;
    let (path, body, key) = match kind {
        "booking" => {
            let length = rng.random_range(1..2_000);
            let body = (0..length).map(|_| rng.random_range(b'a'..=b'z')).collect();
            (path.clone(), body, Some(format!("key-{name}")))
        }
        "download" => (format!("{path}/{name}/{}", settings.download_bytes), Vec::new(), None),
        _ => (format!("{path}?n={number}"), Vec::new(), None),
    };
    Planned { kind, path, name, body, key }
}

impl Run {
    /// Sends `planned` until it has a response or its resends are used up.
    async fn complete(&self, planned: &Planned, first: usize) -> Ending {
        let nodes = &self.settings.nodes;
        let mut planned = planned.clone();
        let name = planned.name.clone();
        for resend in 0.. {
            let node = nodes[(first + resend) % nodes.len()];
            let (at_ms, began) = (wall_ms(), Instant::now());
            let result = exchange::send(&self.client, &self.settings, node, &planned).await;
            self.record(&planned, node, at_ms, began.elapsed(), &result);
            let last = resend >= usize::try_from(self.settings.resends).unwrap_or(usize::MAX);
            let unconnected = result == Ending::Unconnected;
            let again = unconnected || planned.key.is_some() && result.name() != "answered";
            if last || !again {
                return result;
            }
            if !unconnected {
                sleep(RESEND_PAUSE).await;
            }
            if planned.kind != "download" {
                planned.name = format!("{name}~{}", resend + 1);
            }
        }
        Ending::Unanswered
    }

    fn record(
        &self,
        planned: &Planned,
        node: SocketAddr,
        at_ms: u64,
        took: Duration,
        result: &Ending,
    ) {
        let Some(record) = &self.record else { return };
        let (status, fit, note) = match result {
            Ending::Complete { status, fit, note, .. } => (*status, *fit, note.as_str()),
            _ => (0, Fit::Own, ""),
        };
        record.write(&Attempt {
            at_ms,
            took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            kind: planned.kind.to_string(),
            request: planned.name.clone(),
            key: planned.key.clone(),
            node: node.to_string(),
            ending: result.name().to_string(),
            status,
            fit,
            note: note.to_string(),
        });
    }

    fn count(&self, kind: &'static str, result: &Ending, latency: Duration) {
        *self.in_flight.borrow_mut() -= 1;
        let mut summary = self.summary.borrow_mut();
        match result {
            Ending::Complete { status, outcome, fit, .. } => {
                *summary.statuses.entry(*status).or_default() += 1;
                summary.wrong += u64::from(*fit != Fit::Own);
                if outcome != "not-run" && *status == 200 {
                    self.latencies.borrow_mut().add(kind, latency);
                }
            }
            Ending::Broken => summary.broken += 1,
            Ending::Unanswered => summary.unanswered += 1,
            Ending::Unconnected => {}
            Ending::GivenUp => summary.given_up += 1,
        }
        *summary.outcomes.entry(result.name().to_string()).or_default() += 1;
    }
}
