//! Standard output.

use std::io::{self, Write};

use serde::Serialize;

/// Writes `text` and a line break.
///
/// A closed pipe is not an error: `arbutuslane timeline | head` ends the reader first.
pub fn line(text: &str) {
    let mut out = io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.write_all(b"\n");
    let _ = out.flush();
}

/// Writes `value` as indented JSON.
pub fn json<T: Serialize>(value: &T) {
    line(&serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Returns rows as text with aligned columns.
///
/// ```
/// let rows = [vec!["node".to_string(), "state".to_string()], vec!["n1".into(), "alive".into()]];
/// assert_eq!(arbutuslane_cli::output::table(&rows), "node  state\nn1    alive");
/// ```
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let mut widths = vec![0; columns];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut lines = Vec::new();
    for row in rows {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            line.push_str(cell);
            line.push_str(&" ".repeat(width - cell.chars().count() + 2));
        }
        lines.push(line.trim_end().to_string());
    }
    lines.join("\n")
}
