//! The checks of the soak can fail.

use arbutuslane_soak::ledger::Ledger;

fn rules(ledger: &Ledger) -> Vec<&'static str> {
    ledger.violations().iter().map(|violation| violation.rule).collect()
}

/// Guards against checks that let a broken promise pass: each is broken once, and nothing else is.
#[test]
fn ledger_broken() {
    let ledger = Ledger::start();
    ledger.ran("nobody", "/a/safe/1", "s1", "a", "a");
    assert_eq!(rules(&ledger), ["UNASKED"]);

    let ledger = Ledger::start();
    ledger.sent("one", "/a/unsafe/1", false, "a");
    ledger.ran("one", "/a/unsafe/1", "s1", "a", "a");
    ledger.ran("one", "/a/unsafe/1", "s2", "a", "a");
    assert_eq!(rules(&ledger), ["TWICE"]);

    let ledger = Ledger::start();
    ledger.sent("early", "/a/unsafe/1", false, "a");
    ledger.ran("early", "/a/unsafe/1", "s1", "a", "a");
    ledger.refused("early", 503);
    ledger.sent("late", "/a/unsafe/2", false, "a");
    ledger.refused("late", 503);
    ledger.ran("late", "/a/unsafe/2", "s1", "a", "a");
    assert_eq!(rules(&ledger), ["REFUSED", "REFUSED"]);

    let ledger = Ledger::start();
    ledger.sent("one", "/a/safe/1", true, "a");
    ledger.ran("one", "/a/safe/1", "s1", "b", "a");
    ledger.ran("one", "/a/safe/1", "s1", "a", "b");
    ledger.ran("one", "/a/safe/2", "s1", "a", "a");
    assert_eq!(rules(&ledger), ["ROUTE", "UNASKED", "UNASKED"]);
}

/// Guards against checks that see a broken promise where there is none.
#[test]
fn ledger_kept() {
    let ledger = Ledger::start();
    ledger.move_begins("a");
    ledger.sent("lookup", "/m/safe/1", true, "a");
    ledger.ran("lookup", "/m/safe/1", "s1", "a", "a");
    ledger.ran("lookup", "/m/safe/1", "s2", "a", "a");
    ledger.sent("booking", "/b/unsafe/2", false, "a");
    ledger.refused("booking", 503);
    assert_eq!(rules(&ledger), [] as [&str; 0]);
    assert_eq!(ledger.runs("lookup").len(), 2);
}
