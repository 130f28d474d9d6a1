//! Figures of control groups, as tables: virtual time, and counts.

use lichenswitch_replication::Time;
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::world::{Action, Target, World, WorldSettings};

const SECOND_US: u64 = 1_000_000;
/// Sizes of groups that are measured, with the losses that each must bear.
const GROUPS: [(u32, u32); 4] = [(4, 1), (5, 1), (8, 2), (9, 2)];

/// Prints all tables.
pub(crate) fn print(runs: u64) {
    println!("Acknowledgement of an order, milliseconds of virtual time, from its first sending ({runs} runs each)");
    println!("| voters | orders | calm: median | calm: worst | after the primary's loss: median | worst |");
    println!("| --- | --- | --- | --- | --- | --- |");
    GROUPS
        .iter()
        .for_each(|(voters, tolerate)| print_acknowledgements(runs, *voters, *tolerate));
    println!();
    println!("Size of the state, and of the image that a wiped machine takes");
    println!("| changes | state, bytes | image, bytes | virtual time from its start until it holds it, ms |");
    println!("| --- | --- | --- | --- |");
    [10, 100, 1_000].into_iter().for_each(print_sizes);
    println!();
    println!("Messages and bytes that each control machine sends in a second");
    println!("| voters | idle: messages | idle: bytes | ten changes a second: messages | bytes |");
    println!("| --- | --- | --- | --- | --- |");
    GROUPS
        .iter()
        .for_each(|(voters, tolerate)| print_traffic(*voters, *tolerate));
}

fn group(seed: u64, voters: u32, tolerate: u32) -> WorldSettings {
    WorldSettings {
        voters,
        tolerate,
        ..WorldSettings::new(seed)
    }
}

/// Times from the first sending of orders to the acknowledgement, for those first sent in a stretch
/// of time; sorted.
fn acknowledgement_times_us(world: &World, from: Time, to: Time) -> Vec<u64> {
    let waited = world.oracle.orders().filter_map(|(_, entry)| {
        let (sent, acknowledged) = (entry.sent_at?, entry.acknowledged_at?);
        (from..to).contains(&sent).then(|| acknowledged.since(sent))
    });
    let mut waited: Vec<u64> = waited.collect();
    waited.sort_unstable();
    waited
}

fn print_acknowledgements(runs: u64, voters: u32, tolerate: u32) {
    let (mut calm, mut after_loss) = (Vec::new(), Vec::new());
    for seed in 0..runs {
        let mut world = World::new(group(seed, voters, tolerate));
        world.run_for(5 * SECOND_US);
        let begin = world.now();
        world.run_for(20 * SECOND_US);
        let loss = world.now();
        world.act_after(0, Action::PowerLossFor(Target::Primary, 20 * SECOND_US));
        world.run_for(10 * SECOND_US);
        assert_eq!(world.oracle.violations.first(), None, "seed {seed}");
        calm.extend(acknowledgement_times_us(
            &world,
            begin,
            Time(loss.0 - SECOND_US),
        ));
        after_loss.extend(acknowledgement_times_us(
            &world,
            Time(loss.0 - 10_000),
            loss.after(SECOND_US),
        ));
    }
    calm.sort_unstable();
    after_loss.sort_unstable();
    let orders = calm.len() + after_loss.len();
    let (calm, after_loss) = (
        format_median_and_worst(&calm),
        format_median_and_worst(&after_loss),
    );
    println!(
        "| {voters} | {orders} | {} | {} | {} | {} |",
        calm.0, calm.1, after_loss.0, after_loss.1
    );
}

/// Median and worst, in milliseconds.
fn format_median_and_worst(sorted: &[u64]) -> (String, String) {
    let milliseconds =
        |at: Option<&u64>| at.map_or("-".to_owned(), |at| format!("{:.1}", *at as f64 / 1e3));
    (
        milliseconds(sorted.get(sorted.len() / 2)),
        milliseconds(sorted.last()),
    )
}

fn print_sizes(changes: usize) {
    let pace = Pace {
        min_pause_us: 5_000,
        max_pause_us: 50_000,
        repeat_percent: 0,
        invalid_percent: 0,
        ..Pace::default()
    };
    let mut world = World::new(WorldSettings {
        pace,
        operators: 1,
        ..WorldSettings::new(1)
    });
    while world.oracle.acknowledgements().len() < changes {
        world.run_for(SECOND_US / 10);
    }
    world
        .operators_mut()
        .for_each(lichenswitch_simulator::callers::Operator::stop);
    world.run_for(6 * SECOND_US);
    let bytes = world.state_bytes();
    let (host, snapshots) = (world.resolve(Target::Other(1)), world.counts.snapshots);
    let Some(host) = host else { return };
    world.act_after(0, Action::Wipe(Target::This(host)));
    let started = run_until(&mut world, |world| {
        world
            .status(host)
            .is_some_and(|status| status.synced.is_none())
    });
    let received = run_until(&mut world, |world| world.counts.snapshots > snapshots);
    let took = started
        .zip(received)
        .map_or(f64::NAN, |(started, received)| {
            received.since(started) as f64 / 1e3
        });
    println!(
        "| {changes} | {bytes} | {} | {took:.1} |",
        world.counts.largest_snapshot
    );
}

/// Runs until something holds, at most 20 s; when it held.
fn run_until(world: &mut World, holds: impl Fn(&World) -> bool) -> Option<Time> {
    for _ in 0..200_000 {
        if holds(world) {
            return Some(world.now());
        }
        world.run_for(100);
    }
    None
}

fn print_traffic(voters: u32, tolerate: u32) {
    let (idle, busy) = (
        traffic(voters, tolerate, None),
        traffic(voters, tolerate, Some(10)),
    );
    println!(
        "| {voters} | {:.0} | {:.0} | {:.0} | {:.0} |",
        idle.0, idle.1, busy.0, busy.1
    );
}

/// Messages and bytes a second and machine, at so many changes a second.
fn traffic(voters: u32, tolerate: u32, changes: Option<u64>) -> (f64, f64) {
    let seconds = 20;
    let pause_us = changes.map_or(SECOND_US, |changes| SECOND_US / changes);
    let pace = Pace {
        min_pause_us: pause_us,
        max_pause_us: pause_us,
        repeat_percent: 0,
        invalid_percent: 0,
        ..Pace::default()
    };
    let settings = group(1, voters, tolerate);
    let mut world = World::new(WorldSettings {
        pace,
        operators: 1,
        readers: 0,
        ..settings
    });
    world.run_for(8 * SECOND_US);
    if changes.is_none() {
        world
            .operators_mut()
            .for_each(lichenswitch_simulator::callers::Operator::stop);
        world.run_for(3 * SECOND_US);
    }
    let before = world.counts.clone();
    world.run_for(seconds * SECOND_US);
    let per = |count: u64| count as f64 / seconds as f64 / f64::from(voters);
    (
        per(world.counts.messages - before.messages),
        per(world.counts.bytes - before.bytes),
    )
}
