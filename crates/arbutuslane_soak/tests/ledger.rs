//! Tests that the checks of the soak report violations, and only these.

use arbutuslane_soak::ledger::Ledger;

fn rules(ledger: &Ledger) -> Vec<&'static str> {
    ledger.violations().iter().map(|violation| violation.rule).collect()
}

/// Guards against checks that miss a violation: each case violates only the guarantees that it
/// lists.
#[test]
fn ledger_broken() {
    let ledger = Ledger::start();
    ledger.record_run("nobody", "/a/safe/1", "s1", "a", "a");
    assert_eq!(rules(&ledger), ["UNASKED"]);

    let ledger = Ledger::start();
    ledger.record_request("one", "/a/unsafe/1", false, "a");
    ledger.record_run("one", "/a/unsafe/1", "s1", "a", "a");
    ledger.record_run("one", "/a/unsafe/1", "s2", "a", "a");
    assert_eq!(rules(&ledger), ["TWICE"]);

    let ledger = Ledger::start();
    ledger.record_request("early", "/a/unsafe/1", false, "a");
    ledger.record_run("early", "/a/unsafe/1", "s1", "a", "a");
    ledger.record_refusal("early", 503);
    ledger.record_request("late", "/a/unsafe/2", false, "a");
    ledger.record_refusal("late", 503);
    ledger.record_run("late", "/a/unsafe/2", "s1", "a", "a");
    assert_eq!(rules(&ledger), ["REFUSED", "REFUSED"]);

    let ledger = Ledger::start();
    ledger.record_request("one", "/a/safe/1", true, "a");
    ledger.record_run("one", "/a/safe/1", "s1", "b", "a");
    ledger.record_run("one", "/a/safe/1", "s1", "a", "b");
    ledger.record_run("one", "/a/safe/2", "s1", "a", "a");
    assert_eq!(rules(&ledger), ["ROUTE", "UNASKED", "UNASKED"]);
}

/// Guards against checks that report a violation although every guarantee was met.
#[test]
fn ledger_kept() {
    let ledger = Ledger::start();
    ledger.record_move_start("a");
    ledger.record_request("lookup", "/m/safe/1", true, "a");
    ledger.record_run("lookup", "/m/safe/1", "s1", "a", "a");
    ledger.record_run("lookup", "/m/safe/1", "s2", "a", "a");
    ledger.record_request("booking", "/b/unsafe/2", false, "a");
    ledger.record_refusal("booking", 503);
    assert_eq!(rules(&ledger), [] as [&str; 0]);
    assert_eq!(ledger.runs("lookup").len(), 2);
}
