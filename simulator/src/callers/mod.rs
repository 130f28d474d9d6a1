//! Who calls the control machines from outside: operators, readers, routers.

mod operator;
mod reader;
mod router;

use fastrand::Rng;
use lichenswitch_replication::Time;

pub use self::operator::{Operator, Pace};
pub use self::reader::Reader;
pub use self::router::{Router, APPLY_BOUND};
use crate::ledger::Ledger;
use crate::network::Host;
use crate::packet::{CallId, ConnectionId, Packet};

/// A caller goes on to another machine after so many microseconds of silence.
pub const CALL_TIMEOUT: u64 = 1_000_000;

/// What a caller may use while it acts.
pub struct Surroundings<'a> {
    /// The time.
    pub now: Time,
    /// Random numbers.
    pub random: &'a mut Rng,
    /// Where orders are registered and calls are noted.
    pub ledger: &'a mut Ledger,
    /// The control machines on the operators' list, which lags.
    pub listed: &'a [Host],
    /// Last number of a call or connection.
    pub last_number: &'a mut u64,
    /// What is to be sent, and where.
    pub outgoing: Vec<(Host, Packet)>,
    /// For the trace.
    pub records: Vec<String>,
}

impl Surroundings<'_> {
    fn new_call(&mut self) -> CallId {
        *self.last_number += 1;
        CallId(*self.last_number)
    }

    fn new_connection(&mut self) -> ConnectionId {
        *self.last_number += 1;
        ConnectionId(*self.last_number)
    }

    /// A control machine of the list other than the one asked last.
    fn another(&mut self, last: Option<Host>) -> Option<Host> {
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
