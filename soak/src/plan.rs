//! The plan of a day: which faults and planned work a fleet meets and when. It follows from a seed
//! and a length alone. Pure.
//!
//! A seed that was noted with a failure must yield the same plan later: the order of the random
//! draws, and that of the variants of [`Action`], stay as they are.

mod schedule;
mod series;

use crate::bounds::{GRACE, MACHINES};
use lichenswitch_emulators::fleet_processes::Role;
use schedule::Schedule;
use std::time::Duration;

/// The process that a fault is for: its role and its machine.
pub type Target = (Role, usize);

/// Something that is done to the fleet or its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// SIGTERM to a machine's processes, and SIGKILL after the grace; they are started again this
    /// long after their end.
    Restart(usize, Duration),
    /// SIGHUP to a machine's processes.
    HangUp(usize),
    /// SIGKILL to a process, which is started again after this delay.
    Kill(Target, Duration),
    /// The same to a control process, which comes back with an empty disk.
    Wipe(usize, Duration),
    /// SIGSTOP to a process, and SIGCONT after this time.
    Pause(Target, Duration),
    /// SIGKILL to all processes, which are started again after this delay; the control process of
    /// that machine with an empty disk.
    KillAll(Option<usize>, Duration),
    /// SIGSTOP to all control processes but the primary's, and SIGCONT after this time. If the final
    /// fault kills all and empties a disk, it is the primary's: what that one would acknowledge
    /// alone is lost.
    IsolatePrimary(Duration),
    /// The control process of the primary is partitioned from all others for this time; callers
    /// reach all of them.
    PartitionPrimary(Duration),
    /// The control processes are partitioned into two halves for this time, this machine's and the
    /// next one's on one side.
    PartitionHalves(usize, Duration),
    /// The model server with this index reports that it drains, serves on, deregisters and is
    /// replaced.
    Drain(usize),
    /// It deregisters without having drained.
    Deregister(usize),
    /// It crashes and is replaced.
    Crash(usize),
    /// Its next requests meet faults that follow from this seed.
    ServerFaults(usize, u64),
    /// SIGTERM once more to those processes of a machine that are ending.
    TerminateAgain(usize),
    /// It begins work on its next requests and resets their connections before it has read them.
    ServerResets(usize),
}

/// Which kind of day a plan makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Profile {
    /// One planned moment, server faults, one unplanned moment, partitions, and a final fault.
    #[default]
    Mixed,
    /// Signals, restarts and departures in series that overlap all day, long requests, clients that use
    /// their connections until the router is gone, and on some days a configuration of over 5 MiB.
    Series,
    /// The same signals, restarts and departures, beside servers that are about full and send a share of
    /// their responses once more, late, and with tenants whose names have letters outside ASCII.
    Overload,
}

/// A profile's name that is none.
#[derive(Debug, thiserror::Error)]
#[error("a profile is `mixed`, `series` or `overload`")]
pub struct UnknownProfile;

impl std::str::FromStr for Profile {
    type Err = UnknownProfile;

    fn from_str(name: &str) -> Result<Profile, UnknownProfile> {
        match name {
            "mixed" => Ok(Profile::Mixed),
            "series" => Ok(Profile::Series),
            "overload" => Ok(Profile::Overload),
            _ => Err(UnknownProfile),
        }
    }
}

/// The plan of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// How long it lasts, up to its final fault.
    pub length: Duration,
    /// What is done when, in order.
    pub actions: Vec<(Duration, Action)>,
    /// What is done right after the first acknowledgement that follows the length.
    pub final_fault: Option<Action>,
    /// Whether the control processes run on disks that lose with them what was not synced.
    pub volatile_disks: bool,
    /// Its profile.
    pub profile: Profile,
    /// The number of machines; a control process and a router on each.
    pub machines: usize,
    /// Whether the configuration is longer than 5 MiB.
    pub has_long_configuration: bool,
}

/// The number of model servers.
pub const SERVERS: usize = 6;
/// Partitions begin this long before the end of a day at the most.
const MAX_PARTITION_LEAD: Duration = Duration::from_millis(4_000);
/// The longest pause of a process (ms): beyond the timeouts after which the others do without it.
const MAX_PAUSE_MS: u64 = 4_500;

impl Plan {
    /// The plan of this seed for a day of this length and profile, with so many machines.
    #[must_use]
    pub fn of_profile(profile: Profile, seed: u64, length: Duration, machines: usize) -> Plan {
        match profile {
            Profile::Mixed => Plan::from_seed(seed, length),
            Profile::Series => series::plan(seed, length, machines),
            Profile::Overload => series::overload_plan(seed, length, machines),
        }
    }

    /// The plan of this seed for a day of this length and of mixed faults.
    #[must_use]
    pub fn from_seed(seed: u64, length: Duration) -> Plan {
        let mut generator = PlanGenerator {
            schedule: Schedule::new(seed, length),
            has_lost_disk: false,
        };
        generator.planned_work();
        generator.server_faults();
        generator.unplanned_faults();
        generator.partitions();
        let final_fault = generator.final_fault();
        Plan {
            seed,
            length,
            actions: generator.schedule.into_actions(),
            final_fault,
            volatile_disks: seed % 3 != 2,
            profile: Profile::Mixed,
            machines: MACHINES,
            has_long_configuration: false,
        }
    }
}

struct PlanGenerator {
    schedule: Schedule,
    /// Whether a disk was lost. The fleet tolerates one loss, so there is no second one.
    has_lost_disk: bool,
}

