//! Reads and checks catalogue files.

use std::path::{Path, PathBuf};

use arbutuslane_catalogue::entry::Entry;
use arbutuslane_catalogue::{border, check};
use serde::Serialize;

use crate::error::Error;
use crate::locate;

/// A catalogue that was read from one or more files.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// The entries of all files.
    pub entries: Vec<Entry>,
    /// The problems of the files; empty when the catalogue is valid.
    pub findings: Vec<Finding>,
}

/// A problem in a catalogue file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the key.
    pub key: String,
    /// A description of the problem.
    pub problem: String,
    /// How to resolve the problem.
    pub remedy: String,
}

/// A parsed catalogue file.
struct Source {
    path: PathBuf,
    map: locate::KeyMap,
    /// The index of the first entry of the file in [`Catalogue::entries`].
    first_entry: usize,
}

/// Reads the catalogue in `paths`; a folder selects the `.json` files in it.
pub fn read(paths: &[PathBuf]) -> Result<Catalogue, Error> {
    let mut catalogue = Catalogue::default();
    let mut sources = Vec::new();
    for path in expand_folders(paths)? {
        let text = std::fs::read_to_string(&path)
            .map_err(|source| Error::Read { path: path.clone(), source })?;
        let map = locate::KeyMap::new(&text);
        match serde_json::from_str::<border::File>(&text) {
            Ok(file) => {
                sources.push(Source { path, map, first_entry: catalogue.entries.len() });
                catalogue.entries.extend(file.entries.into_iter().map(Entry::from));
            }
            Err(error) => catalogue.findings.push(Finding {
                file: path,
                line: error.line(),
                key: map.path_of(&error),
                problem: message_without_position(&error),
                remedy: "write the key as docs/catalogue.md describes it".to_string(),
            }),
        }
    }
    // The checks over all services need the entries of every file, so they are skipped when a file
    // cannot be parsed.
    if catalogue.findings.is_empty() {
        let found = check::entries(&catalogue.entries);
        catalogue.findings =
            found.into_iter().map(|finding| locate_finding(finding, &sources)).collect();
    }
    Ok(catalogue)
}

fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let read_error = |source| Error::Read { path: path.clone(), source };
        let mut found = Vec::new();
        for entry in std::fs::read_dir(path).map_err(read_error)? {
            let file = entry.map_err(read_error)?.path();
            if file.extension().is_some_and(|extension| extension == "json") {
                found.push(file);
            }
        }
        found.sort();
        files.extend(found);
    }
    Ok(files)
}

/// Returns the message of `error` without its position, which [`Finding::line`] holds.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.rfind(" at line ").map_or(text.clone(), |end| text[..end].to_string())
}

/// Returns `finding` with its file and line; the index in its key counts the entries of that file.
fn locate_finding(finding: check::Finding, sources: &[Source]) -> Finding {
    let index = entry_index(&finding.key).unwrap_or_default();
    let source = sources.iter().rev().find(|source| source.first_entry <= index);
    let Some(source) = source else {
        let (file, line) = (Path::new("").to_path_buf(), 1);
        let check::Finding { key, problem, remedy } = finding;
        return Finding { file, line, key, problem, remedy };
    };
    let key_suffix = finding.key.find(']').map_or("", |end| &finding.key[end + 1..]);
    let key = match entry_index(&finding.key) {
        Some(index) => format!("entries[{}]{key_suffix}", index - source.first_entry),
        None => finding.key.clone(),
    };
    Finding {
        file: source.path.clone(),
        line: source.map.line_of(&key),
        key,
        problem: finding.problem,
        remedy: finding.remedy,
    }
}

fn entry_index(key: &str) -> Option<usize> {
    key.strip_prefix("entries[")?.split(']').next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(service: &str, floor: u32) -> String {
        format!(
            "{{\"service\": \"{service}\", \"owner\": \"o\", \"class\": \"download\",\n\
             \"preference\": \"fast-detection\",\n\"floor\": {floor},\n\
             \"routes\": [{{\"path_prefix\": \"/{service}\"}}]}}"
        )
    }

    /// Guards against a finding that names the wrong one of several files.
    #[test]
    fn read_folder() {
        let folder = tempfile::tempdir().unwrap();
        let write = |name: &str, entries: &[String]| {
            let text = format!("{{\"entries\": [{}]}}", entries.join(",\n"));
            std::fs::write(folder.path().join(name), text).unwrap();
        };
        write("a.json", &[entry("reports", 4), entry("archives", 4)]);
        write("b.json", &[entry("slots", 4), entry("agenda", 0)]);
        let catalogue = read(&[folder.path().to_path_buf()]).unwrap();
        assert_eq!(catalogue.entries.len(), 4);
        let found: Vec<(&str, usize, &str)> = catalogue
            .findings
            .iter()
            .map(|finding| {
                let file = finding.file.file_name().unwrap().to_str().unwrap();
                (file, finding.line, finding.key.as_str())
            })
            .collect();
        assert_eq!(found, [("b.json", 7, "entries[1].floor")]);
    }

    /// Guards against skipping a malformed file instead of reporting it.
    #[test]
    fn read_malformed() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("a.json");
        std::fs::write(&path, "{\"entries\": [\n{\"servce\": \"a\"}]}").unwrap();
        let finding = read(&[path]).unwrap().findings.remove(0);
        assert_eq!((finding.line, finding.key.as_str()), (2, "entries[0].servce"));
        assert!(finding.problem.starts_with("unknown field") && !finding.problem.contains("line"));
    }
}
