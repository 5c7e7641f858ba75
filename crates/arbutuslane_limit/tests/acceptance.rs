//! The number of owners that entries ask at different loads.

use arbutuslane_core::rng;
use arbutuslane_limit::acceptance::Acceptance;
use rand::RngExt;

/// Returns how many owners each of 1,000 requests asks on average, and the share of requests that
/// found a free slot, if an owner has one with probability `free`.
fn ask(free: f64) -> (f64, f64) {
    let mut rng = rng::seeded(5);
    let mut acceptance = Acceptance::default();
    let (mut asked, mut found) = (0.0, 0.0);
    for request in 0..1_200 {
        for _ in 0..acceptance.max_owners() {
            let accepted = rng.random_bool(free);
            acceptance.record(accepted);
            if request >= 200 {
                asked += 1.0;
                found += f64::from(u8::from(accepted));
            }
            if accepted {
                break;
            }
        }
    }
    (asked / 1_000.0, found / 1_000.0)
}

/// Guards against entries that overload the owners of a full service with questions, and against
/// requests that wait although a slot is free at one owner in four.
#[test]
fn max_owners_by_load() {
    let (asked, found) = ask(0.9);
    assert!(asked < 1.3 && found > 0.99, "{asked} {found}");
    let (asked, found) = ask(0.25);
    assert!(asked < 5.0 && found > 0.95, "{asked} {found}");
    let (asked, _) = ask(0.01);
    assert!(asked < 3.5, "{asked}");
}

/// Guards against an entry that keeps asking few owners after an overload has ended.
#[test]
fn max_owners_recovery() {
    let mut acceptance = Acceptance::default();
    for _ in 0..500 {
        acceptance.record(false);
    }
    let few = acceptance.max_owners();
    for _ in 0..3 {
        acceptance.record(true);
    }
    assert!(few < acceptance.max_owners());
}
