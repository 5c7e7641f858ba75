//! Finds the line of a key in JSON text and the key at a position.

/// A place where a key, an array element or the end of an object stands.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Mark {
    offset: usize,
    path: String,
    closes: bool,
}

/// The places of all keys in one JSON text.
#[derive(Debug, Clone)]
pub struct Map {
    marks: Vec<Mark>,
    lines: Vec<usize>,
}

impl Map {
    /// Returns the places of the keys in `text`, up to the first syntax error.
    ///
    /// ```
    /// use arbutuslane_cli::locate::Map;
    ///
    /// let map = Map::new("{\"entries\": [\n  {\"floor\": 0}\n]}");
    /// assert_eq!(map.line_of("entries[0].floor"), 2);
    /// ```
    pub fn new(text: &str) -> Self {
        let mut scanner = Scanner { text: text.as_bytes(), at: 0, marks: Vec::new() };
        scanner.value("", 0);
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(offset, _)| offset + 1)).collect();
        Self { marks: scanner.marks, lines }
    }

    /// Returns the line of `path`, counted from 1; of its nearest parent when it is not there.
    pub fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            let mark = self.marks.iter().find(|mark| !mark.closes && mark.path == path);
            if let Some(mark) = mark {
                return self.lines.partition_point(|start| *start <= mark.offset);
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 1,
            }
        }
    }

    /// Returns the path of the key that `error` is about.
    pub fn path_of(&self, error: &serde_json::Error) -> String {
        let line = error.line().saturating_sub(1);
        let offset = self.lines.get(line).copied().unwrap_or_default() + error.column();
        // A missing key is reported at the end of its object, other faults after the value.
        let missing = error.to_string().starts_with("missing field");
        let before = |mark: &&Mark| {
            if missing { mark.offset <= offset } else { mark.offset < offset && !mark.closes }
        };
        let mark = self.marks.iter().rev().find(before);
        match mark {
            Some(mark) if !mark.path.is_empty() => mark.path.clone(),
            _ => "(top level)".to_string(),
        }
    }
}

struct Scanner<'text> {
    text: &'text [u8],
    at: usize,
    marks: Vec<Mark>,
}

/// Deeper values are not followed; the parser refuses them as well.
const DEPTH_MAX: usize = 100;

impl Scanner<'_> {
    fn value(&mut self, path: &str, depth: usize) -> Option<()> {
        self.blanks();
        if depth > DEPTH_MAX {
            return None;
        }
        match self.text.get(self.at)? {
            b'{' => self.object(path, depth),
            b'[' => self.array(path, depth),
            b'"' => self.string().map(drop),
            _ => {
                let rest = &self.text[self.at..];
                let ends =
                    |byte: &u8| matches!(byte, b',' | b'}' | b']') || byte.is_ascii_whitespace();
                self.at += rest.iter().position(ends).unwrap_or(rest.len());
                Some(())
            }
        }
    }

    fn object(&mut self, path: &str, depth: usize) -> Option<()> {
        self.at += 1;
        loop {
            self.blanks();
            match self.text.get(self.at)? {
                b'}' => {
                    self.mark(self.at, path.to_string(), true);
                    self.at += 1;
                    return Some(());
                }
                b',' => self.at += 1,
                b'"' => {
                    let start = self.at;
                    let key = self.string()?;
                    let path = if path.is_empty() { key } else { format!("{path}.{key}") };
                    self.mark(start, path.clone(), false);
                    self.blanks();
                    if *self.text.get(self.at)? != b':' {
                        return None;
                    }
                    self.at += 1;
                    self.value(&path, depth + 1)?;
                }
                _ => return None,
            }
        }
    }

    fn array(&mut self, path: &str, depth: usize) -> Option<()> {
        self.at += 1;
        let mut index = 0;
        loop {
            self.blanks();
            match self.text.get(self.at)? {
                b']' => {
                    self.at += 1;
                    return Some(());
                }
                b',' => self.at += 1,
                _ => {
                    let path = format!("{path}[{index}]");
                    self.mark(self.at, path.clone(), false);
                    let before = self.at;
                    self.value(&path, depth + 1)?;
                    if self.at == before {
                        return None;
                    }
                    index += 1;
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let start = self.at;
        loop {
            match self.text.get(self.at)? {
                b'"' => break,
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
        let text = String::from_utf8_lossy(&self.text[start..self.at]).into_owned();
        self.at += 1;
        Some(text)
    }

    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn mark(&mut self, offset: usize, path: String, closes: bool) {
        self.marks.push(Mark { offset, path, closes });
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

    /// Guards against an error that names another key than the one to correct.
    #[test]
    fn path_of_faults() {
        let faults = [
            ("\"floor\": 8", "\"flor\": 8", "entries[0].flor"),
            ("\"floor\": 8", "\"floor\": \"8\"", "entries[0].floor"),
            ("\"floor\": 8", "\"floor\": -8", "entries[0].floor"),
            ("\"owner\": \"tuning\", ", "", "entries[0]"),
            ("\"caller_rate\": 5", "\"caller_rate\": null", "entries[0].limits.caller_rate"),
            ("{ \"path_prefix\": \"/slots\" }", "{ }", "entries[0].routes[0]"),
            ("\"idempotent\"", "\"often\"", "entries[0].class"),
        ];
        assert!(serde_json::from_str::<File>(VALID).is_ok());
        for (valid, faulty, key) in faults {
            let text = VALID.replace(valid, faulty);
            assert_ne!(text, VALID);
            let error = serde_json::from_str::<File>(&text).unwrap_err();
            assert_eq!(Map::new(&text).path_of(&error), key, "{error}");
        }
    }

    #[test]
    fn line_of_missing_key() {
        let map = Map::new(VALID);
        assert_eq!(map.line_of("entries[0].limits.caller_rate"), 7);
        assert_eq!(map.line_of("entries[0].limits.body_bytes"), 7);
        assert_eq!(map.line_of("entries[0].routes[0].host"), 8);
    }

    /// Guards against a panic or endless loop on text that is not JSON.
    #[test]
    fn new_any_text() {
        #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
        fn terminates(text: String) -> bool {
            let shapes = [text.clone(), format!("{{\"a\":[{text}"), format!("[{text}]}}\"\\")];
            shapes.iter().all(|shape| Map::new(shape).line_of("a[0].b") >= 1)
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, 3))
            .quickcheck(terminates as fn(String) -> bool);
    }
}
