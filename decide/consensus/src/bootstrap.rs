//! How the voters come to a genesis. Each chooses an identity when it starts without storage,
//! persists it, and announces it to the others. The first that knows the identities of all of them
//! fixes these in a genesis, which the others adopt. A voter whose identity is not the one that the
//! genesis names does not vote.

use crate::genesis::{Announcement, Genesis, VoterIdentity};
use std::collections::BTreeMap;
use std::fmt;

/// Whether a voter votes, and why not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapStatus {
    /// It has received no announcement yet of these voters.
    WaitingFor(Vec<String>),
    /// It is one of the genesis.
    Member,
    /// The genesis names its broker with this other identity: it does not vote.
    StorageLost(VoterIdentity),
    /// The genesis does not name its broker: it does not vote.
    NotMember,
}

impl fmt::Display for BootstrapStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootstrapStatus::WaitingFor(names) => {
                write!(f, "nothing was heard yet of {}", names.join(", "))
            }
            BootstrapStatus::Member => f.write_str("it is one of the voters"),
            BootstrapStatus::StorageLost(former) => write!(
                f,
                "the fleet knows {} by another memory: this one does not vote",
                former.name
            ),
            BootstrapStatus::NotMember => {
                f.write_str("the fleet has begun without it: it does not vote")
            }
        }
    }
}

/// One voter on its way to the genesis.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    own: VoterIdentity,
    /// The voters that the operators' file names, and the identities that they have announced.
    announced: BTreeMap<String, Option<VoterIdentity>>,
    genesis: Option<Genesis>,
    status: BootstrapStatus,
}

impl Bootstrap {
    /// The voter `own` among the voters of these names, which the operators' file lists; `genesis`:
    /// the one that it has persisted, if it has.
    ///
    /// ```
    /// use lichenswitch_consensus::bootstrap::{Bootstrap, BootstrapStatus};
    /// use lichenswitch_consensus::genesis::VoterIdentity;
    /// let identity = |name: &str, storage_id| VoterIdentity { name: name.into(), storage_id };
    /// let names: Vec<String> = ["a", "b", "c"].map(Into::into).into();
    /// let mut a = Bootstrap::new(identity("a", 1), &names, None);
    /// let mut b = Bootstrap::new(identity("b", 2), &names, None);
    /// let c = Bootstrap::new(identity("c", 3), &names, None);
    /// assert!(!a.on_announcement(&b.announcement()), "one is missing");
    /// assert!(a.on_announcement(&c.announcement()), "it knows all and has a genesis");
    /// assert!(b.on_announcement(&a.announcement()) && b.genesis() == a.genesis());
    /// // c returns without its storage, so with another identity.
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
            None => bootstrap.complete(),
        };
        bootstrap
    }

    /// The announcement to send to the other voters.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        Announcement {
            identity: self.own.clone(),
            genesis: self.genesis.clone(),
        }
    }

    /// The genesis by which it votes, if it does.
    #[must_use]
    pub fn genesis(&self) -> Option<&Genesis> {
        self.genesis.as_ref()
    }

    /// Whether it votes, or why not.
    #[must_use]
    pub fn status(&self) -> &BootstrapStatus {
        &self.status
    }

    /// Another voter has announced itself. Returns `true` if this one votes from now on, as soon as
    /// the genesis is persisted.
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
        // Guards against a second genesis: a voter that knows that there is one without it makes no
        // other.
        matches!(self.status, BootstrapStatus::WaitingFor(_)) && self.complete()
    }

    /// Adopts a genesis if it names this voter; tells whether it does.
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

    /// Makes the genesis if all voters have announced themselves; tells whether they have.
    fn complete(&mut self) -> bool {
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
