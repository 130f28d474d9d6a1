//! Faults, as data.

use std::fmt;

use crate::disk::DiskFault;
use crate::network::{Harm, Host};

/// The machine that a fault applies to; resolved when the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The primary.
    Primary,
    /// One that is not the primary, by number among those that run.
    Other(u32),
    /// The one that has been there the longest.
    Oldest,
    /// This one.
    This(Host),
}

/// Which links a cut takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// Both ways, between the targets and the rest.
    Full,
    /// What the targets send.
    Outgoing,
    /// What the targets are sent.
    Incoming,
    /// Both ways, between each target and one of the rest only.
    Partial,
}

/// A fault; durations are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The process is killed, and started again.
    Kill(Target),
    /// Power is lost, and comes back.
    PowerLoss(Target),
    /// Power is lost, and comes back after so long.
    PowerLossFor(Target, u64),
    /// The machine loses its disk, and restarts at its address.
    Wipe(Target),
    /// The machine is removed at once; a successor starts at a new address after so long.
    Replace(Target, u64),
    /// The machine is told to end, then removed; a successor starts at a new address after so long.
    PlannedReplace(Target, u64),
    /// The process is told to end, and started again.
    Terminate(Target),
    /// The process does not run for so long.
    Freeze(Target, u64),
    /// Links between control machines, and perhaps of callers, carry nothing for so long.
    Cut {
        /// The machines on one side.
        targets: Vec<Target>,
        /// Which links.
        kind: CutKind,
        /// For how long.
        duration: u64,
        /// What is sent meanwhile comes at the end.
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
    /// So many machines lose their disks, and all others lose power.
    WipeAndPowerOff(Vec<Target>),
    /// What callers are answered is lost for so long.
    LoseReplies(u64),
    /// All links are harmed for so long.
    Harm(Harm, u64),
    /// All routers start anew, and go first to this machine.
    RestartRouters(Target),
    /// The operators, readers and routers go first to this machine: one of so many of them.
    Lure(Target, u32),
}

impl fmt::Display for Action {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}
