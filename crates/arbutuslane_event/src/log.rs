//! The log: one line of `key=value` pairs per event, written to standard output.

use std::fmt;
use std::sync::OnceLock;

use tracing::field::{Field, Visit};
use tracing::{Level, Subscriber};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

use crate::clock;
use crate::event::{Event, quoted};
use crate::kind;
use crate::output::Output;

/// The target of the lines that [`write`] logs; their message is already in `key=value` form.
const EVENT_TARGET: &str = "arbutuslane::event";

/// The instance name that is added to the log lines of this process.
static INSTANCE: OnceLock<String> = OnceLock::new();

/// Initializes the log of this process.
///
/// `filter` selects the lines that are written, for example `info` or
/// `info,arbutuslane_node=debug`. An invalid filter is replaced by `info`. A second call has no
/// effect.
pub fn init(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let result = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(Output::standard())
        .event_format(LineFormat)
        .try_init();
    if result.is_err() {
        tracing::debug!("the log is already initialized; this call has no effect");
    }
}

/// Sets the instance name that is added to every later log line; a second call has no effect.
pub fn set_instance(instance: &str) {
    let _ = INSTANCE.set(instance.to_string());
}

/// Writes `event` to the log as one line.
pub fn write(event: &Event) {
    match event.kind.level() {
        kind::Level::Action => tracing::warn!(target: EVENT_TARGET, "{event}"),
        kind::Level::Routine | kind::Level::Handled => {
            tracing::info!(target: EVENT_TARGET, "{event}");
        }
    }
}

/// Formats a `tracing` event as `time=… level=… target=… key=value …`.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'lookup> LookupSpan<'lookup>,
    N: for<'writer> FormatFields<'writer> + 'static,
{
    fn format_event(
        &self,
        _context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &tracing::Event<'_>,
    ) -> fmt::Result {
        let metadata = event.metadata();
        let level = match *metadata.level() {
            Level::ERROR => "error",
            Level::WARN => "warn",
            Level::INFO => "info",
            Level::DEBUG => "debug",
            Level::TRACE => "trace",
        };
        write!(writer, "time={} level={level}", format_utc(clock::wall_ms()))?;
        let mut pairs =
            Pairs { text: String::new(), preformatted: metadata.target() == EVENT_TARGET };
        if !pairs.preformatted {
            write!(writer, " target={}", quoted(metadata.target()))?;
            if let Some(instance) = INSTANCE.get() {
                write!(writer, " instance={}", quoted(instance))?;
            }
        }
        event.record(&mut pairs);
        writeln!(writer, "{}", pairs.text)
    }
}

/// Collects the fields of a `tracing` event as `key=value` pairs.
struct Pairs {
    text: String,
    /// Whether the message is already in `key=value` form and is appended as it is.
    preformatted: bool,
}

impl Pairs {
    fn push(&mut self, key: &str, value: &str) {
        // Records of the `log` crate have source paths of the build machine in these fields.
        if key.starts_with("log.") {
            return;
        }
        if self.preformatted && key == "message" {
            self.text.push(' ');
            self.text.push_str(value);
            return;
        }
        self.text.push_str(&format!(" {key}={}", quoted(value)));
    }
}

impl Visit for Pairs {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.push(field.name(), &format!("{value:?}"));
    }
}

/// Returns `wall_ms` as an RFC 3339 time in UTC with milliseconds.
///
/// ```
/// assert_eq!(arbutuslane_event::log::format_utc(951_782_400_123), "2000-02-29T00:00:00.123Z");
/// ```
pub fn format_utc(wall_ms: u64) -> String {
    let (seconds, millis) = (wall_ms / 1_000, wall_ms % 1_000);
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    // Years and 400-year eras are counted from 1 March, so that the leap day comes last. 719,468
    // days lie between 0000-03-01 and 1970-01-01.
    let days_since_year_0 = days + 719_468;
    let (era, day_of_era) = (days_since_year_0 / 146_097, days_since_year_0 % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}
