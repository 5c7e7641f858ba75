//! Properties of the life cycle of an ejection.

use std::time::Duration;

use arbutuslane_catalogue::prelude::Class;
use arbutuslane_health::ejection::{Permission, TrialResult};
use arbutuslane_health::prelude::*;
use quickcheck::{Gen, QuickCheck};

const SUSPICION: Suspicion = Suspicion { kind: Kind::Failing, severity: 400 };

fn ejected(now: Duration) -> Stage {
    let stage = Stage::new(now).step(StageEvent::Evaluated(Some(SUSPICION)), now);
    stage.step(StageEvent::PermitGranted, now)
}

/// Guards against ordinary work on an ejected server, a non-idempotent trial, two trials at once, a
/// return after fewer than five consecutive good trials, and an ejection without a granted permit.
fn cycle_holds(steps: Vec<(u8, u16)>) -> bool {
    let mut now = Duration::ZERO;
    let mut stage = Stage::new(now);
    let mut running = false;
    let mut good = 0;
    for (action, wait) in steps {
        now += Duration::from_millis(u64::from(wait % 2_000));
        let before = stage;
        let event = match action % 9 {
            0 => Some(StageEvent::Evaluated(Some(SUSPICION))),
            1 | 2 => Some(StageEvent::Evaluated(None)),
            3 => Some(StageEvent::PermitGranted),
            4 if wait % 5 == 0 => Some(StageEvent::PermitLost),
            5 if running => Some(StageEvent::TrialEnded(TrialResult::Good)),
            6 if running && wait % 4 == 0 => Some(StageEvent::TrialEnded(TrialResult::Failed)),
            _ => None,
        };
        if let Some(event) = event {
            stage = stage.step(event, now);
            if let StageEvent::TrialEnded(result) = event {
                running = false;
                good = if result == TrialResult::Good { good + 1 } else { 0 };
            }
            if !before.is_ejected()
                && stage.is_ejected()
                && !matches!(event, StageEvent::PermitGranted)
            {
                return false;
            }
            let returned =
                matches!(before, Stage::Trial(_)) && matches!(stage, Stage::Returning(_));
            if returned && matches!(event, StageEvent::TrialEnded(_)) && good < 5 {
                return false;
            }
            if !matches!(stage, Stage::Trial(_)) {
                running = false;
                good = 0;
            }
            continue;
        }
        let class = if wait % 3 == 0 { Class::NonIdempotent } else { Class::Idempotent };
        match stage.admit(class, action % 2 == 0, now) {
            Permission::Work if stage.is_ejected() => return false,
            Permission::Trial => {
                if class == Class::NonIdempotent || running {
                    return false;
                }
                running = true;
            }
            _ => {}
        }
    }
    true
}

#[test]
fn stage_random_schedule() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 61))
        .tests(1_000)
        .quickcheck(cycle_holds as fn(Vec<(u8, u16)>) -> bool);
}

/// Guards against trials closer together than 500 ms within one ejection.
#[test]
fn trial_spacing() {
    let mut stage = ejected(Duration::ZERO);
    let mut now = Duration::from_secs(5);
    stage = stage.step(StageEvent::Evaluated(None), now);
    let mut last: Option<Duration> = None;
    let mut trials = 0;
    while trials < 4 {
        if stage.admit(Class::Idempotent, true, now) == Permission::Trial {
            assert!(last.is_none_or(|last| now - last >= Duration::from_millis(500)));
            last = Some(now);
            trials += 1;
            stage = stage.step(StageEvent::TrialEnded(TrialResult::Good), now);
        }
        now += Duration::from_millis(10);
    }
}

/// Guards against an ejection that outlasts its permit: the server must accept requests at once.
#[test]
fn lost_permit() {
    let now = Duration::from_secs(1);
    let mut stage = ejected(now);
    assert_eq!(stage.admit(Class::Idempotent, true, now), Permission::Refused);
    stage = stage.step(StageEvent::PermitLost, now);
    assert_eq!(stage.admit(Class::NonIdempotent, false, now), Permission::Work);
}

/// Guards against hold times that do not double, exceed 5 min, or never fall again.
#[test]
fn hold_doubles() {
    let mut now = Duration::ZERO;
    let mut stage = Stage::new(now);
    let mut holds = Vec::new();
    for _ in 0..9 {
        stage = stage
            .step(StageEvent::Evaluated(Some(SUSPICION)), now)
            .step(StageEvent::PermitGranted, now);
        let Stage::Ejected(ejection) = stage else { panic!("{stage:?}") };
        holds.push((ejection.until() - now).as_secs());
        now = ejection.until();
        stage = stage.step(StageEvent::PermitLost, now);
    }
    assert_eq!(holds, [5, 10, 20, 40, 80, 160, 300, 300, 300]);
    now += Duration::from_secs(4 * 3_600);
    stage = stage
        .step(StageEvent::Evaluated(Some(SUSPICION)), now)
        .step(StageEvent::PermitGranted, now);
    let Stage::Ejected(ejection) = stage else { panic!("{stage:?}") };
    assert_eq!((ejection.until() - now).as_secs(), 5);
}

/// Guards against non-idempotent requests on a server that has just passed its trials, and against
/// a server that never returns because its service has non-idempotent requests only.
#[test]
fn return_order() {
    let mut now = Duration::from_secs(5);
    let mut stage = ejected(Duration::ZERO).step(StageEvent::Evaluated(None), now);
    for _ in 0..5 {
        now += Duration::from_millis(500);
        assert_eq!(stage.admit(Class::Idempotent, true, now), Permission::Trial);
        stage = stage.step(StageEvent::TrialEnded(TrialResult::Good), now);
    }
    assert_eq!(stage.admit(Class::Idempotent, false, now), Permission::Work);
    assert_eq!(stage.admit(Class::NonIdempotent, false, now), Permission::Refused);
    now += Duration::from_secs(5);
    assert_eq!(stage.admit(Class::NonIdempotent, false, now), Permission::Work);

    let mut untried =
        ejected(Duration::ZERO).step(StageEvent::Evaluated(None), Duration::from_secs(5));
    untried = untried.step(StageEvent::Evaluated(None), Duration::from_secs(15));
    let permission = untried.admit(Class::NonIdempotent, false, Duration::from_secs(15));
    assert_eq!(permission, Permission::Work);
    assert_eq!(untried.ramp_percent(Duration::from_secs(15)), 20);
}
