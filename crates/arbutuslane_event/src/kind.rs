//! The kinds of events, each with its name, level and typed fields.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// How much attention an event needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Part of normal operation.
    Routine,
    /// A fault that the fleet handled without an operator.
    Handled,
    /// A condition on which an operator must act, though not at night.
    Action,
}

/// Defines [`Kind`] with the name, level and fields of each variant in one place, so that the log,
/// the JSON form and the parser always agree.
macro_rules! kinds {
    ($($(#[$meta:meta])* $variant:ident = $name:literal, $level:ident {
        $($(#[$field_meta:meta])* $field:ident: $type:ty),+ $(,)?
    })+) => {
        /// The kind of an event with its fields.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum Kind {
            $($(#[$meta])* $variant { $($(#[$field_meta])* $field: $type),+ },)+
        }

        impl Kind {
            /// The names of all kinds.
            pub const NAMES: &[&str] = &[$($name),+];

            /// The levels of all kinds, in the order of [`Self::NAMES`].
            pub const LEVELS: &[Level] = &[$(Level::$level),+];

            /// Returns the name by which the kind is logged, filtered and counted.
            pub fn name(&self) -> &'static str {
                match self { $(Self::$variant { .. } => $name,)+ }
            }

            /// Returns how much attention the kind needs.
            pub fn level(&self) -> Level {
                match self { $(Self::$variant { .. } => Level::$level,)+ }
            }

            /// Returns the names and values of the fields in their order of declaration.
            pub fn fields(&self) -> Vec<(&'static str, String)> {
                match self {
                    $(Self::$variant { $($field),+ } => {
                        vec![$((stringify!($field), $field.to_string())),+]
                    })+
                }
            }

            /// Returns the kind with this name and these fields.
            ///
            /// Returns `None` when the name is unknown or a field is missing or malformed.
            pub fn parse(name: &str, fields: &BTreeMap<String, String>) -> Option<Self> {
                match name {
                    $($name => Some(Self::$variant {
                        $($field: fields.get(stringify!($field))?.parse().ok()?),+
                    }),)+
                    _ => None,
                }
            }
        }
    };
}

kinds! {
    /// A process started.
    Start = "start", Routine {
        /// The version of the program.
        version: String,
        /// The incarnation of the process: its start time in milliseconds since 1970-01-01 UTC.
        incarnation: u64,
    }
    /// A process began a planned stop.
    Stop = "stop", Routine {
        /// Requests in flight, which the process completes before it stops.
        in_flight: u64,
    }
    /// A process completed its planned stop.
    Stopped = "stopped", Routine {
        /// Requests that were interrupted; more than 0 is a defect.
        interrupted: u64,
    }
    /// A backend server announced itself for the first time, or with a new incarnation.
    ServerAnnounced = "server-announced", Routine {
        /// The incarnation of the server.
        incarnation: u64,
        /// Requests that the server runs at a time.
        slots: u32,
    }
    /// A backend server drains: it gets no new requests and completes those in flight.
    Drain = "drain", Routine {
        /// Requests in flight at the server.
        in_flight: u32,
    }
    /// A backend server left.
    ServerLeft = "server-left", Routine {
        /// The incarnation of the server.
        incarnation: u64,
    }
    /// A backend server did not renew its announcement in time.
    LeaseLost = "lease-lost", Handled {
        /// Milliseconds since the last renewal.
        silent_ms: u64,
    }
    /// An unhealthy backend server was ejected.
    Ejection = "ejection", Handled {
        /// The symptom that the detector found.
        reason: Reason,
        /// How unhealthy the server is: 400 times the share of failures, or 10 times the slowdown.
        severity: u32,
        /// The number of the permit that the ejection holds.
        permit: u32,
    }
    /// An unhealthy backend server stays in use, because another ejection would leave its service
    /// with fewer healthy servers than its floor.
    EjectionRefused = "ejection-refused", Action {
        /// The symptom that the detector found.
        reason: Reason,
        /// How unhealthy the server is: 400 times the share of failures, or 10 times the slowdown.
        severity: u32,
    }
    /// An ejected backend server was returned to use.
    Return = "return", Handled {
        /// Why it returned.
        cause: Cause,
        /// Milliseconds for which the server was ejected.
        out_ms: u64,
    }
    /// A request crashed a backend server.
    Strike = "strike", Handled {
        /// The fingerprint of the request in hexadecimal digits.
        fingerprint: String,
        /// The number of crashes attributed to the fingerprint.
        strikes: u32,
    }
    /// A request that crashed two backend servers is refused on all nodes.
    RequestQuarantined = "request-quarantined", Action {
        /// The fingerprint of the request in hexadecimal digits.
        fingerprint: String,
        /// Seconds until the quarantine ends.
        for_s: u64,
    }
    /// The retry budget of a service was exhausted.
    RetryBudgetSpent = "retry-budget-spent", Handled {
        /// Retries that were not sent since the last event of this kind.
        suppressed: u64,
    }
    /// Many requests were refused without having run.
    NotRunBurst = "not-run-burst", Handled {
        /// Requests that were refused.
        count: u64,
        /// The most frequent cause.
        cause: String,
        /// The length of the interval in milliseconds.
        window_ms: u64,
    }
    /// Requests ended with an unknown outcome.
    UnknownBurst = "unknown-burst", Handled {
        /// Requests whose outcome is unknown.
        count: u64,
        /// The most frequent cause.
        cause: String,
        /// The length of the interval in milliseconds.
        window_ms: u64,
    }
    /// A node joined or restarted.
    NodeJoined = "node-joined", Routine {
        /// The name of the node.
        node: String,
        /// The incarnation of the node.
        incarnation: u64,
    }
    /// A node responds neither to direct probes nor to probes through other processes.
    NodeSuspected = "node-suspected", Handled {
        /// The name of the node.
        node: String,
    }
    /// A suspected node refuted the suspicion.
    NodeRefuted = "node-refuted", Routine {
        /// The name of the node.
        node: String,
    }
    /// A suspected node was declared dead.
    NodeDead = "node-dead", Handled {
        /// The name of the node.
        node: String,
    }
    /// A control instance follows another leader.
    LeaderChange = "leader-change", Handled {
        /// The term of the leader.
        term: u64,
        /// The id of the leader.
        leader: String,
    }
    /// A control instance has not heard from a majority.
    ReplicaIsolated = "replica-isolated", Action {
        /// Milliseconds since the instance last heard from a majority.
        silent_ms: u64,
    }
    /// A control instance hears from a majority again.
    ReplicaRejoined = "replica-rejoined", Routine {
        /// Milliseconds for which the instance was isolated.
        out_ms: u64,
    }
    /// A node reaches no control instance.
    ControlUnreachable = "control-unreachable", Action {
        /// Milliseconds since the last contact.
        silent_ms: u64,
    }
    /// A node reaches a control instance again.
    ControlReachable = "control-reachable", Routine {
        /// Milliseconds for which the node had no contact.
        out_ms: u64,
    }
    /// A change of the catalogue was accepted.
    ChangeAccepted = "change-accepted", Routine {
        /// The revision that the change made.
        revision: u64,
        /// The id of the change.
        change_id: String,
        /// The operator who made the change.
        author: String,
    }
    /// A change of the catalogue was refused, because another change from the same base revision
    /// was accepted first.
    ChangeRefused = "change-refused", Routine {
        /// The current revision.
        revision: u64,
        /// The id of the refused change.
        change_id: String,
        /// The operator who made the change.
        author: String,
    }
    /// A process put a catalogue revision into force.
    RevisionInForce = "revision-in-force", Routine {
        /// The revision.
        revision: u64,
    }
    /// A register group has a new member.
    GroupChanged = "group-changed", Routine {
        /// The shard.
        shard: u32,
        /// The epoch of the group with the new member.
        epoch: u64,
    }
    /// An operator reset a register group: keys claimed in the last 24 h are not protected.
    GroupReset = "group-reset", Action {
        /// The shard.
        shard: u32,
        /// The epoch that the reset made.
        epoch: u64,
        /// The id of the change.
        change_id: String,
        /// The operator who made the change.
        author: String,
    }
    /// A register replica has fetched the registers of its shard and now votes.
    RegistersRecovered = "registers-recovered", Routine {
        /// The shard.
        shard: u32,
        /// The number of registers in the replica.
        registers: u64,
    }
    /// A shard has no quorum, so its keyed bookings are refused as not run.
    RegistersUnavailable = "registers-unavailable", Action {
        /// The shard.
        shard: u32,
    }
    /// Storage failed. An instance that stores a catalogue stops; one that stores items goes on
    /// without storing anything.
    DiskFault = "disk-fault", Action {
        /// What failed.
        detail: String,
    }
    /// The storage of an instance takes writes again.
    DiskRegained = "disk-regained", Routine {
        /// The number of items that were written again.
        items: u64,
    }
}

/// Defines an enum without fields, with one table of names for its display form and its parser.
macro_rules! named_enum {
    ($(#[$meta:meta])* $type:ident { $($(#[$variant_meta:meta])* $variant:ident = $name:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $type { $($(#[$variant_meta])* $variant,)+ }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(match self { $(Self::$variant => $name,)+ })
            }
        }

        impl FromStr for $type {
            type Err = ();

            fn from_str(name: &str) -> Result<Self, ()> {
                match name { $($name => Ok(Self::$variant),)+ _ => Err(()) }
            }
        }
    };
}

named_enum! {
    /// The symptom that the detector found on a backend server.
    Reason {
        /// Too many requests failed.
        Failures = "failures",
        /// Requests were slower than the peers' 90th percentile too often.
        Slowness = "slowness",
        /// Requests in flight got no response.
        Hanging = "hanging",
    }
}

named_enum! {
    /// Why an ejected backend server is in use again.
    Cause {
        /// Its trial requests succeeded.
        Trials = "trials",
        /// Its permit was not renewed, because of a partition, a raised floor or the loss of other
        /// servers.
        PermitLost = "permit-lost",
        /// A more severely unhealthy server needed the permit.
        Yielded = "yielded",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a field whose printed form the parser does not accept.
    #[test]
    fn parse_round_trip() {
        let kinds = [
            Kind::Ejection { reason: Reason::Hanging, severity: 91, permit: 2 },
            Kind::Return { cause: Cause::PermitLost, out_ms: 7_000 },
            Kind::DiskFault { detail: "fsync failed: \"EIO\" = 5".to_string() },
        ];
        for kind in kinds {
            let fields: BTreeMap<String, String> =
                kind.fields().into_iter().map(|(key, value)| (key.to_string(), value)).collect();
            assert_eq!(Kind::parse(kind.name(), &fields), Some(kind));
        }
    }

    /// Guards against two kinds with the same name, of which the parser would return only the
    /// first.
    #[test]
    fn names_unique() {
        let mut names = Kind::NAMES.to_vec();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), Kind::NAMES.len());
    }
}
