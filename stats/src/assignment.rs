//! Open parts of a query, and the servers that are best for each.

use crate::SeededRng;

/// What a server is to the parts of a query that it could take; the lower rank is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerScore<R> {
    /// `None`: it takes nothing now.
    pub rank: Option<R>,
    /// Whether a part joins a call that was opened already, and whether it is in the own zone.
    pub joins_open_call: bool,
    /// See `joins_open_call`.
    pub near: bool,
}

/// One server that open parts of a query could go to.
struct Candidate<S, R> {
    server: S,
    bid: ServerScore<R>,
    /// Places of the parts that it could take, and of those that it is best for, both in order.
    holds: Vec<usize>,
    wanted: Vec<usize>,
}

/// The open parts of a query at the servers that are best for each. A bid changes only as something
/// is sent to its server, so that only the parts there are judged again.
pub struct PartAssignment<S, R> {
    /// In the order of their servers.
    candidates: Vec<Candidate<S, R>>,
    /// By bidder how much it is wanted: parts, joined, near; 0: no part is open there.
    keys: Vec<u64>,
    /// The parts in order, each with its bidders; none once it is sent.
    parts: Vec<(usize, Vec<usize>)>,
    /// Whether parts share calls.
    share: bool,
}

impl<S: Copy + Ord, R: Copy + Ord> PartAssignment<S, R> {
    /// All parts, in order, with the servers that could take each; `share`: a server that more
    /// parts can share is wanted more.
    pub fn new(
        parts: Vec<(usize, Vec<S>)>,
        share: bool,
        bid: impl Fn(S) -> ServerScore<R>,
    ) -> Self {
        debug_assert!(
            parts.is_sorted_by_key(|p| p.0),
            "places are found by search"
        );
        let pairs = parts
            .iter()
            .enumerate()
            .flat_map(|(at, (_, servers))| servers.iter().map(move |s| (*s, at)));
        let mut pairs: Vec<(S, usize)> = pairs.collect();
        pairs.sort_unstable();
        let mut candidates: Vec<Candidate<S, R>> = Vec::new();
        let mut places: Vec<(usize, Vec<usize>)> = parts
            .iter()
            .map(|(part, servers)| (*part, Vec::with_capacity(servers.len())))
            .collect();
        for (server, at) in pairs {
            if candidates.last().is_none_or(|b| b.server != server) {
                candidates.push(Candidate {
                    server,
                    bid: bid(server),
                    holds: Vec::new(),
                    wanted: Vec::new(),
                });
            }
            places[at].1.push(candidates.len() - 1);
            candidates
                .last_mut()
                .into_iter()
                .for_each(|b| b.holds.push(at));
        }
        let mut wanted = PartAssignment {
            keys: vec![0; candidates.len()],
            candidates,
            parts: places,
            share,
        };
        (0..wanted.parts.len()).for_each(|at| wanted.judge(at));
        wanted
    }
    fn set_key(&mut self, at: usize) {
        let b = &self.candidates[at];
        let count = if self.share {
            b.wanted.len()
        } else {
            usize::from(!b.wanted.is_empty())
        };
        let key =
            (count as u64) << 2 | u64::from(b.bid.joins_open_call) << 1 | u64::from(b.bid.near);
        self.keys[at] = if count > 0 { key } else { 0 };
    }
    /// Puts an open part to the servers that are best for it.
    fn judge(&mut self, part: usize) {
        let places = std::mem::take(&mut self.parts[part].1);
        let best = places
            .iter()
            .filter_map(|&b| self.candidates[b].bid.rank)
            .min();
        for &at in &places {
            let b = &mut self.candidates[at];
            let is_best = best.is_some() && b.bid.rank == best;
            match b.wanted.binary_search(&part) {
                Ok(place) if !is_best => drop(b.wanted.remove(place)),
                Err(place) if is_best => b.wanted.insert(place, part),
                _ => continue,
            }
            self.set_key(at);
        }
        self.parts[part].1 = places;
    }
    /// The server that is wanted most: of equals one that is joined, then a near one, then by
    /// chance. With the parts that it is best for.
    pub fn best(&self, dice: &mut SeededRng) -> Option<(S, Vec<usize>)> {
        let most = self.keys.iter().copied().max().filter(|&k| k > 0)?;
        let mut best = (0, 0);
        for (at, &key) in self.keys.iter().enumerate().filter(|(_, &key)| key > 0) {
            // Each open one has its draw, wanted most or not: chance does not depend on how it is
            // looked for.
            let windowed_random = (dice.0.u32(..), at);
            if key == most && windowed_random >= best {
                best = windowed_random;
            }
        }
        let best = &self.candidates[best.1];
        Some((
            best.server,
            best.wanted.iter().map(|&at| self.parts[at].0).collect(),
        ))
    }
    /// These parts were sent to a server, whose bid is now this.
    pub fn sent(&mut self, server: S, sent: &[usize], bid: ServerScore<R>) {
        for part in sent {
            let Ok(place) = self.parts.binary_search_by_key(part, |p| p.0) else {
                continue;
            };
            for at in std::mem::take(&mut self.parts[place].1) {
                self.candidates[at].wanted.retain(|&p| p != place);
                self.set_key(at);
            }
        }
        let Ok(at) = self.candidates.binary_search_by_key(&server, |b| b.server) else {
            return;
        };
        self.candidates[at].bid = bid;
        self.set_key(at);
        let mut holds = std::mem::take(&mut self.candidates[at].holds);
        holds.retain(|&part| !self.parts[part].1.is_empty());
        holds.iter().for_each(|&part| self.judge(part));
        self.candidates[at].holds = holds;
    }
}
