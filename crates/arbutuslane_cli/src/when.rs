//! Parses the times that operators enter, and formats durations.

use crate::error::Error;

/// Parses `text` to milliseconds since 1970-01-01 UTC.
///
/// `text` is a UTC time such as `2026-12-03T22:00:00Z` (seconds and their fraction may be left
/// out), or an age before `now_ms` such as `90s`, `30m`, `8h` or `2d`.
///
/// ```
/// use arbutuslane_cli::when;
///
/// assert_eq!(when::parse("2000-02-29T00:00:00.123Z", 0).unwrap(), 951_782_400_123);
/// assert_eq!(when::parse("30m", 2_000_000).unwrap(), 200_000);
/// ```
pub fn parse(text: &str, now_ms: u64) -> Result<u64, Error> {
    parse_age(text)
        .map(|age| now_ms.saturating_sub(age))
        .or_else(|| parse_utc(text))
        .ok_or_else(|| Error::InvalidTime { text: text.to_string() })
}

/// Parses a duration such as `90s` or `8h` to milliseconds.
pub fn parse_age(text: &str) -> Option<u64> {
    let split = text.len().checked_sub(1)?;
    let (number, unit) = (text.get(..split)?, text.get(split..)?);
    let unit_ms = match unit {
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(unit_ms)
}

/// Formats a duration with at most two units, such as `2 h 5 min`.
pub fn format_duration(ms: u64) -> String {
    let seconds = ms / 1_000;
    let (days, hours, minutes) = (seconds / 86_400, seconds / 3_600 % 24, seconds / 60 % 60);
    match (days, hours, minutes) {
        (0, 0, 0) if seconds == 0 => format!("{ms} ms"),
        (0, 0, 0) => format!("{seconds} s"),
        (0, 0, _) => format!("{minutes} min {} s", seconds % 60),
        (0, _, _) => format!("{hours} h {minutes} min"),
        _ => format!("{days} d {hours} h"),
    }
}

fn parse_utc(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<u64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, millis) = match time.split_once('.') {
        Some((time, fraction)) if fraction.len() == 3 => (time, fraction.parse::<u64>().ok()?),
        Some(_) => return None,
        None => (time, 0),
    };
    let mut time = time.split(':').map(|part| part.parse::<u64>().ok());
    let (hour, minute) = (time.next()??, time.next()??);
    let second = time.next().unwrap_or(Some(0))?;
    let month_days = match month {
        2 if year % 4 == 0 && (year % 100 != 0 || year % 400 == 0) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    };
    let valid = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=month_days).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    if !valid {
        return None;
    }
    // Counts years from 1 March, so that the leap day is the last day of a year.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    let days = year * 365 + year / 4 - year / 100 + year / 400 + day_of_year - 719_468;
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000 + millis)
}

#[cfg(test)]
mod tests {
    use arbutuslane_event::log;

    use super::*;

    /// Guards against a filter that silently uses another time than the operator entered.
    #[test]
    fn parse_invalid() {
        for text in ["", "h", "-5m", "2026-13-01T00:00Z", "2026-02-29T00:00Z", "2026-01-01", "5é"]
        {
            assert!(parse(text, 0).is_err(), "{text}");
        }
    }

    /// Guards against a difference between the format of printed times and of parsed ones.
    #[test]
    fn parse_inverts_log() {
        for step in 0..5_000 {
            let ms = step * 86_400_123 * 3;
            assert_eq!(parse(&log::format_utc(ms), 0).unwrap(), ms);
        }
    }
}
