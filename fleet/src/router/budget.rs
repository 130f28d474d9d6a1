//! This router's share of the retry budget: what the decision module may spend on retries and hedges,
//! and what is kept for streams that are resumed at another server.
//!
//! It promises that both together stay within the configured ratio of this router's requests plus its
//! share of the slack, which is 0 while the number of routers is unknown. Pure: time is an argument.

use super::options::{RetryBudget, FLEET_SLACK_SHARE, RESUME_BUDGET_SHARE};
use super::time::micros;
use lichenswitch_interface::{Budget, Micros, Time};

/// The decision module counts a request twice: itself, and its only part.
const COUNTS_PER_REQUEST: f64 = 2.0;
/// Slices of a window that are counted separately.
const SLICES_PER_WINDOW: u64 = 8;

/// Retries beside the ratio that one of this many routers may cause in a window.
fn slack_share(budget: RetryBudget, routers: u32) -> f64 {
    match routers {
        0 => 0.0,
        routers => FLEET_SLACK_SHARE * budget.slack / f64::from(routers),
    }
}

/// The share of the decision module.
#[must_use]
pub(crate) fn decision_budget(budget: RetryBudget, routers: u32) -> Budget {
    Budget {
        window: micros(budget.window),
        min_retries: (1.0 - RESUME_BUDGET_SHARE) * slack_share(budget, routers),
        share: (1.0 - RESUME_BUDGET_SHARE) * budget.ratio / COUNTS_PER_REQUEST,
    }
}

/// The share of resumed streams.
#[derive(Debug)]
pub(crate) struct ResumeBudget {
    window_us: Micros,
    ratio: f64,
    allowance: f64,
    requests: WindowCounter,
    resumes: WindowCounter,
}

impl ResumeBudget {
    /// The share while the number of routers is unknown.
    #[must_use]
    pub(crate) fn new(budget: RetryBudget) -> ResumeBudget {
        let (requests, resumes) = (WindowCounter::default(), WindowCounter::default());
        let mut new = ResumeBudget {
            window_us: 0,
            ratio: 0.0,
            allowance: 0.0,
            requests,
            resumes,
        };
        new.update(budget, 0);
        new
    }

    /// Recomputes the share for this many routers.
    pub(crate) fn update(&mut self, budget: RetryBudget, routers: u32) {
        self.window_us = micros(budget.window).max(SLICES_PER_WINDOW);
        self.ratio = RESUME_BUDGET_SHARE * budget.ratio;
        self.allowance = RESUME_BUDGET_SHARE * slack_share(budget, routers);
    }

    /// A request was accepted.
    pub(crate) fn on_request(&mut self, now: Time) {
        self.requests.add(now, self.window_us);
    }

    /// Spends one resumption, if the budget allows it; `false` if it doesn't.
    pub(crate) fn try_take(&mut self, now: Time) -> bool {
        let requests = self.requests.count(now, self.window_us);
        let resumes = self.resumes.count(now, self.window_us);
        let is_allowed =
            f64::from(resumes + 1) <= self.allowance + self.ratio * f64::from(requests);
        if is_allowed {
            self.resumes.add(now, self.window_us);
        }
        is_allowed
    }
}

/// A count over a sliding window, by slices.
#[derive(Debug, Default)]
struct WindowCounter {
    counts: [u32; SLICES_PER_WINDOW as usize],
    slice: u64,
}

impl WindowCounter {
    fn add(&mut self, now: Time, window: Micros) {
        self.roll(now, window);
        self.counts[(self.slice % SLICES_PER_WINDOW) as usize] += 1;
    }

    fn count(&mut self, now: Time, window: Micros) -> u32 {
        self.roll(now, window);
        self.counts.iter().sum()
    }

    /// Forgets what is older than the window.
    fn roll(&mut self, now: Time, window: Micros) {
        let slice = now.0 / (window / SLICES_PER_WINDOW).max(1);
        let passed = slice.saturating_sub(self.slice).min(SLICES_PER_WINDOW);
        for old in 0..passed {
            self.counts[((slice - old) % SLICES_PER_WINDOW) as usize] = 0;
        }
        self.slice = self.slice.max(slice);
    }
}

#[cfg(test)]
mod tests;
