//! Maps the keys of a JSON text to lines, and positions to keys.

/// The position of a key, an array element or the end of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KeyPosition {
    offset: usize,
    path: String,
    is_object_end: bool,
}

/// The positions of all keys in a JSON text.
#[derive(Debug, Clone)]
pub struct KeyMap {
    positions: Vec<KeyPosition>,
    line_starts: Vec<usize>,
}

impl KeyMap {
    /// Scans the positions of the keys in `text`, up to the first syntax error.
    ///
    /// ```
    /// use arbutuslane_cli::locate::KeyMap;
    ///
    /// let map = KeyMap::new("{\"entries\": [\n  {\"floor\": 0}\n]}");
    /// assert_eq!(map.line_of("entries[0].floor"), 2);
    /// ```
    pub fn new(text: &str) -> Self {
        let mut scanner = Scanner { text: text.as_bytes(), offset: 0, positions: Vec::new() };
        scanner.scan_value("", 0);
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts =
            std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1)).collect();
        Self { positions: scanner.positions, line_starts }
    }

    /// Returns the line of `path`, counted from 1, or that of its nearest parent in the text.
    pub fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            let position = self
                .positions
                .iter()
                .find(|position| !position.is_object_end && position.path == path);
            if let Some(position) = position {
                return self.line_starts.partition_point(|start| *start <= position.offset);
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }

    /// Returns the path of the key that caused `error`.
    pub fn path_of(&self, error: &serde_json::Error) -> String {
        let line = error.line().saturating_sub(1);
        let offset = self.line_starts.get(line).copied().unwrap_or_default() + error.column();
        // serde_json reports a missing key at the end of its object, and other errors after the
        // value.
        let is_missing_field = error.to_string().starts_with("missing field");
        let precedes_error = |position: &&KeyPosition| {
            if is_missing_field {
                position.offset <= offset
            } else {
                position.offset < offset && !position.is_object_end
            }
        };
        let position = self.positions.iter().rev().find(precedes_error);
        match position {
            Some(position) if !position.path.is_empty() => position.path.clone(),
            _ => "(top level)".to_string(),
        }
    }
}

/// Records the positions of keys in JSON text. Its methods return `None` at a syntax error and at
/// values nested deeper than [`MAX_DEPTH`].
struct Scanner<'text> {
    text: &'text [u8],
    offset: usize,
    positions: Vec<KeyPosition>,
}

/// The maximum nesting depth that is scanned; the JSON parser rejects deeper values as well.
const MAX_DEPTH: usize = 100;

impl Scanner<'_> {
    fn scan_value(&mut self, path: &str, depth: usize) -> Option<()> {
        self.skip_whitespace();
        if depth > MAX_DEPTH {
            return None;
        }
        match self.text.get(self.offset)? {
            b'{' => self.scan_object(path, depth),
            b'[' => self.scan_array(path, depth),
            b'"' => self.scan_string().map(drop),
            _ => {
                let rest = &self.text[self.offset..];
                let is_end =
                    |byte: &u8| matches!(byte, b',' | b'}' | b']') || byte.is_ascii_whitespace();
                self.offset += rest.iter().position(is_end).unwrap_or(rest.len());
                Some(())
            }
        }
    }

    fn scan_object(&mut self, path: &str, depth: usize) -> Option<()> {
        self.offset += 1;
        loop {
            self.skip_whitespace();
            match self.text.get(self.offset)? {
                b'}' => {
                    self.record_position(self.offset, path.to_string(), true);
                    self.offset += 1;
                    return Some(());
                }
                b',' => self.offset += 1,
                b'"' => {
                    let start = self.offset;
                    let key = self.scan_string()?;
                    let path = if path.is_empty() { key } else { format!("{path}.{key}") };
                    self.record_position(start, path.clone(), false);
                    self.skip_whitespace();
                    if *self.text.get(self.offset)? != b':' {
                        return None;
                    }
                    self.offset += 1;
                    self.scan_value(&path, depth + 1)?;
                }
                _ => return None,
            }
        }
    }

    fn scan_array(&mut self, path: &str, depth: usize) -> Option<()> {
        self.offset += 1;
        let mut index = 0;
        loop {
            self.skip_whitespace();
            match self.text.get(self.offset)? {
                b']' => {
                    self.offset += 1;
                    return Some(());
                }
                b',' => self.offset += 1,
                _ => {
                    let path = format!("{path}[{index}]");
                    self.record_position(self.offset, path.clone(), false);
                    let start = self.offset;
                    self.scan_value(&path, depth + 1)?;
                    if self.offset == start {
                        return None;
                    }
                    index += 1;
                }
            }
        }
    }

    fn scan_string(&mut self) -> Option<String> {
        self.offset += 1;
        let start = self.offset;
        loop {
            match self.text.get(self.offset)? {
                b'"' => break,
                b'\\' => self.offset += 2,
                _ => self.offset += 1,
            }
        }
        let text = String::from_utf8_lossy(&self.text[start..self.offset]).into_owned();
        self.offset += 1;
        Some(text)
    }

    fn skip_whitespace(&mut self) {
        while self.text.get(self.offset).is_some_and(u8::is_ascii_whitespace) {
            self.offset += 1;
        }
    }

    fn record_position(&mut self, offset: usize, path: String, is_object_end: bool) {
        self.positions.push(KeyPosition { offset, path, is_object_end });
    }
}

#[cfg(test)]
mod tests {
    use arbutuslane_catalogue::border::File;
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    const VALID: &str = r#"{
  "entries": [
    {
      "service": "slots", "owner": "tuning", "class": "idempotent",
      "preference": "fast-detection",
      "floor": 8,
      "limits": { "caller_rate": 5 },
      "routes": [{ "path_prefix": "/slots" }]
    }
  ]
}"#;

    /// Guards against an error that names another key than the faulty one.
    #[test]
    fn path_of_faults() {
        let cases = [
            ("\"floor\": 8", "\"flor\": 8", "entries[0].flor"),
            ("\"floor\": 8", "\"floor\": \"8\"", "entries[0].floor"),
            ("\"floor\": 8", "\"floor\": -8", "entries[0].floor"),
            ("\"owner\": \"tuning\", ", "", "entries[0]"),
            ("\"caller_rate\": 5", "\"caller_rate\": null", "entries[0].limits.caller_rate"),
            ("{ \"path_prefix\": \"/slots\" }", "{ }", "entries[0].routes[0]"),
            ("\"idempotent\"", "\"often\"", "entries[0].class"),
        ];
        assert!(serde_json::from_str::<File>(VALID).is_ok());
        for (valid, faulty, key) in cases {
            let text = VALID.replace(valid, faulty);
            assert_ne!(text, VALID);
            let error = serde_json::from_str::<File>(&text).unwrap_err();
            assert_eq!(KeyMap::new(&text).path_of(&error), key, "{error}");
        }
    }

    #[test]
    fn line_of_missing_key() {
        let map = KeyMap::new(VALID);
        assert_eq!(map.line_of("entries[0].limits.caller_rate"), 7);
        assert_eq!(map.line_of("entries[0].limits.body_bytes"), 7);
        assert_eq!(map.line_of("entries[0].routes[0].host"), 8);
    }

    /// Guards against a panic or an endless loop on text that is not JSON.
    #[test]
    fn new_any_text() {
        #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
        fn terminates(text: String) -> bool {
            let texts = [text.clone(), format!("{{\"a\":[{text}"), format!("[{text}]}}\"\\")];
            texts.iter().all(|text| KeyMap::new(text).line_of("a[0].b") >= 1)
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, 3))
            .quickcheck(terminates as fn(String) -> bool);
    }
}
