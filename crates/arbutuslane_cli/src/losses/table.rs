//! The requests that were not served, by cause and service.

use std::fmt;

use serde::Serialize;

use crate::output;

use super::history::{End, Record, Records, SERVER_ERROR};

/// How long before a failure an earlier one of the same server could have been a warning.
const WARNING_TIME_MS: u64 = 3_000;

/// The most calls between a request and the call that made it fail; longer chains are not followed.
const MAX_CALL_DEPTH: usize = 8;

/// The requests of callers that the logs name, and those among them that were not served.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Table {
    /// The requests that ended at an entry, without those that were wrong themselves.
    pub requests: usize,
    /// The requests that were not served.
    pub lost: usize,
    /// The requests that were served after the time in which a response has its full value.
    pub late: usize,
    /// The requests that were wrong themselves, for example because no service has their route.
    pub rejected: usize,
    /// The requests that were sent to servers and whose entries logged no outcome.
    pub unfinished: usize,
    /// The lines that processes left out of their logs.
    pub left_out: u64,
    /// The causes, in descending order of requests.
    pub rows: Vec<Row>,
}

/// The requests that were lost for one cause at one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// The cause, as the metrics name it.
    pub cause: String,
    /// The service that did not serve the request, or the call that made it fail.
    pub service: String,
    /// The number of requests of callers.
    pub requests: usize,
    /// Those among them that failed because of a call.
    pub through_calls: usize,
    /// Those among them whose last server had failed another request within the 3 s before.
    pub after_warning: usize,
    /// The median time from the arrival of the request or call to its end, in milliseconds.
    pub median_ms: u64,
    /// The median time that was left at the end of the last attempt, in milliseconds, if there was
    /// one.
    pub median_left_ms: Option<u64>,
    /// One of the requests, for `arbutuslane explain`.
    pub example: String,
}

/// A lost request of a caller.
struct Loss<'a> {
    /// The id of the request.
    id: &'a str,
    /// The request, or the call that made it fail.
    failed: &'a Record,
    is_call: bool,
    has_warning: bool,
}

/// The failures of servers with their times, in ascending order.
struct Failures<'a>(Vec<(&'a str, u64)>);

impl Table {
    /// Returns the table, or `None` if no request of a caller is known.
    pub(super) fn of(records: &Records, left_out: u64) -> Option<Self> {
        let failures = Failures::of(records);
        let mut table = Self { left_out, ..Self::default() };
        let mut losses = Vec::new();
        for record in &records.records {
            if records.parent(&record.id).is_some() {
                continue;
            }
            match record.end {
                None => table.unfinished += 1,
                Some(End::Served) => {}
                Some(End::Late) => table.late += 1,
                Some(End::Rejected) => table.rejected += 1,
                Some(End::Lost) => losses.push(Loss::of(records, record, &failures)),
            }
            table.requests += usize::from(record.end.is_some_and(|end| end != End::Rejected));
        }
        table.lost = losses.len();
        table.rows = rows(losses);
        (table.requests + table.rejected > 0).then_some(table)
    }

    /// Returns whether the logs hold all lines of all requests.
    pub fn is_complete(&self) -> bool {
        self.unfinished == 0 && self.left_out == 0
    }
}

impl<'a> Loss<'a> {
    fn of(records: &'a Records, record: &'a Record, failures: &Failures<'_>) -> Self {
        let mut failed = record;
        for _ in 0..MAX_CALL_DEPTH {
            let Some(call) = failed_call(records, failed) else { break };
            failed = call;
        }
        let has_warning = failed.failures.last().is_some_and(|(server, at_ms)| {
            let warning = failures.last_before(server, *at_ms);
            warning.is_some_and(|warning| warning + WARNING_TIME_MS >= *at_ms)
        });
        Self { id: &record.id, failed, is_call: !std::ptr::eq(failed, record), has_warning }
    }
}

/// Returns the last call of a request that failed and made the request fail.
fn failed_call<'a>(records: &'a Records, record: &Record) -> Option<&'a Record> {
    if !record.has_failed_call || record.cause != SERVER_ERROR {
        return None;
    }
    records.calls(&record.id).filter(|call| call.end == Some(End::Lost)).last()
}

impl<'a> Failures<'a> {
    fn of(records: &'a Records) -> Self {
        let all = records.records.iter().flat_map(|record| &record.failures);
        let mut failures: Vec<(&str, u64)> =
            all.map(|(server, at_ms)| (server.as_str(), *at_ms)).collect();
        failures.sort_unstable();
        Self(failures)
    }

    /// Returns the time of the last failure of `server` before `at_ms`.
    fn last_before(&self, server: &str, at_ms: u64) -> Option<u64> {
        let index = self.0.partition_point(|failure| *failure < (server, at_ms)).checked_sub(1)?;
        let (known, before_ms) = self.0[index];
        (known == server).then_some(before_ms)
    }
}

fn rows(mut losses: Vec<Loss<'_>>) -> Vec<Row> {
    let key = |loss: &Loss<'_>| (loss.failed.cause.clone(), loss.failed.service.clone());
    losses.sort_by_cached_key(|loss| (key(loss), loss.id.to_string()));
    let mut rows: Vec<Row> =
        losses.chunk_by(|left, right| key(left) == key(right)).map(Row::of).collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.requests));
    rows
}

impl Row {
    fn of(losses: &[Loss<'_>]) -> Self {
        let first = &losses[0];
        Self {
            cause: first.failed.cause.clone(),
            service: first.failed.service.clone(),
            requests: losses.len(),
            through_calls: losses.iter().filter(|loss| loss.is_call).count(),
            after_warning: losses.iter().filter(|loss| loss.has_warning).count(),
            median_ms: median(losses.iter().map(|loss| loss.failed.took_ms)).unwrap_or_default(),
            median_left_ms: median(losses.iter().filter_map(|loss| loss.failed.left_ms)),
            example: first.id.to_string(),
        }
    }

    fn cells(&self) -> Vec<String> {
        let left = self.median_left_ms.map_or("-".to_string(), |ms| ms.to_string());
        vec![
            self.cause.clone(),
            self.service.clone(),
            self.requests.to_string(),
            self.through_calls.to_string(),
            self.after_warning.to_string(),
            self.median_ms.to_string(),
            left,
            self.example.clone(),
        ]
    }
}

fn median(values: impl Iterator<Item = u64>) -> Option<u64> {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} requests: {} lost, {} late; {} more were rejected as wrong",
            self.requests, self.lost, self.late, self.rejected
        )?;
        if self.unfinished > 0 {
            let count = self.unfinished;
            write!(
                formatter,
                "\n{count} requests have no outcome: a log is missing, or their node was killed"
            )?;
        }
        if self.left_out > 0 {
            write!(formatter, "\n{} lines were left out of the logs", self.left_out)?;
        }
        if self.rows.is_empty() {
            return Ok(());
        }
        let header = [
            "cause",
            "service",
            "requests",
            "through calls",
            "after a warning",
            "median ms",
            "median ms left",
            "example",
        ];
        let mut rows = vec![header.map(str::to_string).to_vec()];
        rows.extend(self.rows.iter().map(Row::cells));
        write!(formatter, "\n\n{}", output::format_table(&rows))
    }
}
