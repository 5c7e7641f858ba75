//! Which connection gives way when a listener has no room.

use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_limit::connections::{MAX_UNREAD, Opening, RequestState, Table, Use};
use quickcheck::{Gen, QuickCheck};

fn at(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn unread(is_unread: bool) -> Use {
    let unread_for = is_unread.then_some(Duration::from_millis(1_999));
    Use { held: 0, unread_for }
}

fn all_read<K>(_: K) -> Use {
    unread(false)
}

/// Guards against a connection in use that gives way to one that has sent nothing.
#[test]
fn open_all_accepted() {
    let mut table = Table::new(2);
    for id in [1, 2] {
        assert_eq!(table.open(id, at(0), all_read), Opening::Added);
        assert!(table.begin(id, at(1)) && table.accept(id));
    }
    assert_eq!(table.open(3, at(2), all_read), Opening::Refused);
    table.end(2, RequestState::Accepted, at(3));
    assert_eq!(table.open(4, at(4), all_read), Opening::Replaced(2));
}

/// Guards against idle connections of ordinary callers that give way to a crowd that sends
/// nothing.
#[test]
fn open_unused_first() {
    let mut table = Table::new(3);
    table.open(1, at(0), all_read);
    assert!(table.begin(1, at(0)) && table.accept(1));
    table.end(1, RequestState::Accepted, at(0));
    table.open(2, at(1), all_read);
    table.open(3, at(2), all_read);
    assert_eq!(table.open(4, at(3), all_read), Opening::Replaced(2));
    assert_eq!(table.open(5, at(4), all_read), Opening::Replaced(3));
    assert!(!table.begin(2, at(5)), "a replaced connection may begin no request");
}

/// Guards against a request whose body is late that stays instead of a recent one.
#[test]
fn open_oldest_request_first() {
    let mut table = Table::new(2);
    for id in [1, 2] {
        table.open(id, at(0), all_read);
        assert!(table.begin(id, at(10 - id)));
    }
    assert_eq!(table.open(3, at(20), all_read), Opening::Replaced(2));
    assert!(!table.accept(2), "a replaced connection's request may not be accepted");
}

/// Guards against a crowd whose bodies never end that takes the places of connections with short
/// bodies, and against a rejected request that keeps its connection.
#[test]
fn open_largest_body_first() {
    let mut table = Table::new(3);
    for id in [1, 2, 3] {
        table.open(id, at(0), all_read);
        assert!(table.begin(id, at(id)));
    }
    let held = |id: u64| Use { held: if id == 2 { 9 } else { 1 }, unread_for: None };
    assert_eq!(table.open(4, at(4), held), Opening::Replaced(2));
    assert!(table.begin(4, at(4)));
    table.end(3, RequestState::Undecided, at(5));
    assert_eq!(table.open(5, at(5), held), Opening::Replaced(3));
}

/// Guards against a response that is cut off because its reader is slow, and against readers
/// that keep their connections by reading nothing.
#[test]
fn open_unread_response() {
    let mut table = Table::new(2);
    for id in [1, 2] {
        table.open(id, at(0), all_read);
        assert!(table.begin(id, at(0)) && table.accept(id));
        table.end(id, RequestState::Accepted, at(id));
    }
    assert_eq!(table.open(3, at(2), |id| unread(id == 1)), Opening::Replaced(2));
    assert_eq!(table.open(4, at(2), |_| unread(true)), Opening::Refused);
    let waiting = |_| Use { held: 0, unread_for: Some(MAX_UNREAD) };
    assert!(table.begin(1, at(2)) && table.accept(1));
    assert_eq!(table.open(4, at(3), waiting), Opening::Replaced(3));
    assert!(table.begin(4, at(3)) && table.accept(4));
    assert_eq!(table.open(5, at(9), waiting), Opening::Refused, "servers may run both requests");
    table.answer(4);
    assert_eq!(table.open(5, at(9), all_read), Opening::Refused, "the response is delivered");
    assert_eq!(table.open(5, at(9), waiting), Opening::Replaced(4));
}

/// Guards against a table that exceeds its limit or drops an accepted request, for any order of
/// events.
#[test]
fn open_any_order() {
    fn holds(events: Vec<(u8, u8)>) -> bool {
        let mut table = Table::new(4);
        let (mut accepted, mut open): (Vec<u8>, Vec<u8>) = Default::default();
        for (index, (kind, id)) in events.into_iter().enumerate() {
            let now = at(index as u64);
            let id = id % 12;
            match kind % 4 {
                0 if !open.contains(&id) => {
                    let opening = table.open(id, now, all_read);
                    if let Opening::Replaced(other) = opening
                        && accepted.contains(&other)
                    {
                        return false;
                    }
                    if let Opening::Replaced(other) = opening {
                        open.retain(|known| *known != other);
                    }
                    if opening != Opening::Refused {
                        open.push(id);
                    }
                }
                1 if !accepted.contains(&id) && table.begin(id, now) && table.accept(id) => {
                    accepted.push(id);
                }
                2 if accepted.contains(&id) => {
                    table.end(id, RequestState::Accepted, now);
                    accepted.retain(|known| *known != id);
                }
                3 if !accepted.contains(&id) => {
                    table.close(id);
                    open.retain(|known| *known != id);
                }
                _ => {}
            }
            if table.len() > 4 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 50))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
