//! A request that a server executes, until the body of its response has ended.

use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;
use std::sync::Arc;

use arbutuslane_record::prelude::Identity;

use crate::announce::Server;
use crate::cluster::strikes::{self, CrashCheck, ExclusiveClaim};
use crate::condition::RunningRequest;
use crate::shared::Shared;
use crate::traffic::admission::Permit;
use crate::traffic::client::{Failure, Pool};
use crate::traffic::worker::Worker;

/// A request that a server executes. It occupies a slot of the server until it is dropped.
///
/// A server may crash at any byte of its response. So every end of an execution comes here: a failed
/// exchange, a body that breaks off, and the end of a body.
pub(crate) struct Execution {
    shared: Arc<Shared>,
    pool: Rc<Pool>,
    server: Arc<Server>,
    identity: Identity,
    running: RunningRequest,
    /// Whether a server has crashed during an earlier execution of the request.
    has_strike: bool,
    /// The claim of a request with a strike.
    claim: Option<ExclusiveClaim>,
    _permit: Permit,
}

impl Execution {
    /// Begins the execution of a request on `server`.
    pub(super) fn new(
        worker: &Worker,
        server: &Arc<Server>,
        identity: Identity,
        running: RunningRequest,
        permit: Permit,
    ) -> Self {
        Self {
            shared: Arc::clone(&worker.shared),
            pool: Rc::clone(&worker.pool),
            server: Arc::clone(server),
            identity,
            running,
            has_strike: strikes::has_strike(worker, identity),
            claim: None,
            _permit: permit,
        }
    }

    /// Returns the server.
    pub(crate) fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Holds `claim` until the end of the execution, whose response has begun.
    pub(super) fn hold_claim(&mut self, claim: Option<ExclusiveClaim>) {
        self.claim = claim;
    }

    /// Returns the request in the statistics of the server.
    pub(super) fn running(&mut self) -> &mut RunningRequest {
        &mut self.running
    }

    /// Ends the execution after the whole response. The end of the connection may be a crash if it ends
    /// the body as well (`is_close_delimited`).
    pub(crate) fn complete(mut self, is_close_delimited: bool) {
        let (shared, pool) = (Arc::clone(&self.shared), Rc::clone(&self.pool));
        let (server, identity) = (Arc::clone(&self.server), self.identity);
        let claim = self.claim.take();
        let has_strike = self.has_strike;
        let clear_strikes = move || {
            if has_strike {
                strikes::clear_strikes(&shared, &pool, &server.service, identity);
            }
            if let Some(claim) = claim {
                claim.release();
            }
        };
        if !is_close_delimited {
            return clear_strikes();
        }
        let check = CrashCheck::after_close(&self.shared, &self.pool, &self.server);
        ntex::rt::spawn(async move {
            if !check.strike_if_crashed(identity).await {
                clear_strikes();
            }
        });
    }

    /// Ends the execution after a failed exchange, before or after the response head. The future ends
    /// once the strike of a request that crashed the server is known at the other owners, and returns
    /// whether it did; the check goes on if the future is dropped.
    pub(crate) fn fail(mut self, failure: &Failure) -> impl Future<Output = bool> + use<> {
        let is_broken = matches!(failure, Failure::Closed(_));
        let check = is_broken.then(|| {
            let check = CrashCheck::after_failure(&self.shared, &self.pool, &self.server);
            let identity = self.identity;
            ntex::rt::spawn(async move { check.strike_if_crashed(identity).await })
        });
        // The request may still run, so that its claim is not withdrawn.
        drop(self.claim.take());
        drop(self);
        async move {
            match check {
                Some(check) => check.await.unwrap_or(false),
                None => false,
            }
        }
    }

    /// Records that the body broke off after a successful response head.
    pub(crate) fn record_broken_body(&self) {
        self.running.record_broken_body();
    }
}

impl Drop for Execution {
    /// Ends the execution whose response nobody reads any more.
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.release();
        }
    }
}

impl Debug for Execution {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Execution").field("server", &self.server.id).finish_non_exhaustive()
    }
}
