//! Judges the health of this node's servers on the control thread.

use std::sync::Arc;
use std::time::Duration;

use ntex::time::sleep;

use crate::shared::Shared;

/// How often the health of servers is judged; the ages of requests in flight are evidence.
const JUDGEMENT: Duration = Duration::from_millis(50);

/// Judges the health of this node's servers until the process ends.
pub(crate) async fn work(shared: Arc<Shared>) {
    loop {
        let configuration = shared.configuration();
        for server in shared.servers.all() {
            let Some(entry) = configuration.entry(&server.service) else { continue };
            // Without a permit the claim waits and the server stays in use.
            if let Some(suspicion) = server.condition.judge(entry.preference) {
                tracing::debug!(event = "suspected", server = server.id, ?suspicion);
            }
        }
        sleep(JUDGEMENT).await;
    }
}
