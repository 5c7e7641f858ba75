//! Writes text, JSON and tables to standard output.

use std::io::{self, Write};

use serde::Serialize;

/// Writes `text` and a line break.
///
/// Ignores write errors, because the reader may close the pipe first, as in
/// `arbutuslane timeline | head`.
pub fn write_line(text: &str) {
    let mut out = io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.write_all(b"\n");
    let _ = out.flush();
}

/// Writes `value` as indented JSON.
pub fn write_json<T: Serialize>(value: &T) {
    write_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Formats `rows` as text with aligned columns.
///
/// ```
/// let rows = [vec!["node".to_string(), "state".to_string()], vec!["n1".into(), "alive".into()]];
/// assert_eq!(arbutuslane_cli::output::format_table(&rows), "node  state\nn1    alive");
/// ```
pub fn format_table(rows: &[Vec<String>]) -> String {
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
