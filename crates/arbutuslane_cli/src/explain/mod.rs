//! `arbutuslane explain`: the story of one request, from the logs of many processes.

mod line;
mod story;

use std::fs;
use std::io::Read;
use std::path::PathBuf;

pub use line::Line;
pub use story::{Step, Story};

use crate::error::Error;
use crate::exit::Code;
use crate::output;

/// Reads the logs in `paths`, or standard input when there are none, and shows the story of `id`.
///
/// # Errors
///
/// [`Error::Read`] when a file cannot be read.
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
    let lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
    let story = Story::of(id, separator, &lines);
    if json {
        output::json(&story);
    } else {
        output::line(&story.to_string());
    }
    Ok(if story.steps.is_empty() { Code::Partial } else { Code::Done })
}
