//! This router's share of the further-try budget: what the module may spend, and what is kept for
//! streams that go on elsewhere.
//!
//! It promises that both together stay within the rule's ratio on this router's own requests and
//! within its part of the slack, which is nothing while it is not known how many routers there are.
//! Pure: time is an argument.

use super::options::{RetryBudget, RESUME_SHARE, SLACK_SHARE};
use super::time::micros;
use lichenswitch_interface::{Budget, Micros, Time};

/// The module counts a request, and its only part as well, to what was taken.
const COUNTED: f64 = 2.0;
/// Parts of a window that are counted by themselves.
const SLICES: u64 = 8;

/// Further arrivals beside the ratio that one of so many routers may cause in a window.
fn slack(budget: RetryBudget, routers: u32) -> f64 {
    match routers {
        0 => 0.0,
        routers => SLACK_SHARE * budget.slack / f64::from(routers),
    }
}

/// What the module may spend.
#[must_use]
pub(crate) fn module_budget(budget: RetryBudget, routers: u32) -> Budget {
    Budget {
        window: micros(budget.window),
        least: (1.0 - RESUME_SHARE) * slack(budget, routers),
        share: (1.0 - RESUME_SHARE) * budget.ratio / COUNTED,
    }
}

/// Streams that may go on at another server.
#[derive(Debug)]
pub(crate) struct ResumeBudget {
    window: Micros,
    share: f64,
    least: f64,
    requests: WindowCounter,
    resumes: WindowCounter,
}

impl ResumeBudget {
    /// While it is not known how many routers there are.
    #[must_use]
    pub(crate) fn new(budget: RetryBudget) -> ResumeBudget {
        let (requests, resumes) = (WindowCounter::default(), WindowCounter::default());
        let mut new = ResumeBudget {
            window: 0,
            share: 0.0,
            least: 0.0,
            requests,
            resumes,
        };
        new.set(budget, 0);
        new
    }

    /// There are so many routers now.
    pub(crate) fn set(&mut self, budget: RetryBudget, routers: u32) {
        self.window = micros(budget.window).max(SLICES);
        self.share = RESUME_SHARE * budget.ratio;
        self.least = RESUME_SHARE * slack(budget, routers);
    }

    /// A request was taken.
    pub(crate) fn on_request(&mut self, now: Time) {
        self.requests.add(now, self.window);
    }

    /// Takes one out of it, if it bears that.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let requests = self.requests.count(now, self.window);
        let resumes = self.resumes.count(now, self.window);
        let allowed = f64::from(resumes + 1) <= self.least + self.share * f64::from(requests);
        if allowed {
            self.resumes.add(now, self.window);
        }
        allowed
    }
}

/// Counts of the last window, by slices of it.
#[derive(Debug, Default)]
struct WindowCounter {
    counts: [u32; SLICES as usize],
    slice: u64,
}

impl WindowCounter {
    fn add(&mut self, now: Time, window: Micros) {
        self.roll(now, window);
        self.counts[(self.slice % SLICES) as usize] += 1;
    }

    fn count(&mut self, now: Time, window: Micros) -> u32 {
        self.roll(now, window);
        self.counts.iter().sum()
    }

    /// Forgets what is older than the window.
    fn roll(&mut self, now: Time, window: Micros) {
        let slice = now.0 / (window / SLICES).max(1);
        let passed = slice.saturating_sub(self.slice).min(SLICES);
        for old in 0..passed {
            self.counts[((slice - old) % SLICES) as usize] = 0;
        }
        self.slice = self.slice.max(slice);
    }
}

#[cfg(test)]
mod tests;
