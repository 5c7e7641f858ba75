//! Metrics as Prometheus text, with a limit on the number of label sets.
//!
//! Label values such as the name of a caller come from outside the fleet. Without a limit, they
//! would fill the memory of every process that stores the metrics.
//!
//! ```
//! use arbutuslane_event::metric::{Counters, Text};
//!
//! let mut requests = Counters::new("arbutuslane_requests_total", "Requests.", &["service"], 100);
//! requests.add(&["slots"], 2);
//! let mut text = Text::default();
//! text.counters(&requests);
//! assert!(text.finish().contains("arbutuslane_requests_total{service=\"slots\"} 2\n"));
//! ```

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use crate::histogram::{BUCKET_BOUNDS_US, Histogram};

/// The label value that replaces all values beyond the limit on label sets.
pub const OVERFLOW_LABEL_VALUE: &str = "other";

/// Counters with the same name and different labels.
#[derive(Debug, Clone)]
pub struct Counters {
    family: Family,
    values: BTreeMap<Vec<String>, u64>,
}

/// Histograms with the same name and different labels.
#[derive(Debug, Clone)]
pub struct Histograms {
    family: Family,
    values: BTreeMap<Vec<String>, Histogram>,
}

/// Prometheus text under construction.
#[derive(Debug, Default)]
pub struct Text {
    text: String,
}

/// The name, help text and labels of metrics that differ only in their label values.
#[derive(Debug, Clone)]
struct Family {
    name: &'static str,
    help: &'static str,
    labels: &'static [&'static str],
    /// The most label sets, including the one for overflow.
    max_label_sets: usize,
}

impl Family {
    /// Returns the label set under which `values` are counted.
    ///
    /// A new label set beyond the limit is replaced by [`OVERFLOW_LABEL_VALUE`] for each label.
    fn label_set<V>(&self, values: &[&str], known: &BTreeMap<Vec<String>, V>) -> Vec<String> {
        let mut label_set: Vec<String> = values.iter().map(|value| (*value).to_string()).collect();
        label_set.resize(self.labels.len(), String::new());
        if known.contains_key(&label_set) || known.len() + 1 < self.max_label_sets {
            return label_set;
        }
        vec![OVERFLOW_LABEL_VALUE.to_string(); self.labels.len()]
    }
}

impl Counters {
    /// Returns counters with at most `max_label_sets` label sets.
    ///
    /// The last label set is [`OVERFLOW_LABEL_VALUE`] for all values that come later.
    pub fn new(
        name: &'static str,
        help: &'static str,
        labels: &'static [&'static str],
        max_label_sets: usize,
    ) -> Self {
        Self { family: Family { name, help, labels, max_label_sets }, values: BTreeMap::new() }
    }

    /// Adds `amount` to the counter with these label values.
    pub fn add(&mut self, values: &[&str], amount: u64) {
        let label_set = self.family.label_set(values, &self.values);
        let value = self.values.entry(label_set).or_default();
        *value = value.saturating_add(amount);
    }

    /// Returns the value of the counter with these label values, or 0 when there is none.
    pub fn get(&self, values: &[&str]) -> u64 {
        let label_set: Vec<String> = values.iter().map(|value| (*value).to_string()).collect();
        self.values.get(&label_set).copied().unwrap_or_default()
    }
}

impl Histograms {
    /// Returns histograms with at most `max_label_sets` label sets.
    ///
    /// The last label set is [`OVERFLOW_LABEL_VALUE`] for all values that come later.
    pub fn new(
        name: &'static str,
        help: &'static str,
        labels: &'static [&'static str],
        max_label_sets: usize,
    ) -> Self {
        Self { family: Family { name, help, labels, max_label_sets }, values: BTreeMap::new() }
    }

    /// Counts `latency` in the histogram with these label values.
    pub fn record(&mut self, values: &[&str], latency: Duration) {
        let label_set = self.family.label_set(values, &self.values);
        self.values.entry(label_set).or_default().record(latency);
    }

    /// Returns the sum of the histograms of all label sets.
    pub fn total(&self) -> Histogram {
        let mut total = Histogram::new();
        for histogram in self.values.values() {
            total.merge(histogram);
        }
        total
    }
}

