//! Generates an open-loop load that is bounded in duration and in requests in flight.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::SharedCfg;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use rand::RngExt;
// The timers of ntex have a resolution of 16 ms, with which the requests would be sent in bursts.
use tokio::time::sleep;

use arbutuslane_core::rng::{self, Rng};

use crate::record::{Attempt, Fit, Writer, wall_ms};

use super::exchange::{self, ExchangeResult, PlannedRequest};
use super::summary::Latencies;
use super::{RequestKind, Settings, Summary};

/// The state of one load run.
struct LoadRun {
    settings: Settings,
    client: Client,
    summary: RefCell<Summary>,
    latencies: RefCell<Latencies>,
    in_flight: RefCell<usize>,
    record: Option<Writer>,
}

/// The reason why a load run cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The client cannot be built.
    #[error("cannot build the client: {0}")]
    Client(#[from] ClientBuilderError),
    /// The record file cannot be opened.
    #[error("cannot open the record file: {0}")]
    Record(#[from] std::io::Error),
}

/// How long a caller waits before it resends a booking.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Sends the load that `settings` describe and returns its counts.
pub async fn run(settings: Settings) -> Result<Summary, Error> {
    let connector = Connector::default().limit(settings.max_in_flight.max(1));
    let client = Client::builder()
        .connector::<&str>(connector)
        .response_payload_limit(1 << 30)
        .build(SharedCfg::new("caller"))
        .await?;
    let record = settings.record.as_deref().map(Writer::open).transpose()?;
    let run = Rc::new(LoadRun {
        settings,
        client,
        summary: RefCell::default(),
        latencies: RefCell::new(Latencies::new()),
        in_flight: RefCell::new(0),
        record,
    });
    let started = Instant::now();
    send_requests(&run, started).await;
    let completion_timeout = run.settings.deadline + Duration::from_secs(2);
    let all_sent = Instant::now();
    while *run.in_flight.borrow() > 0 && all_sent.elapsed() < completion_timeout {
        sleep(Duration::from_millis(5)).await;
    }
    let mut summary = run.summary.borrow().clone();
    summary.latency = run.latencies.borrow().summarize();
    summary.seconds = started.elapsed().as_secs_f64();
    Ok(summary)
}

/// Starts a task for each request at its due time, with exponential gaps between them.
async fn send_requests(run: &Rc<LoadRun>, started: Instant) {
    let settings = &run.settings;
    let mut rng = rng::seeded(settings.seed);
    let mut due = Duration::ZERO;
    let mut number = 0_u64;
    while due < settings.duration && !settings.nodes.is_empty() {
        let wait = due.saturating_sub(started.elapsed());
        if wait >= Duration::from_millis(1) {
            sleep(wait).await;
        }
        let planned = plan_request(settings, &mut rng, number);
        let node = usize::try_from(number).unwrap_or(0) % settings.nodes.len();
        number += 1;
        let gap = -(1.0 - rng.random::<f64>()).ln() / settings.rate.max(0.001);
        due += Duration::from_secs_f64(gap.min(3_600.0));
        if *run.in_flight.borrow() >= settings.max_in_flight {
            run.summary.borrow_mut().dropped += 1;
            continue;
        }
        *run.in_flight.borrow_mut() += 1;
        run.summary.borrow_mut().sent += 1;
        let task = Rc::clone(run);
        ntex::rt::spawn(async move {
            let sent_at = Instant::now();
            let result = task.send_until_answered(&planned, node).await;
            task.count_result(planned.kind, &result, sent_at.elapsed());
        });
    }
}

/// Draws the kind of request `number` by the weights of the kinds, and its body.
fn plan_request(settings: &Settings, rng: &mut Rng, number: u64) -> PlannedRequest {
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
    let (kind, RequestKind { path, .. }) = chosen;
    let (path, body, key) = match kind {
        "booking" => {
            let length = rng.random_range(1..2_000);
            let body = (0..length).map(|_| rng.random_range(b'a'..=b'z')).collect();
            (path.clone(), body, Some(format!("key-{name}")))
        }
        "download" => (format!("{path}/{name}/{}", settings.download_bytes), Vec::new(), None),
        _ => (format!("{path}?n={number}"), Vec::new(), None),
    };
    PlannedRequest { kind, path, name, body, key }
}

impl LoadRun {
    /// Sends `planned`, and resends it as the settings allow.
    ///
    /// A request that found no connection goes to the next node at once. A booking that was not
    /// answered goes there after `RESEND_DELAY`.
    async fn send_until_answered(&self, planned: &PlannedRequest, first: usize) -> ExchangeResult {
        let nodes = &self.settings.nodes;
        let mut planned = planned.clone();
        let name = planned.name.clone();
        for resend in 0.. {
            let node = nodes[(first + resend) % nodes.len()];
            let (at_ms, sent_at) = (wall_ms(), Instant::now());
            let result = exchange::send(&self.client, &self.settings, node, &planned).await;
            self.record(&planned, node, at_ms, sent_at.elapsed(), &result);
            let is_last = resend >= usize::try_from(self.settings.resends).unwrap_or(usize::MAX);
            let is_unconnected = result == ExchangeResult::Unconnected;
            let should_resend =
                is_unconnected || planned.key.is_some() && result.name() != "answered";
            if is_last || !should_resend {
                return result;
            }
            if !is_unconnected {
                sleep(RESEND_DELAY).await;
            }
            if planned.kind != "download" {
                planned.name = format!("{name}~{}", resend + 1);
            }
        }
        ExchangeResult::Unanswered
    }

    /// Writes a record of one attempt, if records are enabled.
    fn record(
        &self,
        planned: &PlannedRequest,
        node: SocketAddr,
        at_ms: u64,
        latency: Duration,
        result: &ExchangeResult,
    ) {
        let Some(record) = &self.record else { return };
        let (status, fit, note) = match result {
            ExchangeResult::Complete { status, fit, note, .. } => (*status, *fit, note.as_str()),
            _ => (0, Fit::Own, ""),
        };
        record.write(&Attempt {
            at_ms,
            took_ms: u64::try_from(latency.as_millis()).unwrap_or(u64::MAX),
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

    /// Adds the final result of a request to the summary.
    fn count_result(&self, kind: &'static str, result: &ExchangeResult, latency: Duration) {
        *self.in_flight.borrow_mut() -= 1;
        let mut summary = self.summary.borrow_mut();
        match result {
            ExchangeResult::Complete { status, outcome, fit, .. } => {
                *summary.statuses.entry(*status).or_default() += 1;
                summary.wrong += u64::from(*fit != Fit::Own);
                if outcome != "not-run" && *status == 200 {
                    self.latencies.borrow_mut().add(kind, latency);
                }
            }
            ExchangeResult::Broken => summary.broken += 1,
            ExchangeResult::Unanswered => summary.unanswered += 1,
            ExchangeResult::Unconnected => {}
            ExchangeResult::GivenUp => summary.given_up += 1,
        }
        *summary.outcomes.entry(result.name().to_string()).or_default() += 1;
    }
}
