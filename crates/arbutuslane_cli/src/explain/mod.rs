//! The `explain` command: traces one request through the logs of many processes.

mod line;
mod story;

use std::path::PathBuf;

pub use line::LogLine;
pub use story::{RequestTrace, Step};

use crate::error::Error;
use crate::exit::Code;
use crate::logs;
use crate::output;

/// Reads the logs in `paths`, or standard input if `paths` is empty, and shows the trace of the
/// request `id`.
///
/// # Errors
///
/// Returns [`Error::Read`] when a file or standard input cannot be read.
pub fn show(id: &str, separator: char, paths: &[PathBuf], json: bool) -> Result<Code, Error> {
    let logs = logs::read(paths)?;
    let lines = logs.iter().flat_map(|log| log.text.lines());
    let lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let trace = RequestTrace::of(id, separator, &lines);
    if json {
        output::write_json(&trace);
    } else {
        output::write_line(&trace.to_string());
    }
    Ok(if trace.steps.is_empty() { Code::Partial } else { Code::Done })
}
