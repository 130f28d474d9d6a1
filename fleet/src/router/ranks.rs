//! Ranks of requests: first by the rank of the tenant, then by that of the route.
//!
//! Servers and the decision module know ten ranks. Where a configuration has tenants, its pairs of
//! (tenant rank, route rank) are numbered in order.

use lichenswitch_configuration::{Document, Route, Tenant};
use std::collections::BTreeSet;

/// The least urgent rank.
const LOWEST_RANK: u8 = 9;

/// Rank of a tenant, and of a route.
type RankPair = (u32, u32);

/// The ranks of a configuration.
#[derive(Debug, Default)]
pub(crate) struct PriorityRanks {
    /// All pairs of a configuration with tenants, the most urgent first.
    pairs: Vec<RankPair>,
}

impl PriorityRanks {
    /// The ranks of a configuration.
    #[must_use]
    pub(crate) fn new(document: &Document) -> PriorityRanks {
        let Some(tenants) = document.tenants() else {
            return PriorityRanks::default();
        };
        let tenant_ranks: BTreeSet<Option<u32>> =
            tenants.iter().map(|tenant| tenant.priority).collect();
        let mut pairs = BTreeSet::new();
        for route in document.routes() {
            pairs.insert(pair(None, route));
            pairs.extend(tenant_ranks.iter().map(|rank| pair(*rank, route)));
        }
        PriorityRanks {
            pairs: pairs.into_iter().collect(),
        }
    }

    /// The rank of a tenant's requests on a route, 0 to 9.
    #[must_use]
    pub(crate) fn rank(&self, tenant: Option<&Tenant>, route: &Route) -> u8 {
        self.rank_of(tenant.and_then(|tenant| tenant.priority), route)
    }

    /// All ranks that requests on a route may have, with and without a tenant.
    #[must_use]
    pub(crate) fn ranks_of_route(&self, tenants: &[Tenant], route: &Route) -> BTreeSet<u8> {
        let without_tenant = [self.rank_of(None, route)];
        without_tenant
            .into_iter()
            .chain(tenants.iter().map(|tenant| self.rank(Some(tenant), route)))
            .collect()
    }

    fn rank_of(&self, tenant: Option<u32>, route: &Route) -> u8 {
        let rank = match self.pairs.binary_search(&pair(tenant, route)) {
            Ok(index) => index,
            // Without tenants it is that of the route.
            Err(_) => route.priority as usize,
        };
        u8::try_from(rank).unwrap_or(LOWEST_RANK).min(LOWEST_RANK)
    }
}

/// A tenant without a rank has that of the route.
fn pair(tenant: Option<u32>, route: &Route) -> RankPair {
    (tenant.unwrap_or(route.priority), route.priority)
}

#[cfg(test)]
mod tests;
