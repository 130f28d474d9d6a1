//! Bootstraps a cluster: the voters agree on a genesis.
//!
//! A voter that starts without storage chooses an identity, persists it and announces it to the
//! other voters. The first voter that has received the identities of all voters creates the genesis
//! from them, and the others adopt it. A voter does not vote if the genesis lists its broker with a
//! different identity.

use crate::genesis::{Announcement, Genesis, VoterIdentity};
use std::collections::BTreeMap;
use std::fmt;

/// The progress of a voter's bootstrap: whether the voter votes, and if not, the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapStatus {
    /// No announcement has arrived yet from the voters with these names.
    WaitingFor(Vec<String>),
    /// The genesis lists this voter's identity, so it votes.
    Member,
    /// The genesis lists the broker with this other identity: the broker has lost its storage since
    /// then and does not vote.
    StorageLost(VoterIdentity),
    /// The genesis does not list the broker, so it does not vote.
    NotMember,
}

impl fmt::Display for BootstrapStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootstrapStatus::WaitingFor(names) => {
                write!(f, "no announcement received yet from {}", names.join(", "))
            }
            BootstrapStatus::Member => f.write_str("this broker is one of the voters"),
            BootstrapStatus::StorageLost(former) => write!(
                f,
                "the genesis lists {} with another storage id: this broker does not vote",
                former.name
            ),
            BootstrapStatus::NotMember => {
                f.write_str("the genesis does not list this broker: it does not vote")
            }
        }
    }
}

/// State machine of one voter's bootstrap, from its start to the adoption of a genesis.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    own: VoterIdentity,
    /// For each voter that the configuration lists, the identity that it has announced, if any.
    announced: BTreeMap<String, Option<VoterIdentity>>,
    genesis: Option<Genesis>,
    status: BootstrapStatus,
}

impl Bootstrap {
    /// Creates the bootstrap of the voter `own`. `names` are the names of all voters in the
    /// configuration; `genesis` is the genesis that this voter has persisted, if any.
    ///
    /// ```
    /// use lichenswitch_consensus::bootstrap::{Bootstrap, BootstrapStatus};
    /// use lichenswitch_consensus::genesis::VoterIdentity;
    /// let identity = |name: &str, storage_id| VoterIdentity { name: name.into(), storage_id };
    /// let names: Vec<String> = ["a", "b", "c"].map(Into::into).into();
    /// let mut a = Bootstrap::new(identity("a", 1), &names, None);
    /// let mut b = Bootstrap::new(identity("b", 2), &names, None);
    /// let c = Bootstrap::new(identity("c", 3), &names, None);
    /// assert!(!a.on_announcement(&b.announcement()), "the announcement of c is missing");
    /// assert!(a.on_announcement(&c.announcement()), "all are known: the genesis is created");
    /// assert!(b.on_announcement(&a.announcement()) && b.genesis() == a.genesis());
    /// // c restarts without its storage, and therefore with another identity.
    /// let mut c = Bootstrap::new(identity("c", 4), &names, None);
    /// assert!(!c.on_announcement(&a.announcement()));
    /// assert_eq!(c.status(), &BootstrapStatus::StorageLost(identity("c", 3)));
    /// ```
    #[must_use]
    pub fn new(own: VoterIdentity, names: &[String], genesis: Option<Genesis>) -> Bootstrap {
        let mut announced: BTreeMap<String, Option<VoterIdentity>> =
            names.iter().map(|name| (name.clone(), None)).collect();
        announced.insert(own.name.clone(), Some(own.clone()));
        let mut bootstrap = Bootstrap {
            own,
            announced,
            genesis: None,
            status: BootstrapStatus::WaitingFor(Vec::new()),
        };
        match genesis {
            Some(genesis) => bootstrap.adopt(&genesis),
            None => bootstrap.try_create_genesis(),
        };
        bootstrap
    }

    /// Returns the announcement to send to the other voters.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        Announcement {
            identity: self.own.clone(),
            genesis: self.genesis.clone(),
        }
    }

    /// Returns the adopted genesis; `None` while this voter does not vote.
    #[must_use]
    pub fn genesis(&self) -> Option<&Genesis> {
        self.genesis.as_ref()
    }

    /// Returns whether this voter votes, and if not, the reason.
    #[must_use]
    pub fn status(&self) -> &BootstrapStatus {
        &self.status
    }

    /// Handles the announcement of another voter. Returns `true` if this voter has now adopted a
    /// genesis; it votes once the caller has persisted the genesis.
    pub fn on_announcement(&mut self, announcement: &Announcement) -> bool {
        if self.genesis.is_some() {
            return false;
        }
        if let Some(genesis) = &announcement.genesis {
            return self.adopt(genesis);
        }
        if let Some(identity) = self.announced.get_mut(&announcement.identity.name) {
            *identity = Some(announcement.identity.clone());
        }
        // Prevents a second genesis: a voter that has seen a genesis without its own identity must
        // not create another one.
        matches!(self.status, BootstrapStatus::WaitingFor(_)) && self.try_create_genesis()
    }

    /// Adopts a genesis if it lists this voter's identity. Returns whether it was adopted.
    fn adopt(&mut self, genesis: &Genesis) -> bool {
        self.status = match genesis.voter(&self.own.name) {
            Some(voter) if *voter == self.own => BootstrapStatus::Member,
            Some(voter) => BootstrapStatus::StorageLost(voter.clone()),
            None => BootstrapStatus::NotMember,
        };
        if self.status == BootstrapStatus::Member {
            self.genesis = Some(genesis.clone());
        }
        self.genesis.is_some()
    }

    /// Creates and adopts the genesis once all voters have announced themselves. Returns whether
    /// this voter has a genesis.
    fn try_create_genesis(&mut self) -> bool {
        let missing = self.announced.iter().filter(|(_, id)| id.is_none());
        let missing: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
        if !missing.is_empty() {
            self.status = BootstrapStatus::WaitingFor(missing);
            return false;
        }
        let genesis = Genesis(self.announced.values().flatten().cloned().collect());
        self.adopt(&genesis)
    }
}

#[cfg(test)]
mod tests;
