//! Records what becomes of servers' ejections as events.

use std::collections::BTreeMap;
use std::time::Duration;

use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;
use arbutuslane_event::kind::{Cause, Kind, Reason};
use arbutuslane_health::detector::{self, Suspicion};

/// How long a server awaits a permit before operators are told that it stays in use.
///
/// It is the lease of a permit: a permit that another server gave up is free by then.
const REFUSED_AFTER: Duration = Duration::from_secs(3);

/// What is known of the servers that are ejected or await a permit.
#[derive(Debug, Default)]
pub(super) struct Watch {
    servers: BTreeMap<ServerId, Seen>,
}

/// One look at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Look {
    /// The evidence, while the server awaits a permit.
    pub(super) claim: Option<Suspicion>,
    /// Whether the server is ejected.
    pub(super) ejected: bool,
    /// The number of its permit, while it holds one.
    pub(super) permit: Option<u32>,
}

#[derive(Debug)]
struct Seen {
    since: Time,
    ejected: bool,
    told: bool,
}

impl Watch {
    /// Takes in a look at `server` and returns what happened to it.
    pub(super) fn look(&mut self, server: &str, look: Look, now: Time) -> Option<Kind> {
        let before = self.servers.get_mut(server);
        match (before, look.ejected, look.claim) {
            (Some(seen), false, claim) if seen.ejected => {
                let out_ms = u64::try_from(now.saturating_sub(seen.since).as_millis());
                // A return after trials comes while the permit is still held.
                let cause = match look.permit {
                    Some(_) if claim.is_none() => Cause::Trials,
                    _ => Cause::PermitLost,
                };
                self.servers.remove(server);
                Some(Kind::Return { cause, out_ms: out_ms.unwrap_or(u64::MAX) })
            }
            (Some(seen), true, _) if seen.ejected => None,
            (_, true, claim) => {
                let seen = Seen { since: now, ejected: true, told: true };
                self.servers.insert(server.to_string(), seen);
                let permit = look.permit.unwrap_or_default();
                let severity = claim.map_or(0, |claim| claim.severity);
                Some(Kind::Ejection { reason: reason(claim), severity, permit })
            }
            (Some(seen), false, Some(claim)) => {
                if seen.told || now.saturating_sub(seen.since) < REFUSED_AFTER {
                    return None;
                }
                seen.told = true;
                let (reason, severity) = (reason(Some(claim)), claim.severity);
                Some(Kind::EjectionRefused { reason, severity })
            }
            (None, false, Some(_)) => {
                let seen = Seen { since: now, ejected: false, told: false };
                self.servers.insert(server.to_string(), seen);
                None
            }
            (_, false, None) => {
                self.servers.remove(server);
                None
            }
        }
    }

    /// Forgets the servers that `keep` does not select.
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

    fn at(watch: &mut Watch, ms: u64, claim: Option<Suspicion>, permit: Option<u32>) -> String {
        let look = Look { claim, ejected: permit.is_some(), permit };
        let kind = watch.look("a", look, Duration::from_millis(ms));
        kind.map_or(String::new(), |kind| kind.name().to_string())
    }

    /// Guards against an ejection or return that is told twice or never.
    #[test]
    fn look_ejection_and_return() {
        let mut watch = Watch::default();
        assert_eq!(at(&mut watch, 0, CLAIM, None), "");
        assert_eq!(at(&mut watch, 50, CLAIM, Some(1)), "ejection");
        assert_eq!(at(&mut watch, 100, None, Some(1)), "");
        let look = Look { claim: None, ejected: false, permit: Some(1) };
        assert_eq!(
            watch.look("a", look, Duration::from_millis(6_050)),
            Some(Kind::Return { cause: Cause::Trials, out_ms: 6_000 })
        );
        assert_eq!(at(&mut watch, 6_100, None, None), "");
    }

    /// Guards against a server that stays in use at the floor without a word, or with one line for
    /// each judgement.
    #[test]
    fn look_refused() {
        let mut watch = Watch::default();
        let mut told = Vec::new();
        for step in 0..200 {
            told.push(at(&mut watch, step * 50, CLAIM, None));
        }
        let first = told.iter().position(|name| name == "ejection-refused");
        assert_eq!(first, Some(60));
        assert_eq!(told.iter().filter(|name| !name.is_empty()).count(), 1);
    }
}
