//! Exhaustive search by `stateright` of all orders of events to a limited depth, from states of a
//! group in which a hard case begins.
//!
//! A message that is not delivered by the end is lost or late; a clock that does not advance has
//! stopped or belongs to a frozen node. Clocks advance independently, so an election can begin at
//! any time. `REPLICATION_DEPTH` overrides the depth.

use lichenswitch_replication::model::walk::{deliver_everything, form_group, step_without_faults};
use lichenswitch_replication::model::{Action, World};
use lichenswitch_replication::{Fault, Faults, Settings};
use stateright::{Checker, Model, Property};

mod environment;
use environment::number;

/// Events that may still occur besides deliveries and syncs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    crashes: u8,
    wipes: u8,
    repeats: u8,
    proposals: u8,
    confirms: u8,
}

/// A world and the events that may still occur in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SearchState {
    world: World,
    budget: Budget,
}

/// A search from one initial state.
struct Search {
    initial: SearchState,
}

impl Model for Search {
    type State = SearchState;
    type Action = Action;

    fn init_states(&self) -> Vec<SearchState> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &SearchState, actions: &mut Vec<Action>) {
        let (world, budget) = (&state.world, &state.budget);
        actions.extend((0..world.network.len()).map(Action::Deliver));
        if budget.repeats > 0 {
            actions.extend((0..world.network.len()).map(Action::Repeat));
        }
        for (index, node) in world.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else {
                if node.incarnations > 0 {
                    actions.push(Action::Restart(index));
                }
                continue;
            };
            if !node.pending.is_empty() {
                actions.push(Action::Sync(index));
            }
            if budget.ticks > 0 {
                actions.push(Action::Tick(index));
            }
            if budget.crashes > 0 {
                actions.push(Action::Crash(index, 0));
                actions.extend((!node.pending.is_empty()).then_some(Action::Crash(index, 1)));
            }
            if budget.wipes > 0 {
                actions.push(Action::Wipe(index));
            }
            if budget.proposals > 0 && replica.is_serving() {
                actions.push(Action::Propose(index));
            }
            if budget.confirms > 0 && replica.is_serving() {
                actions.push(Action::Confirm(index));
            }
        }
    }

    fn next_state(&self, state: &SearchState, action: Action) -> Option<SearchState> {
        let mut next = state.clone();
        let budget = &mut next.budget;
        match &action {
            Action::Tick(_) => budget.ticks -= 1,
            Action::Crash(..) => budget.crashes -= 1,
            Action::Wipe(_) => budget.wipes -= 1,
            Action::Repeat(_) => budget.repeats -= 1,
            Action::Propose(_) => budget.proposals -= 1,
            Action::Confirm(_) => budget.confirms -= 1,
            _ => {}
        }
        next.world.act(&action);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "promises to clients hold",
            |_, state: &SearchState| state.world.oracle.violation.is_none(),
        )]
    }
}

const BUDGET: Budget = Budget {
    ticks: 2,
    crashes: 1,
    wipes: 0,
    repeats: 0,
    proposals: 1,
    confirms: 1,
};

/// Result of a search.
struct SearchResult {
    states: usize,
    violation: Option<String>,
}

fn search(name: &str, world: World, budget: Budget, depth: usize) -> SearchResult {
    let depth = number("REPLICATION_DEPTH", depth);
    let model = Search {
        initial: SearchState { world, budget },
    };
    let checker = model
        .checker()
        .threads(4)
        .target_max_depth(depth + 1)
        .spawn_bfs()
        .join();
    let path = checker.discovery("promises to clients hold");
    let violation = path.and_then(|path| path.last_state().world.oracle.violation.clone());
    let states = checker.unique_state_count();
    println!("{name}: {states} states to depth {depth}, {violation:?}");
    SearchResult { states, violation }
}

