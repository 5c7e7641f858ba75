//! Processes of the fleet and the signals that they get.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A process of the fleet that may be ended and started again.
#[derive(Debug)]
pub struct Process {
    /// Its name, which its settings and logs have too.
    pub name: String,
    program: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Process {
    /// Writes `settings` to `folder` and starts `program` with them.
    pub fn start(
        program: &'static str,
        folder: &Path,
        name: &str,
        settings: &serde_json::Value,
    ) -> Self {
        std::fs::write(folder.join(format!("{name}.json")), settings.to_string()).unwrap();
        let (name, folder) = (name.to_string(), folder.to_path_buf());
        let mut process = Self { name, program, folder, child: None, starts: 0 };
        process.start_again();
        process
    }

    /// Starts the process unless it runs.
    pub fn start_again(&mut self) {
        if self.child.is_some() {
            return;
        }
        self.starts += 1;
        let log = self.log();
        let errors = self.folder.join(format!("{}-{}.err", self.name, self.starts));
        let child = Command::new(self.program)
            .arg(self.folder.join(format!("{}.json", self.name)))
            .stdout(File::create(log).unwrap())
            .stderr(File::create(errors).unwrap())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    fn log(&self) -> PathBuf {
        self.folder.join(format!("{}-{}.log", self.name, self.starts))
    }

    /// Waits for the first line of its log: before its main function a process can answer no signal,
    /// and the system ends it (seed 125, SIGHUP 3 ms after the start).
    pub fn wait_begun(&self) {
        for _ in 0..200 {
            if std::fs::metadata(self.log()).is_ok_and(|log| log.len() > 0) {
                return;
            }
            sleep(Duration::from_millis(10));
        }
    }

    /// Sends a signal by its name without SIG.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits for the process to end by itself; returns whether it did so with success.
    pub fn wait_stopped(&mut self, limit: Duration) -> bool {
        let Some(child) = &mut self.child else { return true };
        let began = Instant::now();
        while began.elapsed() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns whether the process ended although nobody ended it.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        matches!(child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process takes the signal that ends it only after it goes on.
        self.signal("CONT");
        self.kill();
    }
}
