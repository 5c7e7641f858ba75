//! The request path: caller, entry node, owner node, backend server.
//!
//! [`entry`] runs the stages of a caller's request on the entry node: routing, deadline, rate limits
//! and the [`allowance`] of the workspace, selection of a server and forwarding to the owner of that
//! server. [`owner`] runs the stages on the owner node: lease check, admission and dispatch. Both use
//! the same [`client`], which reports whether any byte of a request was sent.

mod admission;
mod allowance;
mod answer;
mod attempt;
mod body_admission;
mod client;
mod deadline;
mod entry;
mod fields;
mod handshake;
mod hedge;
mod http1_pipeline;
mod identity;
mod intake;
mod limiter;
pub(crate) mod listener;
mod message;
mod outcome;
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
pub(crate) mod status;
mod worker;
mod workspace;

pub(crate) use admission::Admission;
pub(crate) use allowance::Allowances;
pub(crate) use answer::ServerResponse;
pub(crate) use body_admission::BodyAdmission;
pub(crate) use client::{Echo, ExchangeOptions, Failure, Pool, Request, Upload};
pub(crate) use limiter::Limiter;
pub(crate) use owner::Repeats;
pub(crate) use refusal::{Outcome, Refusal, RefusalCause};
pub(crate) use relay::{Readers, held_responses};
pub(crate) use route::RoutedRequest;
pub(crate) use worker::Worker;
pub(crate) use workspace::Importance;
pub(crate) use workspace::workspace_hash;
