//! Writes log lines without ever making the program wait.
//!
//! Lines pass through a bounded queue to a thread that writes them to standard output. When the
//! reader of the output stops, the queue fills and further lines are dropped and counted. Each kind
//! of line has a rate; what exceeds it is left out, and the next line of the kind says how many were.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

/// The most lines that wait to be written.
const QUEUE: usize = 8_192;

/// The lines of one kind that are written in any second; a node answers about this many requests a
/// second at its peak.
const RATE: u64 = 400;

/// The most kinds whose rates are counted apart; later ones share one rate.
const KINDS: usize = 256;

/// How long the end of a program waits until its last lines are written.
const FLUSH: Duration = Duration::from_millis(200);

/// What is handed to the thread.
enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The lines of one kind in the present second.
#[derive(Debug)]
struct Rate {
    since: Instant,
    count: u64,
    left_out: u64,
}

/// The way to the thread that writes.
#[derive(Debug)]
pub struct Output {
    jobs: SyncSender<Job>,
    /// The lines that were dropped because the queue was full, and are not reported yet.
    dropped: Arc<AtomicU64>,
    rates: Mutex<BTreeMap<String, Rate>>,
}

/// Collects one line and hands it over when it is dropped.
#[derive(Debug)]
pub struct Line<'a> {
    output: &'a Output,
    bytes: Vec<u8>,
}

static OUTPUT: OnceLock<&'static Output> = OnceLock::new();

impl Output {
    /// Starts the thread that writes to `target`.
    pub fn start(target: impl Write + Send + 'static) -> Self {
        let (jobs, inbox) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let reported = Arc::clone(&dropped);
        thread::spawn(move || write(&inbox, &reported, target));
        Self { jobs, dropped, rates: Mutex::default() }
    }

    /// Returns the output of this process, which writes to standard output.
    pub(crate) fn standard() -> &'static Self {
        OUTPUT.get_or_init(|| Box::leak(Box::new(Self::start(io::stdout()))))
    }

    /// Hands a line over; returns whether it was taken.
    pub fn send(&self, line: Vec<u8>) -> bool {
        let Some(line) = self.limit(line, Instant::now()) else { return false };
        match self.jobs.try_send(Job::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }

    /// Waits a short while until all lines handed over before are written.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.jobs.try_send(Job::Flush(done)).is_ok() {
            // Without an answer the reader of the output has stopped.
            let _ = written.recv_timeout(FLUSH);
        }
    }

    /// Returns the line, with the number of lines of its kind that were left out before it, or
    /// nothing when its kind has used up its rate.
    fn limit(&self, mut line: Vec<u8>, now: Instant) -> Option<Vec<u8>> {
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let mut kind = kind(&line).to_string();
        if rates.len() >= KINDS && !rates.contains_key(&kind) {
            kind = String::new();
        }
        let rate = rates.entry(kind).or_insert(Rate { since: now, count: 0, left_out: 0 });
        if now.duration_since(rate.since) >= Duration::from_secs(1) {
            rate.since = now;
            rate.count = 0;
        }
        rate.count += 1;
        if rate.count > RATE {
            rate.left_out += 1;
            return None;
        }
        let left_out = std::mem::take(&mut rate.left_out);
        if left_out > 0 && line.ends_with(b"\n") {
            line.pop();
            line.extend_from_slice(format!(" left_out={left_out}\n").as_bytes());
        }
        Some(line)
    }
}

/// Returns what kind of event a line tells.
fn kind(line: &[u8]) -> &str {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let value = text
        .split(' ')
        .find_map(|pair| pair.strip_prefix("event=").or_else(|| pair.strip_prefix("kind=")));
    value.unwrap_or_default().trim_end()
}

fn write(inbox: &Receiver<Job>, dropped: &AtomicU64, mut target: impl Write) {
    while let Ok(job) = inbox.recv() {
        let dropped = dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(target, "level=warn event=log-lines-dropped count={dropped}");
        }
        match job {
            Job::Line(line) => {
                // Nobody can be told that the output is gone.
                let _ = target.write_all(&line);
            }
            Job::Flush(done) => {
                let _ = target.flush();
                let _ = done.try_send(());
            }
        }
    }
}

/// Waits a short while until the log of this process is written; called before it ends.
pub fn flush() {
    if let Some(output) = OUTPUT.get() {
        output.flush();
    }
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if !self.bytes.is_empty() {
            self.output.send(std::mem::take(&mut self.bytes));
        }
    }
}

impl<'a> MakeWriter<'a> for &'static Output {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line { output: self, bytes: Vec::new() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A reader that takes nothing until it is let go.
    #[derive(Debug, Clone, Default)]
    struct Stuck(Arc<Mutex<Vec<u8>>>);

    impl Write for Stuck {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let mut written = self.0.lock().unwrap();
            written.extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards against a program that waits because nobody reads its log: with the reader stuck, all
    /// lines beyond the queue are dropped and every call returns.
    #[test]
    fn send_reader_stuck() {
        let reader = Stuck::default();
        let held = reader.0.lock().unwrap();
        let output = Output::start(reader.clone());
        let mut taken = 0;
        for number in 0..QUEUE * 2 {
            // Kinds of their own, so that the rate leaves nothing out.
            taken += usize::from(output.send(format!("event=k{}\n", number / 200).into_bytes()));
        }
        assert!((QUEUE..=QUEUE + 1).contains(&taken), "{taken} lines taken");
        drop(held);
        while !String::from_utf8_lossy(&reader.0.lock().unwrap()).contains("log-lines-dropped") {
            output.send(b"event=last\n".to_vec());
            thread::yield_now();
        }
    }

    /// Guards against one kind of line that floods the log, and lines that are left out silently.
    #[test]
    fn limit_kind() {
        let output = Output::start(io::sink());
        let start = Instant::now();
        let limit = |text: &str, ms| {
            let line = output.limit(text.as_bytes().to_vec(), start + Duration::from_millis(ms));
            line.map(|line| String::from_utf8(line).unwrap())
        };
        for _ in 0..RATE {
            assert!(limit("time=x event=request a=1\n", 0).is_some());
        }
        for _ in 0..7 {
            assert!(limit("time=x event=request a=1\n", 10).is_none());
        }
        assert!(limit("time=x event=other\n", 10).is_some());
        let next = limit("time=x event=request a=1\n", 1_001);
        assert_eq!(next.as_deref(), Some("time=x event=request a=1 left_out=7\n"));
    }
}
