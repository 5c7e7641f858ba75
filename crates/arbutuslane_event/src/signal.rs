//! The signals that a daemon obeys while it runs.

use ntex::rt::System;
use ntex::rt::signals::{Signal, signal};
use ntex::time::{sleep, timeout_checked};

use crate::reload::RELOAD_INTERVAL;

/// Waits for a signal to stop. Meanwhile calls `reload` after each SIGHUP and in each
/// [`RELOAD_INTERVAL`], because settings may change without a signal.
pub async fn wait_for_stop(mut reload: impl FnMut()) {
    System::current().enable_signals();
    let mut signals = Box::pin(signal());
    loop {
        match timeout_checked(RELOAD_INTERVAL, signals.as_mut()).await {
            Err(()) => {}
            Ok(Ok(received)) if received.iter().all(|signal| matches!(signal, Signal::Hup)) => {
                signals = Box::pin(signal());
            }
            Ok(Ok(_)) => return,
            Ok(Err(_)) => {
                sleep(RELOAD_INTERVAL).await;
                signals = Box::pin(signal());
            }
        }
        reload();
    }
}
