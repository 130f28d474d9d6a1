//! `scale`: the cost of `core` and the module per part, by parts of a query, data nodes and queries a
//! second.

use crate::world::{Mix, NodeFaults, Scenario, Totals, World, MS};
use lichenswitch::decide::phases::Planner;
use lichenswitch::interface::{
    Class, Discovery, Layout, Limits, RetrySafety, Settings, SlowStart, FIRST_SHARE,
};
use serde::Serialize;

/// One line of the table.
#[derive(Serialize)]
pub struct Row {
    /// Parts of a query.
    pub parts: u32,
    /// Data nodes.
    pub nodes: u32,
    /// Queries a second.
    pub rate: f64,
    /// Microseconds on the machine's clock in `core` and the module per part, turns included.
    pub us_per_part: f64,
    /// Longest turn.
    pub worst_turn_ms: f64,
    /// Digest of all commands, in hexadecimal: the same before and after a change that changes no
    /// decision.
    pub digest: String,
    /// Share of the queries that were answered whole.
    pub whole_share: f64,
}

/// All lines.
#[derive(Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The lines.
    pub rows: Vec<Row>,
}

/// Settings of a broker whose queries go to all replicas of many shards.
#[must_use]
pub fn settings(nodes: u32, shards: u32) -> Settings {
    let class = Class {
        latency_target: 1_500 * MS,
        deadline: 4_000 * MS,
        retry_safety: RetrySafety::Safe,
        value: 1.0,
        late_share: 0.1,
        need: 1.0,
        floor: 1.0,
        partial: 0.9,
        second_step: 0,
        first_share: FIRST_SHARE,
        attempts: None,
    };
    Settings {
        classes: vec![class],
        limits: Limits {
            attempts: 4,
            max_held: 1_000_000,
            may_cancel: true,
            may_probe: false,
            second_copies: true,
            retry_after: Some(2_000 * MS),
            budget: None,
        },
        layout: Layout {
            cells: nodes,
            width: 2,
            shards,
            parts_a_call: 8,
        },
        discovery: Discovery::Push,
        slow_start: SlowStart {
            share: 0.32,
            warm_after: 18_000 * MS,
            fall_multiple: 3.0,
            fall_after: 1_000 * MS,
        },
        resolution: 5 * MS,
        ..Settings::default()
    }
}

/// Simulates one size of query, without failures, and with data nodes that are never short of cores.
#[must_use]
pub fn play(seed: u64, parts: u32, nodes: u32, rate: f64, seconds: f64) -> Totals {
    let scenario = Scenario {
        seconds,
        rate,
        nodes,
        cores: 4_096,
        call_overhead: 0,
        mix: vec![Mix {
            share: 1.0,
            parts,
            work_ms: 60.0,
            second: 1.0,
            cv: 0.3,
            top: None,
        }],
        node_faults: NodeFaults::default(),
        network_delay: 500,
    };
    let mut world = World::new(
        seed,
        scenario,
        settings(nodes, nodes.max(400)),
        Planner::default(),
    );
    world.play();
    world.totals
}

/// Which lines are simulated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Only {
    /// With so many parts; `None`: all.
    pub parts: Option<u32>,
    /// With so many data nodes.
    pub nodes: Option<u32>,
    /// With so many queries a second.
    pub rate: Option<f64>,
}

impl Only {
    fn selects(&self, parts: u32, nodes: u32, rate: f64) -> bool {
        self.parts.is_none_or(|p| p == parts)
            && self.nodes.is_none_or(|n| n == nodes)
            && self.rate.is_none_or(|r| (r - rate).abs() < 1e-9)
    }
}

/// Each line is the cheapest of so many runs: other processes take time of the machine.
const RUNS: usize = 3;

/// Simulates all sizes.
#[must_use]
pub fn run(seed: u64, only: &Only) -> Report {
    let mut rows = Vec::new();
    for nodes in [12, 400, 2_000] {
        for parts in [4, 50, 200] {
            for rate in [50.0, 200.0] {
                if !only.selects(parts, nodes, rate) {
                    continue;
                }
                // As many parts for each line, so that each is timed alike.
                let seconds = 120_000.0 / rate / f64::from(parts);
                let cheapest = |totals: &Totals| totals.wall_time;
                let runs = (0..RUNS).map(|_| play(seed, parts, nodes, rate, seconds));
                let Some(totals) = runs.min_by_key(cheapest) else {
                    continue;
                };
                rows.push(Row {
                    parts,
                    nodes,
                    rate,
                    us_per_part: totals.wall_time.as_secs_f64() * 1e6 / totals.parts.max(1) as f64,
                    worst_turn_ms: totals.worst_turn.as_secs_f64() * 1e3,
                    digest: format!("{:016x}", totals.digest),
                    whole_share: totals.whole as f64 / totals.queries.max(1) as f64,
                });
            }
        }
    }
    Report { seed, rows }
}

/// The table as text.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut text = format!(
        "{:>6} {:>6} {:>6} {:>12} {:>14} {:>6}  digest\n",
        "nodes", "parts", "rate", "us a part", "worst turn ms", "whole"
    );
    for r in &report.rows {
        text += &format!(
            "{:>6} {:>6} {:>6} {:>12.2} {:>14.2} {:>6.3}  {}\n",
            r.nodes, r.parts, r.rate, r.us_per_part, r.worst_turn_ms, r.whole_share, r.digest
        );
    }
    text
}
