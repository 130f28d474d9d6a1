//! What can be wrong with a single value of a configuration file. The error around it names the key, and
//! the file and line where there is one.

use super::settings::SettingsError;
use super::AddressError;
use crate::inventory::ReadError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a value can't be used.
#[derive(Debug, Error)]
pub enum ValueError {
    /// There is none, and there is no default.
    #[error("missing")]
    Missing,
    /// There is none, and no platform's file that it could come from.
    #[error("missing, and so is NODE_CONFIG")]
    MissingWithoutPlatform,
    /// It is empty, or an entry before it has the same value.
    #[error("{0:?} is empty or there twice")]
    EmptyOrRepeated(String),
    /// An entry before it has the same value.
    #[error("{0:?} is there twice")]
    Repeated(String),
    /// It is no address.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A key of the section `peers` holds no address.
    #[error("{key}: {error}")]
    PeerAddress {
        /// The key.
        key: String,
        /// What its text is.
        error: AddressError,
    },
    /// An address that nobody can connect to.
    #[error("{0} is nowhere to connect to")]
    NotConnectable(SocketAddr),
    /// The broker listens on all addresses, and none is named that others may connect to.
    #[error("missing, and listen names no one address")]
    NoAdvertisedAddress,
    /// It is no hexadecimal number.
    #[error("{0:?} is not hexadecimal")]
    NotHexadecimal(String),
    /// A limit that the broker can't work with.
    #[error("{value} is too few, {least} at least")]
    TooFew {
        /// The value.
        value: usize,
        /// The least that it may be.
        least: usize,
    },
    /// It is outside its bounds.
    #[error("{value} is not within {least} to {most}")]
    OutOfBounds {
        /// The value.
        value: u64,
        /// The least that it may be.
        least: u64,
        /// The most that it may be.
        most: u64,
    },
    /// A share is not above 0 and below 1.
    #[error("{0} is not between 0 and 1")]
    NotAShare(f64),
    /// A name is empty or too long.
    #[error("{name:?} has not 1 to {max_bytes} bytes")]
    NameLength {
        /// The name.
        name: String,
        /// The longest that it may be.
        max_bytes: usize,
    },
    /// A file that it names can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The settings in the file that it names can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A slice has no replica, or more than there are cells.
    #[error("{replicas}, but there are {cells} cells")]
    Replicas {
        /// Replicas of a slice.
        replicas: u32,
        /// Cells of the inventory.
        cells: u32,
    },
    /// The inventory has no such zone.
    #[error("there is no zone {0:?} in the inventory")]
    UnknownZone(String),
    /// The settings have no such class.
    #[error("there is no class {0:?}")]
    UnknownClass(String),
    /// The parts of the class must not be repeated at will, so it is for writes.
    #[error("{0:?} is for writes and can't be read")]
    WriteClass(String),
    /// The class has no second phase that could be planned.
    #[error("{0:?} has no second phase")]
    NoSecondPhase(String),
    /// A client's wait is 0 or longer than the deadline of its class.
    #[error("{wait_ms} is not within the class's {deadline_ms} ms")]
    BeyondDeadline {
        /// The wait.
        wait_ms: u64,
        /// The deadline.
        deadline_ms: u64,
    },
    /// A suspicion ends before the suspected broker could refute it.
    #[error("{suspicion_ms} ms is less than two probes of {probe_ms} ms: nobody could refute it")]
    SuspicionTooShort {
        /// How long a broker is suspected.
        suspicion_ms: u64,
        /// Time between two probes.
        probe_ms: u64,
    },
    /// The path of a folder is empty.
    #[error("it names no folder")]
    EmptyFolder,
    /// The key needs voters, and there are none.
    #[error("there are no voters to agree on anything: name three to seven")]
    NoVoters,
    /// Too few voters, or too many.
    #[error("{count} are named, {least} to {most} can agree")]
    VoterCount {
        /// Voters that are named.
        count: usize,
        /// Fewest that may be.
        least: usize,
        /// Most that may be.
        most: usize,
    },
    /// A voter that is not among the known brokers.
    #[error("{0:?} is not among known: nobody could find it")]
    UnknownVoter(String),
}
