//! The configuration of the consensus, and why it can't be joined.

use crate::decide::consensus::persistent_state::UnreadableRecord;
use crate::decide::lease::LeaseTerms;
use std::io;
use std::path::PathBuf;

/// The voters, this broker's storage and roles, and the terms of leases, as the operators' file
/// says.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusConfig {
    /// The names of the voters.
    pub voters: Vec<String>,
    /// The folder of this broker's stored state, if it votes; `None`: it ends with the process.
    pub folder: Option<PathBuf>,
    /// The names of the roles that this broker is to hold if it can.
    pub roles: Vec<String>,
    /// The duration of leases and the drift of clocks.
    pub terms: LeaseTerms,
}

/// Why a voter can't start with its folder.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The folder or its file can't be read or written.
    #[error("peers: folder: {}: {source}", folder.display())]
    Folder {
        /// The folder that the operators' file names.
        folder: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file has a record that this version can't read.
    #[error("peers: folder: {0}")]
    Record(#[from] UnreadableRecord),
}
