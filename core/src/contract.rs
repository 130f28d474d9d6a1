//! Contracts of the teams that ask: the classes a team may use, its rate and its retry budget.
//!
//! They are checked at intake. Without any contract configured, as on the platform, nothing is
//! checked.

use lichenswitch_interface::{Budget, Micros, Time};
use std::collections::BTreeMap;

/// What was agreed with one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// Classes that it may use, by index; empty: all.
    pub classes: Vec<usize>,
    /// Queries a second; `None`: no limit.
    pub rate: Option<f64>,
    /// Attempts beyond the first of each part.
    pub budget: Option<Budget>,
}

/// Why a query is not taken under the contracts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ContractViolation {
    /// The query names no team that has a contract.
    UnknownTeam,
    /// The team's contract does not hold the class.
    Class,
    /// The team's rate is used up; a query will be let in after this long.
    Rate(Micros),
}

struct TeamQuota {
    contract: Contract,
    /// Queries that it may send now.
    tokens: f64,
    filled_at: Time,
}

/// The contracts of all teams.
#[derive(Default)]
pub struct Contracts {
    teams: BTreeMap<String, TeamQuota>,
}

/// A team may save up so many seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

impl Contracts {
    /// Contracts by the teams' names.
    #[must_use]
    pub fn new(teams: impl IntoIterator<Item = (String, Contract)>) -> Self {
        let account = |contract: Contract| TeamQuota {
            tokens: burst(&contract),
            filled_at: Time(0),
            contract,
        };
        Contracts {
            teams: teams
                .into_iter()
                .map(|(name, contract)| (name, account(contract)))
                .collect(),
        }
    }

    /// Whether a query may be taken now; if so, it counts to the team's rate.
    ///
    /// # Errors
    /// What of the team's contract the query violates.
    pub fn admit(
        &mut self,
        now: Time,
        team: Option<&str>,
        class: usize,
    ) -> Result<(), ContractViolation> {
        if self.teams.is_empty() {
            return Ok(());
        }
        let account = team
            .and_then(|team| self.teams.get_mut(team))
            .ok_or(ContractViolation::UnknownTeam)?;
        let contract = &account.contract;
        if !contract.classes.is_empty() && !contract.classes.contains(&class) {
            return Err(ContractViolation::Class);
        }
        let Some(rate) = contract.rate else {
            return Ok(());
        };
        let gained = now.since(account.filled_at) as f64 / 1e6 * rate;
        account.tokens = (account.tokens + gained).min(burst(contract));
        account.filled_at = now;
        if account.tokens < 1.0 {
            return Err(ContractViolation::Rate(
                ((1.0 - account.tokens) / rate * 1e6).ceil() as Micros,
            ));
        }
        account.tokens -= 1.0;
        Ok(())
    }

    /// The budget that the module is given: it keeps one for the whole instance, so the strictest
    /// of the teams' budgets is kept for all.
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
