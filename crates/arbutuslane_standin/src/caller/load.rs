//! Arrivals, bounded in number and time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::SharedCfg;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use rand::RngExt;
// The library's timers count in steps of 16 ms, which would send the arrivals in bursts.
use tokio::time::sleep;

use arbutuslane_core::rng::{self, Rng};

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
}

/// Sends the load that `settings` describe and returns what was counted.
pub async fn run(settings: Settings) -> Result<Summary, ClientBuilderError> {
    let connector = Connector::default().limit(settings.in_flight.max(1));
    let client = Client::builder()
        .connector::<&str>(connector)
        .response_payload_limit(1 << 30)
        .build(SharedCfg::new("caller"))
        .await?;
    let run = Rc::new(Run {
        settings,
        client,
        summary: RefCell::default(),
        latencies: RefCell::new(Latencies::new()),
        in_flight: RefCell::new(0),
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
        let (task, address) = (Rc::clone(run), settings.nodes[node]);
        ntex::rt::spawn(async move {
            let began = Instant::now();
            let result = exchange::send(&task.client, &task.settings, address, &planned).await;
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
    fn count(&self, kind: &'static str, result: &Ending, latency: Duration) {
        *self.in_flight.borrow_mut() -= 1;
        let mut summary = self.summary.borrow_mut();
        let outcome = match result {
            Ending::Complete { status, outcome, own } => {
                *summary.statuses.entry(*status).or_default() += 1;
                summary.wrong += u64::from(!own);
                if outcome != "not-run" && *status == 200 {
                    self.latencies.borrow_mut().add(kind, latency);
                }
                outcome.as_str()
            }
            Ending::Broken => {
                summary.broken += 1;
                "broken"
            }
            Ending::Unanswered => {
                summary.unanswered += 1;
                "unanswered"
            }
            Ending::Unconnected => "unconnected",
            Ending::GivenUp => {
                summary.given_up += 1;
                "given-up"
            }
        };
        *summary.outcomes.entry(outcome.to_string()).or_default() += 1;
    }
}
