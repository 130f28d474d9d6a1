//! Who the voters are. A voter is its name and its memory: one whose memory is lost is another one,
//! and what it promised under the former is not known to it any more. So each draws an identity
//! when it begins without memory, keeps it, and tells it to the others; the first that has heard of
//! all of them names them in a genesis, which never changes. Whoever comes with another identity
//! than the genesis names does not vote.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A voter with its memory.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The broker's name.
    pub name: String,
    /// Drawn when its memory began; not 0.
    pub memory: u64,
}

/// The voters of a fleet, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Genesis(Vec<Identity>);

impl Genesis {
    /// The voters.
    #[must_use]
    pub fn voters(&self) -> &[Identity] {
        &self.0
    }

    /// Tells one genesis from another (FNV-1a, 64 bits, of names and memories).
    #[must_use]
    pub fn digest(&self) -> u64 {
        let bytes = self
            .0
            .iter()
            .flat_map(|v| v.name.bytes().chain([0]).chain(v.memory.to_be_bytes()));
        bytes.fold(0xcbf2_9ce4_8422_2325, |hash, b| {
            (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        })
    }
}

/// What a voter says of itself to the others until all have begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// It.
    pub identity: Identity,
    /// The genesis that it goes by, if it has begun.
    pub begun: Option<Genesis>,
}

/// Whether a voter votes, and why not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has not heard of all the others yet: of these.
    Waits(Vec<String>),
    /// It is one of the genesis.
    Named,
    /// The fleet has begun with another memory of it: it does not vote.
    Forgot(Identity),
    /// The fleet has begun without one of its name.
    Unnamed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Waits(names) => write!(f, "nothing was heard yet of {}", names.join(", ")),
            Reason::Named => f.write_str("it is one of the voters"),
            Reason::Forgot(was) => {
                write!(
                    f,
                    "the fleet knows {} by another memory: this one does not vote",
                    was.name
                )
            }
            Reason::Unnamed => f.write_str("the fleet has begun without it: it does not vote"),
        }
    }
}

/// One voter's way to the genesis.
#[derive(Clone, Debug)]
pub struct Gather {
    own: Identity,
    heard: BTreeMap<String, Option<Identity>>,
    begun: Option<Genesis>,
    why: Reason,
}

impl Gather {
    /// The voter `own` of those named, which the operators' file names; `begun`: the genesis that
    /// it has kept.
    ///
    /// ```
    /// use lichenswitch_consensus::genesis::{Gather, Identity, Reason};
    /// let own = |name: &str, memory| Identity { name: name.into(), memory };
    /// let names: Vec<String> = ["a", "b", "c"].map(Into::into).into();
    /// let mut a = Gather::new(own("a", 1), &names, None);
    /// let mut b = Gather::new(own("b", 2), &names, None);
    /// let c = Gather::new(own("c", 3), &names, None);
    /// assert!(!a.on_announcement(&b.announcement()), "one is missing");
    /// assert!(a.on_announcement(&c.announcement()), "it has just begun");
    /// assert!(b.on_announcement(&a.announcement()) && b.genesis() == a.genesis());
    /// // c comes back without its memory: it is another one.
    /// let mut c = Gather::new(own("c", 4), &names, None);
    /// assert!(!c.on_announcement(&a.announcement()));
    /// assert_eq!(c.why(), &Reason::Forgot(own("c", 3)));
    /// ```
    #[must_use]
    pub fn new(own: Identity, names: &[String], begun: Option<Genesis>) -> Gather {
        let mut heard: BTreeMap<String, Option<Identity>> =
            names.iter().map(|n| (n.clone(), None)).collect();
        heard.insert(own.name.clone(), Some(own.clone()));
        let mut gather = Gather {
            own,
            heard,
            begun: None,
            why: Reason::Waits(Vec::new()),
        };
        match begun {
            Some(genesis) => drop(gather.adopt(&genesis)),
            None => drop(gather.complete()),
        }
        gather
    }

    /// What it announces of itself.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        Announcement {
            identity: self.own.clone(),
            begun: self.begun.clone(),
        }
    }

    /// The genesis by which it votes, if it does.
    #[must_use]
    pub fn genesis(&self) -> Option<&Genesis> {
        self.begun.as_ref()
    }

    /// Whether it votes, or why not.
    #[must_use]
    pub fn why(&self) -> &Reason {
        &self.why
    }

    /// Another voter has announced itself. `true`: this one votes from now on, once it has kept the
    /// genesis.
    pub fn on_announcement(&mut self, announcement: &Announcement) -> bool {
        if self.begun.is_some() {
            return false;
        }
        if let Some(genesis) = &announcement.begun {
            return self.adopt(genesis);
        }
        if let Some(place) = self.heard.get_mut(&announcement.identity.name) {
            *place = Some(announcement.identity.clone());
        }
        // Guards against a second genesis: who knows that the fleet has begun without it gathers no
        // other.
        matches!(self.why, Reason::Waits(_)) && self.complete()
    }

    fn adopt(&mut self, genesis: &Genesis) -> bool {
        let named = genesis.0.iter().find(|v| v.name == self.own.name);
        self.why = match named {
            Some(v) if *v == self.own => Reason::Named,
            Some(v) => Reason::Forgot(v.clone()),
            None => Reason::Unnamed,
        };
        if self.why == Reason::Named {
            self.begun = Some(genesis.clone());
        }
        self.begun.is_some()
    }

    fn complete(&mut self) -> bool {
        let missing = self
            .heard
            .iter()
            .filter(|(_, heard)| heard.is_none())
            .map(|(name, _)| name.clone());
        let missing: Vec<String> = missing.collect();
        if !missing.is_empty() {
            self.why = Reason::Waits(missing);
            return false;
        }
        let genesis = Genesis(self.heard.values().flatten().cloned().collect());
        self.adopt(&genesis)
    }
}

#[cfg(test)]
mod tests;
