//! Metrics as Prometheus text, with a bound on the number of label sets.
//!
//! Label values such as the name of a caller come from outside the fleet. Without a bound, they
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

use crate::histogram::{BOUNDS_US, Histogram};

/// The label value that takes the place of all values beyond the bound.
pub const OTHER: &str = "other";

/// Counters of one name that differ in their labels.
#[derive(Debug, Clone)]
pub struct Counters {
    family: Family,
    values: BTreeMap<Vec<String>, u64>,
}

/// Histograms of one name that differ in their labels.
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

#[derive(Debug, Clone)]
struct Family {
    name: &'static str,
    help: &'static str,
    labels: &'static [&'static str],
    bound: usize,
}

impl Family {
    /// Returns the label set under which `values` are counted.
    fn key<V>(&self, values: &[&str], known: &BTreeMap<Vec<String>, V>) -> Vec<String> {
        let mut key: Vec<String> = values.iter().map(|value| (*value).to_string()).collect();
        key.resize(self.labels.len(), String::new());
        if known.contains_key(&key) || known.len() + 1 < self.bound {
            return key;
        }
        vec![OTHER.to_string(); self.labels.len()]
    }
}

impl Counters {
    /// Returns counters with at most `bound` label sets, the last of which is [`OTHER`].
    pub fn new(
        name: &'static str,
        help: &'static str,
        labels: &'static [&'static str],
        bound: usize,
    ) -> Self {
        Self { family: Family { name, help, labels, bound }, values: BTreeMap::new() }
    }

    /// Adds `amount` to the counter with these label values.
    pub fn add(&mut self, values: &[&str], amount: u64) {
        let key = self.family.key(values, &self.values);
        let value = self.values.entry(key).or_default();
        *value = value.saturating_add(amount);
    }

    /// Returns the counter with these label values.
    pub fn get(&self, values: &[&str]) -> u64 {
        let key: Vec<String> = values.iter().map(|value| (*value).to_string()).collect();
        self.values.get(&key).copied().unwrap_or_default()
    }
}

impl Histograms {
    /// Returns histograms with at most `bound` label sets, the last of which is [`OTHER`].
    pub fn new(
        name: &'static str,
        help: &'static str,
        labels: &'static [&'static str],
        bound: usize,
    ) -> Self {
        Self { family: Family { name, help, labels, bound }, values: BTreeMap::new() }
    }

    /// Counts `latency` in the histogram with these label values.
    pub fn record(&mut self, values: &[&str], latency: Duration) {
        let key = self.family.key(values, &self.values);
        self.values.entry(key).or_default().record(latency);
    }

    /// Returns the histogram over all label sets.
    pub fn total(&self) -> Histogram {
        let mut total = Histogram::new();
        for histogram in self.values.values() {
            total.merge(histogram);
        }
        total
    }
}

impl Text {
    /// Appends a gauge without labels.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        self.head(name, help, "gauge");
        let _ = writeln!(self.text, "{name} {value}");
    }

    /// Appends a gauge for each label set of `rows`; the caller bounds their number.
    pub fn gauges(&mut self, name: &str, help: &str, labels: &[&str], rows: &[(Vec<String>, u64)]) {
        self.head(name, help, "gauge");
        for (values, value) in rows {
            let _ = writeln!(self.text, "{name}{} {value}", render_labels(labels, values, None));
        }
    }

    /// Appends all counters of a family.
    pub fn counters(&mut self, counters: &Counters) {
        let family = &counters.family;
        self.head(family.name, family.help, "counter");
        for (key, value) in &counters.values {
            let labels = render_labels(family.labels, key, None);
            let _ = writeln!(self.text, "{}{labels} {value}", family.name);
        }
    }

    /// Appends all histograms of a family, in seconds.
    pub fn histograms(&mut self, histograms: &Histograms) {
        let family = &histograms.family;
        let name = family.name;
        self.head(name, family.help, "histogram");
        for (key, histogram) in &histograms.values {
            for (bound, count) in BOUNDS_US.iter().zip(histogram.cumulative()) {
                let seconds = Duration::from_micros(*bound).as_secs_f64().to_string();
                let labels = render_labels(family.labels, key, Some(&seconds));
                let _ = writeln!(self.text, "{name}_bucket{labels} {count}");
            }
            let labels = render_labels(family.labels, key, Some("+Inf"));
            let _ = writeln!(self.text, "{name}_bucket{labels} {}", histogram.count());
            let labels = render_labels(family.labels, key, None);
            let sum = histogram.sum().as_secs_f64();
            let _ = writeln!(self.text, "{name}_sum{labels} {sum}");
            let _ = writeln!(self.text, "{name}_count{labels} {}", histogram.count());
        }
    }

    /// Returns the text.
    pub fn finish(self) -> String {
        self.text
    }

    fn head(&mut self, name: &str, help: &str, kind: &str) {
        let _ = writeln!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}");
    }
}

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
        assert_eq!((counters.get(&["0"]), counters.get(&[OTHER])), (1, 997));
    }

    /// Guards against a label value that breaks out of its quotes.
    #[test]
    fn counters_hostile_label() {
        let mut counters = Counters::new("requests", "Requests.", &["caller"], 4);
        counters.add(&["a\"} 9\nfake{b=\"\\"], 1);
        let mut text = Text::default();
        text.counters(&counters);
        let line = text.finish().lines().last().unwrap().to_string();
        assert_eq!(line, r#"requests{caller="a\"} 9\nfake{b=\"\\"} 1"#);
    }

    /// Guards against a histogram whose buckets and count disagree.
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
