//! The `explain` command: traces one request through the logs of many processes.

mod line;
mod story;

use std::fs;
use std::io::Read;
use std::path::PathBuf;

pub use line::LogLine;
pub use story::{RequestTrace, Step};

use crate::error::Error;
use crate::exit::Code;
use crate::output;

/// Reads the logs in `paths`, or standard input if `paths` is empty, and shows the trace of the
/// request `id`.
///
/// # Errors
///
/// Returns [`Error::Read`] when a file or standard input cannot be read.
pub fn show(id: &str, separator: char, paths: &[PathBuf], json: bool) -> Result<Code, Error> {
    let mut text = String::new();
    for path in paths {
        let bytes = fs::read(path).map_err(|source| Error::Read { path: path.clone(), source })?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let path = PathBuf::from("standard input");
        std::io::stdin().read_to_end(&mut bytes).map_err(|source| Error::Read { path, source })?;
        text = String::from_utf8_lossy(&bytes).into_owned();
    }
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let trace = RequestTrace::of(id, separator, &lines);
    if json {
        output::write_json(&trace);
    } else {
        output::write_line(&trace.to_string());
    }
    Ok(if trace.steps.is_empty() { Code::Partial } else { Code::Done })
}
