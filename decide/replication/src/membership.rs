//! The voters of a group, and their quorums.

use std::collections::BTreeSet;

use rkyv::{Archive, Deserialize, Serialize};

use crate::types::{Identity, Member};

/// The voters; while a change is in progress, the voters before it as well (Raft's joint consensus).
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Membership {
    /// The voters, in the order of their identities.
    pub voters: Vec<Member>,
    /// The voters before the change that is in progress, if one is: then a quorum is a majority of
    /// both.
    pub outgoing: Option<Vec<Member>>,
}

impl Membership {
    /// A membership without a change in progress.
    pub fn new(voters: impl IntoIterator<Item = Member>) -> Self {
        let mut voters: Vec<Member> = voters.into_iter().collect();
        voters.sort();
        Self {
            voters,
            outgoing: None,
        }
    }

    /// The joint membership on the way from this one to `voters`.
    pub fn joint(&self, voters: impl IntoIterator<Item = Member>) -> Self {
        debug_assert!(
            self.outgoing.is_none(),
            "one change of membership at a time"
        );
        Self {
            outgoing: Some(self.voters.clone()),
            ..Self::new(voters)
        }
    }

    /// The membership that follows a joint one.
    pub fn finalized(&self) -> Self {
        Self {
            voters: self.voters.clone(),
            outgoing: None,
        }
    }

    /// Whether a change is in progress.
    pub fn is_joint(&self) -> bool {
        self.outgoing.is_some()
    }

    /// Whether `present` contains a majority of the voters, and of the outgoing ones.
    pub fn is_quorum(&self, present: &BTreeSet<Identity>) -> bool {
        let majority = |members: &[Member]| {
            count_present(members, present) >= majority_of(members.len()) && !members.is_empty()
        };
        majority(&self.voters) && self.outgoing.as_deref().is_none_or(majority)
    }

    /// Whether `present` contains half of the voters: a quorum that is too small, for a planted
    /// fault.
    pub(crate) fn is_half(&self, present: &BTreeSet<Identity>) -> bool {
        count_present(&self.voters, present) * 2 >= self.voters.len()
    }

    /// Whether it names this identity, before or after the change that is in progress.
    pub fn contains(&self, identity: Identity) -> bool {
        self.member(identity).is_some()
    }

    /// The member of this identity.
    pub fn member(&self, identity: Identity) -> Option<&Member> {
        self.all().find(|member| member.identity == identity)
    }

    /// All members that it names: the voters, then the outgoing ones that are removed.
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

/// Least number of `voters` that is more than half.
pub fn majority_of(voters: usize) -> usize {
    voters / 2 + 1
}