impl Text {
    /// Appends a gauge that has no labels.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        self.push_header(name, help, "gauge");
        let _ = writeln!(self.text, "{name} {value}");
    }

    /// Appends a gauge for each row of label values and value.
    ///
    /// The calling code must limit the number of rows.
    pub fn gauges(&mut self, name: &str, help: &str, labels: &[&str], rows: &[(Vec<String>, u64)]) {
        self.push_header(name, help, "gauge");
        for (values, value) in rows {
            let _ = writeln!(self.text, "{name}{} {value}", render_labels(labels, values, None));
        }
    }

    /// Appends all counters of a family.
    pub fn counters(&mut self, counters: &Counters) {
        let family = &counters.family;
        self.push_header(family.name, family.help, "counter");
        for (label_set, value) in &counters.values {
            let labels = render_labels(family.labels, label_set, None);
            let _ = writeln!(self.text, "{}{labels} {value}", family.name);
        }
    }

    /// Appends all histograms of a family, in seconds.
    pub fn histograms(&mut self, histograms: &Histograms) {
        let family = &histograms.family;
        let name = family.name;
        self.push_header(name, family.help, "histogram");
        for (label_set, histogram) in &histograms.values {
            for (bound, count) in BUCKET_BOUNDS_US.iter().zip(histogram.cumulative_counts()) {
                let seconds = Duration::from_micros(*bound).as_secs_f64().to_string();
                let labels = render_labels(family.labels, label_set, Some(&seconds));
                let _ = writeln!(self.text, "{name}_bucket{labels} {count}");
            }
            let labels = render_labels(family.labels, label_set, Some("+Inf"));
            let _ = writeln!(self.text, "{name}_bucket{labels} {}", histogram.count());
            let labels = render_labels(family.labels, label_set, None);
            let sum = histogram.sum().as_secs_f64();
            let _ = writeln!(self.text, "{name}_sum{labels} {sum}");
            let _ = writeln!(self.text, "{name}_count{labels} {}", histogram.count());
        }
    }

    /// Returns the text.
    pub fn finish(self) -> String {
        self.text
    }

    fn push_header(&mut self, name: &str, help: &str, kind: &str) {
        let _ = writeln!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}");
    }
}

/// Renders the labels in braces; `bound` is the value of the `le` label of a histogram bucket.
fn render_labels(names: &[&str], values: &[String], bound: Option<&str>) -> String {
    let mut pairs: Vec<String> = names
        .iter()
        .zip(values)
        .map(|(name, value)| format!("{name}=\"{}\"", escape(value)))
        .collect();
    if let Some(bound) = bound {
        pairs.push(format!("le=\"{bound}\""));
    }
    if pairs.is_empty() { String::new() } else { format!("{{{}}}", pairs.join(",")) }
}

fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against callers that fill memory with label values of their choice.
    #[test]
    fn add_bounded() {
        let mut counters = Counters::new("requests", "Requests.", &["caller"], 4);
        for caller in 0..1_000 {
            counters.add(&[&caller.to_string()], 1);
        }
        assert_eq!(counters.values.len(), 4);
        assert_eq!((counters.get(&["0"]), counters.get(&[OVERFLOW_LABEL_VALUE])), (1, 997));
    }

    /// Guards against a label value that ends its quotes and forges a sample.
    #[test]
    fn counters_hostile_label() {
        let mut counters = Counters::new("requests", "Requests.", &["caller"], 4);
        counters.add(&["a\"} 9\nfake{b=\"\\"], 1);
        let mut text = Text::default();
        text.counters(&counters);
        let line = text.finish().lines().last().unwrap().to_string();
        assert_eq!(line, r#"requests{caller="a\"} 9\nfake{b=\"\\"} 1"#);
    }

    /// Guards against a histogram whose buckets, sum and count are inconsistent.
    #[test]
    fn histograms_text() {
        let mut histograms = Histograms::new("latency_seconds", "Latency.", &["class"], 4);
        histograms.record(&["idempotent"], Duration::from_millis(6));
        let mut text = Text::default();
        text.histograms(&histograms);
        let text = text.finish();
        for line in [
            "latency_seconds_bucket{class=\"idempotent\",le=\"0.005\"} 0",
            "latency_seconds_bucket{class=\"idempotent\",le=\"0.007\"} 1",
            "latency_seconds_bucket{class=\"idempotent\",le=\"+Inf\"} 1",
            "latency_seconds_sum{class=\"idempotent\"} 0.006",
            "latency_seconds_count{class=\"idempotent\"} 1",
        ] {
            assert!(text.lines().any(|candidate| candidate == line), "{line} not in:\n{text}");
        }
    }
}
