//! Tests of the log on a disk that crashes and decays.

use arbutuslane_core::rng;
use arbutuslane_storage::prelude::*;
use quickcheck::{Gen, QuickCheck};
use rand::RngExt;

const SMALL_SEGMENT_BYTES: u64 = 256;

/// The expected content of a log, from its acknowledged operations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Model {
    meta: Option<Vec<u8>>,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

impl Model {
    /// Returns the index after the last entry.
    fn next_index(&self) -> u64 {
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.last().map_or(base, |entry| entry.index) + 1
    }

    /// Returns the index after the snapshot.
    fn first_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + 1
    }

    fn push(&mut self, entry: &Entry) {
        self.entries.retain(|known| known.index < entry.index);
        self.entries.push(entry.clone());
    }

    /// Returns the two states that a crash during the append of `batch` may leave.
    fn states_after(&self, batch: &Batch) -> Vec<Self> {
        let mut state = self.clone();
        if batch.meta.is_some() {
            state.meta.clone_from(&batch.meta);
        }
        for entry in &batch.entries {
            state.push(entry);
        }
        vec![self.clone(), state]
    }

    /// Returns the state after `snapshot` is saved.
    fn with_snapshot(&self, snapshot: &Snapshot, reset: bool) -> Self {
        let mut state = self.clone();
        state.entries.retain(|entry| !reset && entry.index > snapshot.index);
        state.snapshot = Some(snapshot.clone());
        state
    }
}

fn recovered_model(recovered: &Recovered) -> Model {
    Model {
        meta: recovered.meta.clone(),
        snapshot: recovered.snapshot.clone(),
        entries: recovered.entries.clone(),
    }
}

/// Runs random operations with random failures and crashes, and compares the log with the model.
fn crashes_keep_acknowledged(seed: u64) -> bool {
    let mut rng = rng::seeded(seed);
    let disk = disk::Fake::new(seed);
    let mut model = Model::default();
    for run in 0..4u8 {
        let Ok((mut log, recovered)) = Log::open(disk.clone(), SMALL_SEGMENT_BYTES) else {
            return false;
        };
        if run == 0 {
            assert_eq!(recovered_model(&recovered), model);
        }
        let steps = rng.random_range(1..20u8);
        let mut possible_states = vec![model.clone()];
        for step in 0..steps {
            let is_last = step + 1 == steps;
            if is_last && rng.random_bool(0.5) {
                match rng.random_bool(0.5) {
                    true => disk.fail_sync_after(rng.random_range(0..4)),
                    false => disk.fail_write_after(rng.random_range(0..3)),
                }
            }
            let (succeeded, states) = operate(&mut rng, &mut log, &model);
            possible_states = states;
            if !succeeded {
                assert!(matches!(log.append(&Batch::default()), Err(Error::Stopped)));
                break;
            }
            if let Some(state) = possible_states.last() {
                model = state.clone();
            }
            possible_states = vec![model.clone()];
        }
        // Without the power loss only the process ends. What it then reads must be durable, because
        // the instance may already have reported it.
        if rng.random_bool(0.3) {
            disk.clear_failures();
            let recovered = match Log::open(disk.clone(), SMALL_SEGMENT_BYTES) {
                Ok((_, recovered)) => recovered,
                Err(error) => {
                    eprintln!(
                        "seed {seed}, run {run}: cannot open the log of the process: {error}"
                    );
                    return false;
                }
            };
            possible_states.retain(|state| *state == recovered_model(&recovered));
        }
        disk.crash();
        let recovered = match Log::open(disk.clone(), SMALL_SEGMENT_BYTES) {
            Ok((_, recovered)) => recovered,
            Err(error) => {
                eprintln!("seed {seed}, run {run}: cannot open the log after the crash: {error}");
                return false;
            }
        };
        model = recovered_model(&recovered);
        if !possible_states.contains(&model) {
            eprintln!(
                "seed {seed}, run {run}: the recovered state is not one that the crash may leave"
            );
            return false;
        }
    }
    true
}

/// Runs one random operation; returns whether it succeeded, and the states that a crash may leave.
fn operate(rng: &mut rng::Rng, log: &mut Log<disk::Fake>, model: &Model) -> (bool, Vec<Model>) {
    let term = rng.random_range(1..5u64);
    if rng.random_bool(0.15) {
        let reset = rng.random_bool(0.3);
        let index = match reset {
            true => model.next_index() + rng.random_range(0..5u64),
            false => rng.random_range(model.first_index() - 1..model.next_index()),
        };
        if index < model.first_index() {
            return (true, vec![model.clone()]);
        }
        let known = model.entries.iter().find(|entry| entry.index == index);
        let term = known.map_or(term, |entry| entry.term);
        let snapshot = Snapshot { index, term, payload: vec![7; rng.random_range(0..300)] };
        let succeeded = log.save_snapshot(&snapshot, reset).is_ok();
        return (succeeded, vec![model.clone(), model.with_snapshot(&snapshot, reset)]);
    }
    let first = rng.random_range(
        model.first_index().max(model.next_index().saturating_sub(3))..=model.next_index(),
    );
    let mut batch = Batch::default();
    if rng.random_bool(0.4) {
        batch.meta = Some(vec![rng.random(), rng.random()]);
    }
    for index in first..first + rng.random_range(0..4u64) {
        let payload = vec![rng.random(); rng.random_range(0..90)];
        batch.entries.push(Entry { index, term, payload });
    }
    (log.append(&batch).is_ok(), model.states_after(&batch))
}

