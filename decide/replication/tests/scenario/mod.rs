//! Helpers shared by the scenarios in virtual time.
#![allow(dead_code)]

use std::collections::BTreeSet;

use lichenswitch_replication::model::timed::TimedWorld;
use lichenswitch_replication::{MembershipChange, Notice, Settings};

pub const SECOND: u64 = 1_000_000;

pub fn group_of_four(nodes: usize) -> TimedWorld {
    TimedWorld::with_group(Settings::default(), 4, nodes, 1)
}

pub fn serving_node(timed: &TimedWorld) -> usize {
    timed.world.serving_node().expect("a primary serves")
}

pub fn other_voters(timed: &TimedWorld) -> Vec<usize> {
    let primary = serving_node(timed);
    let named = &timed.world.nodes[primary]
        .replica
        .as_ref()
        .expect("it runs")
        .membership()
        .voters;
    let named: BTreeSet<_> = named.iter().map(|member| member.identity).collect();
    let nodes = timed.world.nodes.iter().enumerate();
    let runs = nodes.filter(|(at, node)| *at != primary && node.replica.is_some());
    runs.filter(|(_, node)| named.contains(&node.identity))
        .map(|(at, _)| at)
        .collect()
}

pub fn assert_no_violation(timed: &TimedWorld) {
    assert_eq!(timed.world.oracle.violation, None);
}

pub fn membership_changes(timed: &mut TimedWorld) -> Vec<MembershipChange> {
    let notices = timed.world.notices.replace(Vec::new()).unwrap_or_default();
    let change = |(_, notice)| match notice {
        Notice::MembershipChange { change, .. } => Some(change),
        _ => None,
    };
    notices.into_iter().filter_map(change).collect()
}
