//! Callers of the control machines: operators, readers and routers.

mod operator;
mod reader;
mod router;

use fastrand::Rng;
use lichenswitch_replication::Time;

pub use self::operator::{Operator, Pace};
pub use self::reader::Reader;
pub use self::router::{Router, APPLY_BOUND_US};
use crate::network::Host;
use crate::oracle::Oracle;
use crate::packet::{CallId, ConnectionId, Packet};

/// Microseconds without a response after which a caller tries another machine.
pub const CALL_TIMEOUT_US: u64 = 1_000_000;

/// What a caller may use while it handles an event.
pub struct CallerContext<'a> {
    /// The time.
    pub now: Time,
    /// Random numbers.
    pub random: &'a mut Rng,
    /// Where orders and calls are recorded.
    pub oracle: &'a mut Oracle,
    /// The control machines on the callers' list, which lags behind the group.
    pub listed: &'a [Host],
    /// Last number of a call or connection.
    pub last_number: &'a mut u64,
    /// Packets to send, with their destinations.
    pub outgoing: Vec<(Host, Packet)>,
    /// Lines for the trace.
    pub notes: Vec<String>,
}

impl CallerContext<'_> {
    fn new_call(&mut self) -> CallId {
        *self.last_number += 1;
        CallId(*self.last_number)
    }

    fn new_connection(&mut self) -> ConnectionId {
        *self.last_number += 1;
        ConnectionId(*self.last_number)
    }

    /// A random control machine of the list, other than the one that was called last if there is one.
    fn pick_machine(&mut self, last: Option<Host>) -> Option<Host> {
        let others: Vec<Host> = self
            .listed
            .iter()
            .copied()
            .filter(|host| Some(*host) != last)
            .collect();
        let of = if others.is_empty() {
            self.listed
        } else {
            &others
        };
        (!of.is_empty()).then(|| of[self.random.usize(0..of.len())])
    }
}
