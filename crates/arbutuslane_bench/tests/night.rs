//! Tests of the fault script and of the counts of broken guarantees.

use std::collections::BTreeMap;

use arbutuslane_bench::night::count::counts;
use arbutuslane_bench::night::evidence::{Change, Evidence, Mark, Sample, Server, Status};
use arbutuslane_bench::night::result::Report;
use arbutuslane_bench::night::script::Script;
use arbutuslane_event::border::{Event, Stamp};
use arbutuslane_standin::record::{Attempt, Fit, Run};
use arbutuslane_wire::operator::{History, Record};

const START: u64 = 1_000_000;

fn script() -> Script {
    Script::parse(
        r#"{ "seed": 1, "seconds": 60, "rate": 1, "steps": [
            { "at_s": 1, "action": { "leave": { "server": "slots-2" } } },
            { "at_s": 2, "action": { "faults":
                { "server": "slots-1", "set": { "fail": 1.0 }, "ejected": true } } },
            { "at_s": 20, "action": { "rolling-restart": {} } } ] }"#,
    )
    .unwrap()
}

fn attempt(at_ms: u64, request: &str, ending: &str) -> Attempt {
    Attempt {
        at_ms: START + at_ms,
        took_ms: 5,
        kind: "booking".to_string(),
        request: request.to_string(),
        key: Some(format!("key-{request}")),
        node: "n".to_string(),
        ending: ending.to_string(),
        status: 200,
        fit: Fit::Own,
        note: String::new(),
    }
}

fn run(at_ms: u64, server: &str, request: &str, key: Option<&str>) -> (String, Run) {
    let key = key.map(str::to_string);
    (server.to_string(), Run { at_ms: START + at_ms, request: request.to_string(), key })
}

fn ejection(at_ms: u64, server: &str, permit: u32) -> Event {
    Event {
        stamp: Stamp { wall_ms: START + at_ms, counter: 0 },
        instance: "node-0".to_string(),
        sequence: 1,
        kind: "ejection".to_string(),
        service: Some("slots".to_string()),
        server: Some(server.to_string()),
        fields: BTreeMap::from([("permit".to_string(), permit.to_string())]),
    }
}

fn sample(at_ms: u64, live: u32, ejected: u32) -> Sample {
    let server = |number| Server {
        service: "slots".to_string(),
        incarnation: 0,
        leased: true,
        draining: false,
        ejected: number < ejected,
    };
    Sample { at_ms: START + at_ms, status: Status { servers: (0..live).map(server).collect() } }
}

fn history(change_id: &str) -> History {
    let record = Record { revision: 1, change_id: change_id.to_string(), ..Record::default() };
    History { revision: 1, records: vec![record] }
}

/// Returns the records of a run in which the fleet broke no guarantee.
fn intact_evidence() -> Evidence {
    let mark = |step, from, to| Mark { step, at_ms: START + from, end_ms: START + to };
    Evidence {
        marks: vec![mark(0, 1_000, 1_000), mark(1, 2_000, 2_000), mark(2, 20_000, 30_000)],
        attempts: vec![
            attempt(0, "1-1", "unknown"),
            attempt(600, "1-1~1", "answered"),
            attempt(25_000, "1-2", "unconnected"),
            attempt(25_010, "1-2~1", "answered"),
        ],
        runs: vec![
            run(1, "slots-3", "1-1", Some("key-1-1")),
            run(25_011, "slots-3", "1-2~1", Some("key-1-2")),
            run(3_500, "slots-2", "9-1", None),
            run(9_000, "slots-4", "crash-1", None),
            run(9_100, "slots-5", "crash-2", None),
        ],
        events: vec![ejection(3_500, "slots-1", 0)],
        samples: vec![sample(3_000, 10, 0), sample(4_000, 10, 1)],
        changes: vec![Change { change_id: "a".to_string(), revision: 1 }],
        histories: vec![history("a"), history("a")],
        floors: BTreeMap::from([("slots".to_string(), 7)]),
    }
}