/// Guards against a power loss after which acknowledged entries, metadata or snapshots are missing,
/// and against a torn tail that is reported as corruption.
#[test]
fn append_crash() {
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(60, 21))
        .quickcheck(crashes_keep_acknowledged as fn(u64) -> bool);
}

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, payload: vec![0xab; 40] }
}

fn append_entries(disk: &disk::Fake, entries: u64, segment_bytes: u64) {
    let (mut log, _) = Log::open(disk.clone(), segment_bytes).unwrap();
    for index in 1..=entries {
        log.append(&Batch { meta: None, entries: vec![entry(index)] }).unwrap();
    }
}

/// Guards against truncating the log at a decayed record in its middle, as at a torn tail, which
/// would lose every acknowledged entry after it.
#[test]
fn open_corruption_before_tail() {
    let disk = disk::Fake::new(1);
    append_entries(&disk, 5, 4_096);
    let name = disk.names().unwrap().pop().unwrap();
    let length = disk.read(&name).unwrap().len();
    for position in 32..length - 80 {
        disk.flip(&name, position);
        let opened = Log::open(disk.clone(), 4_096);
        assert!(matches!(opened, Err(Error::Corrupt { .. })), "byte {position}");
        disk.flip(&name, position);
    }
    assert_eq!(Log::open(disk, 4_096).unwrap().1.entries.len(), 5);
}

/// Guards against a damaged or missing older segment that is not reported.
#[test]
fn open_damaged_segments() {
    let mut disk = disk::Fake::new(2);
    append_entries(&disk, 30, SMALL_SEGMENT_BYTES);
    let names = disk.names().unwrap();
    assert!(names.len() > 4);
    let length = disk.read(&names[1]).unwrap().len();
    disk.flip(&names[1], length - 1);
    assert!(matches!(Log::open(disk.clone(), SMALL_SEGMENT_BYTES), Err(Error::Corrupt { .. })));
    disk.flip(&names[1], length - 1);
    disk.rename(&names[1], "elsewhere").unwrap();
    assert!(matches!(Log::open(disk.clone(), SMALL_SEGMENT_BYTES), Err(Error::Corrupt { .. })));
    disk.rename("elsewhere", &names[1]).unwrap();
    disk.remove(&names[0]).unwrap();
    assert!(matches!(Log::open(disk, SMALL_SEGMENT_BYTES), Err(Error::Corrupt { .. })));
}

/// Guards against a replica that cannot be rebuilt after damage, or whose damaged files are deleted.
#[test]
fn set_aside_damaged() {
    let mut disk = disk::Fake::new(3);
    append_entries(&disk, 5, 4_096);
    let name = disk.names().unwrap().pop().unwrap();
    disk.flip(&name, 40);
    assert!(Log::open(disk.clone(), 4_096).is_err());
    assert_eq!(Log::set_aside(&mut disk).unwrap(), 1);
    let (_, recovered) = Log::open(disk.clone(), 4_096).unwrap();
    assert_eq!(recovered, Recovered::default());
    assert!(disk.names().unwrap().contains(&format!("damaged-{name}")));
}

/// Guards against reporting a torn batch at the start of the oldest segment as corruption. The batch
/// before it, from which its number could follow, is in a removed segment.
#[test]
fn open_torn_after_removal() {
    let mut disk = disk::Fake::new(9);
    let (mut log, _) = Log::open(disk.clone(), 4_096).unwrap();
    log.append(&Batch { meta: None, entries: vec![entry(1)] }).unwrap();
    log.save_snapshot(&Snapshot { index: 1, term: 1, payload: Vec::new() }, false).unwrap();
    log.append(&Batch { meta: None, entries: vec![entry(2), entry(3)] }).unwrap();
    disk.flip("segment-00000000000000000002", 50);
    disk.sync_folder().unwrap();
    assert_eq!(Log::open(disk, 4_096).unwrap().1.entries.len(), 0);
}

