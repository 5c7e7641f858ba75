//! A request that a server executes, until the body of its response has ended.

use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;
use std::sync::Arc;

use arbutuslane_record::prelude::Identity;
use arbutuslane_record::strike::Crash;

use crate::announce::Server;
use crate::cluster::strikes::{self, CrashCheck, ExclusiveClaim};
use crate::cluster::trials::Trial;
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
    /// The trial that this is, if strikes count against the request.
    trial: Option<Trial>,
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
            trial: None,
            claim: None,
            _permit: permit,
        }
    }

    /// Returns the server.
    pub(crate) fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Makes the execution a trial, which is about to be sent.
    pub(super) fn begin_trial(&mut self, trial: Option<Trial>) {
        self.trial = trial;
        self.trial.iter_mut().for_each(Trial::dispatch);
    }

    /// Ends the trial of a request that the server did not run.
    pub(super) fn end_trial(&mut self) {
        self.trial.take().into_iter().for_each(Trial::end);
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
        let (claim, trial) = (self.claim.take(), self.trial.take());
        let known = trial.as_ref().map(|trial| trial.known.clone()).unwrap_or_default();
        let end = move |has_crashed: bool, known: &[Crash]| {
            if !has_crashed {
                strikes::record_good_run(&shared, &pool, &server.service, identity, known);
                claim.into_iter().for_each(ExclusiveClaim::release);
            }
            trial.into_iter().for_each(Trial::end);
        };
        if !is_close_delimited {
            return end(false, &known);
        }
        let check = CrashCheck::after_close(&self.shared, &self.pool, &self.server);
        ntex::rt::spawn(async move {
            let has_crashed = check.strike_if_crashed(identity, &known).await;
            end(has_crashed, &known);
        });
    }

    /// Ends the execution after a failed exchange, before or after the response head. The future ends
    /// once the strike of a request that crashed the server is known at the other owners, and returns
    /// whether it did; the check goes on if the future is dropped.
    pub(crate) fn fail(mut self, failure: &Failure) -> impl Future<Output = bool> + use<> {
        let is_broken = matches!(failure, Failure::Closed(_));
        let check = is_broken.then(|| {
            let check = CrashCheck::after_failure(&self.shared, &self.pool, &self.server);
            let (identity, trial) = (self.identity, self.trial.take());
            ntex::rt::spawn(async move {
                let known = trial.as_ref().map(|trial| trial.known.clone()).unwrap_or_default();
                let has_crashed = check.strike_if_crashed(identity, &known).await;
                trial.into_iter().for_each(Trial::end);
                has_crashed
            })
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
