//! Tests of the log, with departures, on a fake disk.

use arbutuslane_core::rng;
use arbutuslane_event::clock::wall_ms;
use arbutuslane_member::departure::{Departure, Keeper, RETENTION, Stage};
use arbutuslane_record::prelude::{Identity, Strike, Strikes};
use arbutuslane_record::strike::Crash;
use rand::RngExt;

use super::super::kept::OfNode;
use super::*;

type DepartureLog<F> = KeptLog<F, Keeper>;

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

/// Guards against strikes that do not outlast the end of all processes, and against a cleared strike that comes
/// back with the log.
#[test]
fn open_strikes() {
    let disk = disk::Fake::new(5);
    let crash = |server: &str| Crash { server: server.to_string(), incarnation: 1, variant: 1 };
    let identity = Identity { request: 7, variant: 1 };
    let now = Time::ZERO;
    let (mut log, _) = KeptLog::<_, Strikes>::open(disk.clone(), true, now).unwrap();
    let mut known = Strikes::default();
    for server in ["s1", "s2"] {
        let strike = Strike::new(7, crash(server)).at(wall_ms());
        log.write(&[(vec![known.strike(now, strike)], now)]).unwrap();
    }
    let expired = Strike::new(8, crash("s1")).at(wall_ms() - 3_600_000);
    log.write(&[(vec![expired], now)]).unwrap();
    log.write(&[(known.clear(identity, &[crash("s1")]), now)]).unwrap();
    drop(log);
    disk.crash();
    let (log, _) = KeptLog::<_, Strikes>::open(disk, false, now).unwrap();
    assert_eq!(log.kept.known(now, identity), [crash("s2")]);
    assert!(log.kept.known(now, Identity { request: 8, variant: 1 }).is_empty());
}
