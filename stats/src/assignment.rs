//! Assignment of a query's open parts to the best server for each.

use crate::SeededRng;

/// Score of a server for the parts of a query that it could take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerScore<R> {
    /// Rank of the server, lower is better; `None` if it accepts nothing now.
    pub rank: Option<R>,
    /// Whether a part would join a call that is already open.
    pub joins_open_call: bool,
    /// Whether the server is in the zone of this instance.
    pub is_in_zone: bool,
}

/// Server that could take open parts of a query.
struct Candidate<S, R> {
    server: S,
    score: ServerScore<R>,
    /// Positions of the open parts that it could take, ascending.
    eligible: Vec<usize>,
    /// Positions of the open parts that it is the best server for, ascending.
    preferred: Vec<usize>,
}

/// Part and the indices of the candidates that could take it, empty once it is sent.
type OpenPart = (usize, Vec<usize>);

/// Assignment of the open parts of a query to the best servers. A score changes only when something
/// is sent to its server, so only the parts that this server could take are rated again.
pub struct PartAssignment<S, R> {
    /// Candidates, ordered by server.
    candidates: Vec<Candidate<S, R>>,
    /// Priority by candidate: number of parts, then joined call, then zone; 0 without open parts.
    keys: Vec<u64>,
    /// Open parts, ordered by index.
    parts: Vec<OpenPart>,
    /// Whether several parts can share one call.
    shares_calls: bool,
}

impl<S: Copy + Ord, R: Copy + Ord> PartAssignment<S, R> {
    /// Creates an assignment of `parts`, ordered by index, each with the servers that could take
    /// it. With `shares_calls`, servers that more parts can share come first.
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

    /// Updates which candidates are the best servers for an open part.
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

    /// Returns the server with the highest priority and the parts that it is best for. Ties go to a
    /// server with an open call, then to the own zone, then to a random one.
    pub fn best(&self, rng: &mut SeededRng) -> Option<(S, Vec<usize>)> {
        let most = self.keys.iter().copied().max().filter(|&key| key > 0)?;
        let mut best = (0, 0);
        for (at, &key) in self.keys.iter().enumerate().filter(|(_, &key)| key > 0) {
            // Every open candidate draws a number, so that the random sequence does not depend on
            // the order of the search.
            let draw = (rng.0.u32(..), at);
            if key == most && draw >= best {
                best = draw;
            }
        }
        let best = &self.candidates[best.1];
        let parts = best.preferred.iter().map(|&at| self.parts[at].0).collect();
        Some((best.server, parts))
    }

    /// Records that parts were sent to a server and updates its score.
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

    /// Removes a part from the open ones.
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

/// Returns the candidates in order with the parts that each could take, and the parts with the
/// candidates of each.
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
