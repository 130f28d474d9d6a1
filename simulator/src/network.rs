//! The network: a delay for each link, loss, duplication, reordering, and partitions.
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

/// One-way delay within a zone, in microseconds.
const DELAY_WITHIN_ZONE_US: u64 = 150;
/// One-way delay between zones, in microseconds.
const DELAY_BETWEEN_ZONES_US: u64 = 500;
/// Upper bound of the random addition to a delay, in microseconds.
const JITTER_US: u64 = 150;
/// Upper bound of the random addition where messages are reordered, in microseconds.
const REORDER_DELAY_US: u64 = 30_000;

/// Harm to all links at once; probabilities are out of 1,000.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Harm {
    /// Probability that a message between control machines is lost.
    pub loss: u32,
    /// Probability that one is delivered twice.
    pub repeat: u32,
    /// Probability that later ones overtake it.
    pub reorder: u32,
    /// Microseconds that are added to each delay.
    pub delay: u64,
}

/// Number of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CutId(u64);

/// A partition: links that carry nothing.
#[derive(Clone, Debug)]
struct Cut {
    links: BTreeSet<(Host, Host)>,
    /// Whether messages are delivered when it ends; otherwise they are lost.
    holds: bool,
}

/// The arrival of a message.
#[derive(Clone, Debug)]
pub struct Arrival<P> {
    /// When it arrives.
    pub at: Time,
    /// The sender.
    pub from: Host,
    /// The receiver.
    pub to: Host,
    /// The message.
    pub packet: P,
}

/// A message that a partition holds up.
#[derive(Clone, Debug)]
struct DelayedMessage<P> {
    cut: CutId,
    from: Host,
    to: Host,
    packet: P,
}

/// All links.
#[derive(Debug)]
pub struct Network<P> {
    random: Rng,
    zones: BTreeMap<Host, u32>,
    harm: Harm,
    cuts: BTreeMap<CutId, Cut>,
    /// Number of the last partition.
    last_cut: u64,
    delayed: Vec<DelayedMessage<P>>,
    /// The last arrival on each link.
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
            last_cut: 0,
            delayed: Vec::new(),
            last: BTreeMap::new(),
        }
    }

    /// Sets the zone of a host.
    pub fn place(&mut self, host: Host, zone: u32) {
        self.zones.insert(host, zone);
    }

    /// Sets the harm to all links.
    pub fn set_harm(&mut self, harm: Harm) {
        self.harm = harm;
    }

    /// Begins a partition of these links.
    pub fn cut(&mut self, links: BTreeSet<(Host, Host)>, holds: bool) -> CutId {
        self.last_cut += 1;
        let id = CutId(self.last_cut);
        self.cuts.insert(id, Cut { links, holds });
        id
    }

    /// Ends a partition; returns the arrivals of the messages that it held up.
    pub fn heal(&mut self, now: Time, id: CutId) -> Vec<Arrival<P>> {
        self.cuts.remove(&id);
        let (released, delayed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|message| message.cut == id);
        self.delayed = delayed;
        released
            .into_iter()
            .flat_map(|message| self.send(now, message.from, message.to, message.packet, false))
            .collect()
    }

    /// Whether a message would arrive now, if it isn't lost by harm.
    pub fn reaches(&self, from: Host, to: Host) -> bool {
        self.blocking(from, to).is_none()
    }

    /// The first partition that takes a link.
    fn blocking(&self, from: Host, to: Host) -> Option<(CutId, &Cut)> {
        self.cuts
            .iter()
            .find(|(_, cut)| cut.links.contains(&(from, to)))
            .map(|(id, cut)| (*id, cut))
    }

    /// Sends a message; returns its arrivals. `lossy`: harm may lose, duplicate or reorder it.
    pub fn send(
        &mut self,
        now: Time,
        from: Host,
        to: Host,
        packet: P,
        lossy: bool,
    ) -> Vec<Arrival<P>> {
        if let Some((cut, Cut { holds, .. })) = self.blocking(from, to) {
            if *holds {
                self.delayed.push(DelayedMessage {
                    cut,
                    from,
                    to,
                    packet,
                });
            }
            return Vec::new();
        }
        if lossy && self.occurs(self.harm.loss) {
            return Vec::new();
        }
        let copies = if lossy && self.occurs(self.harm.repeat) {
            2
        } else {
            1
        };
        let overtaken = lossy && self.occurs(self.harm.reorder);
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
        let is_same_zone = self.zones.get(&from) == self.zones.get(&to);
        let base = if is_same_zone {
            DELAY_WITHIN_ZONE_US
        } else {
            DELAY_BETWEEN_ZONES_US
        };
        let at = now.after(base + self.random.u64(0..JITTER_US) + self.harm.delay);
        if overtaken {
            let at = at.after(self.random.u64(0..REORDER_DELAY_US));
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

    fn occurs(&mut self, of_thousand: u32) -> bool {
        of_thousand > 0 && self.random.u32(0..1_000) < of_thousand
    }
}
