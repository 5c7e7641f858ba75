//! Formats the counts of services and of the fleet as sentences.

use std::collections::BTreeMap;

use arbutuslane_event::kind::Kind;

use crate::when;

/// The counts of events of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceCounts {
    ejections: u64,
    ejection_reasons: BTreeMap<String, u64>,
    return_causes: BTreeMap<String, u64>,
    /// The total time that servers were out of use before they returned, in milliseconds.
    out_of_use_ms: u64,
    ejections_refused: u64,
    leases_lost: u64,
    servers_left: u64,
    requests_not_run: u64,
    unknown_outcomes: u64,
    retries_suppressed: u64,
    strikes: u64,
}

impl ServiceCounts {
    /// Counts an event about the service.
    pub(super) fn count(&mut self, kind: &Kind) {
        match kind {
            Kind::Ejection { reason, .. } => {
                self.ejections += 1;
                *self.ejection_reasons.entry(reason.to_string()).or_default() += 1;
            }
            Kind::Return { cause, out_ms } => {
                *self.return_causes.entry(cause.to_string()).or_default() += 1;
                self.out_of_use_ms += out_ms;
            }
            Kind::EjectionRefused { .. } => self.ejections_refused += 1,
            Kind::LeaseLost { .. } => self.leases_lost += 1,
            Kind::ServerLeft { .. } => self.servers_left += 1,
            Kind::NotRunBurst { count, .. } => self.requests_not_run += count,
            Kind::UnknownBurst { count, .. } => self.unknown_outcomes += count,
            Kind::RetryBudgetSpent { suppressed } => self.retries_suppressed += suppressed,
            Kind::Strike { .. } => self.strikes += 1,
            _ => {}
        }
    }

    /// Returns a sentence about each count of the service `name` that is not zero.
    pub(super) fn sentences(&self, name: &str) -> Vec<String> {
        let mut sentences = Vec::new();
        if self.ejections > 0 {
            sentences.push(format!(
                "{name}: {} ({}).",
                plural(self.ejections, "ejection", "ejections"),
                format_counts(&self.ejection_reasons)
            ));
        }
        if !self.return_causes.is_empty() {
            sentences.push(format!(
                "{name}: {} ({}), after {} out of use in total.",
                plural(self.return_causes.values().sum(), "return to use", "returns to use"),
                format_counts(&self.return_causes),
                when::format_duration(self.out_of_use_ms)
            ));
        }
        let counts = [
            (
                self.ejections_refused,
                "ejection refused at the floor",
                "ejections refused at the floor",
            ),
            (self.leases_lost, "server stopped renewing", "servers stopped renewing"),
            (self.servers_left, "server left as planned", "servers left as planned"),
            (self.requests_not_run, "request refused as not run", "requests refused as not run"),
            (
                self.unknown_outcomes,
                "request with unknown outcome",
                "requests with unknown outcome",
            ),
            (self.retries_suppressed, "retry suppressed", "retries suppressed"),
            (self.strikes, "crash of a server in mid-request", "crashes of servers in mid-request"),
        ];
        for (count, one, many) in counts {
            if count > 0 {
                sentences.push(format!("{name}: {}.", plural(count, one, many)));
            }
        }
        sentences
    }
}

/// Returns sentences about the counts of instances and changes, by the name of the kind of event.
pub(super) fn fleet_sentences(counts: &BTreeMap<&'static str, u64>) -> Vec<String> {
    let kinds = [
        ("start", "instance started", "instances started"),
        ("stopped", "instance stopped as planned", "instances stopped as planned"),
        ("node-dead", "node declared dead", "nodes declared dead"),
        ("leader-change", "election of a control leader", "elections of a control leader"),
        ("change-refused", "change lost against another one", "changes lost against another one"),
    ];
    let mut sentences = Vec::new();
    for (kind, one, many) in kinds {
        if let Some(count) = counts.get(kind) {
            sentences.push(format!("Fleet: {}.", plural(*count, one, many)));
        }
    }
    sentences
}

fn plural(count: u64, one: &str, many: &str) -> String {
    format!("{count} {}", if count == 1 { one } else { many })
}

fn format_counts(counts: &BTreeMap<String, u64>) -> String {
    let parts: Vec<String> = counts.iter().map(|(name, count)| format!("{count} {name}")).collect();
    parts.join(", ")
}
