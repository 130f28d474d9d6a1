//! The faults that a model server's requests meet by script.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::VecDeque;

/// A fault of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The connection is closed after so many events.
    TruncateAfter(u64),
    /// The connection is closed after so many events, in the middle of the one that follows.
    TruncateInside(u64),
    /// The connection is reset after so many events.
    ResetAfter(u64),
    /// It runs, and no response is ever sent.
    NoResponse,
    /// Nothing more is sent after so many events.
    SilentAfter(u64),
    /// It runs, and the connection is closed without a response.
    ResponseLost,
    /// It does not run: the connection is closed when the request has been read.
    ClosedBeforeRun,
    /// A second complete response, to no request, follows on the connection.
    ExtraResponse,
    /// Bytes that are no response follow the complete one.
    ExtraBytes,
    /// The same complete response, also a rejection by a server that is full, is sent once more,
    /// late: before the response to the next request on the connection.
    LateResponse,
    /// The response carries the id of another request.
    WrongId,
    /// The response has no length and ends with its connection.
    NoLength,
    /// The response has no length, and the connection is reset after so many events.
    NoLengthReset(u64),
    /// It is rejected with this status before its body has been read; the connection is kept alive.
    EarlyResponse(u16),
    /// It runs from its head on, and the connection is reset before its body has been read.
    ResetWhileReading,
    /// It runs, and bytes that are no HTTP are sent in place of a response.
    NotHttp,
    /// It is rejected with this status and `Not-Executed`.
    Rejected(u16),
    /// It runs and fails with this status.
    Failed(u16),
}

/// The faults that are to come.
#[derive(Debug, Default)]
pub(super) struct Script {
    /// The fault of each request beyond `next`.
    pub(super) always: Option<Fault>,
    /// The faults of the next requests, one each.
    pub(super) next: VecDeque<Option<Fault>>,
    /// Draws which of the other requests meet [`Fault::LateResponse`].
    pub(super) late_responses: Option<LateResponses>,
}

impl Script {
    /// The fault of the next request.
    pub(super) fn next_fault(&mut self) -> Option<Fault> {
        if let Some(fault) = self.next.pop_front() {
            return fault;
        }
        let is_late = self
            .late_responses
            .as_mut()
            .is_some_and(LateResponses::draw);
        self.always.or(is_late.then_some(Fault::LateResponse))
    }
}

/// A share of requests, drawn from a seed.
#[derive(Debug)]
pub(super) struct LateResponses {
    share: f64,
    random: Xoshiro256PlusPlus,
}

impl LateResponses {
    pub(super) fn new(share: f64, seed: u64) -> LateResponses {
        LateResponses {
            share,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    fn draw(&mut self) -> bool {
        self.random.random_bool(self.share)
    }
}
