//! Faults as plain values. Their `Debug` output is part of a run's trace.

use std::fmt;

use crate::disk::DiskFault;
use crate::network::{Harm, Host};

/// The machine that a fault applies to; resolved when the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The primary.
    Primary,
    /// One that is not the primary: its number among those that run, modulo their number.
    Other(u32),
    /// The oldest one that runs.
    Oldest,
    /// This machine.
    This(Host),
}

/// Which links carry nothing in a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// Both ways, between the targets and the rest.
    Full,
    /// One way, from the targets to the rest.
    Outgoing,
    /// One way, from the rest to the targets.
    Incoming,
    /// Both ways, between each target and one of the rest only.
    Partial,
}

/// A fault; durations are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The process is killed, and restarts.
    Kill(Target),
    /// Power is lost, and returns after the usual delay.
    PowerLoss(Target),
    /// Power is lost, and returns after so long.
    PowerLossFor(Target, u64),
    /// The machine loses its disk, and restarts at its address.
    Wipe(Target),
    /// The machine is removed at once; a successor starts at a new address after so long.
    Replace(Target, u64),
    /// The process is asked to leave, then the machine is removed; a successor starts at a new address after so long.
    PlannedReplace(Target, u64),
    /// The process is asked to leave, and restarts.
    Terminate(Target),
    /// The process does not run for so long; events wait for it.
    Freeze(Target, u64),
    /// A partition: links between control machines, and perhaps of callers, carry nothing.
    Cut {
        /// The machines on one side.
        targets: Vec<Target>,
        /// Which links between the targets and the rest.
        kind: CutKind,
        /// How long it lasts.
        duration: u64,
        /// Whether messages are delivered when it ends; otherwise they are lost.
        holds: bool,
        /// Of 100 callers, so many reach only the targets, and as many only the rest.
        callers_bound: u32,
    },
    /// A disk is faulty for so long.
    Disk(Target, DiskFault, u64),
    /// All processes are killed.
    KillAll,
    /// All machines lose power.
    PowerOffAll,
    /// These machines lose their disks, and all others lose power.
    WipeAndPowerOff(Vec<Target>),
    /// Responses to callers are lost for so long.
    LoseReplies(u64),
    /// All links are harmed for so long.
    Harm(Harm, u64),
    /// All routers restart, and connect first to this machine.
    RestartRouters(Target),
    /// One of so many operators and readers prefers this machine.
    Lure(Target, u32),
}

impl fmt::Display for Action {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}
