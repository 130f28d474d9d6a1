//! Who votes, and what a quorum of them is.

use std::collections::BTreeSet;

use rkyv::{Archive, Deserialize, Serialize};

use crate::types::{Identity, Member};

/// The voters; while a change is under way, the ones before it as well.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq, Hash)]
#[rkyv(attr(allow(missing_docs)))]
pub struct Membership {
    /// The voters, in the order of their identities.
    pub voters: Vec<Member>,
    /// The voters before the change that is under way, if one is: then both must have a majority.
    pub outgoing: Option<Vec<Member>>,
}

impl Membership {
    /// A membership that is not under change.
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

    /// What follows a joint membership.
    pub fn finished(&self) -> Self {
        Self {
            voters: self.voters.clone(),
            outgoing: None,
        }
    }

    /// Whether a change is under way.
    pub fn is_joint(&self) -> bool {
        self.outgoing.is_some()
    }

    /// Whether `present` holds a majority of the voters, and of the outgoing ones.
    pub fn quorum(&self, present: &BTreeSet<Identity>) -> bool {
        let majority = |members: &[Member]| {
            count_present(members, present) >= majority_of(members.len()) && !members.is_empty()
        };
        majority(&self.voters) && self.outgoing.as_deref().is_none_or(majority)
    }

    /// Whether it names this identity, before or after the change that is under way.
    pub fn names(&self, identity: Identity) -> bool {
        self.member(identity).is_some()
    }

    /// The member of this identity.
    pub fn member(&self, identity: Identity) -> Option<&Member> {
        self.all().find(|member| member.identity == identity)
    }

    /// All that it names: the voters, then those outgoing ones that don't stay.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        let gone = self.outgoing.iter().flatten();
        let gone = gone.filter(|old| {
            self.voters
                .iter()
                .all(|voter| voter.identity != old.identity)
        });
        self.voters.iter().chain(gone)
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
