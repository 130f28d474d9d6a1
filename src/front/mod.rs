//! Clients: their connections, and the fronts that read their requests and word their answers.
//!
//! [`Sessions`] serves HTTP on connections; a [`Front`] says what a request means.

pub mod ogc;
pub mod platform;
mod session;
mod sessions;

pub use sessions::Sessions;

use crate::core::{Refusal, Reply, Request};
use crate::http::{self, Response};
use crate::interface::Time;

/// What a front makes of a request.
pub enum RequestAction<J, C> {
    /// It is answered at once.
    Reply(Response),
    /// It is a query; the context comes back with its answer.
    Query(Box<Request<J>>, C),
}

/// Reads requests and words answers.
pub trait Front {
    /// What the upstream has to know of a query.
    type Job;
    /// What the front has to know to word the answer.
    type Context;
    /// What a request means.
    fn read_request(
        &mut self,
        now: Time,
        request: &http::Request,
    ) -> RequestAction<Self::Job, Self::Context>;
    /// Words the refusal of a query that was not taken.
    fn format_refusal(&self, refusal: Refusal) -> Response;
    /// Words the final answer of a query.
    fn format_reply(&mut self, context: Self::Context, reply: Reply) -> Response;
    /// Words the answer to what can't be read.
    fn format_malformed(&self, status: u16, reason: &str) -> Response;
    /// The broker is about to end.
    fn on_stop(&mut self);
    /// Clients are sent away from now on, or taken again. A front that tells whether it is ready says
    /// that it is not while they are.
    fn on_quiesce(&mut self, _is_quiesced: bool) {}
    /// A list of data nodes is here that may be acted on: clients may come. Until then a front that
    /// tells whether it is ready says that it is not.
    fn on_server_list(&mut self) {}
}