fn group(voters: usize, nodes: usize, faults: Faults) -> World {
    let mut world = World::new(
        Settings {
            faults,
            ..Settings::default()
        },
        nodes,
        1,
    );
    form_group(&mut world, voters);
    (0..5).for_each(|_| step_without_faults(&mut world, 10_000));
    world.act(&Action::Propose(0));
    deliver_everything(&mut world);
    world
}

/// Builds a state in which the others no longer receive from the primary, and a change that it sent
/// is in flight.
fn change_in_progress(voters: usize, faults: Faults) -> World {
    let mut world = group(voters, voters, faults);
    world.act(&Action::Propose(0));
    (1..voters).for_each(|index| world.act(&Action::Elapse(index, 900_000)));
    world
}

/// Builds a state in which the others no longer receive from the primary, one of them has just
/// chosen an epoch, and a change of the old primary is in flight.
fn election_in_progress(voters: usize, faults: Faults) -> World {
    let mut world = change_in_progress(voters, faults);
    let delayed = std::mem::take(&mut world.network);
    (1..voters).for_each(|index| world.act(&Action::Elapse(index, 200_000)));
    world.act(&Action::Tick(1));
    // The responses to its question arrive; what the old primary sent is still in flight.
    for _ in 0..2 {
        let separated = |from: usize, to: usize| from != 0 && to != 0;
        while let Some(at) = world
            .network
            .iter()
            .position(|envelope| separated(envelope.from, envelope.to))
        {
            world.act(&Action::Deliver(at));
        }
    }
    world.network.extend(delayed);
    world
}

/// Builds a state in which a learner has its snapshot and the joint record that names it is in
/// flight.
fn replacement_in_progress(faults: Faults) -> World {
    let mut world = group(3, 4, faults);
    world.act(&Action::Wipe(2));
    for _ in 0..120 {
        step_without_faults(&mut world, 10_000);
    }
    world.act(&Action::Restart(3));
    world.act(&Action::Tick(3));
    for _ in 0..200 {
        let joint = |node: &lichenswitch_replication::model::Node| {
            node.replica
                .as_ref()
                .is_some_and(|replica| replica.membership().is_joint())
        };
        if world.nodes.iter().any(joint) {
            return world;
        }
        if !world.network.is_empty() {
            world.act(&Action::Deliver(0));
        } else if let Some(index) = world.nodes.iter().position(|node| !node.pending.is_empty()) {
            world.sync(index);
        }
    }
    panic!("the learner is never named");
}

/// Builds a state in which the first node still considers itself primary and responses to its last
/// round are in flight to it, while a change of the two others is already acknowledged.
fn two_primaries(faults: Faults) -> World {
    let mut world = change_in_progress(3, faults);
    while let Some(at) = world.network.iter().position(|envelope| envelope.from == 0) {
        world.act(&Action::Deliver(at));
    }
    let delayed = std::mem::take(&mut world.network);
    (1..3).for_each(|index| world.sync(index));
    elect_and_commit(&mut world, 1, 2);
    world.network = delayed;
    world
}

/// Makes `primary` the primary by the grant of `other` and commits a change of theirs, of which the
/// third node receives nothing.
fn elect_and_commit(world: &mut World, primary: usize, other: usize) {
    let acknowledged = world.oracle.acknowledged.len();
    world.network.clear();
    world.act(&Action::Elapse(other, 2_000_000));
    world.act(&Action::Elapse(primary, 4_000_000));
    world.act(&Action::Tick(primary));
    for _ in 0..400 {
        if world.oracle.acknowledged.len() > acknowledged {
            return;
        }
        let both = [primary, other];
        let among = |envelope: &lichenswitch_replication::model::Envelope| {
            both.contains(&envelope.from) && both.contains(&envelope.to)
        };
        let replica = world.nodes[primary].replica.as_ref();
        let serves = replica.is_some_and(|replica| replica.is_serving() && replica.is_idle());
        if let Some(index) = both
            .into_iter()
            .find(|index| !world.nodes[*index].pending.is_empty())
        {
            world.sync(index);
        } else if serves {
            world.act(&Action::Propose(primary));
        } else if let Some(at) = world.network.iter().position(among) {
            world.act(&Action::Deliver(at));
        }
    }
    panic!("node {primary} does not become primary");
}

