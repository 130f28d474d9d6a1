//! The log that the voters of a fleet agree on, and what follows from it: who holds which duty.
//!
//! It owns what a voter has promised and accepted, the grants that follow from what was decided,
//! and a broker's [`standing`] among the voters. It promises, for any
//! loss, delay, repetition and cut of messages, and any kill and restart of voters with their
//! memory:
//!
//! - *one log*: what two voters decided at one place is the same, and nothing decided changes;
//! - *nothing is told before it is kept*: in the verdicts of a call [`Verdict::Keep`] comes before
//!   every word that rests on it;
//! - *a voter without memory does no harm*: it has another [`genesis::Identity`], which the fleet's
//!   genesis does not name, and does not vote.
//!
//! The agreement is OmniPaxos (Ng, Haridi, Carbone 2023) by the library `omnipaxos`: its election
//! needs a leader that is connected to a majority, not one that all agree on, so that a bridge or a
//! ring of one-way cuts does not stop it. There is no input or output here, no clock and no chance:
//! messages and time go in, verdicts come out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod genesis;
pub mod persistent_state;
pub mod standing;
pub mod state;
pub mod voter;

pub use voter::{Verdict, Voter};
