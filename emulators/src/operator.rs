//! A scripted operator: it sends orders to the control machines by the published protocol, repeats an
//! order at other machines while a response is missing, can race two orders on the same version, and
//! keeps a ledger from which [`judge`] checks the responses.

pub mod document;
pub mod scripted_control;

use crate::stream_client::message::{Call, MessageError};
use crate::sync::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time without a response after which the operator goes on to another machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// First backoff between two machines; each next one is longer by half, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// Replaces the whole configuration.
    Replace,
    /// Changes named items.
    Update,
}

impl Verb {
    /// The path of its call.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Verb::Replace => "/configuration/replace",
            Verb::Update => "/configuration/update",
        }
    }
}

/// An order; two are the same if all of these are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// What it does.
    pub verb: Verb,
    /// `Base-Version`.
    pub base: u64,
    /// Its body.
    pub body: String,
}

impl Order {
    fn call(&self) -> Call {
        Call::post(self.verb.path(), self.body.clone()).with("Base-Version", self.base)
    }
}

/// The outcome of an order, as far as the operator knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200.
    Acknowledged,
    /// 412: another version is current.
    OtherVersion,
    /// Rejected for good with this status.
    Refused(u16),
    /// No clear response in time: the order may be in force or not.
    Unclear,
}

/// Something that the operator sent or received.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// This machine responded to an order with this clear outcome.
    Responded(Order, SocketAddr, Outcome),
    /// A machine gave no clear response: a status that asks for a retry, or none at all.
    NoClearResponse(Order, SocketAddr, Option<u16>),
    /// The order was sent there, and the operator closed the connection before the response.
    Abandoned(Order, SocketAddr),
    /// The configuration read back from there has this version.
    Read(SocketAddr, Option<u64>),
}

/// A response that breaks the published rules.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Two different orders on this version were both acknowledged.
    TwoOnOneVersion(u64),
    /// An order that had been acknowledged was refused later.
    RefusedAfterAcknowledged(Order),
    /// A configuration that was read back is older than one acknowledged before.
    OlderReadBack(u64, u64),
}

/// An operator.
#[derive(Clone, Debug)]
pub struct Operator {
    control: Vec<SocketAddr>,
    ledger: Arc<Mutex<Vec<Entry>>>,
}

impl Operator {
    /// An operator that uses these control machines.
    #[must_use]
    pub fn new(control: Vec<SocketAddr>) -> Operator {
        Operator {
            control,
            ledger: Arc::default(),
        }
    }

    fn record(&self, entry: Entry) {
        lock(&self.ledger).push(entry);
    }

    /// All entries so far.
    #[must_use]
    pub fn ledger(&self) -> Vec<Entry> {
        lock(&self.ledger).clone()
    }

    /// Sends an order, to the machine with the index `first` first, until it gets a clear response,
    /// for `at_most`.
    #[must_use]
    pub fn send(&self, order: &Order, first: usize, at_most: Duration) -> Outcome {
        let (deadline, mut backoff, mut other_rejections) =
            (Instant::now() + at_most, INITIAL_BACKOFF, 0);
        for turn in 0.. {
            let to = self.control[(first + turn) % self.control.len()];
            let status = order
                .call()
                .send_following(to, RESPONSE_TIMEOUT)
                .ok()
                .map(|response| response.status());
            let outcome = match status {
                Some(200..=299) => Some(Outcome::Acknowledged),
                Some(412) => Some(Outcome::OtherVersion),
                Some(status @ (400 | 409 | 413 | 422)) => Some(Outcome::Refused(status)),
                Some(status @ 400..=499) if status != 408 && status != 429 => {
                    other_rejections += 1;
                    (other_rejections == 3).then_some(Outcome::Refused(status))
                }
                _ => None,
            };
            if let Some(outcome) = outcome {
                self.record(Entry::Responded(order.clone(), to, outcome));
                return outcome;
            }
            self.record(Entry::NoClearResponse(order.clone(), to, status));
            if Instant::now() + backoff >= deadline {
                break;
            }
            thread::sleep(backoff);
            backoff = (backoff * 3 / 2).min(MAX_BACKOFF);
        }
        Outcome::Unclear
    }

    /// Sends an order to the machine with the index `to`, and closes the connection before its
    /// response.
    ///
    /// # Errors
    /// When it could not be sent.
    pub fn send_without_waiting(&self, order: &Order, to: usize) -> Result<(), MessageError> {
        let to = self.control[to % self.control.len()];
        order.call().send_without_waiting(to, RESPONSE_TIMEOUT)?;
        self.record(Entry::Abandoned(order.clone(), to));
        Ok(())
    }

    /// Sends two orders at the same time, to two machines where there are two, and returns the outcome
    /// of each.
    #[must_use]
    pub fn race(&self, orders: [&Order; 2], at_most: Duration) -> [Outcome; 2] {
        thread::scope(|scope| {
            let first = scope.spawn(|| self.send(orders[0], 0, at_most));
            let second = self.send(orders[1], 1, at_most);
            [first.join().unwrap_or(Outcome::Unclear), second]
        })
    }

    /// Reads the configuration back, from the machine with the index `first` first, for `at_most`.
    #[must_use]
    pub fn describe(&self, first: usize, at_most: Duration) -> Option<Vec<u8>> {
        let (deadline, mut backoff) = (Instant::now() + at_most, INITIAL_BACKOFF);
        for turn in 0.. {
            let to = self.control[(first + turn) % self.control.len()];
            let response =
                Call::get("/configuration/describe").send_following(to, RESPONSE_TIMEOUT);
            if let Some(response) = response.ok().filter(|response| response.status() == 200) {
                self.record(Entry::Read(to, document::version(&response.body)));
                return Some(response.body);
            }
            if Instant::now() + backoff >= deadline {
                return None;
            }
            thread::sleep(backoff);
            backoff = (backoff * 3 / 2).min(MAX_BACKOFF);
        }
        None
    }

    /// Checks all responses so far. Concurrent orders stand in the ledger in the order of their
    /// responses, and a read is compared with what was acknowledged before it in the ledger: use
    /// this only where no read runs beside an order.
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        judge(&self.ledger())
    }
}

/// See [`Operator::faults`].
#[must_use]
pub fn judge(entries: &[Entry]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut acknowledged: BTreeSet<&Order> = BTreeSet::new();
    let mut by_base: BTreeMap<u64, BTreeSet<&Order>> = BTreeMap::new();
    let mut newest = 0;
    for entry in entries {
        match entry {
            Entry::Responded(order, _, Outcome::Acknowledged) => {
                acknowledged.insert(order);
                newest = newest.max(document::version(order.body.as_bytes()).unwrap_or(0));
                let orders = by_base.entry(order.base).or_default();
                if orders.insert(order) && orders.len() == 2 {
                    faults.push(Fault::TwoOnOneVersion(order.base));
                }
            }
            Entry::Responded(order, ..) if acknowledged.contains(order) => {
                faults.push(Fault::RefusedAfterAcknowledged(order.clone()));
            }
            Entry::Read(_, version) if version.unwrap_or(0) < newest => {
                faults.push(Fault::OlderReadBack(version.unwrap_or(0), newest));
            }
            _ => {}
        }
    }
    faults
}

#[cfg(test)]
mod tests;
