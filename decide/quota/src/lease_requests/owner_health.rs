//! Which owners are worth a request now: how they have responded a moment ago.

use crate::ownership::OwnerId;
use lichenswitch_interface::{Micros, Time};
use std::collections::HashMap;

/// An owner that had too little is tried again after so long at the latest (microseconds).
const MAX_INSUFFICIENT_US: Micros = 60_000;
/// An owner that has not responded for so long is unresponsive (microseconds). Longer than a tenth
/// of a second: where a process has a processor quota it may be suspended for the rest of each
/// tenth, and is skipped meanwhile, but not taken to have failed.
pub(super) const UNRESPONSIVE_AFTER_US: Micros = 120_000;
/// How long an unresponsive owner is tried last (microseconds): others find out in about that time
/// that it has failed.
pub(super) const UNRESPONSIVE_BACKOFF_US: Micros = 1_500_000;
/// Most records of insufficient tokens. Bounds memory.
const MAX_INSUFFICIENT: usize = 8_192;

/// An owner had too little for a request of this amount.
struct InsufficientTokens {
    amount: u64,
    valid_until: Time,
}

/// How owners have responded lately.
#[derive(Default)]
pub(super) struct OwnerHealth {
    insufficient: HashMap<(OwnerId, String), InsufficientTokens>,
    /// Owners that were skipped and have not responded since, with when the request was sent.
    unanswered: HashMap<OwnerId, Time>,
}

impl OwnerHealth {
    pub(super) fn on_response(&mut self, owner: OwnerId) {
        self.unanswered.remove(&owner);
    }

    /// An owner did not respond in time to a request of then.
    pub(super) fn record_timeout(&mut self, owner: OwnerId, requested_at: Time) {
        self.unanswered.entry(owner).or_insert(requested_at);
    }

    /// An owner denied this amount, and advised when to retry.
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

    /// The amount from which on an owner is known to have too little for a tenant.
    pub(super) fn insufficient_from(&self, now: Time, owner: OwnerId, tenant: &str) -> Option<u64> {
        self.insufficient
            .get(&(owner, tenant.to_owned()))
            .filter(|insufficient| insufficient.valid_until > now)
            .map(|insufficient| insufficient.amount)
    }
}
