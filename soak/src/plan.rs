//! What befalls the fleet on a day: drawn from a seed, the same for the same seed and length. Pure.

use crate::bounds::{GRACE, MACHINES};
use fastrand::Rng;
use lichenswitch_emulators::fleet_processes::Role;
use std::time::Duration;

/// A process: its role and its machine.
pub type Target = (Role, usize);

/// Something that is done to the fleet or its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// SIGTERM to a machine's processes; SIGKILL after the grace; they are started again so long
    /// after their end.
    Restart(usize, Duration),
    /// SIGHUP to a machine's processes.
    HangUp(usize),
    /// SIGKILL to a process; it is started again so long after.
    Kill(Target, Duration),
    /// The same to a control process, which comes back with an empty disk.
    Wipe(usize, Duration),
    /// SIGSTOP to a process, and SIGCONT so long after.
    ProcessPause(Target, Duration),
    /// SIGKILL to all processes, which are started again so long after; the control process of that
    /// machine with an empty disk.
    KillAll(Option<usize>, Duration),
    /// SIGSTOP to all control processes but the primary's, and SIGCONT so long after. If the final
    /// fault kills all and empties a disk, it is the primary's: what that one would acknowledge
    /// alone is lost.
    IsolatePrimary(Duration),
    /// The control process of the primary is cut off from all others for so long; callers reach all
    /// of them.
    CutPrimary(Duration),
    /// The control processes are cut into two halves for so long, this machine's and the next one's
    /// on one side.
    CutHalves(usize, Duration),
    /// The model server of that place says that it drains, serves on, leaves and is replaced.
    Drain(usize),
    /// It leaves without having said that it drains.
    Deregister(usize),
    /// It crashes and is replaced.
    Crash(usize),
    /// Its next requests meet faults.
    ServerFaults(usize, u64),
}

/// A day: what is done when, and what right after an acknowledgement at its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// How long it lasts, up to its final fault.
    pub length: Duration,
    /// In the order of their times.
    pub actions: Vec<(Duration, Action)>,
    /// Right after the first acknowledgement that follows the length.
    pub final_fault: Option<Action>,
    /// What the control processes had not synced is lost with them.
    pub volatile_disks: bool,
}

/// Model servers.
pub const SERVERS: usize = 6;
/// Cuts begin so long before the end of a day at the most.
const CUTS_WITHIN: Duration = Duration::from_millis(4_000);
/// The longest pause of a process: beyond the silences after which the others do without it.
const MAX_PAUSE: u64 = 4_500;

impl Plan {
    /// The day of this seed.
    #[must_use]
    pub fn generate_order(seed: u64, length: Duration) -> Plan {
        let mut generate_order = Draw {
            rng: Rng::with_seed(seed),
            length,
            wiped: false,
            actions: Vec::new(),
        };
        generate_order.planned_moment();
        generate_order.servers_troubles();
        generate_order.unplanned_moment();
        generate_order.cuts();
        let final_fault = generate_order.final_fault();
        generate_order.actions.sort();
        Plan {
            seed,
            length,
            actions: generate_order.actions,
            final_fault,
            volatile_disks: seed % 3 != 2,
        }
    }
}

struct Draw {
    rng: Rng,
    length: Duration,
    /// A disk was lost: no more of them, since one loss is to be borne.
    wiped: bool,
    actions: Vec<(Duration, Action)>,
}

