//! One control machine: its disk, its process, and what is wrong with it.

use crate::control::ControlProcess;
use crate::disk::Disk;
use crate::network::Host;

use super::Event;

/// What happens once the process has ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterEnd {
    /// It is started again.
    Restart,
    /// The machine is removed.
    Remove,
}

/// A control machine.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions of a machine occur in any combination"
)]
pub(super) struct Machine {
    pub(super) host: Host,
    pub(super) address: String,
    pub(super) zone: u32,
    pub(super) disk: Disk,
    /// It has none: what it holds ends with its process.
    pub(super) without_disk: bool,
    pub(super) process: Option<ControlProcess>,
    /// Rises with each start and end of a process: what belongs to an earlier one is passed over.
    pub(super) incarnation: u64,
    /// The process does not run; what comes waits.
    pub(super) frozen: bool,
    pub(super) backlog: Vec<Event>,
    /// Without power: it answers nothing, not even with a reset.
    pub(super) dark: bool,
    /// Gone for good.
    pub(super) removed: bool,
    pub(super) first_start: bool,
    pub(super) seeds: Vec<String>,
    pub(super) after_end: AfterEnd,
}

impl Machine {
    pub(super) fn new(host: Host, zone: u32, first_start: bool) -> Self {
        Self {
            host,
            address: format!("10.{zone}.0.{}:7300", host.0),
            zone,
            disk: Disk::default(),
            without_disk: false,
            process: None,
            incarnation: 0,
            frozen: false,
            backlog: Vec::new(),
            dark: false,
            removed: false,
            first_start,
            seeds: Vec::new(),
            after_end: AfterEnd::Restart,
        }
    }

    /// Whether its process runs.
    pub(super) fn runs(&self) -> bool {
        self.process.is_some() && !self.frozen
    }
}
