//! The `losses` command: which requests were not served, and why, from the logs of all nodes.

mod history;
mod table;

use std::path::PathBuf;

pub use history::History;
pub use table::{Row, Table};

use crate::error::Error;
use crate::exit::Code;
use crate::logs;
use crate::output;

/// Reads the logs in `paths`, or standard input if `paths` is empty, and shows the requests that were
/// not served, by cause and service.
///
/// # Errors
///
/// Returns [`Error::Read`] when a log cannot be read, [`Error::CutLog`] when one ends within a line,
/// [`Error::DisorderedLog`] when the logs are not those of one run, and [`Error::NoRequests`] when
/// they name no requests of callers.
pub fn show(separator: char, paths: &[PathBuf], json: bool) -> Result<Code, Error> {
    let mut history = History::new(separator);
    for log in logs::read(paths)? {
        history.add(&log.path, &log.text)?;
    }
    let table = history.into_table()?;
    if json {
        output::write_json(&table);
    } else {
        output::write_line(&table.to_string());
    }
    Ok(if table.is_complete() { Code::Done } else { Code::Partial })
}
