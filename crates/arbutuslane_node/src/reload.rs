//! Takes over settings that change while the node runs.

use arbutuslane_event::reload::{self, Watched};

use crate::settings::Settings;
use crate::shared::Shared;

/// The keys that are taken over without a restart.
const LIVE: &[&str] = &["control", "seeds"];

/// Takes over the addresses of the settings when the file has changed. What else has changed is in
/// force after the next start.
pub(crate) fn look(shared: &Shared, watched: &mut Watched) {
    let Some(change) = watched.changed() else { return };
    match Settings::parse(&change.text) {
        Ok(settings) => {
            shared.set_addresses(&settings);
            change.record_applied(LIVE);
        }
        Err(error) => reload::record_refused(&error),
    }
}
