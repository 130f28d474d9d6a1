//! Faults of the network: partitions, harm to all links, and lost responses to callers.

use std::collections::BTreeSet;

use super::super::{CutKind, Event, Target, Undo, World};
use crate::network::{CutId, Harm, Host};

impl World {
    /// Partitions the machines that these targets mean from the rest for `duration` microseconds.
    /// Of 100 callers `callers_bound` reach only the targets, and as many only the rest.
    pub(super) fn cut(
        &mut self,
        targets: &[Target],
        kind: CutKind,
        duration: u64,
        holds: bool,
        callers_bound: u32,
    ) {
        let side: BTreeSet<Host> = self.resolve_all(targets).into_iter().collect();
        let rest: BTreeSet<Host> = self
            .present_machines()
            .into_iter()
            .filter(|host| !side.contains(host))
            .collect();
        let mut links = links_between(&side, &rest, kind);
        for caller in self.callers() {
            let percentile = self.random.u32(0..100);
            let unreachable = match percentile {
                _ if percentile < callers_bound => &rest,
                _ if percentile < 2 * callers_bound => &side,
                _ => continue,
            };
            links.extend(
                unreachable
                    .iter()
                    .flat_map(|host| [(caller, *host), (*host, caller)]),
            );
        }
        let id = self.network.cut(links, holds);
        self.scheduler.after(duration, Event::Undo(Undo::Heal(id)));
    }

    /// Ends a partition; messages that it held up arrive.
    pub(super) fn heal(&mut self, cut: CutId) {
        for arrival in self.network.heal(self.now(), cut) {
            self.scheduler.at(arrival.at, Event::Arrive(arrival));
        }
    }

    /// All links are harmed for so many microseconds.
    pub(super) fn harm(&mut self, harm: Harm, duration: u64) {
        self.is_network_harmed = true;
        self.network.set_harm(harm);
        self.scheduler.after(duration, Event::Undo(Undo::Harm));
    }

    pub(super) fn end_harm(&mut self) {
        self.is_network_harmed = false;
        self.network.set_harm(Harm::default());
    }

    /// Responses to callers are lost for so many microseconds.
    pub(super) fn lose_replies(&mut self, duration: u64) {
        self.are_replies_lost = true;
        self.scheduler.after(duration, Event::Undo(Undo::Replies));
    }
}

/// The links that a partition of this kind between two sides takes.
fn links_between(
    side: &BTreeSet<Host>,
    rest: &BTreeSet<Host>,
    kind: CutKind,
) -> BTreeSet<(Host, Host)> {
    let reached = match kind {
        CutKind::Partial => 1,
        CutKind::Full | CutKind::Outgoing | CutKind::Incoming => rest.len(),
    };
    let pairs = side
        .iter()
        .flat_map(|one| rest.iter().take(reached).map(move |other| (*one, *other)));
    let links = pairs.flat_map(|(one, other)| match kind {
        CutKind::Full | CutKind::Partial => vec![(one, other), (other, one)],
        CutKind::Outgoing => vec![(one, other)],
        CutKind::Incoming => vec![(other, one)],
    });
    links.collect()
}
