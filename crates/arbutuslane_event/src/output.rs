//! Writes log lines without blocking the program.
//!
//! Lines pass through a bounded queue to a thread that writes them to standard output. When the
//! reader of the output stops, the queue fills, and further lines are dropped and counted. The rate
//! of each kind of line is limited; lines above the limit are left out, and the next line of the
//! kind says how many in its `left_out` field.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

/// The most lines that wait to be written.
const MAX_QUEUED_LINES: usize = 8_192;

/// The most lines of one kind that are written in a second; a node handles about this many requests
/// per second at its peak.
const MAX_LINES_PER_SECOND: u64 = 400;

/// The most kinds whose rates are counted separately; all further kinds share one rate.
const MAX_KINDS: usize = 256;

/// The most time for which an exiting program waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the thread that writes.
enum WriterMessage {
    /// A line to write.
    Line(Vec<u8>),
    /// Requests a confirmation when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// The lines of one kind in the current one-second window.
#[derive(Debug)]
struct LineRate {
    window_start: Instant,
    count: u64,
    /// The lines that were left out since the last line that was written.
    left_out: u64,
}

/// A handle to the thread that writes log lines.
#[derive(Debug)]
pub struct Output {
    sender: SyncSender<WriterMessage>,
    /// The number of lines that were dropped because the queue was full and are not reported yet.
    dropped: Arc<AtomicU64>,
    rates: Mutex<BTreeMap<String, LineRate>>,
}

/// Collects the bytes of one line and sends the line to its output when dropped.
#[derive(Debug)]
pub struct LineWriter<'a> {
    output: &'a Output,
    bytes: Vec<u8>,
}

static OUTPUT: OnceLock<&'static Output> = OnceLock::new();

impl Output {
    /// Starts the thread that writes to `target` and returns its handle.
    pub fn start(target: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let unreported = Arc::clone(&dropped);
        thread::spawn(move || run_writer(&receiver, &unreported, target));
        Self { sender, dropped, rates: Mutex::default() }
    }

    /// Returns the output of this process, which writes to standard output.
    pub(crate) fn standard() -> &'static Self {
        OUTPUT.get_or_init(|| Box::leak(Box::new(Self::start(io::stdout()))))
    }

    /// Queues a line and returns true, or returns false when the line is left out or dropped.
    pub fn send(&self, line: Vec<u8>) -> bool {
        let Some(line) = self.apply_rate_limit(line, Instant::now()) else { return false };
        match self.sender.try_send(WriterMessage::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }

    /// Waits until all lines that were queued before are written, or until a short timeout.
    pub fn flush(&self) {
        let (confirmation, confirmed) = sync_channel(1);
        if self.sender.try_send(WriterMessage::Flush(confirmation)).is_ok() {
            // A timeout means that the reader of the output has stopped.
            let _ = confirmed.recv_timeout(FLUSH_TIMEOUT);
        }
    }

    /// Returns the line, with the number of lines of its kind that were left out before it.
    ///
    /// Returns `None` when its kind has reached [`MAX_LINES_PER_SECOND`].
    fn apply_rate_limit(&self, mut line: Vec<u8>, now: Instant) -> Option<Vec<u8>> {
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let mut kind = line_kind(&line).to_string();
        if rates.len() >= MAX_KINDS && !rates.contains_key(&kind) {
            kind = String::new();
        }
        let rate =
            rates.entry(kind).or_insert(LineRate { window_start: now, count: 0, left_out: 0 });
        if now.duration_since(rate.window_start) >= Duration::from_secs(1) {
            rate.window_start = now;
            rate.count = 0;
        }
        rate.count += 1;
        if rate.count > MAX_LINES_PER_SECOND {
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

/// Returns the value of the `event` or `kind` field of a line, or an empty string.
fn line_kind(line: &[u8]) -> &str {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let value = text
        .split(' ')
        .find_map(|pair| pair.strip_prefix("event=").or_else(|| pair.strip_prefix("kind=")));
    value.unwrap_or_default().trim_end()
}

/// Writes lines to `target` and reports dropped ones until all senders are gone.
fn run_writer(receiver: &Receiver<WriterMessage>, dropped: &AtomicU64, mut target: impl Write) {
    while let Ok(message) = receiver.recv() {
        let dropped = dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(target, "level=warn event=log-lines-dropped count={dropped}");
        }
        match message {
            WriterMessage::Line(line) => {
                // An error is ignored: there is no other output on which to report it.
                let _ = target.write_all(&line);
            }
            WriterMessage::Flush(confirmation) => {
                let _ = target.flush();
                let _ = confirmation.try_send(());
            }
        }
    }
}

/// Waits until the log of this process is written, or until a short timeout.
///
/// A process calls this before it exits.
pub fn flush() {
    if let Some(output) = OUTPUT.get() {
        output.flush();
    }
}

impl Write for LineWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter<'_> {
    fn drop(&mut self) {
        if !self.bytes.is_empty() {
            self.output.send(std::mem::take(&mut self.bytes));
        }
    }
}

impl<'a> MakeWriter<'a> for &'static Output {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LineWriter { output: self, bytes: Vec::new() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A target whose writes block while a test holds its lock.
    #[derive(Debug, Clone, Default)]
    struct BlockingTarget(Arc<Mutex<Vec<u8>>>);

    impl Write for BlockingTarget {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let mut written = self.0.lock().unwrap();
            written.extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards against a program that blocks because its log is not read: while the target blocks,
    /// lines beyond the queue must be dropped and counted, and every call must return.
    #[test]
    fn send_reader_stuck() {
        let target = BlockingTarget::default();
        let guard = target.0.lock().unwrap();
        let output = Output::start(target.clone());
        let mut accepted = 0;
        for number in 0..MAX_QUEUED_LINES * 2 {
            // The kind changes every 200 lines, so that the rate limit leaves no line out.
            accepted += usize::from(output.send(format!("event=k{}\n", number / 200).into_bytes()));
        }
        assert!(
            (MAX_QUEUED_LINES..=MAX_QUEUED_LINES + 1).contains(&accepted),
            "{accepted} lines accepted"
        );
        drop(guard);
        while !String::from_utf8_lossy(&target.0.lock().unwrap()).contains("log-lines-dropped") {
            output.send(b"event=last\n".to_vec());
            thread::yield_now();
        }
    }

    /// Guards against one kind of line that floods the log, and against lines that are left out
    /// without being counted.
    #[test]
    fn limit_kind() {
        let output = Output::start(io::sink());
        let start = Instant::now();
        let limit = |text: &str, ms| {
            let line = output
                .apply_rate_limit(text.as_bytes().to_vec(), start + Duration::from_millis(ms));
            line.map(|line| String::from_utf8(line).unwrap())
        };
        for _ in 0..MAX_LINES_PER_SECOND {
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
