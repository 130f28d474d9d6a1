//! What was learnt of the times of parts: decaying quantiles, scaled by how much was pending where
//! a part went.

use hdrhistogram::Histogram;
use lichenswitch_interface::{Micros, Time};

/// Points of the table of quantiles.
const POINTS: usize = 64;
/// A generation of samples ends after so many, or so long (microseconds), and is forgotten one
/// generation later.
const GENERATION: u64 = 2_000;
const GENERATION_TIME: Micros = 15_000_000;
/// The table is made anew after so many samples, or so large a part of all, or so long with any.
const STALE: u64 = 32;
const STALE_SHARE: u64 = 16;
const STALE_TIME: Micros = 250_000;
/// Fewer samples than this tell nothing.
const LEAST: u64 = 20;
/// Parts that a server is taken to work on at once beside those that wait, as in the module's
/// forecast.
pub const AT_ONCE: f64 = 2.0;
/// Longest time that is told apart, microseconds.
const LONGEST: u64 = 600_000_000;
/// How much of that assumption holds for a part that is not yet out for longer than all were.
const TAIL: f64 = 0.5;
/// No time is so long that a part is certain to have ended.
const SURE: f64 = 0.999;

/// Times of the parts of one class and phase.
pub struct Learnt {
    recent: Histogram<u32>,
    older: Histogram<u32>,
    since: Time,
    /// Time at each of the quantiles 0, 1/64, ... 1.
    table: [f64; POINTS + 1],
    made: Time,
    unseen: u64,
    count: u64,
}

fn histogram() -> Histogram<u32> {
    // Two digits are more than a forecast of milliseconds can use. The bounds are sound, so that it
    // never fails.
    Histogram::new_with_bounds(1, LONGEST, 2)
        .unwrap_or_else(|e| unreachable!("bounds of a histogram: {e}"))
}

impl Default for Learnt {
    fn default() -> Self {
        Learnt {
            recent: histogram(),
            older: histogram(),
            since: Time(0),
            table: [0.0; POINTS + 1],
            made: Time(0),
            unseen: 0,
            count: 0,
        }
    }
}

impl Learnt {
    /// A part took so long at a server that had `pending` parts of this broker when it was sent.
    pub fn add(&mut self, now: Time, took: Micros, pending: f64) {
        if self.recent.len() >= GENERATION
            || now.since(self.since) >= GENERATION_TIME && !self.recent.is_empty()
        {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
            self.since = now;
        }
        self.recent
            .saturating_record(((took as f64 / (pending + AT_ONCE)) as u64).max(1));
        self.unseen += 1;
        self.count = self.recent.len() + self.older.len();
        // Here, where it is spread over many samples, and not in the midst of a plan.
        self.refresh(now);
    }

    /// A part was given up after so long without an answer: it counts only where that is long
    /// already, or those that were given up early would make all look quick.
    pub fn add_unanswered(&mut self, now: Time, after: Micros, pending: f64) {
        if self.known() && self.share_within(now, after, pending) > 0.5 {
            self.add(now, after, pending);
        }
    }

    /// Whether there are enough samples to tell anything.
    #[must_use]
    pub fn known(&self) -> bool {
        self.count >= LEAST
    }

    /// Makes the table anew if it is out of date.
    fn refresh(&mut self, now: Time) {
        let many = STALE.max(self.count / STALE_SHARE);
        let stale = self.unseen >= many || self.unseen > 0 && now.since(self.made) >= STALE_TIME;
        if !stale {
            return;
        }
        (self.unseen, self.made) = (0, now);
        let (mut recent, mut older) = (
            self.recent.iter_recorded().peekable(),
            self.older.iter_recorded().peekable(),
        );
        let (total, mut seen, mut point) = (self.count as f64, 0.0, 0);
        loop {
            let next = match (recent.peek(), older.peek()) {
                (Some(a), Some(b)) if a.value_iterated_to() <= b.value_iterated_to() => {
                    recent.next()
                }
                (Some(_), None) => recent.next(),
                _ => older.next(),
            };
            let Some(next) = next else { break };
            seen += next.count_since_last_iteration() as f64;
            while point <= POINTS && seen >= total * point as f64 / POINTS as f64 {
                self.table[point] = next.value_iterated_to() as f64;
                point += 1;
            }
        }
        let last = self.table[point.saturating_sub(1)];
        self.table[point.min(POINTS + 1)..].fill(last);
    }

    /// Share of parts that end within so long at a server with so many pending, from 0 to just
    /// under 1.
    pub fn share_within(&mut self, now: Time, within: Micros, pending: f64) -> f64 {
        self.refresh(now);
        self.share(within as f64 / (pending + AT_ONCE))
    }

    /// The same of a part that has been out for `out` without an answer: it ends within `within`
    /// from now.
    pub fn share_within_after(
        &mut self,
        now: Time,
        out: Micros,
        within: Micros,
        pending: f64,
    ) -> f64 {
        let (by_now, by_then) = (
            self.share_within(now, out, pending),
            self.share_within(now, out + within, pending),
        );
        // Of a part that is out for longer than most were little was learnt: it is taken to need as
        // long again as it has had, by half a chance. Guards both against trust in a tail of few
        // samples and against waiting for ever.
        let as_long_again = within as f64 / (out + within).max(1) as f64;
        if by_now >= SURE {
            return as_long_again;
        }
        ((by_then - by_now) / (1.0 - by_now)).max(as_long_again * TAIL.min(by_now))
    }

    /// Time within which this share of parts ends at a server with so many pending; microseconds.
    pub fn quantile(&mut self, now: Time, share: f64, pending: f64) -> Micros {
        self.refresh(now);
        let place = share.clamp(0.0, 1.0) * POINTS as f64;
        let (at, rest) = (place as usize, place.fract());
        let (low, high) = (self.table[at], self.table[(at + 1).min(POINTS)]);
        ((low + (high - low) * rest) * (pending + AT_ONCE)) as Micros
    }

    fn share(&self, time: f64) -> f64 {
        let above = self.table.partition_point(|&t| t <= time);
        if above == 0 {
            return 0.0;
        }
        if above > POINTS {
            return SURE;
        }
        let (low, high) = (self.table[above - 1], self.table[above]);
        ((above as f64 - 1.0 + (time - low) / (high - low).max(1.0)) / POINTS as f64).min(SURE)
    }
}

#[cfg(test)]
mod tests;
