//! Sentences with figures about services and the fleet.

use std::collections::BTreeMap;

use arbutuslane_event::kind::Kind;

use crate::when;

/// Figures about one service.
#[derive(Debug, Default)]
pub(super) struct Service {
    ejections: u64,
    reasons: BTreeMap<String, u64>,
    returns: BTreeMap<String, u64>,
    out_ms: u64,
    refused: u64,
    leases_lost: u64,
    left: u64,
    not_run: u64,
    unknown: u64,
    retries_suppressed: u64,
    strikes: u64,
}

impl Service {
    /// Counts an event about the service.
    pub(super) fn count(&mut self, kind: &Kind) {
        match kind {
            Kind::Ejection { reason, .. } => {
                self.ejections += 1;
                *self.reasons.entry(reason.to_string()).or_default() += 1;
            }
            Kind::Return { cause, out_ms } => {
                *self.returns.entry(cause.to_string()).or_default() += 1;
                self.out_ms += out_ms;
            }
            Kind::EjectionRefused { .. } => self.refused += 1,
            Kind::LeaseLost { .. } => self.leases_lost += 1,
            Kind::ServerLeft { .. } => self.left += 1,
            Kind::NotRunBurst { count, .. } => self.not_run += count,
            Kind::UnknownBurst { count, .. } => self.unknown += count,
            Kind::RetryBudgetSpent { suppressed } => self.retries_suppressed += suppressed,
            Kind::Strike { .. } => self.strikes += 1,
            _ => {}
        }
    }

    /// Returns what happened to the service `name`.
    pub(super) fn sentences(&self, name: &str) -> Vec<String> {
        let mut sentences = Vec::new();
        if self.ejections > 0 {
            sentences.push(format!(
                "{name}: {} ({}).",
                plural(self.ejections, "ejection", "ejections"),
                listed(&self.reasons)
            ));
        }
        if !self.returns.is_empty() {
            sentences.push(format!(
                "{name}: {} ({}), after {} out of use in total.",
                plural(self.returns.values().sum(), "return to use", "returns to use"),
                listed(&self.returns),
                when::words(self.out_ms)
            ));
        }
        let counted = [
            (self.refused, "ejection refused at the floor", "ejections refused at the floor"),
            (self.leases_lost, "server stopped renewing", "servers stopped renewing"),
            (self.left, "server left as planned", "servers left as planned"),
            (self.not_run, "request refused as not run", "requests refused as not run"),
            (self.unknown, "request with unknown outcome", "requests with unknown outcome"),
            (self.retries_suppressed, "retry suppressed", "retries suppressed"),
            (self.strikes, "crash of a server in mid-request", "crashes of servers in mid-request"),
        ];
        for (count, one, many) in counted {
            if count > 0 {
                sentences.push(format!("{name}: {}.", plural(count, one, many)));
            }
        }
        sentences
    }
}

/// Returns sentences about instances and changes.
pub(super) fn fleet(fleet: &BTreeMap<&'static str, u64>) -> Vec<String> {
    let shown = [
        ("start", "instance started", "instances started"),
        ("stopped", "instance stopped as planned", "instances stopped as planned"),
        ("node-dead", "node declared dead", "nodes declared dead"),
        ("leader-change", "election of a control leader", "elections of a control leader"),
        ("change-refused", "change lost against another one", "changes lost against another one"),
    ];
    let mut sentences = Vec::new();
    for (kind, one, many) in shown {
        if let Some(count) = fleet.get(kind) {
            sentences.push(format!("Fleet: {}.", plural(*count, one, many)));
        }
    }
    sentences
}

fn plural(count: u64, one: &str, many: &str) -> String {
    format!("{count} {}", if count == 1 { one } else { many })
}

fn listed(counts: &BTreeMap<String, u64>) -> String {
    let parts: Vec<String> = counts.iter().map(|(name, count)| format!("{count} {name}")).collect();
    parts.join(", ")
}