/// Guards against leaving the readable part of a torn batch in front of later batches, which makes
/// recovery report a second torn tail as corruption.
#[test]
fn open_torn_twice() {
    let mut disk = disk::Fake::new(8);
    let (mut log, _) = Log::open(disk.clone(), 4_096).unwrap();
    let batch = Batch { meta: Some(vec![1]), entries: vec![entry(1), entry(2)] };
    log.append(&batch).unwrap();
    let name = disk.names().unwrap().pop().unwrap();
    let length = disk.read(&name).unwrap().len();
    disk.truncate(&name, length as u64 - 10).unwrap();
    disk.sync(&name).unwrap();

    let (mut log, recovered) = Log::open(disk.clone(), 4_096).unwrap();
    assert_eq!((recovered.meta, recovered.entries.len()), (None, 0));
    log.append(&batch).unwrap();
    disk.flip(&name, 40);
    assert_eq!(Log::open(disk, 4_096).unwrap().1.entries.len(), 0);
}

/// Guards against a release that misreads files in the format of another release.
#[test]
fn open_other_version() {
    let mut disk = disk::Fake::new(4);
    append_entries(&disk, 1, 4_096);
    let name = disk.names().unwrap().pop().unwrap();
    let mut bytes = disk.read(&name).unwrap();
    bytes[8..12].copy_from_slice(&2u32.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[..28]).to_le_bytes();
    bytes[28..32].copy_from_slice(&sum);
    disk.remove(&name).unwrap();
    disk.append(&name, &bytes).unwrap();
    assert!(matches!(Log::open(disk, 4_096), Err(Error::Version { found: 2, .. })));
}

/// Guards against a replica that does not start because a power loss changed the version number in
/// the unsynced header of a new segment.
#[test]
fn open_torn_head() {
    let mut disk = disk::Fake::new(7);
    append_entries(&disk, 2, 4_096);
    let name = disk.names().unwrap().pop().unwrap();
    let mut header = disk.read(&name).unwrap()[..32].to_vec();
    header[10] ^= 16;
    disk.append("segment-00000000000000000002", &header).unwrap();
    let (_, recovered) = Log::open(disk, 4_096).unwrap();
    assert_eq!((recovered.entries.len(), recovered.truncated_bytes), (2, 32));
}

/// Guards against acknowledging a write after a failed sync. The operating system may drop the dirty
/// pages and report the next sync as successful.
#[test]
fn append_failed_sync() {
    let disk = disk::Fake::new(5);
    let (mut log, _) = Log::open(disk.clone(), 4_096).unwrap();
    disk.fail_sync_after(0);
    assert!(matches!(
        log.append(&Batch { meta: None, entries: vec![entry(1)] }),
        Err(Error::Io { operation: "sync", .. })
    ));
    for _ in 0..3 {
        let again = log.append(&Batch { meta: None, entries: vec![entry(1)] });
        assert!(matches!(again, Err(Error::Stopped)));
    }
    let snapshot = Snapshot { index: 1, term: 1, payload: Vec::new() };
    assert!(matches!(log.save_snapshot(&snapshot, false), Err(Error::Stopped)));
}

/// Guards against segments that are not removed after a snapshot covers them.
#[test]
fn save_snapshot_removes_segments() {
    let disk = disk::Fake::new(6);
    append_entries(&disk, 40, SMALL_SEGMENT_BYTES);
    let before = disk.names().unwrap().len();
    let (mut log, _) = Log::open(disk.clone(), SMALL_SEGMENT_BYTES).unwrap();
    let snapshot = Snapshot { index: 38, term: 1, payload: b"state".to_vec() };
    log.save_snapshot(&snapshot, false).unwrap();
    assert!(disk.names().unwrap().len() < before / 2);
    let (_, recovered) = Log::open(disk, SMALL_SEGMENT_BYTES).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.entries, vec![entry(39), entry(40)]);
}

/// Guards against a real folder that behaves differently from the simulated one.
#[test]
fn open_real_folder() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    let open = || Log::open(disk::Real::open(&path).unwrap(), SMALL_SEGMENT_BYTES).unwrap();
    let (mut log, _) = open();
    for index in 1..=20 {
        let meta = Some(vec![1, 2, 3]);
        log.append(&Batch { meta, entries: vec![entry(index)] }).unwrap();
    }
    log.save_snapshot(&Snapshot { index: 10, term: 1, payload: vec![9; 1000] }, false).unwrap();
    drop(log);
    let names = disk::Real::open(&path).unwrap().names().unwrap();
    let name = names.iter().rfind(|name| name.starts_with("segment-")).unwrap();
    disk::Real::open(&path).unwrap().append(name, b"torn").unwrap();
    let (_, recovered) = open();
    assert_eq!(recovered.entries.len(), 10);
    assert_eq!(recovered.meta, Some(vec![1, 2, 3]));
    assert_eq!(recovered.truncated_bytes, 4);
    assert_eq!(open().1.truncated_bytes, 0);
}