impl PlanGenerator {
    /// Machines are stopped and started in turn, one or two at a time, while servers are replaced
    /// and settings change.
    fn planned_work(&mut self) {
        let begin = self
            .schedule
            .length
            .mul_f64(0.05 + 0.15 * self.schedule.rng.f64());
        let overlap = self.schedule.rng.bool();
        let mut machines: Vec<usize> = (0..MACHINES).collect();
        self.schedule.rng.shuffle(&mut machines);
        let mut at = begin;
        let until = self.schedule.length.mul_f64(0.5);
        for machine in machines {
            if at > until {
                break;
            }
            let restart_delay = self.schedule.milliseconds(100, 800);
            self.schedule
                .add(at, Action::Restart(machine, restart_delay));
            at += match overlap {
                true => self.schedule.milliseconds(300, 2_500),
                false => GRACE + restart_delay + self.schedule.milliseconds(200, 1_000),
            };
        }
        for _ in 0..self.schedule.rng.usize(2..=4) {
            let at = begin + self.schedule.milliseconds(0, 5_000);
            let (machine, server) = (
                self.schedule.rng.usize(0..MACHINES),
                self.schedule.rng.usize(0..SERVERS),
            );
            let action = match self.schedule.rng.u32(0..5) {
                0 | 1 => Action::HangUp(machine),
                2 | 3 => Action::Drain(server),
                _ => Action::Deregister(server),
            };
            self.schedule.add(at, action);
        }
    }

    /// Requests of servers meet faults before the unplanned faults, and some servers leave so early
    /// that their end is over by then.
    fn server_faults(&mut self) {
        for _ in 0..4 {
            let at = self.schedule.length.mul_f64(0.6 * self.schedule.rng.f64());
            let (server, seed) = (
                self.schedule.rng.usize(0..SERVERS),
                self.schedule.rng.u64(..),
            );
            self.schedule.add(at, Action::ServerFaults(server, seed));
        }
        for _ in 0..2 {
            let at = self
                .schedule
                .length
                .mul_f64(0.3 + 0.15 * self.schedule.rng.f64());
            let server = self.schedule.rng.usize(0..SERVERS);
            let leaves = if self.schedule.rng.bool() {
                Action::Drain(server)
            } else {
                Action::Deregister(server)
            };
            self.schedule.add(at, leaves);
        }
    }

    /// Two or three faults overlap.
    fn unplanned_faults(&mut self) {
        let begin = self
            .schedule
            .length
            .mul_f64(0.65 + 0.1 * self.schedule.rng.f64());
        for _ in 0..self.schedule.rng.usize(2..=3) {
            let at = begin + self.schedule.milliseconds(0, 1_500);
            let action = self.fault();
            self.schedule.add(at, action);
        }
    }

    fn fault(&mut self) -> Action {
        let (machine, server) = (
            self.schedule.rng.usize(0..MACHINES),
            self.schedule.rng.usize(0..SERVERS),
        );
        let role = if self.schedule.rng.u32(0..3) == 0 {
            Role::Router
        } else {
            Role::Control
        };
        let restart_delay = self.schedule.milliseconds(100, 2_000);
        match self.schedule.rng.u32(0..12) {
            0..=2 => Action::Kill((role, machine), restart_delay),
            3..=5 => Action::Pause(
                (role, machine),
                self.schedule.milliseconds(200, MAX_PAUSE_MS),
            ),
            6 | 7 => Action::Restart(machine, restart_delay),
            8 if !self.has_lost_disk => {
                self.has_lost_disk = true;
                Action::Wipe(machine, restart_delay)
            }
            9 => Action::Crash(server),
            10 => Action::KillAll(None, restart_delay),
            _ => Action::ServerFaults(server, self.schedule.rng.u64(..)),
        }
    }

    /// Control processes are partitioned from each other, the primary more often than not.
    fn partitions(&mut self) {
        for _ in 0..self.schedule.rng.usize(1..=3) {
            let before = MAX_PARTITION_LEAD.mul_f64(self.schedule.rng.f64());
            let time = self.schedule.milliseconds(400, 2_500);
            let partition = match self.schedule.rng.u32(0..4) {
                0 => Action::PartitionHalves(self.schedule.rng.usize(0..MACHINES), time),
                _ => Action::PartitionPrimary(time),
            };
            self.schedule
                .add(self.schedule.length.saturating_sub(before), partition);
        }
    }

    /// On most days that end with a lost disk and SIGKILL of all, the other control processes are
    /// paused shortly before.
    fn isolate_primary(&mut self) {
        if self.schedule.rng.u32(0..4) > 0 {
            let at = self
                .schedule
                .length
                .saturating_sub(self.schedule.milliseconds(50, 200));
            let time = self.schedule.milliseconds(800, 2_000);
            self.schedule.add(at, Action::IsolatePrimary(time));
        }
    }

    fn final_fault(&mut self) -> Option<Action> {
        let (machine, restart_delay) = (
            self.schedule.rng.usize(0..MACHINES),
            self.schedule.milliseconds(100, 1_000),
        );
        match self.schedule.rng.u32(0..8) {
            0 => None,
            1 | 2 => Some(Action::KillAll(None, restart_delay)),
            3 if !self.has_lost_disk => Some(Action::Wipe(machine, restart_delay)),
            _ if !self.has_lost_disk => {
                self.isolate_primary();
                Some(Action::KillAll(Some(machine), restart_delay))
            }
            _ => Some(Action::Kill((Role::Control, machine), restart_delay)),
        }
    }
}
