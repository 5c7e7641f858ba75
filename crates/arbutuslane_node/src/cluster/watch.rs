//! Turns the changes of servers' ejections into events.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;
use arbutuslane_event::kind::{Cause, Kind, Reason};
use arbutuslane_health::detector::{self, Suspicion};

/// How long a server awaits a permit before an event reports that it stays in use.
///
/// This is the lease of a permit: a permit that another server released is free by then.
const REPORT_REFUSED_AFTER: Duration = Duration::from_secs(3);

/// The servers that are ejected or await a permit.
#[derive(Debug, Default)]
pub(super) struct EjectionWatch {
    servers: BTreeMap<ServerId, Tracked>,
}

/// The state of a server's ejection at one judgement.
#[derive(Debug, Clone, Copy)]
pub(super) struct EjectionView {
    /// The evidence, while the server awaits a permit.
    pub(super) claim: Option<Suspicion>,
    /// Whether the server is ejected.
    pub(super) ejected: bool,
    /// The number of its permit, while its owner holds one.
    pub(super) permit: Option<u32>,
}

#[derive(Debug)]
struct Tracked {
    since: Time,
    ejected: bool,
    is_reported: bool,
}

impl EjectionWatch {
    /// Records the current state of `server` and returns the event that follows from the change.
    pub(super) fn observe(&mut self, server: &str, view: EjectionView, now: Time) -> Option<Kind> {
        let previous = self.servers.get_mut(server);
        match (previous, view.ejected, view.claim) {
            (Some(tracked), false, claim) if tracked.ejected => {
                let out_ms = u64::try_from(now.saturating_sub(tracked.since).as_millis());
                // After successful trials, a server returns while its permit is still held.
                let cause = match view.permit {
                    Some(_) if claim.is_none() => Cause::Trials,
                    _ => Cause::PermitLost,
                };
                self.servers.remove(server);
                Some(Kind::Return { cause, out_ms: out_ms.unwrap_or(u64::MAX) })
            }
            (Some(tracked), true, _) if tracked.ejected => None,
            (_, true, claim) => {
                let tracked = Tracked { since: now, ejected: true, is_reported: true };
                self.servers.insert(server.to_string(), tracked);
                let permit = view.permit.unwrap_or_default();
                let severity = claim.map_or(0, |claim| claim.severity);
                Some(Kind::Ejection { reason: reason(claim), severity, permit })
            }
            (Some(tracked), false, Some(claim)) => {
                if tracked.is_reported || now.saturating_sub(tracked.since) < REPORT_REFUSED_AFTER {
                    return None;
                }
                tracked.is_reported = true;
                let (reason, severity) = (reason(Some(claim)), claim.severity);
                Some(Kind::EjectionRefused { reason, severity })
            }
            (None, false, Some(_)) => {
                let tracked = Tracked { since: now, ejected: false, is_reported: false };
                self.servers.insert(server.to_string(), tracked);
                None
            }
            (_, false, None) => {
                self.servers.remove(server);
                None
            }
        }
    }

    /// Removes the servers for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}

fn reason(claim: Option<Suspicion>) -> Reason {
    match claim.map(|claim| claim.kind) {
        Some(detector::Kind::Slow) => Reason::Slowness,
        Some(detector::Kind::Failing) | None => Reason::Failures,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CLAIM: Option<Suspicion> =
        Some(Suspicion { kind: detector::Kind::Failing, severity: 400 });

    fn at(
        watch: &mut EjectionWatch,
        ms: u64,
        claim: Option<Suspicion>,
        permit: Option<u32>,
    ) -> String {
        let view = EjectionView { claim, ejected: permit.is_some(), permit };
        let kind = watch.observe("a", view, Duration::from_millis(ms));
        kind.map_or(String::new(), |kind| kind.name().to_string())
    }

    /// Guards against an ejection or return that is reported twice or never.
    #[test]
    fn look_ejection_and_return() {
        let mut watch = EjectionWatch::default();
        assert_eq!(at(&mut watch, 0, CLAIM, None), "");
        assert_eq!(at(&mut watch, 50, CLAIM, Some(1)), "ejection");
        assert_eq!(at(&mut watch, 100, None, Some(1)), "");
        let view = EjectionView { claim: None, ejected: false, permit: Some(1) };
        assert_eq!(
            watch.observe("a", view, Duration::from_millis(6_050)),
            Some(Kind::Return { cause: Cause::Trials, out_ms: 6_000 })
        );
        assert_eq!(at(&mut watch, 6_100, None, None), "");
    }

    /// Guards against a server that stays in use at its service's floor without an event, or with
    /// one event for each judgement.
    #[test]
    fn look_refused() {
        let mut watch = EjectionWatch::default();
        let mut events = Vec::new();
        for step in 0..200 {
            events.push(at(&mut watch, step * 50, CLAIM, None));
        }
        let first = events.iter().position(|name| name == "ejection-refused");
        assert_eq!(first, Some(60));
        assert_eq!(events.iter().filter(|name| !name.is_empty()).count(), 1);
    }
}
