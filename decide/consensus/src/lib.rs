//! The log that the voters of a cluster agree on, and the grants of singleton roles that follow
//! from it.
//!
//! It owns what a voter has promised, accepted and learned to be decided, the table of grants, and
//! each broker's view of whether it is in contact with a majority of the voters
//! ([`quorum_status`]). For any loss, delay, duplication and partition of messages, and any crash
//! and restart of voters that keep their storage, it promises:
//!
//! - *one log*: two voters never decide different entries at one position, and nothing decided
//!   changes;
//! - *persisted before sent*: among the actions of a call, [`VoterAction::Persist`] precedes every
//!   message that depends on it;
//! - *a voter without its storage does no harm*: it has another [`genesis::VoterIdentity`], which
//!   the genesis of the cluster does not name, and does not vote.
//!
//! The algorithm is OmniPaxos (Ng, Haridi, Carbone 2023), by the library `omnipaxos`. Its election
//! needs a leader that is connected to a majority, not one that all voters agree on, so that a
//! network in which only one voter reaches all others, or whose links are cut in one direction,
//! does not stop it. This crate has no I/O, reads no clock and draws no random numbers: messages
//! and time go in, actions come out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bootstrap;
pub mod genesis;
pub mod log_state;
pub mod persistent_state;
pub mod quorum_status;
pub mod voter;

pub use voter::{Voter, VoterAction, VoterError};
