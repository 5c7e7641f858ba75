//! One line of a log.

/// The `key=value` pairs of a log line, in the order in which they stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When the process wrote the line, by its own clock, as RFC 3339 text.
    pub time: String,
    /// What happened.
    pub event: String,
    pairs: Vec<(String, String)>,
}

impl Line {
    /// Parses a line; whatever stands before `time=`, such as the name of a machine, is passed over.
    ///
    /// ```
    /// use arbutuslane_cli::explain::Line;
    ///
    /// let text = "node-1: time=2026-03-14T01:08:38.694Z event=request request=7 reason=\"a b\"";
    /// let line = Line::parse(text).unwrap();
    /// assert_eq!((line.event.as_str(), line.get("reason")), ("request", Some("a b")));
    /// assert!(Line::parse("no log line").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let pairs = pairs(&text[start..]);
        let find = |key: &str| pairs.iter().find(|(known, _)| known == key);
        let time = find("time")?.1.clone();
        let event = find("event").or_else(|| find("kind"))?.1.clone();
        Some(Self { time, event, pairs })
    }

    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(known, _)| known == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns the pairs that say more than time, event and source.
    pub fn details(&self) -> impl Iterator<Item = &(String, String)> {
        const KNOWN: [&str; 8] =
            ["event", "instance", "kind", "level", "request", "stamp", "target", "time"];
        self.pairs.iter().filter(|(key, _)| KNOWN.binary_search(&key.as_str()).is_err())
    }
}

/// Splits text into pairs; a quoted value may hold blanks and escaped characters.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some((key, value)) = rest.split_once('=') {
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = value.find(' ').unwrap_or(value.len());
                (value[..end].to_string(), &value[end..])
            }
        };
        pairs.push((key.trim().to_string(), value));
        rest = after.trim_start();
    }
    pairs
}

/// Returns the value that begins behind a quotation mark, and what follows it.
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
