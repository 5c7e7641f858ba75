//! Applies changes of the settings file while the node runs.

use arbutuslane_event::reload::{self, WatchedFile};

use crate::settings::Settings;
use crate::shared::Shared;

/// The settings that change without a restart.
const LIVE_KEYS: &[&str] = &["control", "seeds"];

/// Applies the addresses of the settings file if it has changed. Other changed settings apply after
/// the next start.
pub(crate) fn reload_if_changed(shared: &Shared, watched: &mut WatchedFile) {
    let Some(change) = watched.poll_change() else { return };
    match Settings::parse(&change.text) {
        Ok(settings) => {
            shared.set_addresses(&settings);
            change.log_applied(LIVE_KEYS);
        }
        Err(error) => reload::log_rejected(&error),
    }
}
