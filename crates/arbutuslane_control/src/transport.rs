//! Sends frames to the other control instances, one request at a time to each.

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

/// The length of the queue for one instance. More frames are dropped, because replicas resend lost
/// messages.
const MAX_QUEUED_FRAMES: usize = 1_024;

/// The largest number of frames in one request.
const MAX_FRAMES_PER_REQUEST: usize = 64;

/// The timeout of a request. A silent connection must not delay the heartbeats for longer than an
/// election timeout.
const REQUEST_TIMEOUT: Millis = Millis(400);

/// The timeout of a large request, which may carry a snapshot.
const LARGE_REQUEST_TIMEOUT: Millis = Millis(10_000);

/// The body size above which a request gets [`LARGE_REQUEST_TIMEOUT`].
const LARGE_REQUEST_BYTES: usize = 64 << 10;

/// Queues frames together with the address of their receiver.
pub(crate) type Outbox = UnboundedSender<(String, Frame)>;

/// Starts the thread that sends frames; it ends when the outbox is dropped.
pub(crate) fn start(token: Arc<Tokens>) -> Outbox {
    let (outbox, inbox) = unbounded_channel();
    thread::spawn(move || {
        let system = arbutuslane_event::runtime::system("transport");
        system.block_on(distribute(inbox, token));
    });
    outbox
}

/// Moves each frame to the queue of its receiver.
async fn distribute(mut inbox: UnboundedReceiver<(String, Frame)>, token: Arc<Tokens>) {
    let client = Client::new().await;
    let mut queues: BTreeMap<String, Sender<Frame>> = BTreeMap::new();
    while let Some((address, frame)) = inbox.recv().await {
        let queue = queues.entry(address.clone()).or_insert_with(|| {
            let (queue, queued) = channel(MAX_QUEUED_FRAMES);
            let (client, token) = (client.clone(), Arc::clone(&token));
            ntex::rt::spawn(async move { deliver(&client, &address, queued, &token).await });
            queue
        });
        match queue.try_send(frame) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {}
        }
    }
}

/// Sends the queued frames of one instance in batches.
async fn deliver(client: &Client, address: &str, mut queued: Receiver<Frame>, token: &Tokens) {
    let url = format!("http://{address}/v1/raft");
    let mut frames = Vec::new();
    while queued.recv_many(&mut frames, MAX_FRAMES_PER_REQUEST).await > 0 {
        let Ok(body) = codec::encode(&std::mem::take(&mut frames)) else { continue };
        let timeout =
            if body.len() > LARGE_REQUEST_BYTES { LARGE_REQUEST_TIMEOUT } else { REQUEST_TIMEOUT };
        let secret = token.own_secret().unwrap_or_default();
        let request = client.post(&url).header(header::TOKEN, secret).timeout(timeout);
        if let Err(error) = request.send_body(body).await {
            tracing::debug!(address, %error, "request to control instance failed");
        }
    }
}