/// Builds the state of [`two_primaries`], except that the first node has been primary twice. The
/// responses in flight to it are from the first time, when it had reached a higher round.
fn twice_primary(faults: Faults) -> World {
    let mut world = group(3, 3, faults);
    for _ in 0..100 {
        step_without_faults(&mut world, 10_000);
    }
    world.act(&Action::Tick(0));
    while let Some(at) = world.network.iter().position(|envelope| envelope.from == 0) {
        world.act(&Action::Deliver(at));
    }
    let delayed = std::mem::take(&mut world.network);
    elect_and_commit(&mut world, 1, 2);
    deliver_everything(&mut world);
    elect_and_commit(&mut world, 0, 2);
    deliver_everything(&mut world);
    elect_and_commit(&mut world, 1, 2);
    world.network = delayed;
    world
}

fn assert_no_violation(name: &str, world: World, budget: Budget, depth: usize, min_states: usize) {
    let result = search(name, world, budget, depth);
    assert_eq!(result.violation, None, "{name}");
    assert!(
        result.states >= min_states,
        "{name}: only {} states",
        result.states
    );
}

#[test]
fn change_in_a_group_of_three() {
    assert_no_violation(
        "a change among three",
        change_in_progress(3, Faults::default()),
        BUDGET,
        6,
        10_000,
    );
}

#[test]
fn election_in_a_group_of_three() {
    assert_no_violation(
        "an election among three",
        election_in_progress(3, Faults::default()),
        BUDGET,
        5,
        10_000,
    );
}

#[test]
fn election_in_a_group_of_four() {
    assert_no_violation(
        "an election among four",
        election_in_progress(4, Faults::default()),
        BUDGET,
        5,
        10_000,
    );
}

#[test]
fn change_in_a_group_of_six() {
    assert_no_violation(
        "a change among six",
        change_in_progress(6, Faults::default()),
        BUDGET,
        4,
        5_000,
    );
}

#[test]
fn replacement_in_a_group_of_three() {
    let budget = Budget { wipes: 1, ..BUDGET };
    assert_no_violation(
        "a replacement among three",
        replacement_in_progress(Faults::default()),
        budget,
        5,
        5_000,
    );
}

#[test]
fn two_members_that_act_as_primary() {
    let budget = Budget {
        confirms: 2,
        repeats: 1,
        ..BUDGET
    };
    assert_no_violation(
        "two that say they are primary",
        two_primaries(Faults::default()),
        budget,
        5,
        10_000,
    );
}

#[test]
fn member_that_is_primary_a_second_time() {
    let budget = Budget {
        confirms: 2,
        repeats: 1,
        ..BUDGET
    };
    assert_no_violation(
        "one that is primary for the second time",
        twice_primary(Faults::default()),
        budget,
        5,
        10_000,
    );
}

fn assert_found(name: &str, world: World) {
    let result = search(name, world, BUDGET, 4);
    assert!(
        result.violation.is_some(),
        "{name} is not found among {} states",
        result.states
    );
}

#[test]
fn early_lease_is_found() {
    assert_found("early lease", two_primaries(Faults::of(Fault::EarlyLease)));
}

#[test]
fn confirmation_from_memory_is_found() {
    assert_found(
        "answer from memory",
        two_primaries(Faults::of(Fault::ConfirmFromMemory)),
    );
}

#[test]
fn counted_earlier_round_is_found() {
    assert_found(
        "older round",
        two_primaries(Faults::of(Fault::CountEarlierRound)),
    );
}

#[test]
fn counted_earlier_epoch_is_found() {
    assert_found(
        "older epoch",
        twice_primary(Faults::of(Fault::CountEarlierEpoch)),
    );
}
