//! The leases of the roles that this broker is to hold: when to request them, and under which token
//! it may act.

use crate::decide::lease::holder_lease::{HolderLease, Permission};
use crate::decide::lease::{FencingToken, LeaseTerms, RoleName};
use crate::interface::{Micros, Time};
use std::collections::BTreeMap;

/// After a rejection the next request waits for this many hundredths of a lease.
const REJECTION_BACKOFF_PERCENT: u64 = 30;

/// One role, and what was logged of it last.
struct RoleLease {
    lease: HolderLease,
    /// No request is sent before this.
    not_before: Time,
    /// The token under which this broker could act at the last update.
    last_token: Option<FencingToken>,
}

/// The leases of all roles that the operators' file names.
pub(super) struct RoleLeases {
    terms: LeaseTerms,
    leases: BTreeMap<RoleName, RoleLease>,
}

impl RoleLeases {
    /// None of these roles is held.
    pub(super) fn new(now: Time, roles: &[String], terms: LeaseTerms) -> RoleLeases {
        let lease = |role: &String| {
            let lease = RoleLease {
                lease: HolderLease::default(),
                not_before: now,
                last_token: None,
            };
            (RoleName(role.clone()), lease)
        };
        RoleLeases {
            terms,
            leases: roles.iter().map(lease).collect(),
        }
    }

    /// The token under which this broker may act in a role now, if it may.
    pub(super) fn token(&self, now: Time, role: &RoleName) -> Option<FencingToken> {
        self.leases.get(role)?.lease.check(now, self.terms).token()
    }

    /// Logs which roles this broker holds or no longer holds, and returns the requests to send now:
    /// the role and the number. No request is sent before `not_before`.
    pub(super) fn update(
        &mut self,
        now: Time,
        not_before: Option<Time>,
        log: &mut Vec<String>,
    ) -> Vec<(RoleName, u64)> {
        let mut requests = Vec::new();
        for (role, state) in &mut self.leases {
            if let Some(not_before) = not_before {
                state.not_before = not_before;
            }
            let permission = state.lease.check(now, self.terms);
            if permission.token() != state.last_token {
                log.push(log_line(role, permission));
                state.last_token = permission.token();
            }
            if now >= state.not_before && now >= state.lease.next_request_at(self.terms) {
                requests.push((role.clone(), state.lease.on_request(now)));
            }
        }
        requests
    }

    /// The log has answered a request: with a token, or with a rejection.
    pub(super) fn on_response(
        &mut self,
        now: Time,
        role: &RoleName,
        request: u64,
        token: Option<FencingToken>,
    ) {
        let not_before = now.plus(self.rejection_backoff());
        let Some(state) = self.leases.get_mut(role) else {
            return;
        };
        match token {
            Some(token) => drop(state.lease.on_grant(request, token)),
            None => {
                state.lease.on_rejection(request);
                state.not_before = not_before;
            }
        }
    }

    /// A voter knows of another holder. A broker that holds the role knows better than a voter that
    /// has missed something, and asks the next one.
    pub(super) fn on_leased_elsewhere(&mut self, now: Time, role: &RoleName) {
        if self.token(now, role).is_some() {
            return;
        }
        let not_before = now.plus(self.rejection_backoff());
        if let Some(state) = self.leases.get_mut(role) {
            state.not_before = not_before;
        }
    }

    /// Releases all roles, and requests none any more. Returns those whose leases were in force,
    /// with the token of each.
    pub(super) fn release_all(&mut self, now: Time) -> Vec<(RoleName, FencingToken)> {
        let terms = self.terms;
        let released = |(role, mut state): (RoleName, RoleLease)| {
            let is_in_force = state.lease.check(now, terms).token().is_some();
            let token = state.lease.on_release().filter(|_| is_in_force)?;
            Some((role, token))
        };
        let leases = std::mem::take(&mut self.leases);
        leases.into_iter().filter_map(released).collect()
    }

    fn rejection_backoff(&self) -> Micros {
        self.terms.lease / 100 * REJECTION_BACKOFF_PERCENT
    }
}

/// The emulators and tests read these lines to judge who holds a role.
fn log_line(role: &RoleName, permission: Permission) -> String {
    match permission {
        Permission::Act(token, reason) => {
            format!("duty {}: held under fence {}: {reason}", role.0, token.0)
        }
        Permission::Refrain(reason) => format!("duty {}: not held: {reason}", role.0),
    }
}
