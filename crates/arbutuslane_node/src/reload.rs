//! Applies changes of the settings file while the node runs.

use arbutuslane_event::reload::{self, Watched};

use crate::settings::Settings;
use crate::shared::Shared;

/// The settings that change without a restart.
const LIVE_KEYS: &[&str] = &["control", "seeds"];

/// Applies the addresses of the settings file if it has changed. Other changed settings apply after
/// the next start.
pub(crate) fn reload_if_changed(shared: &Shared, watched: &mut Watched) {
    let Some(change) = watched.changed() else { return };
    match Settings::parse(&change.text) {
        Ok(settings) => {
            shared.set_addresses(&settings);
            change.record_applied(LIVE_KEYS);
        }
        Err(error) => reload::record_refused(&error),
    }
}
