//! Timers as coarse ticks on a wheel. A timer is never revoked: its owner disregards one that is
//! stale.

use lichenswitch_interface::{Micros, Time};

/// Length of a tick. Timers fire at the first tick at or after their time, never before it.
pub const TICK: Micros = 2_000;
/// Ticks in one turn of the wheel; later timers stay in their slot for further turns.
const SLOTS: usize = 1_024;

/// A wheel of timers that carry a `T`.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// The last tick that was worked off.
    tick: u64,
    count: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel whose time is `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        TimerWheel {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            tick: now.0 / TICK,
            count: 0,
        }
    }

    /// Sets a timer. One that is already due fires at the next tick.
    pub fn set(&mut self, at: Time, what: T) {
        let tick = at.0.div_ceil(TICK).max(self.tick + 1);
        self.slots[tick as usize % SLOTS].push((tick, what));
        self.count += 1;
    }

    /// Takes out every timer that is due at `now`, earlier ticks first.
    pub fn due(&mut self, now: Time) -> Vec<T> {
        let (until, mut fired) = (now.0 / TICK, Vec::new());
        // After a long stop each slot needs one look only: a turn of the wheel holds every timer.
        let first = (self.tick + 1).max(until.saturating_sub(SLOTS as u64 - 1));
        for tick in first..=until {
            let slot = &mut self.slots[tick as usize % SLOTS];
            let mut at = 0;
            while at < slot.len() {
                if slot[at].0 <= until {
                    fired.push(slot.remove(at));
                } else {
                    at += 1;
                }
            }
        }
        self.tick = self.tick.max(until);
        self.count -= fired.len();
        fired.sort_by_key(|f| f.0);
        fired.into_iter().map(|f| f.1).collect()
    }

    /// When the next timer fires.
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        if self.count == 0 {
            return None;
        }
        // The first slot ahead that holds a timer of this turn of the wheel has the next one.
        let ahead = (self.tick + 1..=self.tick + SLOTS as u64).find(|&tick| {
            self.slots[tick as usize % SLOTS]
                .iter()
                .any(|t| t.0 == tick)
        });
        let later = || self.slots.iter().flatten().map(|t| t.0).min();
        ahead.or_else(later).map(|tick| Time(tick * TICK))
    }
}

#[cfg(test)]
mod tests;
