//! Acceptance and recovery under lost disks, in random order.

use arbutuslane_item::prelude::*;
use arbutuslane_item::replication::Standing;
use quickcheck::{Gen, QuickCheck};

const COPIES: usize = 3;
const INSTANCES: usize = 5;

fn removal(name: u8, version: u8) -> Item {
    Item::removed(Key::Route(format!("r{}", name % 4)), u64::from(version))
}

fn instance(index: usize, standing: Standing, items: Vec<Item>) -> Replication {
    Replication::new(&format!("c{index}"), COPIES, standing, items)
}

fn recovering() -> Standing {
    Standing::Recovering { heard: Vec::new() }
}

/// Guards against tables that differ although they took the same items in another order.
#[test]
fn merge_any_order() {
    fn property(mut items: Vec<(u8, u8)>, rotation: usize) -> bool {
        let mut one = Table::default();
        for (name, version) in &items {
            one.merge(removal(*name, *version));
        }
        let middle = rotation % items.len().max(1);
        items.rotate_left(middle);
        items.reverse();
        let mut other = Table::default();
        for (name, version) in &items {
            other.merge(removal(*name, *version));
        }
        one.items() == other.items() && one.digest() == other.digest()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, u8)>, usize) -> bool);
}

/// Guards against an accepted change that is lost when two disks are lost right after it.
#[test]
fn accepted_two_disks_lost() {
    fn property(steps: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut group: Vec<Replication> =
            (0..INSTANCES).map(|index| instance(index, Standing::Complete, Vec::new())).collect();
        let mut disks: Vec<Vec<Item>> = vec![Vec::new(); INSTANCES];
        let mut accepted = Table::default();
        for (step, (name, version, at, reached)) in steps.into_iter().enumerate() {
            let at = usize::from(at) % INSTANCES;
            let item = removal(name, version);
            let stored = group[at].order(vec![item.clone()]).unwrap();
            // Each bit is an instance whose disk takes the change and whose answer arrives.
            for other in 0..INSTANCES {
                if reached & (1 << other) == 0 {
                    continue;
                }
                group[other].take(stored.clone());
                disks[other].extend(stored.clone());
                let name = format!("c{other}");
                for item in group[at].stored(&name, &stored) {
                    accepted.merge(item);
                }
            }
            // Two disks are lost, and the instances recover from the three others.
            let lost = [step % INSTANCES, (step + 1 + usize::from(version)) % INSTANCES];
            for index in lost {
                disks[index].clear();
                group[index] = instance(index, recovering(), Vec::new());
            }
            for index in lost {
                for source in 0..INSTANCES {
                    if !group[source].is_complete() {
                        continue;
                    }
                    let items = group[source].table().items().to_vec();
                    let settled = group[source].accepted().items().to_vec();
                    let fresh = group[index].take(items);
                    disks[index].extend(fresh);
                    group[index].accept(settled);
                    group[index].heard(&format!("c{source}"));
                }
                if !group[index].is_complete() {
                    return false;
                }
            }
            for index in lost {
                for item in accepted.items() {
                    if !group[index].table().covers(item) {
                        return false;
                    }
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 11))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

/// Guards against an instance with an empty disk that counts before it has heard enough others.
#[test]
fn heard_too_few() {
    let mut lost = instance(0, recovering(), Vec::new());
    assert!(!lost.heard("c1"));
    assert!(!lost.heard("c1"));
    assert!(!lost.heard("c2"));
    assert!(!lost.is_complete());
    assert!(lost.heard("c3"));
    assert!(lost.is_complete());
}

/// Guards against a change that is accepted while fewer disks hold it than may be lost, plus one.
#[test]
fn stored_too_few() {
    let mut first = instance(0, Standing::Complete, Vec::new());
    let items = first.order(vec![removal(1, 4)]).unwrap();
    assert!(first.stored("c0", &items).is_empty());
    assert!(first.stored("c0", &items).is_empty());
    assert!(first.stored("c1", &items).is_empty());
    assert!(!first.are_accepted(&items));
    assert_eq!(first.stored("c4", &items), items);
    assert!(first.are_accepted(&items));
    assert!(first.pending().is_empty());
}

fn service(name: &str, version: u64, source: &str) -> Item {
    let content = Content::Service(Service { health_path: "/h".to_string(), connections: 5 });
    Item {
        key: Key::Service(name.to_string()),
        version,
        content: Some(content),
        source: source.to_string(),
    }
}

/// Guards against other content under a held version that displaces what was accepted.
#[test]
fn order_same_version() {
    let mut first = instance(0, Standing::Complete, Vec::new());
    let kept = service("s", 4, "kept");
    let items = first.order(vec![kept.clone()]).unwrap();
    for holder in ["c0", "c1", "c2"] {
        first.stored(holder, &items);
    }
    for source in ["a", "b", "c", "d"] {
        let other = service("s", 4, source);
        assert!(first.order(vec![other.clone()]).unwrap().is_empty());
        assert!(first.take(vec![other.clone()]).is_empty());
        assert_eq!(first.contradicting(std::slice::from_ref(&other)), vec![kept.clone()]);
        // An instance that took the other declaration meanwhile gives it up.
        let mut behind = instance(1, Standing::Complete, Vec::new());
        behind.order(vec![other]).unwrap();
        behind.accept(vec![kept.clone()]);
        assert_eq!(behind.table().get(&kept.key), Some(&kept));
        assert_eq!(behind.table().digest(), first.table().digest());
        assert!(behind.pending().is_empty());
    }
}

/// Guards against a route to a service that nobody declared, and against one that is refused
/// although the same change declares the service.
#[test]
fn order_unknown_service() {
    let route = Route {
        host: "a.example".to_string(),
        path_prefix: "/".to_string(),
        class: arbutuslane_catalogue::entry::Class::Idempotent,
        timeout: std::time::Duration::from_secs(3),
        objective: std::time::Duration::from_secs(1),
        priority: 1,
        attempts: 2,
        targets: vec![Target { service: "s".to_string(), weight: 1 }],
    };
    let item = |route: &Route| Item {
        key: Key::Route("r".to_string()),
        version: 1,
        content: Some(Content::Route(route.clone())),
        source: String::new(),
    };
    let mut group = instance(0, Standing::Complete, Vec::new());
    assert!(group.order(vec![item(&route)]).is_err());
    assert!(group.table().is_empty());
    assert_eq!(group.order(vec![item(&route), service("s", 1, "x")]).map(|kept| kept.len()), Ok(2));
    let mut weightless = route.clone();
    weightless.targets[0].weight = 0;
    assert!(group.order(vec![item(&weightless)]).is_err());
    let late = Route { objective: std::time::Duration::from_secs(63), ..route.clone() };
    assert!(group.order(vec![item(&late)]).is_err());
    let bare = Route { path_prefix: "x/".to_string(), ..route };
    assert!(group.order(vec![item(&bare)]).is_err());
}

/// Guards against a restarted instance that tells nodes the few items accepted since as if they were
/// all: nodes that start then deny requests on every other route.
#[test]
fn settled_after_restart() {
    let held = vec![service("a", 1, "x"), service("b", 1, "x")];
    let mut restarted = instance(0, Standing::Complete, held.clone());
    assert!(!restarted.is_settled());
    let change = vec![service("a", 2, "y")];
    restarted.take(change.clone());
    for other in ["i0", "i1", "i2"] {
        restarted.stored(other, &change);
    }
    assert!(restarted.are_accepted(&change));
    assert!(!restarted.is_settled(), "b is not known to be accepted");
    for other in ["i1", "i2"] {
        restarted.stored(other, &held);
    }
    assert!(restarted.is_settled());

    let mut recovered = instance(0, recovering(), Vec::new());
    recovered.take(held.clone());
    for other in ["i1", "i2", "i3"] {
        recovered.heard(other);
    }
    assert!(recovered.is_complete() && !recovered.is_settled());
    recovered.accept(held);
    assert!(recovered.is_settled());
}
