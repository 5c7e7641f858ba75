//! Encoded deltas from one configuration to the next, as nodes exchange them.

use std::sync::Arc;

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_catalogue::stored::SnapshotDelta;
use arbutuslane_member::prelude::{Delta, Position};
use arbutuslane_wire::codec;

/// Returns the position of a configuration.
pub(crate) fn position(snapshot: &Snapshot) -> Position {
    Position { revision: snapshot.revision, groups: snapshot.group_version }
}

/// Returns the delta from `old` to `new`, or `None` when it cannot be encoded.
pub(crate) fn between(old: &Snapshot, new: &Snapshot) -> Option<Delta> {
    let bytes: Arc<[u8]> = codec::encode(&SnapshotDelta::between(old, new)).ok()?.into();
    Some(Delta { base: position(old), position: position(new), bytes })
}

/// Returns the configuration after `delta`, or `None` when `delta` is damaged or does not start at
/// `old`.
pub(crate) fn apply(old: &Snapshot, delta: &Delta) -> Option<Snapshot> {
    if delta.base != position(old) {
        return None;
    }
    let changes: SnapshotDelta = codec::decode(&delta.bytes).ok()?;
    if (changes.revision, changes.group_version) != (delta.position.revision, delta.position.groups)
    {
        return None;
    }
    let mut new = old.clone();
    new.apply_delta(changes);
    Some(new)
}

#[cfg(test)]
mod tests {
    use arbutuslane_catalogue::border::{Class, Entry, Group, Limits, Member, Preference};

    use super::*;

    fn entry(service: &str, floor: u32) -> Entry {
        Entry {
            service: service.to_string(),
            owner: "owner".to_string(),
            class: Class::Idempotent,
            preference: Preference::FastDetection,
            floor,
            limits: Limits::default(),
            routes: Vec::new(),
        }
    }

    /// Guards against a node whose configuration after a delta differs from the snapshot.
    #[test]
    fn apply_between() {
        let member = Member { node: "a".to_string(), incarnation: 1 };
        let group =
            |epoch| Group { shard: 0, epoch, founding: epoch == 1, members: vec![member.clone()] };
        let old = Snapshot {
            revision: 3,
            group_version: 1,
            entries: vec![entry("a", 1), entry("b", 1)],
            groups: vec![group(1)],
        };
        let new = Snapshot {
            revision: 4,
            group_version: 2,
            entries: vec![entry("b", 2), entry("c", 1)],
            groups: vec![group(2)],
        };
        let delta = between(&old, &new).unwrap();
        assert_eq!(apply(&old, &delta), Some(new.clone()));
        assert_eq!(apply(&new, &delta), None);
        let moved = Delta { position: Position { revision: 5, groups: 2 }, ..delta.clone() };
        assert_eq!(apply(&old, &moved), None);
        // Control instances send and read the same encoding.
        let mut same = old;
        same.apply_delta(codec::decode(&delta.bytes).unwrap());
        assert_eq!(same, new);
    }
}
