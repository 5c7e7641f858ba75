//! What the logs say of each request.

use std::path::Path;

use crate::error::Error;
use crate::explain::LogLine;

use super::table::Table;

/// How far the times of one instance may step back from line to line. Its clock may be corrected by
/// less, whereas the logs of another run begin much earlier.
const MAX_CLOCK_CORRECTION_MS: u64 = 5_000;

/// The cause of requests that were answered with an error of their server.
pub(super) const SERVER_ERROR: &str = "server-error";

/// How a request ended at its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// A response without an error arrived in time.
    Served,
    /// A response without an error arrived after the time in which it has its full value.
    Late,
    /// The request itself was wrong, for example because no service has its route.
    Rejected,
    /// The request got an error.
    Lost,
}

/// What the logs say of one request or call.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) id: String,
    pub(super) end: Option<End>,
    pub(super) service: String,
    /// The cause that the entry gives, or the kind of the server's error.
    pub(super) cause: String,
    pub(super) took_ms: u64,
    /// The time that was left at the end of the last unsuccessful attempt.
    pub(super) left_ms: Option<u64>,
    /// The servers that failed the request, with the time of each failure.
    pub(super) failures: Vec<(String, u64)>,
    /// Whether a server's error followed from a failed call.
    pub(super) has_failed_call: bool,
}

/// The log lines of many processes that name a request.
#[derive(Debug)]
pub struct History {
    separator: char,
    /// The ids of requests, each with one of its lines.
    lines: Vec<(String, LogLine)>,
    /// The time of the last line of each instance, in ascending order of the names.
    last_ms: Vec<(String, u64)>,
    /// The number of lines that processes left out of their logs.
    left_out: u64,
}

impl History {
    /// Returns an empty history. `separator` stands between the id of a request and the suffix in the
    /// id of a call.
    pub fn new(separator: char) -> Self {
        Self { separator, lines: Vec::new(), last_ms: Vec::new(), left_out: 0 }
    }

    /// Adds the text of a log that was read from `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log is cut or belongs to another run.
    pub fn add(&mut self, path: &Path, text: &str) -> Result<(), Error> {
        let mut has_lines = false;
        for (index, text) in text.lines().enumerate() {
            let Some(line) = LogLine::parse(text) else { continue };
            has_lines = true;
            self.check_order(path, index + 1, &line)?;
            self.add_line(line);
        }
        if has_lines && !text.ends_with('\n') {
            let line = text.lines().count();
            return Err(Error::CutLog { path: path.to_path_buf(), line });
        }
        Ok(())
    }

    /// Returns the table of the requests that were not served.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoRequests`] when no request of a caller is known.
    pub fn into_table(mut self) -> Result<Table, Error> {
        // The sort is stable, so that the lines of a request stay in their order.
        self.lines.sort_by(|left, right| left.0.cmp(&right.0));
        let of_requests = self.lines.chunk_by(|left, right| left.0 == right.0);
        let records = of_requests.map(Record::of).collect();
        Table::of(&Records { separator: self.separator, records }, self.left_out)
            .ok_or(Error::NoRequests)
    }

    fn check_order(&mut self, path: &Path, number: usize, line: &LogLine) -> Result<(), Error> {
        let Some(instance) = line.get("instance") else { return Ok(()) };
        let Some(now) = line.at_ms() else { return Ok(()) };
        let index = match self.last_ms.binary_search_by(|known| known.0.as_str().cmp(instance)) {
            Ok(index) => index,
            Err(index) => {
                self.last_ms.insert(index, (instance.to_string(), now));
                index
            }
        };
        let last = &mut self.last_ms[index].1;
        if now + MAX_CLOCK_CORRECTION_MS < *last {
            let (path, instance) = (path.to_path_buf(), instance.to_string());
            return Err(Error::DisorderedLog { path, line: number, instance });
        }
        *last = now.max(*last);
        Ok(())
    }

    fn add_line(&mut self, line: LogLine) {
        self.left_out += number(&line, "left_out").unwrap_or_default();
        if line.event == "log-lines-dropped" {
            self.left_out += number(&line, "count").unwrap_or_default();
        }
        let id = line.get("request").unwrap_or_default().to_string();
        if !id.is_empty() {
            self.lines.push((id, line));
        }
    }
}

/// What the logs say of all requests, in ascending order of their ids.
#[derive(Debug)]
pub(super) struct Records {
    separator: char,
    pub(super) records: Vec<Record>,
}

impl Records {
    /// Returns the id of the request for which a server made the call `id`, or `None` if `id` is that
    /// of a caller's request.
    pub(super) fn parent<'a>(&self, id: &'a str) -> Option<&'a str> {
        id.rsplit_once(self.separator).map(|(parent, _)| parent)
    }

    /// Returns the calls that a server made for the request `id`.
    pub(super) fn calls(&self, id: &str) -> impl Iterator<Item = &Record> {
        let prefix = format!("{id}{}", self.separator);
        let start = self.records.partition_point(|record| record.id < prefix);
        let descendants =
            self.records[start..].iter().take_while(move |record| record.id.starts_with(&prefix));
        descendants.filter(move |record| self.parent(&record.id).is_some_and(|parent| parent == id))
    }
}

impl Record {
    /// Returns what the lines of one request say.
    fn of(lines: &[(String, LogLine)]) -> Self {
        let mut record = Self { id: lines[0].0.clone(), ..Self::default() };
        for (_, line) in lines {
            match line.event.as_str() {
                "request" => record.add_end(line),
                "attempt" => record.add_attempt(line),
                "dispatched" => record.add_response(line),
                _ => {}
            }
        }
        record
    }

    fn add_end(&mut self, line: &LogLine) {
        // A caller may send a request again; it is served if one of them is.
        if self.end.is_some_and(|end| end != End::Lost) {
            return;
        }
        let status = number(line, "status").unwrap_or_default();
        let (end, cause) = match (line.get("outcome"), status) {
            (Some("answered"), 500..) => (End::Lost, SERVER_ERROR),
            (Some("answered" | "replayed"), _) => match number(line, "late_ms") {
                None | Some(0) => (End::Served, ""),
                Some(_) => (End::Late, ""),
            },
            // A workspace that exceeds its rate can be served later.
            (_, 400..=428 | 430..=499) => (End::Rejected, ""),
            _ => (End::Lost, line.get("cause").or(line.get("reason")).unwrap_or("unknown")),
        };
        self.end = Some(end);
        self.cause = cause.to_string();
        self.service = line.get("service").unwrap_or_default().to_string();
        self.took_ms = number(line, "took_ms").unwrap_or_default();
    }

    fn add_attempt(&mut self, line: &LogLine) {
        self.left_ms = number(line, "left_ms");
        if line.get("outcome") == Some("Unknown") {
            self.add_failure(line);
        }
    }

    fn add_response(&mut self, line: &LogLine) {
        if number(line, "status").is_none_or(|status| status < 500) {
            return;
        }
        match line.get("call_failed") {
            Some("true") => self.has_failed_call = true,
            _ => self.add_failure(line),
        }
    }

    fn add_failure(&mut self, line: &LogLine) {
        let Some(at_ms) = line.at_ms() else { return };
        let Some(server) = line.get("server") else { return };
        self.failures.push((server.to_string(), at_ms));
    }
}

fn number(line: &LogLine, key: &str) -> Option<u64> {
    line.get(key)?.parse().ok()
}
