//! The reuse of idle connections to a server.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::rng;
use arbutuslane_limit::reuse::Reuse;
use rand::RngExt;

const BOOKING: Class = Class::NonIdempotent;

/// Guards against a booking on a connection that may have been forgotten, and against bookings that
/// use new connections for good after one broke.
#[test]
fn record_broken_long_idle() {
    let mut reuse = Reuse::default();
    let now = Duration::from_secs(100);
    for class in Class::ALL {
        let max_idle = reuse.max_idle(class, now).unwrap();
        assert_eq!(max_idle < Duration::from_secs(1), !class.is_repeatable(), "{class}");
    }
    let second = Duration::from_secs(1);
    reuse.record_kept(second, now);
    assert_eq!(reuse.max_idle(BOOKING, now), Some(2 * second));
    reuse.record_broken(Some(2 * second), now);
    reuse.record_kept(second, now + 29 * second);
    for class in Class::ALL {
        let max_idle = reuse.max_idle(class, now + 29 * second);
        assert_eq!(max_idle.is_some(), class.is_repeatable(), "{class}");
    }
    assert_eq!(reuse.max_idle(BOOKING, now + 30 * second), Some(second / 2));
    reuse.record_kept(second, now + 30 * second);
    assert_eq!(reuse.max_idle(BOOKING, now + 30 * second), Some(2 * second));
}

/// Guards against a failing server whose resets are taken for connections that it forgets, and against
/// bookings that are lost again and again at a server which breaks reused connections only.
#[test]
fn record_broken_short_idle() {
    let mut reuse = Reuse::default();
    let now = Duration::from_secs(100);
    reuse.record_kept(Duration::from_secs(1), now);
    reuse.record_broken(Some(Duration::from_millis(50)), now);
    assert_eq!(reuse.max_idle(BOOKING, now), None);
    reuse.record_broken(None, now);
    assert_eq!(reuse.max_idle(BOOKING, now), Some(Duration::from_secs(2)));
}

/// Guards against a booking that gets the response to another request.
#[test]
fn record_crossed_suspends() {
    let mut reuse = Reuse::default();
    let now = Duration::from_secs(100);
    reuse.record_crossed(now);
    for class in Class::ALL {
        assert_eq!(reuse.max_idle(class, now).is_some(), class.is_repeatable(), "{class}");
    }
    assert!(reuse.max_idle(Class::Upload, now + Duration::from_secs(60)).is_some());
}

/// Guards against bookings that are lost again and again at a server which forgets connections, and
/// against new connections for nearly all bookings at a server which keeps them.
#[test]
fn max_idle_load() {
    for (forgets_after, max_lost, max_opened) in [(700, 6, 450), (60_000, 0, 30)] {
        let mut rng = rng::seeded(5);
        let mut reuse = Reuse::default();
        let (mut now, mut lost, mut opened) = (Duration::ZERO, 0, 0);
        // One booking after another for two minutes, four in a second.
        while now < Duration::from_secs(120) {
            let idle = Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() * 0.25);
            now += idle;
            if reuse.max_idle(BOOKING, now).is_none_or(|max_idle| idle > max_idle) {
                opened += 1;
            } else if idle > Duration::from_millis(forgets_after) {
                lost += 1;
                reuse.record_broken(Some(idle), now);
            } else {
                reuse.record_kept(idle, now);
            }
        }
        assert!(lost <= max_lost && opened <= max_opened, "{forgets_after}: {lost}, {opened}");
    }
}
