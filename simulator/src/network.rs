//! The network: delay for each link, loss, repeats, reorder, and cuts.
//!
//! A link is a pair of hosts in one direction. Without harm, what is sent on a link arrives in the
//! order in which it was sent.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use fastrand::Rng;
use lichenswitch_replication::Time;

/// An end of links: a control machine, an operator, a reader, or a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host(pub u32);

impl fmt::Display for Host {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "h{}", self.0)
    }
}

/// Delay on one way within a zone, in microseconds.
const WITHIN_ZONE: u64 = 150;
/// Delay on one way between zones.
const BETWEEN_ZONES: u64 = 500;
/// Most that is added to a delay at random.
const JITTER: u64 = 150;
/// Most that is added where messages are reordered.
const REORDER: u64 = 30_000;

/// What is wrong with all links at once; chances out of 1,000.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Harm {
    /// Chance that a message between control machines is lost.
    pub loss: u32,
    /// Chance that one comes twice.
    pub repeat: u32,
    /// Chance that one is overtaken.
    pub reorder: u32,
    /// Microseconds that are added to each delay.
    pub delay: u64,
}

/// Number of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CutId(u64);

/// Links that carry nothing.
#[derive(Clone, Debug)]
struct Cut {
    links: BTreeSet<(Host, Host)>,
    /// What is sent meanwhile comes when the cut ends; else it is lost.
    holds: bool,
}

/// A message that arrives.
#[derive(Clone, Debug)]
pub struct Arrival<P> {
    /// When.
    pub at: Time,
    /// From where.
    pub from: Host,
    /// Where.
    pub to: Host,
    /// What.
    pub packet: P,
}

/// All links.
#[derive(Debug)]
pub struct Network<P> {
    random: Rng,
    zones: BTreeMap<Host, u32>,
    harm: Harm,
    cuts: BTreeMap<CutId, Cut>,
    next_cut: u64,
    delayed: Vec<(CutId, Host, Host, P)>,
    last: BTreeMap<(Host, Host), Time>,
}

impl<P: Clone> Network<P> {
    /// Links without harm.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Rng::with_seed(seed),
            zones: BTreeMap::new(),
            harm: Harm::default(),
            cuts: BTreeMap::new(),
            next_cut: 0,
            delayed: Vec::new(),
            last: BTreeMap::new(),
        }
    }

    /// Where a host stands.
    pub fn place(&mut self, host: Host, zone: u32) {
        self.zones.insert(host, zone);
    }

    /// Sets what is wrong with all links.
    pub fn set_harm(&mut self, harm: Harm) {
        self.harm = harm;
    }

    /// Cuts links.
    pub fn cut(&mut self, links: BTreeSet<(Host, Host)>, holds: bool) -> CutId {
        self.next_cut += 1;
        let id = CutId(self.next_cut);
        self.cuts.insert(id, Cut { links, holds });
        id
    }

    /// Ends a cut; what it held up arrives.
    pub fn heal(&mut self, now: Time, id: CutId) -> Vec<Arrival<P>> {
        self.cuts.remove(&id);
        let (released, delayed) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|delayed| delayed.0 == id);
        self.delayed = delayed;
        let released: Vec<(CutId, Host, Host, P)> = released;
        released
            .into_iter()
            .flat_map(|(_, from, to, packet)| self.send(now, from, to, packet, false))
            .collect()
    }

    /// Whether a message would get through now.
    pub fn reaches(&self, from: Host, to: Host) -> bool {
        self.blocking(from, to).is_none()
    }

    fn blocking(&self, from: Host, to: Host) -> Option<(CutId, bool)> {
        let mut cuts = self
            .cuts
            .iter()
            .filter(|(_, cut)| cut.links.contains(&(from, to)));
        cuts.next().map(|(id, cut)| (*id, cut.holds))
    }

    /// Sends a message; where it may be `lossy`, harm applies to it in full.
    pub fn send(
        &mut self,
        now: Time,
        from: Host,
        to: Host,
        packet: P,
        lossy: bool,
    ) -> Vec<Arrival<P>> {
        if let Some((cut, holds)) = self.blocking(from, to) {
            if holds {
                self.delayed.push((cut, from, to, packet));
            }
            return Vec::new();
        }
        if lossy && self.chance(self.harm.loss) {
            return Vec::new();
        }
        let copies = if lossy && self.chance(self.harm.repeat) {
            2
        } else {
            1
        };
        let overtaken = lossy && self.chance(self.harm.reorder);
        (0..copies)
            .map(|_| self.arrival(now, from, to, packet.clone(), overtaken))
            .collect()
    }

    fn arrival(
        &mut self,
        now: Time,
        from: Host,
        to: Host,
        packet: P,
        overtaken: bool,
    ) -> Arrival<P> {
        let same = self.zones.get(&from) == self.zones.get(&to);
        let base = if same { WITHIN_ZONE } else { BETWEEN_ZONES };
        let at = now.after(base + self.random.u64(0..JITTER) + self.harm.delay);
        if overtaken {
            let at = at.after(self.random.u64(0..REORDER));
            return Arrival {
                at,
                from,
                to,
                packet,
            };
        }
        let last = self.last.entry((from, to)).or_default();
        let at = at.max(*last);
        *last = at;
        Arrival {
            at,
            from,
            to,
            packet,
        }
    }

    fn chance(&mut self, of_thousand: u32) -> bool {
        of_thousand > 0 && self.random.u32(0..1_000) < of_thousand
    }
}
