//! What an experiment changes in a node.

use arbutuslane_core::experiment::{self, Mechanism};
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// The settings of an experiment; a fleet that serves users has none.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The mechanisms that are off.
    #[serde(default, deserialize_with = "mechanisms")]
    pub off: Vec<Mechanism>,
}

impl Experiment {
    /// Turns mechanisms of this process off.
    pub(crate) fn apply(&self) {
        let off = &self.off;
        if !off.is_empty() {
            tracing::warn!(event = "experiment", ?off, "mechanisms are off for an experiment");
            experiment::turn_off(off);
        }
    }
}

fn mechanisms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Mechanism>, D::Error> {
    let names = Vec::<String>::deserialize(deserializer)?;
    names.iter().map(|name| name.parse().map_err(D::Error::custom)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a misspelt mechanism that stays on while its worth is measured.
    #[test]
    fn experiment_unknown() {
        let parse = serde_json::from_str::<Experiment>;
        let known = parse(r#"{"off": ["avoidance", "acceptance"]}"#).unwrap();
        assert_eq!(known.off, [Mechanism::Avoidance, Mechanism::Acceptance]);
        let error = parse(r#"{"off": ["avoidence"]}"#).unwrap_err().to_string();
        assert!(error.contains("\"avoidence\"") && error.contains("avoidance"), "{error}");
        assert!(parse(r#"{"on": []}"#).is_err());
    }
}
