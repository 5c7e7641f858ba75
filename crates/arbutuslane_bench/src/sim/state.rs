//! The state of servers, entries, requests and attempts.

use std::collections::VecDeque;
use std::time::Duration;

use arbutuslane_balance::candidate::Load;
use arbutuslane_balance::picker::Picker;
use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;
use arbutuslane_health::detector::Detector;
use arbutuslane_health::ejection::Stage;
use arbutuslane_health::peers::{Baseline, Summarizer, Summary};
use arbutuslane_limit::bucket::Bucket;
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::gate::{Gate, Ticket};

pub(super) struct Server {
    pub(super) name: String,
    pub(super) domain: usize,
    pub(super) gate: Gate,
    pub(super) detector: Detector,
    pub(super) baseline: Baseline,
    pub(super) stage: Stage,
    pub(super) claiming: bool,
    pub(super) held: Vec<(Ticket, usize)>,
    pub(super) speed: f64,
    pub(super) pause: (Time, Duration),
    pub(super) latency: Duration,
    pub(super) reports: VecDeque<(Time, Load)>,
    pub(super) gradient: Gradient,
}

/// A gradient concurrency limit: the long-term latency divided by the recent one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Gradient {
    pub(super) long: f64,
    pub(super) short: f64,
}

pub(super) struct Entry {
    pub(super) domain: usize,
    pub(super) picker: Picker,
    pub(super) summarizer: Summarizer,
    pub(super) summaries: Bucket,
    pub(super) budget: RetryBudget,
    pub(super) next: usize,
}

#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) entry: usize,
    pub(super) class: Class,
    pub(super) route: u64,
    pub(super) caller: u64,
    pub(super) arrived: Time,
    pub(super) deadline: Deadline,
    pub(super) tried: Vec<String>,
    pub(super) made: u32,
    pub(super) outstanding: u32,
    pub(super) timers: u32,
    pub(super) done: bool,
    pub(super) sent_before: u32,
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) id: u64,
    pub(super) request: usize,
    pub(super) server: usize,
    pub(super) trial: bool,
    pub(super) summary: Option<Summary>,
    pub(super) started: Time,
    pub(super) result: Result,
    pub(super) load: Option<Load>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Result {
    Pending,
    Answered { latency: Duration, success: bool },
    NotRun,
    Unreachable,
}
