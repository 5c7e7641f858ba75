//! The memory and the descriptors that a process uses.

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// How often the use is read.
const INTERVAL: Duration = Duration::from_millis(25);

/// The number of bytes in the kibibytes of `/proc`.
const KIB: usize = 1 << 10;

/// The highest use of a process in a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peak {
    /// The resident memory and the bytes that have arrived for the process unread, in bytes.
    pub memory: usize,
    /// The bytes that have arrived for the process unread.
    pub unread: usize,
    /// The number of open descriptors.
    pub descriptors: usize,
}

/// Records the highest use of one process until it is finished.
#[derive(Debug)]
pub struct Watch {
    process: u32,
    peak: Arc<Mutex<Peak>>,
    is_over: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
}

impl Watch {
    /// Starts to record the use of the process with the id `process`. The bytes of connections to
    /// `listeners` count before the process has accepted them.
    pub fn start(process: u32, listeners: Vec<SocketAddr>) -> Self {
        let (peak, is_over) = (Arc::new(Mutex::new(Peak::default())), Arc::default());
        let (shared, ended): (_, Arc<AtomicBool>) = (Arc::clone(&peak), Arc::clone(&is_over));
        let reader = spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                record(process, &listeners, &shared);
                sleep(INTERVAL);
            }
        });
        Self { process, peak, is_over, reader: Some(reader) }
    }

    /// Ends the record and returns the highest use.
    pub fn finish(mut self) -> Peak {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        let mut peak = *self.peak.lock().unwrap_or_else(PoisonError::into_inner);
        // The kernel has seen the peaks between two readings.
        peak.memory = peak.memory.max(status_bytes(self.process, "VmHWM:"));
        peak
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn record(process: u32, listeners: &[SocketAddr], peak: &Mutex<Peak>) {
    let resident = status_bytes(process, "VmRSS:");
    let (descriptors, sockets) = open_descriptors(process);
    let unread = unread_bytes(&sockets, listeners);
    let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
    peak.memory = peak.memory.max(resident + unread);
    peak.unread = peak.unread.max(unread);
    peak.descriptors = peak.descriptors.max(descriptors);
}

/// Returns the bytes that a line of the process's status states, or 0 if it is gone.
fn status_bytes(process: u32, name: &str) -> usize {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kibibytes.unwrap_or(0) * KIB
}

/// Returns the number of the process's descriptors, and the inodes of its sockets in order.
fn open_descriptors(process: u32) -> (usize, Vec<u64>) {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else { return (0, Vec::new()) };
    let (mut count, mut sockets) = (0, Vec::new());
    for entry in entries.flatten() {
        count += 1;
        let Ok(target) = fs::read_link(entry.path()) else { continue };
        let target = target.to_string_lossy();
        let inode = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
        sockets.extend(inode.and_then(|inode| inode.parse::<u64>().ok()));
    }
    sockets.sort_unstable();
    (count, sockets)
}

/// Returns the unread bytes of the TCP connections with the inodes `sockets`, and of those to
/// `listeners` that no process has accepted.
fn unread_bytes(sockets: &[u64], listeners: &[SocketAddr]) -> usize {
    const LISTENING: &str = "0A";
    let listeners: Vec<String> = listeners.iter().map(|address| hexadecimal(*address)).collect();
    let text = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut unread = 0;
    for line in text.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else { continue };
        let Ok(inode) = inode.parse::<u64>() else { continue };
        let is_own = match inode {
            0 => listeners.iter().any(|listener| listener == local),
            inode => sockets.binary_search(&inode).is_ok(),
        };
        // The queue of a listener holds connections.
        if !is_own || state == LISTENING {
            continue;
        }
        let received = queues.split(':').nth(1);
        unread += received.and_then(|text| usize::from_str_radix(text, 16).ok()).unwrap_or(0);
    }
    unread
}

/// Returns an IPv4 address as `/proc/net/tcp` shows it.
fn hexadecimal(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { return String::new() };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}
