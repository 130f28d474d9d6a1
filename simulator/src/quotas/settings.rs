//! What is simulated: sizes, demand, faults, and bugs that the history has to find.

/// A bug that is planted to see that [`AdmissionHistory`](super::AdmissionHistory) finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedBug {
    /// None.
    NoBug,
    /// A machine that restarts assumes that nothing was granted before.
    StartsFull,
    /// A machine that is partitioned, or was replaced, owns its shards for ever.
    EndlessOwnership,
    /// A new owner takes its shards over at once.
    NoSettlingTime,
}

/// A fault of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control machine's process is killed and restarts.
    Restart,
    /// The same, and its disk is lost.
    LoseDisk,
    /// A control machine is suspended and resumes.
    Suspend,
    /// A control machine is partitioned from all others. Routers still reach it.
    Partition,
    /// The same, and it is no voter any more until the partition ends.
    RemoveVoter,
    /// A router is suspended and resumes.
    SuspendRouter,
}

impl Fault {
    /// All of them.
    pub const ALL: &'static [Fault] = &[
        Fault::Restart,
        Fault::LoseDisk,
        Fault::Suspend,
        Fault::Partition,
        Fault::RemoveVoter,
        Fault::SuspendRouter,
    ];
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of control machines.
    pub control: usize,
    /// Number of routers.
    pub routers: usize,
    /// Demand of each tenant, as a multiple of its rate.
    pub demand: f64,
    /// Whether all of it arrives at one router.
    pub one_router: bool,
    /// How long there is demand (seconds).
    pub length_s: u64,
    /// Mean time between faults (milliseconds); `None`: no faults.
    pub fault_interval_ms: Option<u64>,
    /// Which faults are injected.
    pub faults: &'static [Fault],
    /// A planted bug.
    pub planted_bug: PlantedBug,
}
