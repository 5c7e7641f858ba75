//! The limit on repeats in simulated fleets.

use arbutuslane_bench::repeats::{Plan, run};

/// Guards against repeats beyond the limit, at any number of owners and failing servers, through a
/// restart of a third of the owners and a partition.
#[test]
fn run_within_limit() {
    for (owners, failing) in [(10, 1), (10, 10), (30, 9), (100, 100), (300, 90)] {
        for has_precedence in [false, true] {
            let outcome = run(Plan { owners, failing, has_precedence, seed: 3 });
            assert!(outcome.max_use <= 1.0, "{owners}, {failing}: {outcome:?}");
        }
    }
}

/// Guards against a limit whose last repeats go to the first that ask.
#[test]
fn run_precedence() {
    let plan = Plan { owners: 30, failing: 30, has_precedence: true, seed: 3 };
    let (with, without) = (run(plan), run(Plan { has_precedence: false, ..plan }));
    let admitted = |outcome: &arbutuslane_bench::repeats::Outcome| {
        outcome.urgent.share(outcome.urgent.admitted)
    };
    assert!(admitted(&with) > admitted(&without) * 1.2, "{with:?}, {without:?}");
}
