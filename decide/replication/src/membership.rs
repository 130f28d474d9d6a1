//! The voters of a group and the rule for quorums.

use std::collections::BTreeSet;

use rkyv::{Archive, Deserialize, Serialize};

use crate::types::{Identity, Member};

/// The voters of a group. While a change is in progress, it also holds the previous voters (Raft's
/// joint consensus).
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Membership {
    /// The voters, sorted by identity.
    pub voters: Vec<Member>,
    /// The voters before the change that is in progress, if any. A quorum then needs a majority of
    /// both sets.
    pub outgoing: Option<Vec<Member>>,
}

impl Membership {
    /// Creates a membership without a change in progress.
    pub fn new(voters: impl IntoIterator<Item = Member>) -> Self {
        let mut voters: Vec<Member> = voters.into_iter().collect();
        voters.sort();
        Self {
            voters,
            outgoing: None,
        }
    }

    /// Returns the joint membership for a change from this one to `voters`.
    pub fn joint(&self, voters: impl IntoIterator<Item = Member>) -> Self {
        debug_assert!(
            self.outgoing.is_none(),
            "another change of membership is in progress"
        );
        Self {
            outgoing: Some(self.voters.clone()),
            ..Self::new(voters)
        }
    }

    /// Returns the membership that ends a joint one: its new voters alone.
    pub fn finalized(&self) -> Self {
        Self {
            voters: self.voters.clone(),
            outgoing: None,
        }
    }

    /// Whether a change of membership is in progress.
    pub fn is_joint(&self) -> bool {
        self.outgoing.is_some()
    }

    /// Whether `present` contains a majority of the voters and, during a change, of the outgoing
    /// voters.
    pub fn is_quorum(&self, present: &BTreeSet<Identity>) -> bool {
        let has_majority = |members: &[Member]| {
            count_present(members, present) >= majority_of(members.len()) && !members.is_empty()
        };
        has_majority(&self.voters) && self.outgoing.as_deref().is_none_or(has_majority)
    }

    /// Whether `present` contains at least half of the voters, which is not a safe quorum. Used
    /// only by a planted fault.
    pub(crate) fn has_half(&self, present: &BTreeSet<Identity>) -> bool {
        count_present(&self.voters, present) * 2 >= self.voters.len()
    }

    /// Whether the membership includes this identity, before or after a change in progress.
    pub fn contains(&self, identity: Identity) -> bool {
        self.member(identity).is_some()
    }

    /// Returns the member with this identity, before or after a change in progress.
    pub fn member(&self, identity: Identity) -> Option<&Member> {
        self.all().find(|member| member.identity == identity)
    }

    /// Iterates over all members: the voters, then the outgoing voters that the change removes.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        let outgoing = self.outgoing.iter().flatten();
        let removed = outgoing.filter(|old| {
            self.voters
                .iter()
                .all(|voter| voter.identity != old.identity)
        });
        self.voters.iter().chain(removed)
    }
}

fn count_present(members: &[Member], present: &BTreeSet<Identity>) -> usize {
    members
        .iter()
        .filter(|member| present.contains(&member.identity))
        .count()
}

/// Returns the smallest number that is more than half of `voters`.
pub fn majority_of(voters: usize) -> usize {
    voters / 2 + 1
}
