//! Tests of the writer on a fake disk.

use std::sync::Arc;

use arbutuslane_core::rng;
use arbutuslane_item::prelude::{Item, Key, Source};
use rand::RngExt;

use super::*;

impl Folder for disk::Fake {
    type Disk = Self;

    fn open(&self) -> Result<Self, Error> {
        Ok(self.clone())
    }
}

fn item(route: u32, version: u64) -> Arc<Item> {
    let removal = Item::removal(Key::Route(format!("r{route}")), version);
    Arc::new(Item { source: Source::Text("{}".to_string()), ..removal })
}

/// Returns the next update of the writer's state, which sets `item`.
fn record<F: Folder>(writer: &Writer<F>, item: &Arc<Item>) -> Record {
    let mut state = writer.states.stored.clone();
    state.position.change += 1;
    state.table.set_all(vec![Arc::clone(item)]);
    let update = Update {
        position: state.position,
        replaced: Vec::new(),
        items: vec![Arc::clone(item)],
        digest: state.table.digest(),
        electorate: state.electorate,
    };
    Record { entries: vec![Entry::Update(update)], ..Record::default() }
}

/// Guards against an instance that ends at each start because its log is damaged, against one that
/// then counts as holding all items, and against a loss of the items that are still readable.
#[test]
fn open_damaged() {
    let disk = disk::Fake::new(3);
    let (mut writer, _) = Writer::open(disk.clone(), true).unwrap();
    for version in 1..=20 {
        let number = u32::try_from(version).unwrap();
        writer.write(&record(&writer, &item(number, version))).unwrap();
    }
    drop(writer);
    let name = disk.names().unwrap().pop().unwrap();
    let middle = disk.read(&name).unwrap().len() / 2;
    disk.flip(&name, middle);
    for start in 0..2 {
        let (_, recovered) = Writer::open(disk.clone(), false).unwrap();
        assert_eq!(recovered.replication.standing, Standing::Recovering, "start {start}");
        assert_eq!(recovered.replication.state.table.len(), 19, "start {start}");
        assert_eq!(recovered.damage.is_some(), start == 0);
        disk.crash();
    }
    assert!(disk.names().unwrap().contains(&format!("damaged-{name}")));
}

/// Guards against an item that was reported as durable on a disk that was full at any moment
/// and is missing after a power loss, against an instance that cannot start on a full disk, and
/// against one that writes nothing once there is room again.
#[test]
fn write_full_disk() {
    for seed in 0..300 {
        let mut rng = rng::seeded(seed);
        let disk = disk::Fake::new(seed);
        let (mut writer, _) = Writer::open(disk.clone(), true).unwrap();
        let mut durable = Table::default();
        for version in 1..60 {
            match rng.random_range(0..10) {
                0 => disk.set_full(true),
                1 => disk.set_full(false),
                2 => writer.reopen(),
                3 => {
                    drop(writer);
                    disk.crash();
                    let (restarted, recovered) = Writer::open(disk.clone(), false)
                        .unwrap_or_else(|error| panic!("seed {seed}: {error:?}"));
                    writer = restarted;
                    let recovered = recovered.replication;
                    assert_eq!(recovered.standing, Standing::Complete, "seed {seed}");
                    for known in durable.items() {
                        let found = recovered.state.table.get(&known.key);
                        let version = found.map_or(0, |item| item.version);
                        assert!(version >= known.version, "seed {seed}: {known:?} is lost");
                    }
                }
                _ => {
                    let item = item(rng.random_range(0..8), version);
                    if writer.write(&record(&writer, &item)).is_ok() {
                        durable.merge_accepted(vec![item]);
                    }
                }
            }
        }
        disk.set_full(false);
        writer.reopen();
        assert!(writer.is_writable(), "seed {seed}");
        assert!(writer.write(&record(&writer, &item(9, 60))).is_ok(), "seed {seed}");
    }
}

/// Guards against a state that counts as accepted after a power loss although only a later or an earlier one
/// was, and against one that no longer counts although the disk said so, also after a snapshot.
#[test]
fn open_accepted() {
    for seed in 0..300 {
        let mut rng = rng::seeded(seed);
        let disk = disk::Fake::new(seed);
        let (mut writer, _) = Writer::open(disk.clone(), true).unwrap();
        let mut accepted: Vec<State> = Vec::new();
        let mut durable = Position::default();
        for version in 1..60 {
            match rng.random_range(0..10) {
                0 => writer.reopen(),
                1..4 => {
                    let stored = writer.states.stored.clone();
                    accepted.push(stored.clone());
                    writer.write(&Record::accepted(stored.position.clone())).unwrap();
                    durable = stored.position;
                    // One that comes late is of no use, because that state was replaced.
                    let late =
                        Position { change: durable.change.saturating_sub(1), ..durable.clone() };
                    writer.write(&Record::accepted(late)).unwrap();
                }
                4 => {
                    drop(writer);
                    disk.crash();
                    let (restarted, recovered) = Writer::open(disk.clone(), false).unwrap();
                    writer = restarted;
                    let found = recovered.replication.accepted;
                    let position = found.as_ref().map(|state| state.position.clone());
                    assert_eq!(position.unwrap_or_default(), durable, "seed {seed}");
                    let Some(found) = found else { continue };
                    let known = accepted.iter().find(|known| known.position == found.position);
                    let known = known.map(|known| known.table.digest());
                    assert_eq!(known, Some(found.table.digest()), "seed {seed}");
                }
                _ => {
                    let item = item(rng.random_range(0..8), version);
                    writer.write(&record(&writer, &item)).unwrap();
                }
            }
        }
    }
}
