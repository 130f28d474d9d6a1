//! `two-phase`: queries of two phases with the planner off, as the settings alone have it, and on.

use crate::scale;
use crate::world::{Mix, NodeFaults, Scenario, Totals, World, MS};
use lichenswitch::decide::phases::{Planner, Rules};
use lichenswitch::interface::{Class, Layout, RetrySafety, Settings, FIRST_SHARE};
use serde::Serialize;
use std::collections::BTreeMap;

/// The figures of one scenario with the planner on or off.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Queries that arrived.
    pub queries: u64,
    /// Share answered within the latency target.
    pub on_time_share: f64,
    /// Share answered whole.
    pub whole_share: f64,
    /// Value earned, as a share of the value of all queries.
    pub worth_share: f64,
    /// Work of the second phase.
    pub second_work_ms: f64,
    /// Of it, done after the query's latency target.
    pub second_waste_after_aim_ms: f64,
    /// Parts sent in the second phase, copies included, for each query of two phases.
    pub second_parts_per_query: f64,
    /// Answers under the least share.
    pub below_floor: u64,
    /// Answers marked whole that are not.
    pub falsely_whole: u64,
    /// Queries without exactly one final answer in time.
    pub lost: u64,
    /// Sorted answers marked whole that differ from those of one big server.
    pub wrong: u64,
}

/// All scenarios.
#[derive(Debug, PartialEq, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Virtual seconds of each scenario in which queries arrive; `large` has a tenth of them.
    pub seconds: f64,
    /// Figures by scenario, then by variant.
    pub scenarios: BTreeMap<&'static str, BTreeMap<&'static str, Figures>>,
}

/// The names of the scenarios.
pub const SCENARIOS: [&str; 4] = ["calm", "late-first", "skewed", "large"];

fn class(latency_target: u64, deadline: u64, value: f64, floor: f64, second_step: u32) -> Class {
    Class {
        latency_target: latency_target * MS,
        deadline: deadline * MS,
        retry_safety: RetrySafety::Safe,
        value,
        late_share: 0.1,
        need: 1.0,
        floor,
        partial: 0.8,
        second_step,
        first_share: FIRST_SHARE,
        attempts: None,
    }
}

/// Reports, of two phases, and searches.
fn classes() -> Vec<Class> {
    vec![
        class(2_500, 7_500, 3.0, 0.8, 5),
        class(1_500, 4_000, 1.0, 1.0, 0),
    ]
}

fn mix(share: f64, parts: u32, work_ms: f64) -> Mix {
    Mix {
        share,
        parts,
        work_ms,
        second: 0.6,
        cv: 0.35,
        top: None,
    }
}

/// Queries of two phases.
fn reports() -> Mix {
    mix(0.3, 6, 94.0)
}

/// Queries of one phase.
fn searches() -> Mix {
    mix(0.7, 4, 74.0)
}

/// The scenario without faults, which the others vary.
fn calm(seconds: f64) -> Scenario {
    Scenario {
        seconds,
        rate: 14.0,
        nodes: 12,
        cores: 2,
        call_overhead: 48 * MS,
        mix: vec![reports(), searches()],
        node_faults: NodeFaults::default(),
        network_delay: 700,
    }
}

/// The settings of a broker for this many cells and shards.
fn settings(cells: u32, shards: u32) -> Settings {
    Settings {
        classes: classes(),
        layout: Layout {
            cells,
            width: 2,
            shards,
            parts_a_call: 8,
        },
        ..scale::settings(cells, shards)
    }
}

/// First phases that are late at a quarter of the data nodes.
fn late_first(seconds: f64) -> (Scenario, Settings) {
    // The second phase is heavy, and the time that the first one takes is missing there.
    let reports = Mix {
        second: 8.0,
        ..reports()
    };
    let node_faults = NodeFaults {
        share: 0.25,
        slow_first: 20.0,
        pause_ms: 350.0,
        pause_every_s: 3.0,
    };
    let scenario = Scenario {
        node_faults,
        rate: 2.0,
        mix: vec![reports, searches()],
        ..calm(seconds)
    };
    (scenario, settings(12, 24))
}

/// Sorted answers, most of whose elements are in a few slices.
fn skewed(seconds: f64) -> (Scenario, Settings) {
    let top = Mix {
        parts: 24,
        work_ms: 20.0,
        top: Some(10),
        ..reports()
    };
    let scenario = Scenario {
        mix: vec![top, searches()],
        rate: 6.0,
        call_overhead: 10 * MS,
        ..calm(seconds)
    };
    let mut settings = settings(12, 24);
    // A sorted answer requests all slices that can have any of its elements.
    settings.classes[0].second_step = 24;
    (scenario, settings)
}

