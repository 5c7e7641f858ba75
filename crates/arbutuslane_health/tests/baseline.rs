//! The rules that measurements compare the detector against. A weakened rule would make the
//! detector look better than it is.

use std::time::Duration;

use arbutuslane_health::baseline::{Consecutive, Never, Rule, SuccessRate};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against an ejection by the rule that must never eject.
#[test]
fn never_ejects() {
    let mut rule = Never;
    for _ in 0..100 {
        rule.observe(0, false, SECOND);
    }
    assert!(!rule.is_ejected(0, SECOND));
}

/// Guards against a count that survives a success, or an ejection that does not end.
#[test]
fn consecutive_failures() {
    let mut rule = Consecutive::new(10, 5);
    for success in [false, false, false, false, true, false, false, false, false] {
        rule.observe(3, success, SECOND);
    }
    assert!(!rule.is_ejected(3, SECOND));
    rule.observe(3, false, SECOND);
    assert!(rule.is_ejected(3, SECOND));
    assert!(!rule.is_ejected(3, 32 * SECOND));
    for server in [4, 5] {
        for _ in 0..5 {
            rule.observe(server, false, 40 * SECOND);
        }
    }
    assert!(rule.is_ejected(4, 40 * SECOND));
    assert!(!rule.is_ejected(5, 40 * SECOND), "one of ten servers at a time");
}

/// Guards against a success rate that is evaluated before the interval ends or for too few
/// requests.
#[test]
fn success_rate_interval() {
    let mut rule = SuccessRate::new(10, 10 * SECOND);
    for step in 0..200 {
        for server in 0..10 {
            rule.observe(server, server != 2 || step % 2 == 0, SECOND);
        }
    }
    assert!(!rule.is_ejected(2, 9 * SECOND));
    assert!(rule.is_ejected(2, 10 * SECOND));
    assert!(!rule.is_ejected(1, 10 * SECOND));

    let mut quiet = SuccessRate::new(10, 10 * SECOND);
    for _ in 0..99 {
        for server in 0..10 {
            quiet.observe(server, server != 2, SECOND);
        }
    }
    assert!(!quiet.is_ejected(2, 10 * SECOND));
}
