//! The file operations of a data folder, with a real and a simulated implementation.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

pub use crate::fake::Fake;

/// The operations that the log needs from a folder.
///
/// A write is durable only after [`sync`](Disk::sync) of the file and, for a new or renamed file,
/// [`sync_folder`](Disk::sync_folder).
pub trait Disk {
    /// Returns the names of all files in ascending order.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Returns the content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file and creates it when missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Shortens a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes the file names in the folder durable.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file and replaces any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder in the file system.
#[derive(Debug)]
pub struct Real {
    folder: PathBuf,
    // The file of the last write stays open, since opening it again costs more than the write.
    open_file: Option<(String, File)>,
}

impl Real {
    /// Opens `folder`, creates it when missing, and syncs its parent.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { folder: folder.to_path_buf(), open_file: None })
    }

    /// Returns the file `name`, open for appending.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|(open_name, _)| open_name != name) {
            let path = self.folder.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open_file = Some((name.to_string(), file));
        }
        match &mut self.open_file {
            Some((_, file)) => Ok(file),
            None => Err(io::Error::other("no open file")),
        }
    }

    fn close(&mut self, name: &str) {
        if self.open_file.as_ref().is_some_and(|(open_name, _)| open_name == name) {
            self.open_file = None;
        }
    }
}

impl Disk for Real {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for dir_entry in fs::read_dir(&self.folder)? {
            let dir_entry = dir_entry?;
            if !dir_entry.file_type()?.is_file() {
                continue;
            }
            names.extend(dir_entry.file_name().into_string().ok());
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.folder.join(name))
    }
}
