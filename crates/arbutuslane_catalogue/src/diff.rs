//! Differences between two catalogues, and their effects on running capacity.

use std::fmt;

use arbutuslane_core::id::ServiceName;

use crate::entry::{Entry, Preference, Route};

/// How one service differs between two catalogues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// The service is only in the new catalogue.
    Added(Entry),
    /// The service is only in the old catalogue.
    Removed(Entry),
    /// The service is in both catalogues with different values.
    Changed {
        /// The entry in the old catalogue.
        before: Entry,
        /// The entry in the new catalogue.
        after: Entry,
    },
}

/// A key whose value differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The key, such as `limits.deadline_ms`.
    pub key: String,
    /// The old value; `None` when the key is new.
    pub before: Option<String>,
    /// The new value; `None` when the key is removed.
    pub after: Option<String>,
}

/// The numbers of running servers of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningServers {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of warm servers that are neither draining nor have left, with the ejected ones.
    pub live: u32,
    /// The number of ejected servers among the live ones.
    pub ejected: u32,
}

/// The effect of a difference on running capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The name of the service.
    pub service: ServiceName,
    /// Whether the service would lose requests, or protection by ejections.
    pub is_harmful: bool,
    /// The effect in one sentence, without a full stop.
    pub sentence: String,
}

/// Returns the differences from `before` to `after` in ascending order of the service.
pub fn entries(before: &[Entry], after: &[Entry]) -> Vec<Difference> {
    let (before, after) = (sorted_by_service(before), sorted_by_service(after));
    let mut differences = Vec::new();
    for entry in &before {
        match find(&after, &entry.service) {
            None => differences.push(Difference::Removed((*entry).clone())),
            Some(other) if other != *entry => differences
                .push(Difference::Changed { before: (*entry).clone(), after: other.clone() }),
            Some(_) => {}
        }
    }
    for entry in &after {
        if find(&before, &entry.service).is_none() {
            differences.push(Difference::Added((*entry).clone()));
        }
    }
    differences.sort_by(|left, right| left.service().cmp(right.service()));
    differences
}

/// Returns the effects of `differences` on the running servers that `live` lists.
pub fn effects(differences: &[Difference], live: &[RunningServers]) -> Vec<Effect> {
    let mut effects = Vec::new();
    for difference in differences {
        let running = live.iter().find(|live| live.service == *difference.service());
        let (live, ejected) = running.map_or((0, 0), |live| (live.live, live.ejected));
        let (is_harmful, sentence) = match difference {
            Difference::Added(entry) => added_effect(entry, live),
            Difference::Removed(_) => {
                (live > 0, format!("{live} live servers would get no more requests"))
            }
            Difference::Changed { before, after } if before.floor != after.floor => {
                floor_change_effect(before.floor, after.floor, live, ejected)
            }
            Difference::Changed { .. } => continue,
        };
        effects.push(Effect { service: difference.service().clone(), is_harmful, sentence });
    }
    effects
}

impl Difference {
    /// Returns the name of the service that differs.
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Added(entry) | Self::Removed(entry) | Self::Changed { after: entry, .. } => {
                &entry.service
            }
        }
    }

    /// Returns the keys whose values differ: first those of the old entry, then the new keys.
    pub fn fields(&self) -> Vec<Field> {
        let (before, after) = match self {
            Self::Added(entry) => (Vec::new(), key_values(entry)),
            Self::Removed(entry) => (key_values(entry), Vec::new()),
            Self::Changed { before, after } => (key_values(before), key_values(after)),
        };
        let mut fields = Vec::new();
        for (key, value) in &before {
            let other = after.iter().find(|(other, _)| other == key).map(|(_, value)| value);
            if other != Some(value) {
                fields.push(Field {
                    key: key.clone(),
                    before: Some(value.clone()),
                    after: other.cloned(),
                });
            }
        }
        for (key, value) in &after {
            if before.iter().all(|(other, _)| other != key) {
                fields.push(Field { key: key.clone(), before: None, after: Some(value.clone()) });
            }
        }
        fields
    }
}

impl fmt::Display for Preference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::FastDetection => "fast-detection",
            Self::FewFalseEjections => "few-false-ejections",
        })
    }
}

fn sorted_by_service(entries: &[Entry]) -> Vec<&Entry> {
    let mut entries: Vec<&Entry> = entries.iter().collect();
    entries.sort_by(|left, right| left.service.cmp(&right.service));
    entries
}

fn find<'entries>(entries: &[&'entries Entry], service: &str) -> Option<&'entries Entry> {
    let index = entries.binary_search_by(|entry| entry.service.as_str().cmp(service)).ok()?;
    Some(entries[index])
}

