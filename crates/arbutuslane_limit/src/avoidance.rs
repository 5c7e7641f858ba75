//! The servers of a service that an entry avoids for a while.

use std::time::Duration;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::id::ServerId;
use arbutuslane_core::time::Time;

use crate::attempts::Untried;

/// How long a server that shed load or has moved is avoided; server lists are exchanged within 1 s.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// The longest time for which a server that fails most requests, or that states a limit, is avoided
/// without asking its owner again. Such a state lasts for some seconds, and a server that has left it
/// should not stay unused for long.
const MAX_STATED_DURATION: Duration = Duration::from_secs(2);

/// Why a server is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Avoidance {
    /// It has moved, left or cannot be reached.
    Gone,
    /// It fails most requests, and is tried again after this time.
    Suspect(Duration),
    /// It states a limit, which lets another request start after this time.
    Limited(Duration),
    /// It sheds load or is silent.
    Overloaded,
}

/// Which avoided servers a selection excludes, besides the servers that were already tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exclusion {
    /// All avoided servers.
    Avoided,
    /// The avoided servers that are gone.
    Gone,
    /// No avoided servers.
    Tried,
}

/// The servers of one service that are avoided.
#[derive(Debug, Default)]
pub struct AvoidedServers(Vec<AvoidedServer>);

#[derive(Debug)]
struct AvoidedServer {
    server: ServerId,
    until: Time,
    reason: Avoidance,
}

impl AvoidedServers {
    /// Avoids `server` from `now` on, for a time that depends on the reason.
    pub fn add(&mut self, server: &str, reason: Avoidance, now: Time) {
        if reason != Avoidance::Gone && !Mechanism::Avoidance.is_on() {
            return;
        }
        self.0.retain(|avoided| avoided.server != server && now < avoided.until);
        let duration = match reason {
            Avoidance::Suspect(wait) | Avoidance::Limited(wait) => wait.min(MAX_STATED_DURATION),
            Avoidance::Gone | Avoidance::Overloaded => AVOID_DURATION,
        };
        let (server, until) = (server.to_string(), now + duration);
        self.0.push(AvoidedServer { server, until, reason });
    }

    /// Returns why `server` is avoided at `now`, or `None` if it is not.
    pub fn reason(&self, server: &str, now: Time) -> Option<Avoidance> {
        let avoided = self.0.iter().find(|avoided| avoided.server == server)?;
        (now < avoided.until).then_some(avoided.reason)
    }

    /// Selects a server with `pick`, which gets the servers that it must not use. Servers that are avoided
    /// are used only when no other one is left.
    pub fn select<T>(
        &self,
        tried: &[ServerId],
        now: Time,
        mut pick: impl FnMut(&[ServerId]) -> Option<T>,
    ) -> Option<T> {
        for exclusion in [Exclusion::Avoided, Exclusion::Gone, Exclusion::Tried] {
            // A request that other servers refused has no time left for a server that is gone.
            if exclusion == Exclusion::Tried && !tried.is_empty() {
                break;
            }
            if let Some(picked) = pick(&self.excluded(exclusion, tried, now)) {
                return Some(picked);
            }
        }
        None
    }

    /// Returns which of `servers` are neither in `tried` nor gone.
    pub fn untried<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a ServerId>,
        tried: &[ServerId],
        now: Time,
    ) -> Untried {
        let mut untried = Untried { any: false, trusted: false };
        for server in servers {
            if tried.contains(server) {
                continue;
            }
            match self.reason(server, now) {
                // An owner that has said when its server's limit lets a request start is not asked before.
                Some(Avoidance::Gone | Avoidance::Limited(_)) => continue,
                Some(Avoidance::Suspect(_)) => untried.any = true,
                Some(Avoidance::Overloaded) | None => return Untried { any: true, trusted: true },
            }
        }
        untried
    }

    /// Returns the servers that a selection must not use: those in `tried` and the avoided ones that
    /// `exclusion` names.
    fn excluded(&self, exclusion: Exclusion, tried: &[ServerId], now: Time) -> Vec<ServerId> {
        let mut excluded = tried.to_vec();
        for avoided in &self.0 {
            let is_excluded = match exclusion {
                Exclusion::Avoided => true,
                Exclusion::Gone => avoided.reason == Avoidance::Gone,
                Exclusion::Tried => false,
            };
            if is_excluded && now < avoided.until {
                excluded.push(avoided.server.clone());
            }
        }
        excluded
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against questions to an owner that has said when its server is tried again, and against
    /// a server that stays unused for long after it has recovered.
    #[test]
    fn add_suspect() {
        let mut avoided = AvoidedServers::default();
        let millis = Duration::from_millis;
        avoided.add("a", Avoidance::Suspect(millis(400)), millis(0));
        avoided.add("b", Avoidance::Suspect(millis(60_000)), millis(0));
        avoided.add("c", Avoidance::Gone, millis(0));
        assert_eq!(avoided.excluded(Exclusion::Avoided, &[], millis(300)), ["a", "b", "c"]);
        assert_eq!(avoided.excluded(Exclusion::Gone, &[], millis(300)), ["c"]);
        assert_eq!(avoided.reason("a", millis(500)), None);
        assert!(avoided.reason("b", millis(1_500)).is_some());
        assert!(avoided.excluded(Exclusion::Avoided, &[], millis(2_500)).is_empty());
    }
}
