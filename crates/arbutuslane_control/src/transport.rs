//! Carries frames to the other control instances, one request at a time to each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use arbutuslane_wire::{codec, header};
use ntex::client::Client;
use ntex::time::Millis;
use tokio::sync::mpsc::{Receiver, Sender, UnboundedReceiver, UnboundedSender, channel};
use tokio::sync::mpsc::{error::TrySendError, unbounded_channel};

use crate::border::Frame;
use crate::token::Tokens;

/// Frames that wait for one instance; more are dropped, as the replicas send again what was lost.
const QUEUE: usize = 1_024;

/// Frames in one request.
const BATCH: usize = 64;

/// The time after which a request failed. A connection that went silent must not hold back the
/// heartbeats for longer than an election timeout.
const TIMEOUT: Millis = Millis(400);

/// The same for requests that may carry a snapshot.
const LONG_TIMEOUT: Millis = Millis(10_000);

/// Larger requests take the long timeout.
const LARGE: usize = 64 << 10;

/// Frames with the address of their receiver.
pub(crate) type Outbox = UnboundedSender<(String, Frame)>;

/// Starts the thread that sends frames; it ends when the outbox is dropped.
pub(crate) fn start(token: Arc<Tokens>) -> Outbox {
    let (outbox, inbox) = unbounded_channel();
    thread::spawn(move || {
        let system = ntex::rt::System::new("transport", ntex::rt::DefaultRuntime);
        system.block_on(distribute(inbox, token));
    });
    outbox
}

/// Passes each frame to the queue of its receiver.
async fn distribute(mut inbox: UnboundedReceiver<(String, Frame)>, token: Arc<Tokens>) {
    let client = Client::new().await;
    let mut queues: BTreeMap<String, Sender<Frame>> = BTreeMap::new();
    while let Some((address, frame)) = inbox.recv().await {
        let queue = queues.entry(address.clone()).or_insert_with(|| {
            let (queue, waiting) = channel(QUEUE);
            let (client, token) = (client.clone(), Arc::clone(&token));
            ntex::rt::spawn(async move { deliver(&client, &address, waiting, &token).await });
            queue
        });
        match queue.try_send(frame) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {}
        }
    }
}

async fn deliver(client: &Client, address: &str, mut waiting: Receiver<Frame>, token: &Tokens) {
    let url = format!("http://{address}/v1/raft");
    let mut frames = Vec::new();
    while waiting.recv_many(&mut frames, BATCH).await > 0 {
        let Ok(body) = codec::encode(&std::mem::take(&mut frames)) else { continue };
        let timeout = if body.len() > LARGE { LONG_TIMEOUT } else { TIMEOUT };
        let secret = token.own().unwrap_or_default();
        let request = client.post(&url).header(header::TOKEN, secret).timeout(timeout);
        if let Err(error) = request.send_body(body).await {
            tracing::debug!(address, %error, "request to control instance failed");
        }
    }
}
