//! Tests the agreement on the catalogue with random schedules of changes, lost and late messages,
//! crashes, frozen instances and lost disks, and of instances that are replaced and split into halves.

mod support;
mod world;

use arbutuslane_item::voter::Voter;

use support::{INSTANCES, index_of};
use world::World;

/// The number of schedules; `SCHEDULES` sets another one.
const SEEDS: u64 = 1_500;

/// The number of steps of a schedule.
const STEPS: u32 = 800;

/// The number of steps of a schedule with replacements, in which more instances take part.
const REPLACEMENT_STEPS: u32 = 2_400;

/// Returns whether a voter is an instance of the first start with its first disk.
fn is_first(voter: &Voter) -> bool {
    index_of(&voter.instance) < INSTANCES && voter.disk == 1
}

fn seeds() -> u64 {
    let seeds = std::env::var("SCHEDULES").ok().and_then(|text| text.parse().ok());
    seeds.unwrap_or(SEEDS)
}

/// Guards against accepted content that is replaced under its version, an accepted change that is
/// lost, and an accepted catalogue in which a route names a missing service or two workspaces share
/// a key.
#[test]
fn schedule_faults() {
    let mut accepted = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        accepted += world.accepted_count();
    }
    // Without accepted changes, the schedules would show nothing.
    assert!(accepted > 5 * seeds(), "only {accepted} states were accepted");
}

/// Guards against a group that accepts nothing more after any faults, once they are over.
#[test]
fn schedule_recovery() {
    for seed in 0..seeds() / 5 {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.end_faults();
        let before = world.accepted_count();
        for _ in 0..STEPS {
            world.step_without_faults();
        }
        assert!(world.accepted_count() > before, "seed {seed}: nothing was accepted");
    }
}

/// Guards against two halves that both accept changes while instances are replaced, and against an accepted
/// change that only instances have which were replaced since.
#[test]
fn schedule_replacements() {
    let (mut accepted, mut replaced) = (0, 0);
    for seed in 0..seeds() / 2 {
        let mut world = World::with_replacements(seed);
        for _ in 0..REPLACEMENT_STEPS {
            world.step();
        }
        accepted += world.accepted_count();
        let voters = &world.electorate().voters;
        replaced += voters.iter().map(|voter| u64::from(!is_first(voter))).sum::<u64>();
    }
    // Without accepted changes and replaced voters, the schedules would show nothing.
    assert!(accepted > 5 * seeds() / 2, "only {accepted} states were accepted");
    assert!(replaced > seeds() / 4, "only {replaced} voters were replaced");
}

/// Guards against a group that accepts nothing more after replacements, once the faults are over.
#[test]
fn schedule_replacements_recovery() {
    for seed in 0..seeds() / 10 {
        let mut world = World::with_replacements(seed);
        for _ in 0..REPLACEMENT_STEPS {
            world.step();
        }
        world.end_faults();
        let before = world.accepted_count();
        for _ in 0..REPLACEMENT_STEPS {
            world.step_without_faults();
        }
        assert!(world.accepted_count() > before, "seed {seed}: nothing was accepted");
    }
}

/// Guards against a change that was stored by some instances and refused later, and that is in force for
/// good at nodes that had to use it in between (review/11), and against a node that uses one although an
/// instance remembers an accepted state.
#[test]
fn schedule_nodes() {
    let (mut accepted, mut stored) = (0, 0);
    for seed in 0..seeds() / 3 {
        let mut world = World::with_nodes(seed);
        for _ in 0..STEPS {
            world.step_with_nodes();
        }
        stored += world.nodes_with_stored_state();
        world.end_faults();
        for _ in 0..STEPS {
            world.step_without_faults();
        }
        world.settle_all();
        world.check_nodes_at_end();
        accepted += world.accepted_count();
    }
    // Without accepted changes and nodes that use stored ones, the schedules would show nothing.
    assert!(accepted > 5 * seeds() / 3, "only {accepted} states were accepted");
    assert!(stored > 0, "no node used a stored state");
}
