//! Tests of the log of departures on a fake disk.

use arbutuslane_core::rng;
use arbutuslane_member::departure::{Departure, RETENTION, Stage};
use rand::RngExt;

use super::*;

fn of_node(number: u64) -> OfNode {
    let server = format!("s{number}");
    (
        format!("n{}", number % 3),
        vec![Departure { server, incarnation: number, stage: Stage::Left }],
    )
}

/// Guards against a departure that was reported as durable, on a disk that is full at any moment, and is
/// missing after a loss of power.
#[test]
fn write_power_lost() {
    for seed in 0..200 {
        let mut rng = rng::seeded(seed);
        let disk = disk::Fake::new(seed);
        let now = Time::ZERO;
        let (mut log, _) = DepartureLog::open(disk.clone(), false, now).unwrap();
        let mut durable = Vec::new();
        for number in 0..60 {
            match rng.random_range(0..10) {
                0 => disk.set_full(true),
                1 => disk.set_full(false),
                2 => log.reopen(now),
                3 => {
                    drop(log);
                    disk.crash();
                    let (opened, recovered) = DepartureLog::open(disk.clone(), false, now).unwrap();
                    log = opened;
                    assert!(log.is_complete(), "seed {seed}");
                    for known in &durable {
                        let is_found = recovered.iter().any(|found: &OfNode| {
                            let (node, departures): &OfNode = known;
                            found.0 == *node && departures.iter().all(|one| found.1.contains(one))
                        });
                        assert!(is_found, "seed {seed}: {known:?} is lost");
                    }
                }
                _ => {
                    let written = of_node(number);
                    if log.write(&[(written.clone(), now)]).is_ok() {
                        durable.push(written);
                    }
                }
            }
        }
    }
}

/// Guards against a log that grows with each departure, or comes back with those of long ago.
#[test]
fn write_snapshot() {
    let disk = disk::Fake::new(1);
    let (mut log, _) = DepartureLog::open(disk.clone(), false, Time::ZERO).unwrap();
    let later = Time::ZERO + RETENTION;
    for number in 0..=ENTRIES_BEFORE_SNAPSHOT {
        let now = if number < ENTRIES_BEFORE_SNAPSHOT - 1 { Time::ZERO } else { later };
        log.write(&[(of_node(number), now)]).unwrap();
    }
    drop(log);
    let (_, recovered) = DepartureLog::open(disk, false, later).unwrap();
    assert_eq!(recovered, [of_node(1_023), of_node(1_024)]);
}

/// Guards against a damaged log that counts as whole, or that keeps the instance from starting.
#[test]
fn open_damaged() {
    let disk = disk::Fake::new(3);
    let (mut log, _) = DepartureLog::open(disk.clone(), false, Time::ZERO).unwrap();
    for number in 0..20 {
        log.write(&[(of_node(number), Time::ZERO)]).unwrap();
    }
    drop(log);
    let name = disk.names().unwrap().pop().unwrap();
    let middle = disk.read(&name).unwrap().len() / 2;
    disk.flip(&name, middle);
    let (log, recovered) = DepartureLog::open(disk.clone(), false, Time::ZERO).unwrap();
    assert!(!log.is_complete());
    assert_eq!(recovered.len(), 19);
    disk.crash();
    check_completion(&disk);
}

/// Guards against an emptied disk that counts as whole after the next start, although departures from
/// before the loss still matter.
#[test]
fn open_emptied() {
    let disk = disk::Fake::new(4);
    let (log, _) = DepartureLog::open(disk.clone(), true, Time::ZERO).unwrap();
    assert!(!log.is_complete());
    drop(log);
    disk.crash();
    check_completion(&disk);
}

/// Checks that an incomplete log stays so in later starts until it is set complete.
fn check_completion(disk: &disk::Fake) {
    let (mut log, _) = DepartureLog::open(disk.clone(), false, Time::ZERO).unwrap();
    assert!(!log.is_complete());
    log.set_complete();
    drop(log);
    disk.crash();
    let (log, _) = DepartureLog::open(disk.clone(), false, Time::ZERO).unwrap();
    assert!(log.is_complete());
}