/// Returns whether adding `entry` is harmful with `live` servers, and the effect in words.
fn added_effect(entry: &Entry, live: u32) -> (bool, String) {
    if live < entry.floor {
        let sentence = format!("{live} live servers are below the floor of {}", entry.floor);
        return (true, format!("{sentence}, so no server could be ejected"));
    }
    let headroom = live - entry.floor;
    (false, format!("{live} live servers are in place, and up to {headroom} could be ejected"))
}

/// Returns whether a change of the floor is harmful, and the effect in words.
fn floor_change_effect(before: u32, after: u32, live: u32, ejected: u32) -> (bool, String) {
    let (headroom_before, headroom_after) =
        (live.saturating_sub(before), live.saturating_sub(after));
    let mut sentence = format!(
        "floor {before} to {after} with {live} live servers: at most {headroom_after} instead of \
         {headroom_before} could be ejected"
    );
    if ejected > headroom_after {
        let returning = ejected - headroom_after;
        sentence.push_str(&format!(
            ", and {returning} of {ejected} ejected servers would return to use"
        ));
    }
    (live <= after || ejected > headroom_after, sentence)
}

/// Returns the keys of `entry` with their values. A route without a class has that of the service.
fn key_values(entry: &Entry) -> Vec<(String, String)> {
    let limits = &entry.limits;
    let mut values = vec![
        ("owner".to_string(), entry.owner.clone()),
        ("class".to_string(), entry.class.to_string()),
        ("preference".to_string(), entry.preference.to_string()),
        ("floor".to_string(), entry.floor.to_string()),
        ("limits.deadline_ms".to_string(), limits.deadline.as_millis().to_string()),
        ("limits.body_bytes".to_string(), limits.body_bytes.to_string()),
        ("limits.caller_rate".to_string(), limits.caller_rate.to_string()),
        ("limits.route_rate".to_string(), limits.route_rate.to_string()),
        ("limits.service_rate".to_string(), limits.service_rate.to_string()),
    ];
    for route in &entry.routes {
        values.push((route_key(route), route.class.unwrap_or(entry.class).to_string()));
    }
    values
}

fn route_key(route: &Route) -> String {
    format!("route {}{}", route.host.as_deref().unwrap_or("*"), route.path_prefix)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::{Class, Limits};

    fn entry(service: &str, floor: u32) -> Entry {
        Entry {
            service: service.to_string(),
            owner: "tuning".to_string(),
            class: Class::Idempotent,
            preference: Preference::FewFalseEjections,
            floor,
            limits: Limits::default(),
            routes: vec![Route { host: None, path_prefix: format!("/{service}"), class: None }],
        }
    }

    fn live(service: &str, live: u32, ejected: u32) -> RunningServers {
        RunningServers { service: service.to_string(), live, ejected }
    }

    /// Guards against a difference that is not reported, and an unchanged service that is.
    #[test]
    fn entries_each_kind() {
        let before = [entry("a", 1), entry("b", 2), entry("c", 3)];
        let after = [entry("d", 1), entry("b", 4), entry("a", 1)];
        let differences = entries(&before, &after);
        assert_eq!(
            differences,
            [
                Difference::Changed { before: entry("b", 2), after: entry("b", 4) },
                Difference::Removed(entry("c", 3)),
                Difference::Added(entry("d", 1)),
            ]
        );
        assert_eq!(
            differences[0].fields(),
            [Field {
                key: "floor".to_string(),
                before: Some("2".to_string()),
                after: Some("4".to_string())
            }]
        );
    }

    /// Guards against a route whose class changes with the class of the service without a reported
    /// difference.
    #[test]
    fn fields_inherited_class() {
        let before = entry("a", 1);
        let mut after = before.clone();
        after.class = Class::NonIdempotent;
        let keys: Vec<String> = Difference::Changed { before, after }
            .fields()
            .into_iter()
            .map(|field| field.key)
            .collect();
        assert_eq!(keys, ["class", "route */a"]);
    }

    /// Guards against a raised floor that returns ejected servers to use without a warning.
    #[test]
    fn effects_floor() {
        let raised = Difference::Changed { before: entry("a", 6), after: entry("a", 9) };
        let lowered = Difference::Changed { before: entry("b", 6), after: entry("b", 5) };
        let found = effects(&[raised, lowered], &[live("a", 10, 3), live("b", 10, 1)]);
        assert!(found[0].is_harmful && found[0].sentence.contains("2 of 3 ejected servers"));
        assert!(!found[1].is_harmful && found[1].sentence.contains("at most 5 instead of 4"));
    }

    /// Guards against reporting the removal of a service with live servers as harmless.
    #[test]
    fn effects_removed() {
        let removed = [Difference::Removed(entry("a", 6))];
        assert!(effects(&removed, &[live("a", 7, 0)])[0].is_harmful);
        assert!(!effects(&removed, &[])[0].is_harmful);
    }
}
