//! Counts the requests that were not served in logs of real processes and in damaged ones.

use std::path::Path;

use arbutuslane_cli::error::Error;
use arbutuslane_cli::losses::{History, Table};

const LOG: &str = include_str!("logs/failures.log");

/// A request that failed because of a call, one that was served late, one that was wrong, and one
/// without an outcome.
const CALLS: &str = "\
time=2026-12-04T13:41:03.100Z instance=n2 event=dispatched request=r-1 server=s2 status=503 call_failed=false took_ms=4
time=2026-12-04T13:41:03.200Z instance=n1 event=attempt request=r-1.1 server=s1 outcome=Unknown choice=Sound left_ms=700 took_ms=90
time=2026-12-04T13:41:03.210Z instance=n1 event=request request=r-1.1 outcome=unknown service=intake status=502 cause=repeat-limit took_ms=95
time=2026-12-04T13:41:03.220Z instance=n2 event=dispatched request=r-1 server=s2 status=500 call_failed=true took_ms=110
time=2026-12-04T13:41:03.230Z instance=n1 event=request request=r-1 outcome=answered service=booking status=500 late_ms=0 took_ms=130
time=2026-12-04T13:41:03.240Z instance=n1 event=request request=r-2 outcome=answered service=booking status=200 late_ms=40 took_ms=640
time=2026-12-04T13:41:03.250Z instance=n1 event=request request=r-3 outcome=not-run service=\"\" status=404 cause=no-route took_ms=0
time=2026-12-04T13:41:04.000Z instance=n2 event=dispatched request=r-4 server=s1 status=500 call_failed=false took_ms=8 left_out=3
time=2026-12-04T13:41:04.100Z instance=n1 event=attempt request=r-5 server=s1 outcome=Unknown choice=Sound left_ms=500 took_ms=9
time=2026-12-04T13:41:04.110Z instance=n1 event=request request=r-5 outcome=unknown service=intake status=502 cause=broke-off took_ms=12
";

fn table(logs: &[&str]) -> Result<Table, Error> {
    let mut history = History::new('.');
    for (index, log) in logs.iter().enumerate() {
        history.add(Path::new(&format!("node-{index}.log")), log)?;
    }
    history.into_table()
}

/// Guards against a request that is counted under the error of its own server although a call made
/// it fail, and against lost lines that are not mentioned.
#[test]
fn table_calls() {
    let table = table(&[CALLS]).unwrap();
    assert_eq!((table.requests, table.lost, table.late, table.rejected), (3, 2, 1, 1));
    assert_eq!((table.unfinished, table.left_out), (1, 3));
    assert!(!table.is_complete());
    let row = table.rows.iter().find(|row| row.cause == "repeat-limit").unwrap();
    assert_eq!((row.service.as_str(), row.requests, row.through_calls), ("intake", 1, 1));
    assert_eq!((row.after_warning, row.median_ms, row.median_left_ms), (0, 95, Some(700)));
    assert_eq!(row.example, "r-1");
    let row = table.rows.iter().find(|row| row.cause == "broke-off").unwrap();
    assert_eq!((row.through_calls, row.after_warning), (0, 1));
    assert!(table.to_string().contains("3 lines were left out"));
}

/// Guards against logs of earlier releases, whose lines have no cause, that cannot be counted.
#[test]
fn table_earlier_release() {
    let refused = "request=009e0172f4be25e2 ";
    let lines = LOG.lines().filter(|line| line.contains(refused));
    let log: String = lines.map(|line| format!("{line}\n")).collect();
    let table = table(&[&log]).unwrap();
    assert_eq!((table.requests, table.lost), (1, 1), "{table}");
    assert_eq!(table.rows[0].cause, "no slot becomes free within the deadline");
}

/// Guards against a table over the requests of two runs, which would mix their causes.
#[test]
fn table_two_runs() {
    let later = CALLS.replace("13:41", "13:42");
    let error = table(&[&later, CALLS]).unwrap_err();
    let Error::DisorderedLog { line, instance, .. } = &error else { panic!("{error}") };
    assert_eq!((*line, instance.as_str()), (1, "n2"));
    assert!(table(&[CALLS, &later]).is_ok());
    assert!(matches!(table(&[LOG]), Err(Error::DisorderedLog { .. })));
}

/// Guards against a count that misses the rest of a log that was cut.
#[test]
fn table_cut() {
    let cut = &CALLS[..CALLS.len() - 20];
    let error = table(&[cut]).unwrap_err();
    assert!(matches!(&error, Error::CutLog { line: 10, .. }), "{error}");
}

/// Guards against an empty table for files that are no logs of nodes.
#[test]
fn table_no_requests() {
    for text in ["", "no log\n", "time=2026-12-04T13:41:03.100Z instance=c1 event=member\n"] {
        assert!(matches!(table(&[text]), Err(Error::NoRequests)), "{text}");
    }
}
