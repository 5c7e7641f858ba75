//! Waits of limited length.

use std::time::Duration;

use ntex::time::timeout_checked;

/// The shortest limit of a wait. The runtime counts whole milliseconds, and takes zero for no limit.
const MIN_LIMIT: Duration = Duration::from_millis(1);

/// The limit of a wait has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Elapsed;

/// Waits for `future` until `limit` has passed, however short it is.
pub(crate) async fn within<T>(
    limit: Duration,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    timeout_checked(limit.max(MIN_LIMIT), future).await.map_err(|()| Elapsed)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a wait that never ends because less than a millisecond of its time is left.
    #[ntex::test]
    async fn within_no_time() {
        for limit in [Duration::ZERO, Duration::from_micros(400)] {
            let waiting = within(limit, std::future::pending::<()>());
            let outcome = ntex::time::timeout(Duration::from_secs(5), waiting).await;
            assert_eq!(outcome, Ok(Err(Elapsed)), "{limit:?}");
        }
        assert_eq!(within(Duration::ZERO, async { 7 }).await, Ok(7));
    }
}
