//! Reads logs.

use std::fs;
use std::io::Read;
use std::path::PathBuf;

use crate::error::Error;

/// The text of a log and where it was read from.
#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
}

/// Reads the logs in `paths`, or standard input if `paths` is empty.
pub(crate) fn read(paths: &[PathBuf]) -> Result<Vec<Log>, Error> {
    if paths.is_empty() {
        let path = PathBuf::from("standard input");
        let mut bytes = Vec::new();
        return match std::io::stdin().read_to_end(&mut bytes) {
            Ok(_) => Ok(vec![Log { path, text: String::from_utf8_lossy(&bytes).into_owned() }]),
            Err(source) => Err(Error::Read { path, source }),
        };
    }
    let mut logs = Vec::with_capacity(paths.len());
    for path in paths {
        let bytes = fs::read(path).map_err(|source| Error::Read { path: path.clone(), source })?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        logs.push(Log { path: path.clone(), text });
    }
    Ok(logs)
}
