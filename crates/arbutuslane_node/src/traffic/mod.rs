//! The request path: caller, entry node, owner node, backend server.
//!
//! A request of a caller passes through the stages of [`entry`]: route, limits, deadline, choice of
//! a server, forwarding to the owner of that server. The stages of [`owner`] are lease, admission
//! and dispatch. Both use the same client, which knows whether a byte of the request was sent.

mod admission;
mod ahead;
mod answer;
mod attempt;
mod client;
mod deadline;
mod entry;
mod fields;
mod intake;
mod limiter;
pub(crate) mod listener;
mod owner;
mod protocol;
mod refusal;
mod relay;
mod remote;
mod resume;
mod route;
mod routes;
mod services;
mod silent;
mod worker;

pub(crate) use admission::Admission;
pub(crate) use answer::Answer;
pub(crate) use client::{Echo, Failure, Pool, Request, Terms, Upload};
pub(crate) use limiter::Limiter;
pub(crate) use refusal::{Choice, Outcome, Refusal};
pub(crate) use route::Routed;
pub(crate) use worker::Worker;
