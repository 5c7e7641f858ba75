//! Parses the lines of a log.

use crate::when;

/// The `key=value` pairs of a log line, in the order of the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// When the process wrote the line, by its own clock, as RFC 3339 text.
    pub time: String,
    /// The name of the event.
    pub event: String,
    pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Ignores text before `time=`, such as the name of a machine.
    ///
    /// Returns `None` when the line has no time or no event.
    ///
    /// ```
    /// use arbutuslane_cli::explain::LogLine;
    ///
    /// let text = "node-1: time=2026-03-14T01:08:38.694Z event=request request=7 reason=\"a b\"";
    /// let line = LogLine::parse(text).unwrap();
    /// assert_eq!((line.event.as_str(), line.get("reason")), ("request", Some("a b")));
    /// assert!(LogLine::parse("no log line").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let pairs = parse_pairs(&text[start..]);
        let find = |key: &str| pairs.iter().find(|(name, _)| name == key);
        let time = find("time")?.1.clone();
        let event = find("event").or_else(|| find("kind"))?.1.clone();
        Some(Self { time, event, pairs })
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(name, _)| name == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns the time of the line in milliseconds since 1970, or `None` if it is no valid time.
    pub(crate) fn at_ms(&self) -> Option<u64> {
        when::parse(&self.time, 0).ok()
    }

    /// Returns the pairs other than those that identify the event, its time, its source and its
    /// request.
    pub fn details(&self) -> impl Iterator<Item = &(String, String)> {
        const HEADER_KEYS: [&str; 8] =
            ["event", "instance", "kind", "level", "request", "stamp", "target", "time"];
        self.pairs.iter().filter(|(key, _)| HEADER_KEYS.binary_search(&key.as_str()).is_err())
    }
}

/// Splits text into pairs; a quoted value may contain spaces and escaped characters.
fn parse_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut remaining = text.trim();
    while let Some((key, value)) = remaining.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = value.find(' ').unwrap_or(value.len());
                (value[..end].to_string(), &value[end..])
            }
        };
        pairs.push((key.trim().to_string(), value));
        remaining = after.trim_start();
    }
    pairs
}

/// Parses a quoted value after its opening quotation mark; returns it and the text that follows.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
