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
    /// The index of the failure domain.
    pub(super) domain: usize,
    pub(super) gate: Gate,
    pub(super) detector: Detector,
    pub(super) baseline: Baseline,
    pub(super) stage: Stage,
    /// Whether a permit claim is scheduled or is being repeated.
    pub(super) is_claiming: bool,
    /// The attempts that run or are queued at the gate: ticket and attempt index.
    pub(super) admitted: Vec<(Ticket, usize)>,
    /// The factor on all service times of this server.
    pub(super) service_time_factor: f64,
    /// The start and length of the current or next pause.
    pub(super) pause: (Time, Duration),
    /// The moving average of the latency.
    pub(super) average_latency: Duration,
    /// The recent load reports, oldest first.
    pub(super) reports: VecDeque<(Time, Load)>,
    pub(super) gradient: Gradient,
}

/// The moving averages, in seconds, behind a gradient concurrency limit, which is proportional to
/// the long-term latency divided by the short-term latency.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Gradient {
    pub(super) long_term: f64,
    pub(super) short_term: f64,
}

pub(super) struct Entry {
    /// The index of the failure domain.
    pub(super) domain: usize,
    pub(super) picker: Picker,
    pub(super) summarizer: Summarizer,
    /// Limits the summaries that this entry attaches to requests.
    pub(super) summary_bucket: Bucket,
    pub(super) retry_budget: RetryBudget,
    /// The counter of the round-robin choice.
    pub(super) next_server: usize,
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) entry: usize,
    pub(super) class: Class,
    pub(super) route: u64,
    pub(super) caller: u64,
    /// When the caller sent this request or resent it.
    pub(super) arrived: Time,
    pub(super) deadline: Deadline,
    /// The names of the servers that attempts were sent to.
    pub(super) tried: Vec<String>,
    pub(super) attempts_made: u32,
    /// How often the caller has resent this request.
    pub(super) resends: u32,
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) id: u64,
    pub(super) request: usize,
    pub(super) server: usize,
    pub(super) is_trial: bool,
    pub(super) summary: Option<Summary>,
    /// The time at which the entry sent the attempt, replaced by the start of its run at the server.
    pub(super) started: Time,
    pub(super) result: AttemptResult,
    /// The load report in the response.
    pub(super) load: Option<Load>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum AttemptResult {
    Pending,
    Answered { latency: Duration, success: bool },
    NotRun,
    Unreachable,
}
