//! Tests of what a node uses of the items that it knows.

use std::sync::Arc;

use arbutuslane_item::prelude::*;
use arbutuslane_item::view::{Stage, View};

fn removal(route: &str, version: u64) -> Arc<Item> {
    Arc::new(Item::removal(Key::Route(route.to_string()), version))
}

fn table(items: &[Arc<Item>]) -> Table {
    let mut table = Table::default();
    table.set_all(items.to_vec());
    table
}

fn position(change: u64) -> Position {
    Position { change, ..Position::default() }
}

fn in_force(view: &View) -> Vec<Arc<Item>> {
    view.in_force().items().cloned().collect()
}

/// Guards against items that may not be accepted and spread from a node that had to use them, before and
/// after it has found all accepted ones, and against a removal of an item that stays in force.
#[test]
fn use_stored_until_complete() {
    let mut view = View::default();
    assert_eq!(view.stage(), Stage::Partial);
    view.use_stored(position(2), table(&[removal("a", 5), removal("b", 5)]));
    assert_eq!(view.stage(), Stage::Provisional);
    assert!(view.accepted().is_empty());
    // Accepted items are used at once, but for older ones.
    view.merge_accepted(vec![removal("a", 1), removal("b", 7)]);
    assert_eq!(in_force(&view), [removal("a", 5), removal("b", 7)]);
    view.record_complete();
    assert_eq!(view.stage(), Stage::Complete);
    assert_eq!(in_force(&view), [removal("a", 1), removal("b", 7)]);
    assert_eq!(view.accepted().len(), 2);
}

/// Guards against nodes that use different states although they reach the same instances, and against a
/// mix of two states that was never checked as a whole.
#[test]
fn use_stored_highest_position() {
    let states = [(1, removal("a", 9)), (3, removal("b", 1)), (2, removal("c", 4))];
    for turn in 0..states.len() {
        let mut view = View::default();
        for index in 0..states.len() {
            let (change, item) = &states[(turn + index) % states.len()];
            view.use_stored(position(*change), table(std::slice::from_ref(item)));
        }
        assert_eq!(in_force(&view), [removal("b", 1)]);
    }
}

/// Guards against a state that may have been refused and is used although an accepted one is known, and
/// against single accepted items that are used as if they were a whole state.
#[test]
fn use_accepted_first() {
    let mut view = View::default();
    view.merge_accepted(vec![removal("a", 1)]);
    assert!(!view.use_accepted());
    assert_eq!(view.stage(), Stage::Partial);
    view.record_accepted_state();
    view.use_stored(position(2), table(&[removal("a", 5)]));
    assert_eq!(view.stage(), Stage::Partial);
    assert!(view.use_accepted());
    assert_eq!((view.stage(), in_force(&view)), (Stage::Provisional, vec![removal("a", 1)]));
}

/// Guards against a fallback that stays in force once an accepted state is known, under a lower version.
#[test]
fn record_accepted_state_after_stored() {
    let mut view = View::default();
    view.use_stored(position(2), table(&[removal("a", 5)]));
    view.record_accepted_state();
    assert_eq!(in_force(&view), [removal("a", 5)]);
    view.merge_accepted(vec![removal("a", 1)]);
    view.record_accepted_state();
    assert_eq!((view.stage(), in_force(&view)), (Stage::Provisional, vec![removal("a", 1)]));
}
