//! The status codes of final responses.

use std::ops::RangeInclusive;

use ntex::http::StatusCode;

/// The codes that a final response may have. Lower ones precede a final response or are none, and no
/// protocol gives higher ones a meaning that a caller could rely on.
const FINAL_CODES: RangeInclusive<u16> = 200..=599;

/// Returns the status of a final response, or `None` if `code` is that of no such response.
pub(crate) fn of_final(code: u16) -> Option<StatusCode> {
    FINAL_CODES.contains(&code).then(|| StatusCode::from_u16(code).ok()).flatten()
}

/// Returns the status of an error, which is `default` if `status` is that of no error.
pub(crate) fn of_error(status: StatusCode, default: StatusCode) -> StatusCode {
    match status.is_client_error() || status.is_server_error() {
        true => status,
        false => default,
    }
}