impl Draw {
    fn milliseconds(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.u64(from..=to))
    }

    fn add(&mut self, at: Duration, action: Action) {
        self.actions.push((at.min(self.length), action));
    }

    /// Machines are stopped and started in turn, one or two at a time, while servers are replaced
    /// and settings change.
    fn planned_moment(&mut self) {
        let begin = self.length.mul_f64(0.05 + 0.15 * self.rng.f64());
        let overlap = self.rng.bool();
        let mut machines: Vec<usize> = (0..MACHINES).collect();
        self.rng.shuffle(&mut machines);
        let mut at = begin;
        let until = self.length.mul_f64(0.5);
        for machine in machines {
            if at > until {
                break;
            }
            let rest = self.milliseconds(100, 800);
            self.add(at, Action::Restart(machine, rest));
            at += match overlap {
                true => self.milliseconds(300, 2_500),
                false => GRACE + rest + self.milliseconds(200, 1_000),
            };
        }
        for _ in 0..self.rng.usize(2..=4) {
            let at = begin + self.milliseconds(0, 5_000);
            let (machine, order_index) = (self.rng.usize(0..MACHINES), self.rng.usize(0..SERVERS));
            let action = match self.rng.u32(0..5) {
                0 | 1 => Action::HangUp(machine),
                2 | 3 => Action::Drain(order_index),
                _ => Action::Deregister(order_index),
            };
            self.add(at, action);
        }
    }

    /// Servers have troubles of their own before the unplanned moment, and some leave so early that
    /// their end is over by then.
    fn servers_troubles(&mut self) {
        for _ in 0..4 {
            let at = self.length.mul_f64(0.6 * self.rng.f64());
            let (order_index, seed) = (self.rng.usize(0..SERVERS), self.rng.u64(..));
            self.add(at, Action::ServerFaults(order_index, seed));
        }
        for _ in 0..2 {
            let at = self.length.mul_f64(0.3 + 0.15 * self.rng.f64());
            let order_index = self.rng.usize(0..SERVERS);
            let leaves = if self.rng.bool() {
                Action::Drain(order_index)
            } else {
                Action::Deregister(order_index)
            };
            self.add(at, leaves);
        }
    }

    /// Two or three troubles overlap.
    fn unplanned_moment(&mut self) {
        let begin = self.length.mul_f64(0.65 + 0.1 * self.rng.f64());
        for _ in 0..self.rng.usize(2..=3) {
            let at = begin + self.milliseconds(0, 1_500);
            let action = self.fault();
            self.add(at, action);
        }
    }

    fn fault(&mut self) -> Action {
        let (machine, order_index) = (self.rng.usize(0..MACHINES), self.rng.usize(0..SERVERS));
        let role = if self.rng.u32(0..3) == 0 {
            Role::Router
        } else {
            Role::Control
        };
        let rest = self.milliseconds(100, 2_000);
        match self.rng.u32(0..12) {
            0..=2 => Action::Kill((role, machine), rest),
            3..=5 => Action::ProcessPause((role, machine), self.milliseconds(200, MAX_PAUSE)),
            6 | 7 => Action::Restart(machine, rest),
            8 if !self.wiped => {
                self.wiped = true;
                Action::Wipe(machine, rest)
            }
            9 => Action::Crash(order_index),
            10 => Action::KillAll(None, rest),
            _ => Action::ServerFaults(order_index, self.rng.u64(..)),
        }
    }

    /// Control processes are cut off from each other, the primary more often than not.
    fn cuts(&mut self) {
        for _ in 0..self.rng.usize(1..=3) {
            let before = CUTS_WITHIN.mul_f64(self.rng.f64());
            let time = self.milliseconds(400, 2_500);
            let cut = match self.rng.u32(0..4) {
                0 => Action::CutHalves(self.rng.usize(0..MACHINES), time),
                _ => Action::CutPrimary(time),
            };
            self.add(self.length.saturating_sub(before), cut);
        }
    }

    /// On most days that end with a lost disk and SIGKILL of all, the primary is left alone shortly
    /// before.
    fn isolate(&mut self) {
        if self.rng.u32(0..4) > 0 {
            let at = self.length.saturating_sub(self.milliseconds(50, 200));
            let time = self.milliseconds(800, 2_000);
            self.add(at, Action::IsolatePrimary(time));
        }
    }

    fn final_fault(&mut self) -> Option<Action> {
        let (machine, rest) = (self.rng.usize(0..MACHINES), self.milliseconds(100, 1_000));
        match self.rng.u32(0..8) {
            0 => None,
            1 | 2 => Some(Action::KillAll(None, rest)),
            3 if !self.wiped => Some(Action::Wipe(machine, rest)),
            _ if !self.wiped => {
                self.isolate();
                Some(Action::KillAll(Some(machine), rest))
            }
            _ => Some(Action::Kill((Role::Control, machine), rest)),
        }
    }
}
