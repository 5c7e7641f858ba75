//! The time that the fleet took to eject unhealthy servers.

use serde::{Deserialize, Serialize};

use super::evidence::Evidence;
use super::script::{Action, Script};

/// One fault of the script, and whether the fleet ejected its server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Detection {
    /// The name of the server.
    pub server: String,
    /// The fault settings of the script that differ from the default.
    pub fault: String,
    /// Seconds from the fault to the ejection, or `None` when there was none before the next step that
    /// affects the server.
    pub seconds: Option<f64>,
    /// Whether the fleet must eject the server.
    pub required: bool,
}

/// Returns the detection of each executed fault in the order of the script.
pub(super) fn detections(script: &Script, evidence: &Evidence) -> Vec<Detection> {
    let mut found = Vec::new();
    for (index, step) in script.steps.iter().enumerate() {
        let Action::Faults { server, set, ejected } = &step.action else { continue };
        let Some(mark) = evidence.mark(index) else { continue };
        let later = script.steps.iter().enumerate().skip(index + 1);
        let end_ms = later
            .filter(|(_, step)| affects_server(&step.action, server))
            .find_map(|(index, _)| evidence.mark(index))
            .map_or(u64::MAX, |mark| mark.at_ms);
        let ejection = evidence
            .events
            .iter()
            .filter(|event| event.kind == "ejection" && event.server.as_ref() == Some(server))
            .map(|event| event.stamp.wall_ms)
            .filter(|at_ms| (mark.at_ms..end_ms).contains(at_ms))
            .min();
        let millis = ejection.map(|at_ms| at_ms - mark.at_ms);
        found.push(Detection {
            server: server.clone(),
            fault: changed_settings(set),
            seconds: millis.map(|millis| crate::report::as_f64(millis) / 1_000.0),
            required: *ejected,
        });
    }
    found
}

/// Returns the servers that a step of the script makes unhealthy.
pub(super) fn faulty_servers(script: &Script) -> Vec<&str> {
    let mut servers = Vec::new();
    for step in &script.steps {
        if let Action::Faults { server, .. } = &step.action {
            servers.push(server.as_str());
        }
    }
    servers
}

/// Returns whether an action ends or changes the fault of the server `name`.
fn affects_server(action: &Action, name: &str) -> bool {
    match action {
        Action::Faults { server, .. } | Action::Repair { server } | Action::Leave { server } => {
            server == name
        }
        _ => matches!(action, Action::RollingRestart {}),
    }
}

/// Returns the faults that differ from the default as `key=value` pairs.
fn changed_settings(set: &arbutuslane_standin::backend::Faults) -> String {
    let value = |faults| serde_json::to_value(faults).unwrap_or_default();
    let (set, default) = (value(set), value(&arbutuslane_standin::backend::Faults::default()));
    let mut pairs = Vec::new();
    for (key, value) in set.as_object().into_iter().flatten() {
        if default[key] != *value {
            pairs.push(format!("{key}={value}"));
        }
    }
    pairs.join(" ")
}
