//! Days of planned work in series that overlap, from the first second to the last.

use super::schedule::Schedule;
use super::{Action, Plan, Profile, SERVERS};
use lichenswitch_emulators::fleet_processes::Role;
use std::time::Duration;

/// Distinguishes the draws of these plans from those of mixed days.
const SEED_SALT: u64 = 0x7365_7269_6573;
/// The same for the days of overload.
const OVERLOAD_SEED_SALT: u64 = 0x6f76_6572_6c6f_6164;
/// When the first series begins.
const FIRST_SERIES: Duration = Duration::from_secs(1);
/// The share of a day after which no series begins.
const SERIES_SHARE: f64 = 0.85;
/// One day in this number has a configuration of over 5 MiB.
const LONG_CONFIGURATION_ONE_IN: u64 = 3;

/// Draws the plan of a seed.
pub(super) fn plan(seed: u64, length: Duration, machines: usize) -> Plan {
    Plan {
        has_long_configuration: seed.is_multiple_of(LONG_CONFIGURATION_ONE_IN),
        ..plan_of(Profile::Series, seed, SEED_SALT, length, machines)
    }
}

/// Draws the plan of a seed for a day of overload.
pub(super) fn overload_plan(seed: u64, length: Duration, machines: usize) -> Plan {
    plan_of(
        Profile::Overload,
        seed,
        OVERLOAD_SEED_SALT,
        length,
        machines,
    )
}

fn plan_of(profile: Profile, seed: u64, salt: u64, length: Duration, machines: usize) -> Plan {
    let mut generator = SeriesGenerator {
        schedule: Schedule::new(seed ^ salt, length),
        machines,
    };
    generator.all_series();
    generator.unplanned_faults();
    let final_fault = generator.final_fault();
    Plan {
        seed,
        length,
        actions: generator.schedule.into_actions(),
        final_fault,
        volatile_disks: false,
        profile,
        machines,
        has_long_configuration: false,
    }
}

struct SeriesGenerator {
    schedule: Schedule,
    machines: usize,
}

impl SeriesGenerator {
    fn machine(&mut self) -> usize {
        self.schedule.rng.usize(0..self.machines)
    }

    /// Series after series; the next one begins before the restarts of the last are over.
    fn all_series(&mut self) {
        let until = self.schedule.length.mul_f64(SERIES_SHARE);
        let mut at = FIRST_SERIES;
        while at < until {
            for _ in 0..self.schedule.rng.usize(2..=4) {
                let begin = at + self.schedule.milliseconds(0, 600);
                self.series(begin);
            }
            at += self.schedule.milliseconds(300, 1_800);
        }
    }

    /// Several actions of one kind.
    fn series(&mut self, begin: Duration) {
        match self.schedule.rng.u32(0..10) {
            0..=2 => self.restarts(begin),
            3 => self.hang_ups(begin),
            4 | 5 => self.departures(begin),
            6 | 7 => self.server_resets(begin),
            _ => {
                let (server, seed) = (
                    self.schedule.rng.usize(0..SERVERS),
                    self.schedule.rng.u64(..),
                );
                self.schedule.add(begin, Action::ServerFaults(server, seed));
            }
        }
    }

    /// One or two machines are restarted, and get SIGTERM and SIGHUP again while they end.
    fn restarts(&mut self, begin: Duration) {
        let mut at = begin;
        for _ in 0..self.schedule.rng.usize(1..=2) {
            let (machine, delay) = (self.machine(), self.schedule.milliseconds(50, 800));
            self.schedule.add(at, Action::Restart(machine, delay));
            for _ in 0..self.schedule.rng.usize(0..=2) {
                let again = at + self.schedule.milliseconds(5, 1_500);
                self.schedule.add(again, Action::TerminateAgain(machine));
                self.schedule.add(again, Action::HangUp(machine));
            }
            at += self.schedule.milliseconds(20, 700);
        }
    }

    fn hang_ups(&mut self, begin: Duration) {
        let machine = self.machine();
        let mut at = begin;
        for _ in 0..self.schedule.rng.usize(2..=6) {
            self.schedule.add(at, Action::HangUp(machine));
            at += self.schedule.milliseconds(1, 120);
        }
    }

    fn departures(&mut self, begin: Duration) {
        let mut at = begin;
        for _ in 0..self.schedule.rng.usize(1..=2) {
            let server = self.schedule.rng.usize(0..SERVERS);
            let action = match self.schedule.rng.bool() {
                true => Action::Drain(server),
                false => Action::Deregister(server),
            };
            self.schedule.add(at, action);
            at += self.schedule.milliseconds(10, 500);
        }
    }

    fn server_resets(&mut self, begin: Duration) {
        let mut at = begin;
        for _ in 0..self.schedule.rng.usize(1..=3) {
            let server = self.schedule.rng.usize(0..SERVERS);
            self.schedule.add(at, Action::ServerResets(server));
            at += self.schedule.milliseconds(50, 400);
        }
    }

    /// Up to two processes are killed or paused near the end.
    fn unplanned_faults(&mut self) {
        for _ in 0..self.schedule.rng.usize(0..=2) {
            let at = self
                .schedule
                .length
                .mul_f64(0.88 + 0.1 * self.schedule.rng.f64());
            let role = match self.schedule.rng.bool() {
                true => Role::Control,
                false => Role::Router,
            };
            let target = (role, self.machine());
            let action = match self.schedule.rng.bool() {
                true => Action::Kill(target, self.schedule.milliseconds(100, 1_000)),
                false => Action::Pause(target, self.schedule.milliseconds(200, 3_000)),
            };
            self.schedule.add(at, action);
        }
    }

    fn final_fault(&mut self) -> Option<Action> {
        let delay = self.schedule.milliseconds(100, 1_000);
        match self.schedule.rng.u32(0..4) {
            0 => None,
            1 => Some(Action::KillAll(None, delay)),
            _ => Some(Action::Kill((Role::Control, self.machine()), delay)),
        }
    }
}
