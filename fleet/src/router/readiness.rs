//! The platform's readiness check: `GET /readiness`.
//!
//! It promises a response at once, whatever else the router does, and 200 only where the router is
//! ready.

use super::reactor::{Net, SocketOwner, Timer};
use super::time::after;
use lichenswitch_http::{self as http, Parsed, Response};
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::HashMap;
use std::time::Duration;

/// Longest request (bytes).
const MAX_REQUEST_BYTES: usize = 8 * 1_024;
/// An idle connection is closed after this: the platform asks each second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const PATH: &str = "/readiness";

/// Connections of the platform.
#[derive(Default)]
pub(crate) struct ReadinessEndpoint {
    /// By id, whether it closes once its response is written.
    closing: HashMap<ConnId, bool>,
}

impl ReadinessEndpoint {
    /// Accepts all pending connections.
    pub(crate) fn accept(&mut self, net: &mut Net) {
        for id in net.accept(SocketOwner::Platform) {
            self.closing.insert(id, false);
            let at = after(net.clock.now(), IDLE_TIMEOUT);
            net.wheel.set(at, Timer::Platform(id));
        }
    }

    /// Handles a connection that can be read or written.
    pub(crate) fn on_ready(&mut self, net: &mut Net, id: ConnId, is_ready: bool) {
        let progress = net.transfer(id, MAX_REQUEST_BYTES);
        let Some(closing) = self.closing.get(&id).copied() else {
            return net.close(id);
        };
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|conn| conn.ended) {
            return self.close(net, id);
        }
        if closing {
            return self.close_if_written(net, id);
        }
        while let Some((response, keep)) = self.read(net, id, is_ready) {
            if !self.write(net, id, &response, keep) {
                return;
            }
        }
    }

    /// Handles a connection's timer: it may have been idle for too long.
    pub(crate) fn on_timer(&mut self, net: &mut Net, id: ConnId) {
        if !self.closing.contains_key(&id) {
            return;
        }
        let (now, due) = (
            net.clock.now(),
            net.get(id)
                .map(|conn| after(conn.last_active_at, IDLE_TIMEOUT)),
        );
        match due {
            Some(due) if due > now => net.wheel.set(due, Timer::Platform(id)),
            _ => self.close(net, id),
        }
    }

    /// The response to the next complete request, and whether the connection is kept.
    fn read(&self, net: &mut Net, id: ConnId, is_ready: bool) -> Option<(Response, bool)> {
        let conn = net.get_mut(id)?;
        match http::request(conn.input.bytes()) {
            Ok(Parsed::Complete(request, used)) => {
                conn.input.consume(used);
                Some((answer(&request, is_ready), request.keep_alive))
            }
            Ok(Parsed::Partial(_)) if conn.input.bytes().len() < MAX_REQUEST_BYTES => None,
            Ok(Parsed::Partial(_)) => {
                Some((Response::new(413, "text/plain", "too large\n"), false))
            }
            Err(malformed) => Some((
                Response::new(malformed.0, "text/plain", "malformed\n"),
                false,
            )),
        }
    }

    /// Writes a response; `false` if nothing more is to be read from this connection.
    fn write(&mut self, net: &mut Net, id: ConnId, response: &Response, keep: bool) -> bool {
        if let Some(conn) = net.get_mut(id) {
            conn.send(&response.encode(keep, false));
        }
        if net.flush(id, false) != TransferProgress::Alive {
            self.close(net, id);
            return false;
        }
        if !keep {
            self.closing.insert(id, true);
            self.close_if_written(net, id);
        }
        keep
    }

    fn close_if_written(&mut self, net: &mut Net, id: ConnId) {
        if net.get(id).is_none_or(|conn| conn.flushed()) {
            self.close(net, id);
        }
    }

    fn close(&mut self, net: &mut Net, id: ConnId) {
        self.closing.remove(&id);
        net.close(id);
    }
}

fn answer(request: &http::Request, is_ready: bool) -> Response {
    match (request.path(), request.method.as_str()) {
        (PATH, "GET" | "HEAD") if is_ready => Response::new(200, "text/plain", "ready\n"),
        (PATH, "GET" | "HEAD") => Response::new(503, "text/plain", "not ready\n"),
        (PATH, _) => Response::new(405, "text/plain", "GET only\n"),
        _ => Response::new(404, "text/plain", "only /readiness is here\n"),
    }
}
