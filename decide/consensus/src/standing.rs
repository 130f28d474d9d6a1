//! Where a broker stands in its fleet, as it knows of itself: whether a majority of the voters has
//! heard it of late. It counts like the holder of a lease: from before it asked, on a clock that
//! does not stop, less the drift. So who is joined by its own count has been heard by a majority
//! within a lease, whatever the network held back, and one that wakes after a stop knows that it is
//! not.

use lichenswitch_interface::{Micros, Time};
use lichenswitch_lease::Terms;
use std::collections::BTreeMap;
use std::fmt;

/// So many asks are remembered: what is answered later than that counts for nothing.
const ASKS: usize = 16;
/// It asks again after this many hundredths of a lease: two more asks fit into the rest.
const AGAIN: u64 = 30;
/// After so many leases without a majority it is cut off, and not only doubtful.
const CUT_OFF: u64 = 3;

/// See the variants; each is worse than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// A majority of the voters has heard it within its lease.
    Joined,
    /// No majority has, and not for long: it may be the broker, the voters or the way.
    Doubtful,
    /// No majority has for several leases, or never did.
    CutOff,
    /// The fleet's voters are of another genesis than the one that it has known.
    Stranger,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Standing::Joined => "joined",
            Standing::Doubtful => "doubtful",
            Standing::CutOff => "cut off",
            Standing::Stranger => "a stranger",
        })
    }
}

/// Why it stands so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// So many of so many voters have heard it within the lease.
    Heard(usize, usize),
    /// The last majority heard it so long ago (microseconds).
    Silent(Micros),
    /// No majority has ever heard it.
    Never,
    /// A voter goes by the second genesis, where the first was known.
    Begun(u64, u64),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Heard(of, all) => {
                write!(f, "{of} of {all} voters have heard it within its lease")
            }
            Reason::Silent(ago) => {
                write!(
                    f,
                    "the last majority of the voters heard it {} ms ago",
                    ago / 1_000
                )
            }
            Reason::Never => f.write_str("no majority of the voters has heard it yet"),
            Reason::Begun(known, now) => {
                write!(
                    f,
                    "the fleet has begun anew: genesis {now:x}, and {known:x} was known"
                )
            }
        }
    }
}

/// One broker's count of who has heard it.
///
/// ```
/// use lichenswitch_consensus::standing::{Hearing, Standing};
/// use lichenswitch_lease::Terms;
/// use lichenswitch_interface::Time;
///
/// let terms = Terms { lease: 3_000_000, drift: 20_000 };
/// let mut hearing = Hearing::new(3, terms);
/// let ask = hearing.on_ask(Time(0));
/// hearing.on_answer("n0", ask, 7);
/// assert_eq!(hearing.standing(Time(5)).0, Standing::CutOff, "one of three is no majority");
/// hearing.on_answer("n1", ask, 7);
/// assert_eq!(hearing.standing(Time(2_000_000)).0, Standing::Joined);
/// assert_eq!(hearing.standing(Time(3_000_000)).0, Standing::Doubtful, "it counts from the ask");
/// ```
#[derive(Clone, Debug)]
pub struct Hearing {
    voters: usize,
    terms: Terms,
    number: u64,
    /// When the last asks were made.
    asks: BTreeMap<u64, Time>,
    /// Of each voter, when the last ask was made that it has answered.
    heard: BTreeMap<String, Time>,
    genesis: Option<u64>,
    other: Option<u64>,
}

impl Hearing {
    /// Nobody of so many voters has heard it yet; it stands by leases of these terms.
    #[must_use]
    pub fn new(voters: usize, terms: Terms) -> Hearing {
        let (asks, heard) = (BTreeMap::new(), BTreeMap::new());
        Hearing {
            voters,
            terms,
            number: 0,
            asks,
            heard,
            genesis: None,
            other: None,
        }
    }

    /// When it is to ask all voters next.
    #[must_use]
    pub fn ask_at(&self) -> Time {
        self.asks
            .values()
            .next_back()
            .map_or(Time(0), |at| at.plus(self.terms.held() / 100 * AGAIN))
    }

    /// It asks all voters now; tells the number that answers have to name.
    pub fn on_ask(&mut self, now: Time) -> u64 {
        self.number += 1;
        self.asks.insert(self.number, now);
        while self.asks.len() > ASKS {
            self.asks.pop_first();
        }
        self.number
    }

    /// A voter that votes has answered, by this genesis.
    pub fn on_answer(&mut self, voter: &str, number: u64, genesis: u64) {
        let known = *self.genesis.get_or_insert(genesis);
        if known != genesis {
            self.other = Some(genesis);
            return;
        }
        // Guards against answers that the network held back, and doubled ones: an older ask takes
        // nothing from a later one.
        if let Some(at) = self.asks.get(&number) {
            let last = self.heard.entry(voter.into()).or_insert(*at);
            *last = (*last).max(*at);
        }
    }

    /// Where it stands, and why.
    #[must_use]
    pub fn standing(&self, now: Time) -> (Standing, Reason) {
        if let (Some(known), Some(other)) = (self.genesis, self.other) {
            return (Standing::Stranger, Reason::Begun(known, other));
        }
        let mut asked: Vec<Time> = self.heard.values().copied().collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let Some(majority) = asked.get(self.voters / 2).copied() else {
            return (Standing::CutOff, Reason::Never);
        };
        let (held, silent) = (self.terms.held(), now.since(majority));
        // A clock that went back tells nothing.
        if silent < held && now >= majority {
            let within = asked.iter().filter(|at| now.since(**at) < held).count();
            return (Standing::Joined, Reason::Heard(within, self.voters));
        }
        let standing = if silent < CUT_OFF * self.terms.awaited() {
            Standing::Doubtful
        } else {
            Standing::CutOff
        };
        (standing, Reason::Silent(silent))
    }
}

#[cfg(test)]
mod tests;
