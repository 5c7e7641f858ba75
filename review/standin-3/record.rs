//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Mutex::new(File::create(path).expect("no record"));
        Self { started_at: Instant::now(), file }
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn event(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} s  {text}", now.as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.event(text);
        println!("{text}");
    }
}
