//! A scripted operator: it sends orders to the control machines as the protocol says, the same
//! again and elsewhere where an answer is missing, two at once on the same version, and keeps a
//! ledger by which the answers can be judged.

pub mod document;
pub mod scripted_control;

use crate::stream_client::message::{Call, MessageError};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Silence after which the operator goes on to another machine.
const SILENCE: Duration = Duration::from_secs(1);
/// Its first pause between machines; each is longer by half, up to [`PAUSE_MOST`].
const PAUSE: Duration = Duration::from_millis(20);
/// The longest pause.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// Brings a whole configuration.
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

/// An order: the same one is the same in all of these.
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

/// What became of an order, as far as the operator knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200.
    Acknowledged,
    /// 412: another version is current.
    OtherVersion,
    /// Refused for good with this status.
    Refused(u16),
    /// No clear answer in time: it may be in force or not.
    Unclear,
}

/// Something that the operator did or got.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An order got this clear answer from this machine.
    Answered(Order, SocketAddr, Outcome),
    /// A machine gave no clear answer: a status that says to go on, or none.
    NoAnswer(Order, SocketAddr, Option<u16>),
    /// The order was sent there, and the operator left before the answer.
    Left(Order, SocketAddr),
    /// The configuration read back from there has this version.
    Read(SocketAddr, Option<u64>),
}

/// What is wrong with the answers by the published rules.
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
    /// An operator who knows these control machines.
    #[must_use]
    pub fn new(control: Vec<SocketAddr>) -> Operator {
        Operator {
            control,
            ledger: Arc::default(),
        }
    }

    fn note(&self, entry: Entry) {
        self.ledger
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .push(entry);
    }

    /// What happened so far.
    #[must_use]
    pub fn ledger(&self) -> Vec<Entry> {
        self.ledger
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Sends an order, first to the machine of that number, until it gets a clear answer, for so
    /// long at most.
    #[must_use]
    pub fn send(&self, order: &Order, first: usize, at_most: Duration) -> Outcome {
        let (until, mut pause, mut others) = (Instant::now() + at_most, PAUSE, 0);
        for turn in 0.. {
            let to = self.control[(first + turn) % self.control.len()];
            let status = order
                .call()
                .send_following(to, SILENCE)
                .ok()
                .map(|answer| answer.status());
            let outcome = match status {
                Some(200..=299) => Some(Outcome::Acknowledged),
                Some(412) => Some(Outcome::OtherVersion),
                Some(status @ (400 | 409 | 413 | 422)) => Some(Outcome::Refused(status)),
                Some(status @ 400..=499) if status != 408 && status != 429 => {
                    others += 1;
                    (others == 3).then_some(Outcome::Refused(status))
                }
                _ => None,
            };
            if let Some(outcome) = outcome {
                self.note(Entry::Answered(order.clone(), to, outcome));
                return outcome;
            }
            self.note(Entry::NoAnswer(order.clone(), to, status));
            if Instant::now() + pause >= until {
                break;
            }
            thread::sleep(pause);
            pause = (pause * 3 / 2).min(PAUSE_MOST);
        }
        Outcome::Unclear
    }

    /// Sends an order to the machine of that number and leaves before its answer.
    ///
    /// # Errors
    /// When it could not be sent.
    pub fn send_and_leave(&self, order: &Order, to: usize) -> Result<(), MessageError> {
        let to = self.control[to % self.control.len()];
        order.call().send_and_leave(to, SILENCE)?;
        self.note(Entry::Left(order.clone(), to));
        Ok(())
    }

    /// Sends two orders at the same time, to two machines where there are as many.
    #[must_use]
    pub fn race(&self, one: &Order, other: &Order, at_most: Duration) -> (Outcome, Outcome) {
        thread::scope(|scope| {
            let first = scope.spawn(|| self.send(one, 0, at_most));
            let second = self.send(other, 1, at_most);
            (first.join().unwrap_or(Outcome::Unclear), second)
        })
    }

    /// Reads the configuration back, from the machine of that number first, for so long at most.
    #[must_use]
    pub fn describe(&self, first: usize, at_most: Duration) -> Option<Vec<u8>> {
        let (until, mut pause) = (Instant::now() + at_most, PAUSE);
        for turn in 0.. {
            let to = self.control[(first + turn) % self.control.len()];
            let answer = Call::get("/configuration/describe").send_following(to, SILENCE);
            if let Some(answer) = answer.ok().filter(|answer| answer.status() == 200) {
                self.note(Entry::Read(to, document::version(&answer.body)));
                return Some(answer.body);
            }
            if Instant::now() + pause >= until {
                return None;
            }
            thread::sleep(pause);
            pause = (pause * 3 / 2).min(PAUSE_MOST);
        }
        None
    }

    /// Judges all answers so far. Orders that were under way at the same time are in the ledger in
    /// the order of their answers, so a read back counts only against what was acknowledged before
    /// it in the ledger: use it where reads are not under way beside orders.
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
            Entry::Answered(order, _, Outcome::Acknowledged) => {
                acknowledged.insert(order);
                newest = newest.max(document::version(order.body.as_bytes()).unwrap_or(0));
                let orders = by_base.entry(order.base).or_default();
                if orders.insert(order) && orders.len() == 2 {
                    faults.push(Fault::TwoOnOneVersion(order.base));
                }
            }
            Entry::Answered(order, ..) if acknowledged.contains(order) => {
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
