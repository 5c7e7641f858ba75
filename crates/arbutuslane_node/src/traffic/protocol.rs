//! Distinguishes HTTP/2 with prior knowledge from HTTP/1.1 by the first bytes of a connection.

use std::task::Context;
use std::time::Duration;

use futures_util::future::join;
use ntex::SharedCfg;
use ntex::io::{Io, IoRef};
use ntex::service::{Service, ServiceCtx, ServiceFactory};
use ntex::time::timeout_checked;

use arbutuslane_listen::connections::Connections;

/// The first bytes of a connection that carries HTTP/2 (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A GOAWAY frame without an error and with the highest stream id: streams in flight continue, and
/// the caller opens no new one (RFC 9113, section 6.8). The server library sends none before it
/// closes.
const GO_AWAY: [u8; 17] = [0, 0, 8, 7, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0];

/// The timeout for receiving the first bytes.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves each connection with the service of its protocol.
#[derive(Debug)]
pub(super) struct ProtocolSelector<A, B> {
    /// The service for HTTP/1.1 connections.
    pub(super) http1: A,
    /// The service for HTTP/2 connections.
    pub(super) http2: B,
    /// The connections of a listener that accepts HTTP/2. Those that carry it are counted by their
    /// own service as well, which decides when they give way.
    pub(super) http2_origin: Option<Connections>,
}

impl<A, B> ServiceFactory<Io, SharedCfg> for ProtocolSelector<A, B>
where
    A: ServiceFactory<Io, SharedCfg, Response = ()>,
    B: ServiceFactory<Io, SharedCfg, Response = (), Error = A::Error, InitError = A::InitError>,
{
    type Response = ();
    type Error = A::Error;
    type InitError = A::InitError;
    type Service = ProtocolSelector<A::Service, B::Service>;

    async fn create(&self, config: SharedCfg) -> Result<Self::Service, Self::InitError> {
        let http1 = self.http1.create(config.clone()).await?;
        let http2 = self.http2.create(config).await?;
        Ok(ProtocolSelector { http1, http2, http2_origin: self.http2_origin.clone() })
    }
}

impl<A, B> Service<Io> for ProtocolSelector<A, B>
where
    A: Service<Io, Response = ()>,
    B: Service<Io, Response = (), Error = A::Error>,
{
    type Response = ();
    type Error = A::Error;

    async fn ready(&self, ctx: ServiceCtx<'_, Self>) -> Result<(), Self::Error> {
        ctx.ready(&self.http1).await?;
        ctx.ready(&self.http2).await
    }

    fn poll(&self, cx: &mut Context<'_>) -> Result<(), Self::Error> {
        self.http1.poll(cx)?;
        self.http2.poll(cx)
    }

    async fn shutdown(&self) {
        join(self.http1.shutdown(), self.http2.shutdown()).await;
    }

    async fn call(&self, io: Io, ctx: ServiceCtx<'_, Self>) -> Result<(), Self::Error> {
        let Some(origin) = &self.http2_origin else { return ctx.call(&self.http1, io).await };
        if !is_http2(&io).await {
            return ctx.call(&self.http1, io).await;
        }
        let in_use = origin.begin(&io.get_ref());
        if let Some(in_use) = &in_use {
            if in_use.accept().is_err() {
                return Ok(());
            }
            in_use.delegate();
        }
        ctx.call(&self.http2, io).await
    }
}

/// Sends a GOAWAY frame, after which the caller opens no new stream on the HTTP/2 connection.
pub(super) fn send_go_away(io: &IoRef) {
    let _ = io.encode_slice(&GO_AWAY);
}

/// Waits for the first bytes and returns whether they are the HTTP/2 preface; the HTTP/1.1 service
/// refuses anything invalid.
async fn is_http2(io: &Io) -> bool {
    loop {
        let decided = io.with_read_buf(|bytes| {
            let length = bytes.len().min(PREFACE.len());
            match bytes[..length] == PREFACE[..length] {
                false => Some(false),
                true if length == PREFACE.len() => Some(true),
                true => None,
            }
        });
        if let Some(decided) = decided {
            return decided;
        }
        let Ok(Ok(Some(()))) = timeout_checked(PREFACE_TIMEOUT, io.read_notify()).await else {
            return false;
        };
    }
}
