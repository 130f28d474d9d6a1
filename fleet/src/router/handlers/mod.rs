//! Handlers: methods on [`Router`](super::Router) by concern, along the way of a request.
//!
//! No handler imports another: they call each other through the router alone.

mod backlog;
mod control_updates;
mod dispatch;
mod event_loop;
mod intake;
mod quota;
mod relay;
mod request_end;
mod responses;
mod settings_reload;
mod shutdown;
mod stream_abort;
