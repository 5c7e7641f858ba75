//! Tests acceptance, validation and recovery in a group of control instances without lost messages.

mod group;
mod support;

use std::sync::Arc;

use arbutuslane_item::check::Error;
use arbutuslane_item::prelude::*;
use arbutuslane_item::replication::{Refusal, Settlement};
use quickcheck::{Gen, QuickCheck};

use group::Group;
use support::name;

/// Returns an instance with its first disk.
fn voter(index: usize) -> Voter {
    Voter { instance: name(index), disk: 1 }
}

fn removal(name: u8, version: u8) -> Arc<Item> {
    Arc::new(Item::removal(Key::Route(format!("r{}", name % 4)), u64::from(version)))
}

/// Guards against tables that differ after they merged the same items in different orders.
#[test]
fn merge_any_order() {
    fn property(mut items: Vec<(u8, u8)>, rotation: usize) -> bool {
        let mut one = Table::default();
        for (name, version) in &items {
            one.merge_all(vec![removal(*name, *version)]);
        }
        let middle = rotation % items.len().max(1);
        items.rotate_left(middle);
        items.reverse();
        let mut other = Table::default();
        other.merge_all(items.iter().map(|(name, version)| removal(*name, *version)).collect());
        one.items().eq(other.items()) && one.digest() == other.digest()
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
        let mut group = Group::new();
        let mut accepted = Table::default();
        for (step, (name, version, at, reached)) in steps.into_iter().enumerate() {
            let item = removal(name, version);
            // Each bit of `reached` is an instance that takes part.
            let reached = (0..5).filter(|index| reached & (1 << index) != 0).collect::<Vec<_>>();
            if group.change(usize::from(at) % 5, &reached, std::slice::from_ref(&item))
                == Some(Ok(()))
            {
                accepted.merge_all(vec![item]);
            }
            // Two instances lose their disks and recover from the three others.
            let lost = [step % 5, (step + 1 + usize::from(version) % 4) % 5];
            for index in lost {
                group.lose_disk(index);
            }
            for index in lost {
                if !group.recover(index) {
                    return false;
                }
            }
            for index in lost {
                let table = &group.instances[index].stored().table;
                if !accepted.items().all(|item| table.covers(item)) {
                    return false;
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

/// Guards against an instance with an empty disk that counts for quorums before it has the state of
/// one.
#[test]
fn heard_too_few() {
    let mut group = Group::new();
    group.lose_disk(0);
    let mut candidate = Candidate::begin(&mut group.instances[0], 2);
    let ballot = candidate.ballot().clone();
    let own = group.instances[0].promise(&ballot).unwrap();
    assert!(!candidate.record_promise(own));
    let promises: Vec<_> =
        (1..4).map(|index| group.instances[index].promise(&ballot).unwrap()).collect();
    assert!(!candidate.record_promise(promises[0].clone()));
    assert!(!candidate.record_promise(promises[0].clone()));
    assert!(!candidate.record_promise(promises[1].clone()));
    assert!(!group.instances[0].is_complete());
    assert!(candidate.record_promise(promises[2].clone()));
    group.lose_disk(0);
    assert!(group.recover(0));
    assert!(group.instances[0].is_complete());
}

/// Guards against a change that is accepted while it is on too few disks: it must be on one more than
/// may be lost at the same time.
#[test]
fn stored_too_few() {
    let mut group = Group::new();
    assert_eq!(group.change(0, &[0, 1], &[removal(1, 4)]), None);
    let mut leader = group.elect(0, &[0, 1, 4]).unwrap();
    let changes = [vec![removal(1, 4)]];
    let mut proposal = leader.propose(&mut group.instances[0], &changes).unwrap();
    assert!(!proposal.record_stored(&voter(0)));
    assert!(!proposal.record_stored(&voter(0)));
    assert!(!proposal.record_stored(&voter(1)));
    assert!(!group.instances[0].are_accepted(&changes[0]));
    assert_eq!(group.instances[0].pending_count(), 1);
    assert!(proposal.record_stored(&voter(4)));
    assert_eq!(group.instances[0].learn(&proposal.update.position), changes[0]);
    assert!(group.instances[0].are_accepted(&changes[0]));
    assert_eq!(group.instances[0].pending_count(), 0);
}

fn service(name: &str, version: u64, source: &str) -> Arc<Item> {
    let content = Content::Service(Service { health_path: "/h".to_string(), connections: 5 });
    Arc::new(Item {
        key: Key::Service(name.to_string()),
        version,
        content: Some(content),
        source: Source::Text(source.to_string()),
    })
}

fn route_to(service: &str) -> Route {
    Route {
        host: "a.example".to_string(),
        path_prefix: "/".to_string(),
        class: arbutuslane_catalogue::entry::Class::Idempotent,
        timeout: std::time::Duration::from_secs(3),
        latency_objective: std::time::Duration::from_secs(1),
        priority: 1,
        attempts: 2,
        targets: vec![Target { service: service.to_string(), weight: 1 }],
        is_public: false,
    }
}

fn route_item(name: &str, version: u64, route: &Route) -> Arc<Item> {
    Arc::new(Item {
        key: Key::Route(name.to_string()),
        version,
        content: Some(Content::Route(route.clone())),
        source: Source::Text(format!("{:?}", route.targets)),
    })
}

fn route(name: &str, version: u64, service: &str) -> Arc<Item> {
    route_item(name, version, &route_to(service))
}

/// Has a change decided with all instances.
fn change(group: &mut Group, items: &[Arc<Item>]) -> Option<Result<(), Error>> {
    group.change(0, &[0, 1, 2, 3, 4], items)
}

/// Guards against different content with the same version that replaces the accepted item, also at an
/// instance that was down when the item was accepted and after all instances have restarted.
#[test]
fn order_same_version() {
    let accepted = service("s", 4, "kept");
    for source in ["a", "b", "c", "d"] {
        let mut group = Group::new();
        assert_eq!(group.change(0, &[0, 1, 2, 3], std::slice::from_ref(&accepted)), Some(Ok(())));
        for index in 0..5 {
            group.restart(index);
        }
        let other = service("s", 4, source);
        assert_eq!(group.change(4, &[2, 3, 4], std::slice::from_ref(&other)), Some(Ok(())));
        for index in 2..5 {
            assert_eq!(group.instances[index].accepted().get(&accepted.key), Some(&accepted));
        }
    }
}

/// Guards against an invalid order that an instance which was down confirms, because its own table has
/// the service that was removed meanwhile.
#[test]
fn order_after_absence() {
    let mut group = Group::new();
    assert_eq!(group.change(0, &[0, 1, 2, 3, 4], &[service("s", 1, "x")]), Some(Ok(())));
    let gone = Arc::new(Item::removal(Key::Service("s".to_string()), 2));
    assert_eq!(group.change(0, &[0, 1, 2, 3], &[gone]), Some(Ok(())));
    let verdict = group.change(4, &[2, 3, 4], &[route("r", 3, "s")]);
    assert!(matches!(verdict, Some(Err(Error::UnknownService { .. }))), "{verdict:?}");
}

/// Guards against two orders that contradict each other and are both confirmed, because two instances
/// get them at the same moment.
#[test]
fn order_at_two_leaders() {
    let mut group = Group::new();
    assert_eq!(group.change(0, &[0, 1, 2, 3, 4], &[service("s", 1, "x")]), Some(Ok(())));
    let mut first = group.elect(0, &[0, 1, 2]).unwrap();
    let removal = [vec![Arc::new(Item::removal(Key::Service("s".to_string()), 2))]];
    let removed = first.propose(&mut group.instances[0], &removal).unwrap();
    assert_eq!(removed.verdicts, [Ok(())]);
    let added = group.change(4, &[2, 3, 4], &[route("r", 2, "s")]);
    assert_eq!(added, Some(Ok(())));
    // Only one more than the first leader could store the removal.
    for index in [2, 3, 4] {
        let refused = group.instances[index].store(&removed.update);
        assert!(matches!(refused, Err(Refusal::Promised(_))), "{refused:?}");
    }
    let verdict = group.change(1, &[1, 2, 3], &removal[0]);
    assert!(matches!(verdict, Some(Err(Error::ServiceInUse { .. }))), "{verdict:?}");
}

/// Guards against the removal of a service that a route still targets, and against the refusal of an
/// accepted change that is sent again after its service was removed.
#[test]
fn order_removed_service() {
    let mut group = Group::new();
    let all = [0, 1, 2, 3, 4];
    let first = [service("s", 1, "x"), service("t", 1, "x"), route("r", 1, "s")];
    assert_eq!(group.change(0, &all, &first), Some(Ok(())));
    let gone = Arc::new(Item::removal(Key::Service("s".to_string()), 2));
    let verdict = group.change(0, &all, std::slice::from_ref(&gone));
    assert!(matches!(verdict, Some(Err(Error::ServiceInUse { .. }))), "{verdict:?}");
    assert_eq!(group.change(0, &all, &[gone, route("r", 2, "t")]), Some(Ok(())));
    assert_eq!(group.change(0, &all, &first), Some(Ok(())));
    let unknown = group.change(0, &all, &[route("r", 1, "never")]);
    assert!(matches!(unknown, Some(Err(Error::UnknownService { .. }))), "{unknown:?}");
}

/// Guards against accepting a route to an undeclared service, and against refusing a route whose
/// service is declared in the same change.
#[test]
fn order_unknown_service() {
    let route = route_to("s");
    let item = |route: &Route| route_item("r", 1, route);
    let mut group = Group::new();
    let mut refuses = |route: &Route| matches!(change(&mut group, &[item(route)]), Some(Err(_)));
    assert!(refuses(&route));
    let mut zero_weight = route.clone();
    zero_weight.targets[0].weight = 0;
    assert!(refuses(&zero_weight));
    let long_objective =
        Route { latency_objective: std::time::Duration::from_secs(63), ..route.clone() };
    assert!(refuses(&long_objective));
    let no_slash = Route { path_prefix: "x/".to_string(), ..route.clone() };
    assert!(refuses(&no_slash));
    assert!(group.instances[0].accepted().is_empty());
    assert_eq!(change(&mut group, &[item(&route), service("s", 1, "x")]), Some(Ok(())));
    assert_eq!(group.instances[0].accepted().len(), 2);
}

/// Guards against a restarted instance that sends nodes the items that it has as the whole catalogue
/// before it knows what was accepted: nodes that start then deny requests on every other route.
#[test]
fn settled_after_restart() {
    let mut group = Group::new();
    assert_eq!(change(&mut group, &[service("a", 1, "x"), service("b", 1, "x")]), Some(Ok(())));
    // The instance misses a change and restarts.
    assert_eq!(group.change(0, &[0, 1, 2, 3], &[service("a", 2, "y")]), Some(Ok(())));
    group.restart(4);
    assert!(!group.instances[4].knows_all_accepted());
    let statuses = |group: &Group, of: &[usize]| -> Vec<_> {
        of.iter().map(|index| group.instances[*index].status()).collect()
    };
    let too_few = statuses(&group, &[3, 4]);
    assert_eq!(group.instances[4].settle(&too_few), Settlement::Wait);
    let enough = statuses(&group, &[2, 3, 4]);
    assert_eq!(group.instances[4].settle(&enough), Settlement::Fetch(name(3)));
    group.fetch_accepted(4, 3);
    assert!(!group.instances[4].knows_all_accepted());
    let enough = statuses(&group, &[2, 3, 4]);
    assert_eq!(group.instances[4].settle(&enough), Settlement::Settled);
    assert!(group.instances[4].knows_all_accepted());

    group.lose_disk(4);
    assert!(group.recover(4));
    assert!(group.instances[4].is_complete() && !group.instances[4].knows_all_accepted());
}

/// Guards against instances of an earlier release, whose disks have items without positions, that lose
/// some of them.
#[test]
fn merged_without_positions() {
    let mut group = Group::new();
    for index in 0..5 {
        let held = match index {
            0..3 => vec![service("a", 1, "x")],
            _ => vec![service("b", 1, "x")],
        };
        group.restart_with(index, held);
    }
    assert_eq!(group.change(0, &[0, 1, 3], &[service("c", 1, "x")]), Some(Ok(())));
    assert_eq!(group.instances[3].accepted().len(), 3);
}
