//! Assigns the open parts of a query to the servers that are best for each.

use crate::SeededRng;

/// How a server rates for the parts of a query that it could take; the lower rank is preferred.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerScore<R> {
    /// `None`: it takes nothing now.
    pub rank: Option<R>,
    /// Whether a part joins a call that was opened already.
    pub joins_open_call: bool,
    /// Whether it is in the zone of this instance.
    pub is_in_zone: bool,
}

/// One server that open parts of a query could go to.
struct Candidate<S, R> {
    server: S,
    score: ServerScore<R>,
    /// Positions of the open parts that it could take, in order.
    eligible: Vec<usize>,
    /// Positions of the open parts that it is best for, in order.
    preferred: Vec<usize>,
}

/// A part, and the indices of the candidates that could take it; none once it is sent.
type OpenPart = (usize, Vec<usize>);

/// The open parts of a query at the servers that are best for each. A score changes only as
/// something is sent to its server, so that only the parts there are rated again.
pub struct PartAssignment<S, R> {
    /// In the order of their servers.
    candidates: Vec<Candidate<S, R>>,
    /// By candidate, how much a send there brings: parts, joined, in zone; 0: no part is open there.
    keys: Vec<u64>,
    /// In order.
    parts: Vec<OpenPart>,
    /// Whether parts share calls.
    shares_calls: bool,
}

impl<S: Copy + Ord, R: Copy + Ord> PartAssignment<S, R> {
    /// All parts, in order, with the servers that could take each; `shares_calls`: a server that
    /// more parts can share comes before others.
    pub fn new(
        parts: &[(usize, Vec<S>)],
        shares_calls: bool,
        score: impl Fn(S) -> ServerScore<R>,
    ) -> Self {
        debug_assert!(
            parts.is_sorted_by_key(|p| p.0),
            "positions are found by binary search"
        );
        let (candidates, parts) = candidates_of(parts, score);
        let mut assignment = PartAssignment {
            keys: vec![0; candidates.len()],
            candidates,
            parts,
            shares_calls,
        };
        (0..assignment.parts.len()).for_each(|at| assignment.update_preferred(at));
        assignment
    }

    fn set_key(&mut self, at: usize) {
        let candidate = &self.candidates[at];
        let count = if self.shares_calls {
            candidate.preferred.len()
        } else {
            usize::from(!candidate.preferred.is_empty())
        };
        let score = &candidate.score;
        let key = (count as u64) << 2
            | u64::from(score.joins_open_call) << 1
            | u64::from(score.is_in_zone);
        self.keys[at] = if count > 0 { key } else { 0 };
    }

    /// Puts an open part to the servers that are best for it.
    fn update_preferred(&mut self, part: usize) {
        let indices = std::mem::take(&mut self.parts[part].1);
        let best = indices
            .iter()
            .filter_map(|&at| self.candidates[at].score.rank)
            .min();
        for &at in &indices {
            let candidate = &mut self.candidates[at];
            let is_best = best.is_some() && candidate.score.rank == best;
            match candidate.preferred.binary_search(&part) {
                Ok(position) if !is_best => drop(candidate.preferred.remove(position)),
                Err(position) if is_best => candidate.preferred.insert(position, part),
                _ => continue,
            }
            self.set_key(at);
        }
        self.parts[part].1 = indices;
    }

    /// The server that a send brings most at, with the parts that it is best for: of equals one
    /// whose call is joined, then one in the own zone, then by chance.
    pub fn best(&self, rng: &mut SeededRng) -> Option<(S, Vec<usize>)> {
        let most = self.keys.iter().copied().max().filter(|&key| key > 0)?;
        let mut best = (0, 0);
        for (at, &key) in self.keys.iter().enumerate().filter(|(_, &key)| key > 0) {
            // Each open one has its draw, best or not: chance does not depend on how the best is
            // looked for.
            let draw = (rng.0.u32(..), at);
            if key == most && draw >= best {
                best = draw;
            }
        }
        let best = &self.candidates[best.1];
        let parts = best.preferred.iter().map(|&at| self.parts[at].0).collect();
        Some((best.server, parts))
    }

    /// These parts were sent to a server, whose score is now this.
    pub fn on_sent(&mut self, server: S, sent: &[usize], score: ServerScore<R>) {
        for part in sent {
            self.remove(*part);
        }
        let Ok(at) = self.candidates.binary_search_by_key(&server, |c| c.server) else {
            return;
        };
        self.candidates[at].score = score;
        self.set_key(at);
        let mut eligible = std::mem::take(&mut self.candidates[at].eligible);
        eligible.retain(|&part| !self.parts[part].1.is_empty());
        eligible
            .iter()
            .for_each(|&part| self.update_preferred(part));
        self.candidates[at].eligible = eligible;
    }

    /// A part is open no more.
    fn remove(&mut self, part: usize) {
        let Ok(position) = self.parts.binary_search_by_key(&part, |p| p.0) else {
            return;
        };
        for at in std::mem::take(&mut self.parts[position].1) {
            self.candidates[at].preferred.retain(|&p| p != position);
            self.set_key(at);
        }
    }
}

/// The servers of all parts in order, each with the parts that it could take, and the other way
/// round.
fn candidates_of<S: Copy + Ord, R>(
    parts: &[(usize, Vec<S>)],
    score: impl Fn(S) -> ServerScore<R>,
) -> (Vec<Candidate<S, R>>, Vec<OpenPart>) {
    let pairs = parts
        .iter()
        .enumerate()
        .flat_map(|(at, (_, servers))| servers.iter().map(move |server| (*server, at)));
    let mut pairs: Vec<(S, usize)> = pairs.collect();
    pairs.sort_unstable();
    let mut candidates: Vec<Candidate<S, R>> = Vec::new();
    let mut open: Vec<OpenPart> = parts
        .iter()
        .map(|(part, servers)| (*part, Vec::with_capacity(servers.len())))
        .collect();
    for (server, at) in pairs {
        if candidates.last().is_none_or(|last| last.server != server) {
            candidates.push(Candidate {
                server,
                score: score(server),
                eligible: Vec::new(),
                preferred: Vec::new(),
            });
        }
        open[at].1.push(candidates.len() - 1);
        if let Some(last) = candidates.last_mut() {
            last.eligible.push(at);
        }
    }
    (candidates, open)
}
