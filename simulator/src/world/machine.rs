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

/// Whether a machine has power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Power {
    /// Connections to a machine without a process are reset.
    On,
    /// It answers nothing, not even with a reset.
    Off,
}

/// A control machine.
pub(super) struct Machine {
    pub(super) host: Host,
    pub(super) address: String,
    pub(super) zone: u32,
    pub(super) disk: Disk,
    /// It has no disk: its state is lost when its process ends.
    pub(super) without_disk: bool,
    pub(super) process: Option<ControlProcess>,
    /// Rises with each start and end of a process: events of an earlier one are ignored.
    pub(super) incarnation: u64,
    /// While the process is frozen: the events that wait for it.
    pub(super) backlog: Option<Vec<Event>>,
    pub(super) power: Power,
    /// It never starts again.
    pub(super) removed: bool,
    /// It starts with the system, and not as a successor or again.
    pub(super) first_start: bool,
    /// Addresses of the control machines that its settings name.
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
            backlog: None,
            power: Power::On,
            removed: false,
            first_start,
            seeds: Vec::new(),
            after_end: AfterEnd::Restart,
        }
    }

    /// Whether its process runs.
    pub(super) fn runs(&self) -> bool {
        self.process.is_some() && self.backlog.is_none()
    }

    /// From now on events wait until the process is thawed.
    pub(super) fn freeze(&mut self) {
        self.backlog.get_or_insert_default();
    }

    /// Ends the freezing; returns the events that waited.
    pub(super) fn thaw(&mut self) -> Vec<Event> {
        self.backlog.take().unwrap_or_default()
    }
}
