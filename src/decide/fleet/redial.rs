//! When a peer that could not be reached is tried again: spread, so that a fleet whose peer comes back does not come to it
//! all together.

use crate::interface::{Micros, Time};
use crate::stats::Dice;

/// First wait, and the longest (microseconds); each failure doubles it. The wait itself is drawn between half and one
/// and a half of that.
const FIRST: Micros = 200_000;
const MOST: Micros = 5_000_000;

/// The waits before one peer.
#[derive(Clone, Debug, Default)]
pub struct Redial {
    wait: Micros,
    not_before: Time,
}

impl Redial {
    /// Whether it may be tried now.
    #[must_use]
    pub fn may(&self, now: Time) -> bool {
        now >= self.not_before
    }

    /// When it may be tried.
    #[must_use]
    pub fn at(&self) -> Time {
        self.not_before
    }

    /// It could not be reached, or was lost.
    pub fn on_failure(&mut self, now: Time, dice: &mut Dice) {
        self.wait = (self.wait * 2).clamp(FIRST, MOST);
        self.not_before = now.plus(self.wait / 2 + dice.0.u64(0..=self.wait));
    }

    /// It took what was said to it.
    pub fn on_success(&mut self) {
        *self = Redial::default();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_double_up_to_a_bound_are_spread_and_end_with_a_success() {
        let mut dice = Dice::default();
        let mut all: Vec<Redial> = vec![Redial::default(); 100];
        for failures in 1..=12u32 {
            let usual = (FIRST << (failures - 1).min(20)).min(MOST);
            for redial in &mut all {
                redial.on_failure(Time(0), &mut dice);
                assert!((usual / 2..=usual * 3 / 2).contains(&redial.at().0), "{failures}: {redial:?}");
                assert!(!redial.may(Time(usual / 2 - 1)) && redial.may(Time(usual * 3 / 2)));
            }
            let within =
                |from: u64| all.iter().filter(|r| (from..from + usual / 5).contains(&r.at().0)).count();
            assert!((0..5).all(|i| within(usual / 2 + i * usual / 5) < 50), "{failures}: they come together");
        }
        all[0].on_success();
        assert!(all[0].may(Time(0)));
    }
}
