//! Tests of result files, their bounds and their comparison.

use arbutuslane_bench::bound;
use arbutuslane_bench::compare;
use arbutuslane_bench::report::{Report, Row, Run};

fn run(seed: u64, detection_s: Option<f64>, false_ejections: u32) -> Run {
    Run {
        seed,
        detection_s,
        false_ejections,
        ejections: 1,
        good_share: 0.99,
        retry_share: 0.01,
        target_ran: 10,
        p50_ms: 30.0,
        p99_ms: 120.0,
        goodput: None,
        recovery_s: None,
    }
}

fn report(policy: &str, runs: Vec<Run>) -> Report {
    let row = Row {
        scenario: "failing".to_string(),
        service: "slots".to_string(),
        load_percent: 60,
        policy: policy.to_string(),
        runs,
    };
    Report { command: "detect".to_string(), rows: vec![row] }
}

/// Guards against a check that passes a late, missing or false ejection.
#[test]
fn broken_detection() {
    let broken_count = |report: Report| bound::broken(&report).len();
    // The bound on detection in the scenario `failing` is 1 s. A run without detection exceeds it.
    assert_eq!(broken_count(report("fast_detection", vec![run(1, Some(0.9), 0)])), 0);
    assert_eq!(
        broken_count(report("fast_detection", vec![run(1, Some(0.9), 0), run(2, Some(1.1), 0)])),
        1
    );
    assert_eq!(broken_count(report("fast_detection", vec![run(1, None, 0)])), 1);
    // This policy must have no false ejection. Its detection has no bound here, because the report
    // has no row of `fast_detection` to compare it with.
    assert_eq!(broken_count(report("few_false_ejections", vec![run(1, Some(0.9), 1)])), 1);
    // Only the fleet's own policies have bounds.
    assert_eq!(broken_count(report("round-robin", vec![run(1, None, 3)])), 0);
}

/// Guards against a check that passes a collapsed goodput, too many retries or a slow recovery.
#[test]
fn broken_overload() {
    let broken_count = |goodput: f64, retry_share: f64, recovery_s: f64| {
        let mut run = run(1, None, 0);
        run.goodput = Some(goodput);
        run.recovery_s = Some(recovery_s);
        run.retry_share = retry_share;
        let mut report = report("fast_detection", vec![run]);
        report.rows[0].scenario = "overload-2x".to_string();
        bound::broken(&report).len()
    };
    // The bounds: goodput above 0.9 of the capacity, a retry share below 0.1, recovery within 10 s.
    assert_eq!(broken_count(0.95, 0.05, 2.0), 0);
    assert_eq!(broken_count(0.85, 0.05, 2.0), 1);
    assert_eq!(broken_count(0.95, 0.12, 2.0), 1);
    assert_eq!(broken_count(0.95, 0.05, 30.0), 1);
}

/// Guards against a comparison that reports equal files as different, or misses a clear change.
#[test]
fn compare_interval() {
    let runs = |shift: f64| {
        (0..40_u32).map(|seed| run(u64::from(seed), Some(f64::from(seed % 7) + shift), 0)).collect()
    };
    let before = report("fast_detection", runs(1.0));
    let same = compare::compare(&before, &before);
    assert!(same.iter().all(|one| !one.is_significant()));
    let after = compare::compare(&before, &report("fast_detection", runs(4.0)));
    let found: Vec<&str> =
        after.iter().filter(|one| one.is_significant()).map(|one| one.figure).collect();
    assert_eq!(found, ["detection s"]);
}

/// Guards against results that change when they are written and read, and against accepting a file
/// that is not a result file.
#[test]
fn report_round_trip() {
    let folder = std::env::temp_dir().join(format!("arbutuslane-report-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
    let path = folder.join("result.json");
    let report = report("fast_detection", vec![run(1, Some(0.5), 0)]);
    report.write(&path).expect("the file is writable");
    assert_eq!(Report::read(&path).expect("the file was just written"), report);
    std::fs::write(&path, "{}").expect("the file is writable");
    assert!(Report::read(&path).is_err());
    std::fs::remove_dir_all(&folder).expect("the test created the folder");
}
