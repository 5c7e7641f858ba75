//! The settings of workspaces' allowances, which all nodes share.

use serde::Deserialize;

/// How exactly the fleet keeps the allowances of workspaces. All nodes need the same values.
///
/// In any window, a workspace's requests may exceed its rate and burst by a share of both, the
/// overshoot, and by a fixed number of requests, the slack.
///
/// ```
/// use arbutuslane_wire::allowance::AllowanceSettings;
///
/// let settings = AllowanceSettings { window_s: 5.0, overshoot: 0.1, slack: 20.0 };
/// assert_eq!(settings.check(), Ok(()));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceSettings {
    /// The length of the window in seconds.
    pub window_s: f64,
    /// The allowed excess as a share of the rate and the burst.
    pub overshoot: f64,
    /// The number of requests that are allowed in a window beyond that.
    pub slack: f64,
}

/// The longest window in seconds.
const MAX_WINDOW_S: f64 = 3_600.0;

/// The largest overshoot and slack.
const MAX_EXCESS: f64 = 1e6;

impl AllowanceSettings {
    /// Checks that the values are usable.
    ///
    /// # Errors
    ///
    /// Returns what the values must be.
    pub fn check(&self) -> Result<(), &'static str> {
        let Self { window_s, overshoot, slack } = *self;
        // A comparison with a value that is not a number is false.
        let is_usable = window_s > 0.0
            && window_s <= MAX_WINDOW_S
            && overshoot > 0.0
            && overshoot <= MAX_EXCESS
            && (0.0..=MAX_EXCESS).contains(&slack);
        match is_usable {
            true => Ok(()),
            false => Err("`window_s` and `overshoot` must be positive, `slack` must not be \
                          negative, and `window_s` must be at most 3600"),
        }
    }
}
