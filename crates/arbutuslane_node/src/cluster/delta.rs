//! Steps from one configuration to the next, as they travel between nodes.

use std::sync::Arc;

use arbutuslane_catalogue::border::{Entry, Group, Snapshot};
use arbutuslane_member::prelude::{Delta, Position};
use arbutuslane_wire::codec;
use serde::{Deserialize, Serialize};

/// What differs between two configurations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Step {
    /// Entries that are new or changed.
    entries: Vec<Entry>,
    /// Services without an entry.
    removed: Vec<String>,
    /// Register groups that are new or changed.
    groups: Vec<Group>,
}

/// Returns the position of a configuration.
pub(crate) fn position(snapshot: &Snapshot) -> Position {
    Position { revision: snapshot.revision, groups: snapshot.group_version }
}

/// Returns the step from `old` to `new`, or nothing when it cannot be encoded.
pub(crate) fn between(old: &Snapshot, new: &Snapshot) -> Option<Delta> {
    let mut step = Step::default();
    for entry in &new.entries {
        if !old.entries.contains(entry) {
            step.entries.push(entry.clone());
        }
    }
    for entry in &old.entries {
        if !new.entries.iter().any(|kept| kept.service == entry.service) {
            step.removed.push(entry.service.clone());
        }
    }
    for group in &new.groups {
        if !old.groups.contains(group) {
            step.groups.push(group.clone());
        }
    }
    let bytes: Arc<[u8]> = codec::encode(&step).ok()?.into();
    Some(Delta { base: position(old), position: position(new), bytes })
}

/// Returns the configuration that `delta` leads to, unless it starts at another one than `old`.
pub(crate) fn apply(old: &Snapshot, delta: &Delta) -> Option<Snapshot> {
    if delta.base != position(old) {
        return None;
    }
    let step: Step = codec::decode(&delta.bytes).ok()?;
    let mut new = old.clone();
    new.revision = delta.position.revision;
    new.group_version = delta.position.groups;
    new.entries.retain(|entry| {
        !step.removed.contains(&entry.service)
            && !step.entries.iter().any(|changed| changed.service == entry.service)
    });
    new.entries.extend(step.entries);
    new.entries.sort_by(|left, right| left.service.cmp(&right.service));
    new.groups.retain(|group| !step.groups.iter().any(|changed| changed.shard == group.shard));
    new.groups.extend(step.groups);
    new.groups.sort_by_key(|group| group.shard);
    Some(new)
}

#[cfg(test)]
mod tests {
    use arbutuslane_catalogue::border::{Class, Limits, Member, Preference};

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

    /// Guards against a node that reaches another configuration by steps than by snapshot.
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
    }
}
