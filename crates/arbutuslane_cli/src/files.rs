//! Reads catalogue files and checks them.

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
    /// What is wrong with the files; nothing when the catalogue is valid.
    pub findings: Vec<Finding>,
}

/// Something that is wrong with a catalogue file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

struct Source {
    path: PathBuf,
    map: locate::Map,
    first: usize,
}

/// Reads the catalogue in `paths`; a folder stands for the `.json` files in it.
pub fn read(paths: &[PathBuf]) -> Result<Catalogue, Error> {
    let mut catalogue = Catalogue::default();
    let mut sources = Vec::new();
    for path in expand(paths)? {
        let text = std::fs::read_to_string(&path)
            .map_err(|source| Error::Read { path: path.clone(), source })?;
        let map = locate::Map::new(&text);
        match serde_json::from_str::<border::File>(&text) {
            Ok(file) => {
                sources.push(Source { path, map, first: catalogue.entries.len() });
                catalogue.entries.extend(file.entries.into_iter().map(Entry::from));
            }
            Err(error) => catalogue.findings.push(Finding {
                file: path,
                line: error.line(),
                key: map.path_of(&error),
                problem: problem_of(&error),
                remedy: "write the key as docs/catalogue.md describes it".to_string(),
            }),
        }
    }
    // Entries of an unreadable file would be missed by the checks over all services.
    if catalogue.findings.is_empty() {
        let found = check::entries(&catalogue.entries);
        catalogue.findings = found.into_iter().map(|finding| place(finding, &sources)).collect();
    }
    Ok(catalogue)
}

fn expand(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let fault = |source| Error::Read { path: path.clone(), source };
        let mut found = Vec::new();
        for entry in std::fs::read_dir(path).map_err(fault)? {
            let file = entry.map_err(fault)?.path();
            if file.extension().is_some_and(|extension| extension == "json") {
                found.push(file);
            }
        }
        found.sort();
        files.extend(found);
    }
    Ok(files)
}

/// Returns the message of `error` without the position, which stands apart.
fn problem_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.rfind(" at line ").map_or(text.clone(), |end| text[..end].to_string())
}

/// Returns `finding` with its file and line, and its key counted from the start of that file.
fn place(finding: check::Finding, sources: &[Source]) -> Finding {
    let index = entry_index(&finding.key).unwrap_or_default();
    let source = sources.iter().rev().find(|source| source.first <= index);
    let Some(source) = source else {
        let (file, line) = (Path::new("").to_path_buf(), 1);
        let check::Finding { key, problem, remedy } = finding;
        return Finding { file, line, key, problem, remedy };
    };
    let rest = finding.key.find(']').map_or("", |end| &finding.key[end + 1..]);
    let key = match entry_index(&finding.key) {
        Some(index) => format!("entries[{}]{rest}", index - source.first),
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

    /// Guards against a finding that points into the wrong one of several files.
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

    /// Guards against a file with a typing error that is left out instead of reported.
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
