//! Serves the connections for which a listener has room.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Context;

use ntex::SharedCfg;
use ntex::io::Io;
use ntex::service::{Service, ServiceCtx, ServiceFactory};

use crate::budget::{MAX_HEAD_BYTES, READ_BUFFER_BYTES};
use crate::connections::Connections;

/// The most bytes of a connection that have been read and are not parsed: a head of the largest
/// size, a chunk's extensions, or requests that follow the running one.
const MAX_UNPARSED_BYTES: usize = MAX_HEAD_BYTES + 2 * READ_BUFFER_BYTES;

/// Passes connections on to the service `S` as long as there is room for them, and closes others.
#[derive(Debug)]
pub struct Gate<S> {
    /// The service of the connections.
    pub inner: S,
    /// The connections of the listener in this thread.
    pub connections: Connections,
}

impl<F> ServiceFactory<Io, SharedCfg> for Gate<F>
where
    F: ServiceFactory<Io, SharedCfg, Response = ()>,
{
    type Response = ();
    type Error = F::Error;
    type InitError = F::InitError;
    type Service = Gate<F::Service>;

    async fn create(&self, config: SharedCfg) -> Result<Self::Service, Self::InitError> {
        let inner = self.inner.create(config).await?;
        Ok(Gate { inner, connections: self.connections.clone() })
    }
}

impl<S> Service<Io> for Gate<S>
where
    S: Service<Io, Response = ()>,
{
    type Response = ();
    type Error = S::Error;

    async fn ready(&self, ctx: ServiceCtx<'_, Self>) -> Result<(), Self::Error> {
        ctx.ready(&self.inner).await
    }

    fn poll(&self, cx: &mut Context<'_>) -> Result<(), Self::Error> {
        self.inner.poll(cx)
    }

    async fn shutdown(&self) {
        self.inner.shutdown().await;
    }

    async fn call(&self, io: Io, ctx: ServiceCtx<'_, Self>) -> Result<(), Self::Error> {
        let io_ref = io.get_ref();
        let Some(open) = self.connections.open(io_ref.clone()) else { return Ok(()) };
        let mut serving = pin!(ctx.call(&self.inner, io));
        let unparsed = || io_ref.with_read_src_buf(|bytes| bytes.len());
        let mut left = 0;
        poll_fn(|cx| {
            open.record_arrived(unparsed().saturating_sub(left));
            let served = serving.as_mut().poll(cx);
            left = unparsed();
            // The library reads on for as long as it needs more bytes for the next part of a message.
            if served.is_pending() && left > MAX_UNPARSED_BYTES {
                io_ref.terminate();
            }
            served
        })
        .await
    }
}
