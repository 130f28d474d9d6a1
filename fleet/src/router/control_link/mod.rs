//! The link to a control machine: it brings the configuration, the servers and the number of routers.

mod candidates;
mod connection;
mod link;

pub(crate) use candidates::ControlCandidates;
pub(crate) use connection::RouterIdentity;
pub(crate) use link::{ControlLink, ControlUpdate};