/// Two data nodes in each of 200 cells.
fn large(seconds: f64) -> (Scenario, Settings) {
    let scenario = Scenario {
        seconds: seconds / 10.0,
        rate: 1_000.0,
        nodes: 400,
        cores: 4,
        call_overhead: MS,
        mix: vec![mix(0.3, 50, 8.0), mix(0.7, 20, 6.0)],
        ..calm(seconds)
    };
    let mut settings = settings(200, 200);
    settings.layout.width = 1;
    (scenario, settings)
}

/// The scenario with this name, and its settings; `calm` for any other name.
#[must_use]
pub fn scenario(name: &str, seconds: f64) -> (Scenario, Settings) {
    match name {
        "late-first" => late_first(seconds),
        "skewed" => skewed(seconds),
        "large" => large(seconds),
        _ => (calm(seconds), settings(12, 24)),
    }
}

/// The rules of the planner for the classes of two phases, with the settings that operators get by
/// default.
#[must_use]
pub fn rules(settings: &Settings, prune: bool) -> Vec<Option<Rules>> {
    let of = |class: &Class| {
        (class.second_step > 0).then(|| Rules {
            prune,
            ..Rules::of(class)
        })
    };
    settings.classes.iter().map(of).collect()
}

/// Simulates a scenario with the planner on or off. Sorted answers need a planner: where it is off, it
/// requests all slices.
#[must_use]
pub fn play(seed: u64, name: &str, seconds: f64, is_planner_on: bool) -> (Totals, Figures) {
    let (scenario, mut settings) = scenario(name, seconds);
    let has_sorted_answers = scenario.mix.iter().any(|mix| mix.top.is_some());
    let planner = if is_planner_on || has_sorted_answers {
        let rules = rules(&settings, is_planner_on);
        for (class, rules) in settings.classes.iter_mut().zip(&rules) {
            class.first_share = rules.as_ref().map_or(class.first_share, |r| r.first_share);
        }
        Planner::new(rules)
    } else {
        Planner::default()
    };
    let mut world = World::new(seed, scenario, settings, planner);
    world.play();
    let figures = Figures::of(&world.totals);
    (world.totals, figures)
}

impl Figures {
    fn of(totals: &Totals) -> Figures {
        let share = |part: f64, of: f64| if of > 0.0 { part / of } else { 0.0 };
        let queries = totals.queries as f64;
        Figures {
            queries: totals.queries,
            on_time_share: share(totals.on_time as f64, queries),
            whole_share: share(totals.whole as f64, queries),
            worth_share: share(totals.earned, totals.asked),
            second_work_ms: totals.second_work as f64 / 1e3,
            second_waste_after_aim_ms: totals.second_after_target as f64 / 1e3,
            second_parts_per_query: share(totals.second_parts as f64, totals.two_phase as f64),
            below_floor: totals.below_floor,
            falsely_whole: totals.falsely_whole,
            lost: totals.lost,
            wrong: totals.wrong,
        }
    }
}

/// Simulates all scenarios, or one of them.
#[must_use]
pub fn run(seed: u64, seconds: f64, only: Option<&str>) -> Report {
    let mut scenarios = BTreeMap::new();
    for name in SCENARIOS
        .into_iter()
        .filter(|name| only.is_none_or(|only| only == *name))
    {
        let variants = [("off", false), ("on", true)];
        let played = variants.map(|(variant, on)| (variant, play(seed, name, seconds, on).1));
        scenarios.insert(name, played.into_iter().collect());
    }
    Report {
        seed,
        seconds,
        scenarios,
    }
}

/// The table as text.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut text = format!(
        "{:>11} {:>4} {:>8} {:>8} {:>7} {:>7} {:>12} {:>10} {:>7} {:>6} {:>6} {:>5} {:>5}\n",
        "scenario",
        "",
        "queries",
        "on time",
        "whole",
        "worth",
        "second ms",
        "after aim",
        "parts",
        "floor",
        "false",
        "lost",
        "wrong"
    );
    for (name, variants) in &report.scenarios {
        for (variant, f) in variants {
            text += &format!(
                "{name:>11} {variant:>4} {:>8} {:>8.4} {:>7.4} {:>7.4} {:>12.0} {:>10.0} {:>7.2} {:>6} {:>6} {:>5} {:>5}\n",
                f.queries,
                f.on_time_share,
                f.whole_share,
                f.worth_share,
                f.second_work_ms,
                f.second_waste_after_aim_ms,
                f.second_parts_per_query,
                f.below_floor,
                f.falsely_whole,
                f.lost,
                f.wrong,
            );
        }
    }
    text
}
