//! Starts and stops processes of the fleet and sends them signals.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A process of the fleet that can be stopped and started again.
#[derive(Debug)]
pub struct Process {
    /// Its name, which also names the files of its settings and logs.
    pub name: String,
    program: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
    /// The limit on its open descriptors; that of this process when absent.
    max_descriptors: Option<u32>,
}

impl Process {
    /// Writes `settings` to a file in `folder` and starts `program` with it.
    pub fn start(
        program: &'static str,
        folder: &Path,
        name: &str,
        settings: &serde_json::Value,
    ) -> Self {
        Self::start_limited(program, folder, name, settings, None)
    }

    /// Starts `program` as [`start`](Self::start) does, with at most `max_descriptors` open
    /// descriptors.
    pub fn start_limited(
        program: &'static str,
        folder: &Path,
        name: &str,
        settings: &serde_json::Value,
        max_descriptors: Option<u32>,
    ) -> Self {
        std::fs::write(folder.join(format!("{name}.json")), settings.to_string()).unwrap();
        let (name, folder) = (name.to_string(), folder.to_path_buf());
        let mut process = Self { name, program, folder, child: None, starts: 0, max_descriptors };
        process.ensure_running();
        process
    }

    /// Starts the process unless it is running.
    pub fn ensure_running(&mut self) {
        if self.child.is_some() {
            return;
        }
        self.starts += 1;
        let log = self.log_path();
        let errors = self.folder.join(format!("{}-{}.err", self.name, self.starts));
        let child = self
            .command()
            .arg(self.folder.join(format!("{}.json", self.name)))
            .stdout(File::create(log).unwrap())
            .stderr(File::create(errors).unwrap())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Returns the command that runs the program with its limits.
    fn command(&self) -> Command {
        let Some(limit) = self.max_descriptors else { return Command::new(self.program) };
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {limit} && exec \"$0\" \"$@\""), self.program]);
        command
    }

    /// Returns the id of the process, or `None` while it does not run.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the log of the process since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}-{}.log", self.name, self.starts))
    }

    /// Waits up to 2 s for the first line of the log.
    ///
    /// A signal that arrives before the main function ends the process, because no handler is
    /// installed yet (seed 125, SIGHUP 3 ms after the start).
    pub fn wait_until_started(&self) {
        for _ in 0..200 {
            if std::fs::metadata(self.log_path()).is_ok_and(|log| log.len() > 0) {
                return;
            }
            sleep(Duration::from_millis(10));
        }
    }

    /// Sends the signal with the name `signal`, which omits the prefix SIG.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits for the process to exit; returns whether it did so within `timeout` and with success.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> bool {
        let Some(child) = &mut self.child else { return true };
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns whether the process exited although it was not killed.
    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        matches!(child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process stopped by SIGSTOP is continued before it is killed.
        self.signal("CONT");
        self.kill();
    }
}
