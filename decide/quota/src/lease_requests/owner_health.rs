//! Recent denials and time-outs of owners, by which owners are chosen for a request.

use crate::ownership::OwnerId;
use lichenswitch_interface::{Micros, Time};
use std::collections::HashMap;

/// Longest time for which an owner with insufficient tokens is not tried again (microseconds).
const MAX_INSUFFICIENT_US: Micros = 60_000;
/// Time after which an owner that has not responded counts as unresponsive (microseconds). A
/// process with a CPU quota may be suspended for the rest of each period of 100 ms. It is skipped
/// during that time but doesn't count as failed.
pub(super) const UNRESPONSIVE_AFTER_US: Micros = 120_000;
/// Time for which an unresponsive owner is tried last (microseconds). Other machines detect a
/// failure in about this time.
pub(super) const UNRESPONSIVE_BACKOFF_US: Micros = 1_500_000;
/// Maximum number of records of insufficient tokens. Bounds memory.
const MAX_INSUFFICIENT: usize = 8_192;

/// A record that an owner denied an amount.
struct InsufficientTokens {
    amount: u64,
    valid_until: Time,
}

/// Recent denials and time-outs of all owners.
#[derive(Default)]
pub(super) struct OwnerHealth {
    insufficient: HashMap<(OwnerId, String), InsufficientTokens>,
    /// Owners that were skipped and have not responded since, with the time of the first request
    /// without a response.
    unanswered: HashMap<OwnerId, Time>,
}

impl OwnerHealth {
    pub(super) fn on_response(&mut self, owner: OwnerId) {
        self.unanswered.remove(&owner);
    }

    /// Records that an owner did not respond in time to a request sent at `requested_at`.
    pub(super) fn record_timeout(&mut self, owner: OwnerId, requested_at: Time) {
        self.unanswered.entry(owner).or_insert(requested_at);
    }

    /// Records that an owner denied an amount and suggested a retry delay.
    pub(super) fn record_insufficient(
        &mut self,
        now: Time,
        owner: OwnerId,
        tenant: &str,
        amount: u64,
        retry_after: Micros,
    ) {
        if self.insufficient.len() < MAX_INSUFFICIENT {
            let insufficient = InsufficientTokens {
                amount,
                valid_until: now.plus(retry_after.min(MAX_INSUFFICIENT_US)),
            };
            self.insufficient
                .insert((owner, tenant.to_owned()), insufficient);
        }
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.insufficient
            .retain(|_, insufficient| insufficient.valid_until > now);
        self.unanswered.retain(|_, requested_at| {
            now.since(*requested_at) < UNRESPONSIVE_AFTER_US + UNRESPONSIVE_BACKOFF_US
        });
    }

    pub(super) fn is_unresponsive(&self, now: Time, owner: OwnerId) -> bool {
        let unanswered_for = self
            .unanswered
            .get(&owner)
            .map_or(0, |requested_at| now.since(*requested_at));
        (UNRESPONSIVE_AFTER_US..UNRESPONSIVE_AFTER_US + UNRESPONSIVE_BACKOFF_US)
            .contains(&unanswered_for)
    }

    /// Returns the smallest amount of an owner's last denial to a tenant, while the denial is
    /// valid.
    pub(super) fn insufficient_from(&self, now: Time, owner: OwnerId, tenant: &str) -> Option<u64> {
        self.insufficient
            .get(&(owner, tenant.to_owned()))
            .filter(|insufficient| insufficient.valid_until > now)
            .map(|insufficient| insufficient.amount)
    }
}
