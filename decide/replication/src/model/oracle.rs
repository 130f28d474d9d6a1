//! An oracle that compares the results reported to clients with the committed history.

use std::collections::{BTreeMap, BTreeSet};

use crate::*;

/// Replicated state of the model: all changes, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// Change numbers in the order of application.
    pub changes: Vec<u64>,
}

impl ReplicatedState for History {
    fn encode(&self) -> Vec<u8> {
        self.changes
            .iter()
            .flat_map(|change| change.to_le_bytes())
            .collect()
    }

    fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        if !bytes.len().is_multiple_of(8) {
            return Err(StateError::new("a history of half a change"));
        }
        let mut history = Self::default();
        for change in bytes.chunks(8) {
            history.apply(change)?;
        }
        Ok(history)
    }

    fn apply(&mut self, change: &[u8]) -> Result<(), StateError> {
        let change = change
            .try_into()
            .map_err(|_| StateError::new("a change is 8 bytes"))?;
        self.changes.push(u64::from_le_bytes(change));
        Ok(())
    }
}

/// A client request whose outcome the oracle checks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClientRequest {
    /// A proposal of the change with this number.
    Change(u64),
    /// A confirmation, which must cover at least this many changes.
    AtLeast(usize),
}

/// Record of what clients requested and what nodes reported, with the first violation found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Oracle {
    /// Longest history that any node has reported as committed.
    pub committed: Vec<u64>,
    /// Position of the longest committed history.
    pub position: Position,
    /// Changes that clients were told are committed.
    pub acknowledged: BTreeSet<u64>,
    /// Changes that clients were told will never be committed.
    pub rejected: BTreeSet<u64>,
    /// Number of confirmations that clients received.
    pub confirmed: u64,
    /// Description of the first violation; `None` if there was none.
    pub violation: Option<String>,
    requests: BTreeMap<(usize, RequestId), ClientRequest>,
    last_change: u64,
}

impl Oracle {
    /// Returns a change number that was not used before.
    pub fn next_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    pub(super) fn report_violation(&mut self, description: String) {
        self.violation.get_or_insert(description);
    }

    pub(super) fn on_request(&mut self, node: usize, request: RequestId, expected: ClientRequest) {
        self.requests.insert((node, request), expected);
    }

    /// Discards the requests of a node whose process has ended, as they will never be completed.
    pub(super) fn discard_requests(&mut self, node: usize) {
        self.requests
            .retain(|(requested_at, _), _| *requested_at != node);
    }

    /// Checks a history that a node reports as committed against the longest known one.
    pub(super) fn on_committed(&mut self, node: usize, position: Position, history: &[u64]) {
        let longest = &self.committed;
        let extends = history.len() >= longest.len() && history.starts_with(longest);
        if position >= self.position {
            if !extends {
                self.report_violation(format!(
                    "node {node} commits {history:?} at {position}, but {longest:?} was committed at {}",
                    self.position
                ));
                return;
            }
            self.check_rejected(node, history);
            self.committed = history.to_vec();
            self.position = position;
        } else if !longest.starts_with(history) {
            self.report_violation(format!(
                "node {node} commits {history:?} at {position}, beside {longest:?}"
            ));
        }
    }

    fn check_rejected(&mut self, node: usize, history: &[u64]) {
        let distinct: BTreeSet<u64> = history.iter().copied().collect();
        if distinct.len() != history.len() {
            self.report_violation(format!("node {node} commits a change twice: {history:?}"));
        }
        if let Some(change) = distinct.intersection(&self.rejected).next() {
            self.report_violation(format!(
                "node {node} commits change {change}, of which was said that it never will be"
            ));
        }
    }

    /// Checks the outcome of a completed request.
    pub(super) fn on_completed(
        &mut self,
        node: usize,
        request: RequestId,
        outcome: &Outcome,
        history: Vec<u64>,
    ) {
        // The requests of a process that has ended were discarded.
        let Some(expected) = self.requests.remove(&(node, request)) else {
            return;
        };
        match (expected, outcome) {
            (ClientRequest::Change(change), Outcome::Committed(_)) => {
                self.acknowledged.insert(change);
                if !self.committed.contains(&change) {
                    self.report_violation(format!(
                        "node {node} acknowledges {change}, which is not committed"
                    ));
                }
            }
            (ClientRequest::Change(change), Outcome::NotPrimary | Outcome::Rejected(_)) => {
                self.rejected.insert(change);
            }
            (ClientRequest::Change(_), Outcome::Unknown)
            | (ClientRequest::AtLeast(_), Outcome::NotPrimary) => {}
            (ClientRequest::AtLeast(least), Outcome::Confirmed(_)) => {
                self.confirmed += 1;
                if history.len() < least {
                    self.report_violation(format!(
                        "node {node} confirms {history:?}, but {least} changes were committed before it was asked"
                    ));
                }
            }
            (expected, outcome) => {
                self.report_violation(format!("node {node} settles {expected:?} by {outcome:?}"))
            }
        }
    }
}
