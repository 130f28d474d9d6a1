//! Contracts of client teams: the classes that a team may use, its rate and its retry budget.
//!
//! Contracts are checked at intake. If none is configured, as on the platform, nothing is checked.

use lichenswitch_interface::{Budget, Micros, Time};
use std::collections::BTreeMap;

/// Contract with one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// Indices of the classes that the team may use; empty allows all.
    pub classes: Vec<usize>,
    /// Maximum rate (queries per second); `None` sets no limit.
    pub rate: Option<f64>,
    /// Retry budget; see [`Contracts::budget`] for how budgets are combined.
    pub budget: Option<Budget>,
}

/// Reason for refusing a query under the contracts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ContractViolation {
    /// The query names no team that has a contract.
    UnknownTeam,
    /// The team's contract does not include the class.
    Class,
    /// The team's rate is used up; the next query is allowed after this time.
    Rate(Micros),
}

struct TeamQuota {
    contract: Contract,
    /// Queries that the team may send now.
    tokens: f64,
    filled_at: Time,
}

/// Contracts of all teams, with the state of their rate limits.
#[derive(Default)]
pub struct Contracts {
    teams: BTreeMap<String, TeamQuota>,
}

/// Maximum burst of a team, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

impl Contracts {
    /// Creates contracts by team name, each with a full burst.
    #[must_use]
    pub fn new(teams: impl IntoIterator<Item = (String, Contract)>) -> Self {
        let quota = |contract: Contract| TeamQuota {
            tokens: burst(&contract),
            filled_at: Time(0),
            contract,
        };
        Contracts {
            teams: teams
                .into_iter()
                .map(|(name, contract)| (name, quota(contract)))
                .collect(),
        }
    }

    /// Checks whether a query may be taken now and, if so, counts it to the team's rate.
    ///
    /// # Errors
    /// Returns the term of the team's contract that the query violates.
    pub fn admit(
        &mut self,
        now: Time,
        team: Option<&str>,
        class: usize,
    ) -> Result<(), ContractViolation> {
        if self.teams.is_empty() {
            return Ok(());
        }
        let quota = team
            .and_then(|team| self.teams.get_mut(team))
            .ok_or(ContractViolation::UnknownTeam)?;
        let contract = &quota.contract;
        if !contract.classes.is_empty() && !contract.classes.contains(&class) {
            return Err(ContractViolation::Class);
        }
        let Some(rate) = contract.rate else {
            return Ok(());
        };
        let gained = now.since(quota.filled_at) as f64 / 1e6 * rate;
        quota.tokens = (quota.tokens + gained).min(burst(contract));
        quota.filled_at = now;
        if quota.tokens < 1.0 {
            return Err(ContractViolation::Rate(
                ((1.0 - quota.tokens) / rate * 1e6).ceil() as Micros,
            ));
        }
        quota.tokens -= 1.0;
        Ok(())
    }

    /// Returns the retry budget for the module, which keeps one for the whole instance: the
    /// strictest combination of all teams' budgets.
    #[must_use]
    pub fn budget(&self) -> Option<Budget> {
        let budgets = self.teams.values().filter_map(|a| a.contract.budget);
        budgets.reduce(|a, b| Budget {
            window: a.window.max(b.window),
            min_retries: a.min_retries.min(b.min_retries),
            share: a.share.min(b.share),
        })
    }
}

fn burst(contract: &Contract) -> f64 {
    contract
        .rate
        .map_or(1.0, |rate| (rate * BURST_SECONDS).max(1.0))
}

#[cfg(test)]
mod tests;