fn broken(report: &Report) -> Vec<(&str, u64)> {
    let broken = report.counts.iter().filter(|count| count.exceeds_bound());
    broken.map(|count| (count.name.as_str(), count.count)).collect()
}

/// Guards against an example script that does not parse.
#[test]
fn read_example() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let script = Script::read(&path.join("../../examples/night/night.json")).unwrap();
    assert_eq!(script.lines().lines().count(), script.steps.len());
}

/// Guards against a misspelt fault that is silently ignored, and against steps out of order.
#[test]
fn parse_invalid() {
    let steps = |steps: &str| {
        Script::parse(&format!(r#"{{"seed": 1, "seconds": 1, "rate": 1, "steps": [{steps}]}}"#))
    };
    let fault = r#"{"at_s": 1, "action": {"faults": {"server": "a", "set": {"fial": 1.0}}}}"#;
    assert!(steps(fault).unwrap_err().to_string().contains("steps[0]"));
    let change = |at_s: u32| format!(r#"{{"at_s": {at_s}, "action": {{"change": {{}}}}}}"#);
    assert!(steps(&format!("{},{}", change(1), change(2))).is_ok());
    assert!(steps(&format!("{},{}", change(2), change(1))).is_err());
}

/// Guards against a count that exceeds its bound in a run without a broken guarantee.
#[test]
fn counts_sound() {
    let report = counts(&script(), &intact_evidence());
    assert_eq!(broken(&report), []);
    assert_eq!(report.requests, 2);
    assert_eq!(report.detections[0].seconds, Some(1.5));
    assert_eq!(report.other_ejections, Vec::<String>::new());
}

/// Guards against a count that stays at 0 whatever the fleet does: each case breaks one guarantee.
#[test]
fn counts_each_broken() {
    type Breach = fn(&mut Evidence);
    let cases: [(&str, Breach); 14] = [
        ("keys that ran twice", |evidence| {
            evidence.runs.push(run(700, "slots-4", "1-1~1", Some("key-1-1")));
        }),
        ("responses of another request", |evidence| evidence.attempts[1].fit = Fit::Foreign),
        ("truncated responses presented as complete", |evidence| {
            evidence.attempts[1].fit = Fit::Truncated;
        }),
        ("requests answered not-run that ran", |evidence| {
            evidence.attempts[0].ending = "not-run".to_string();
        }),
        ("requests interrupted by the rolling restart", |evidence| {
            evidence.attempts.push(attempt(29_000, "1-3", "broken"));
        }),
        ("requests interrupted by the rolling restart", |evidence| {
            evidence.attempts.push(attempt(29_000, "1-3", "unconnected"));
        }),
        ("floor breaches", |evidence| evidence.events.push(ejection(3_600, "slots-1", 3))),
        ("floor breaches", |evidence| {
            evidence.samples.extend((10..23).map(|second| sample(second * 1_000, 7, 1)));
        }),
        ("acknowledged changes missing", |evidence| evidence.histories[1].records.clear()),
        ("dispatches to a left server after 3 s", |evidence| {
            evidence.runs.push(run(4_001, "slots-2", "9-2", None));
        }),
        ("servers crashed by one request", |evidence| {
            evidence.runs.push(run(9_200, "slots-6", "crash-3", None));
        }),
        ("unhealthy servers not ejected", |evidence| evidence.events.clear()),
        ("steps and evidence missing", |evidence| {
            evidence.marks.remove(0);
        }),
        ("steps and evidence missing", |evidence| evidence.histories.clear()),
    ];
    for (name, breach) in cases {
        let mut evidence = intact_evidence();
        breach(&mut evidence);
        let report = counts(&script(), &evidence);
        let bound = report.counts.iter().find(|count| count.name == name).unwrap().bound;
        assert_eq!(broken(&report), [(name, bound + 1)]);
    }
}
