//! The lease, checked in all reachable states of a small world: two brokers that request one role,
//! a voter with a clock of its own, an agreed log whose entries it learns of with any delay, and a
//! receiver. Requests and answers are delayed, lost and duplicated; brokers pause between their
//! check and their effect. What is checked is the code that runs: `HolderLease`, `GrantTable` and
//! `FencingGuard`.

use super::fencing::{FencingGuard, Verdict};
use super::grant_table::{GrantTable, LeaseCommand, Outcome};
use super::holder_lease::HolderLease;
use super::{FencingToken, LeaseHolder, LeaseTerms, RoleName};
use lichenswitch_interface::Time;
use stateright::{Checker, Model, Property};

/// A fault in the rules, planted to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    Nothing,
    /// The drift of clocks is ignored.
    NoDrift,
    /// A lease is counted from the answer.
    CountedFromResponse,
    /// The end of a lease counts though a renewal came first.
    LateRenewal,
    /// The receiver checks no token.
    NoFencing,
}

/// One step of time in microseconds, and the bounds of the world: steps, and requests of each
/// broker.
const STEP_MICROS: u64 = 1_000;
const MAX_STEPS: u64 = 5;
const MAX_REQUESTS: [u64; 2] = [2, 1];
/// The longest path that is explored, in actions.
const MAX_DEPTH: usize = 16;
/// Three steps, and clocks that are a tenth off.
const TERMS: LeaseTerms = LeaseTerms {
    lease: 3_000,
    drift: 100_000,
};

struct World {
    planted: PlantedFault,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    steps: u64,
    log: Vec<LeaseCommand>,
    /// What a voter knows, and how many entries of the log it has applied.
    voters: [(GrantTable, usize); 1],
    leases: [HolderLease; 2],
    /// Requests in flight: the broker, and the request's number.
    requests: Vec<(usize, u64)>,
    /// Answers in flight: the broker, the request's number, the token or a rejection. They are
    /// never removed: each may arrive late, twice, or not at all.
    answers: Vec<(usize, u64, Option<FencingToken>)>,
    /// Effects in flight, whose check has passed: the broker, and its token.
    effects: Vec<(usize, FencingToken)>,
    guard: FencingGuard,
    /// The highest token of an effect that was accepted, and whether one was accepted with a lower
    /// token than one before it.
    last_token: FencingToken,
    stale_accepted: bool,
    any_accepted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    AdvanceTime,
    /// A broker sends a request.
    Request(usize),
    /// The request at this index reaches the log.
    Append(usize),
    /// A voter applies its next entry of the log.
    Apply(usize),
    /// A voter proposes that a lease has expired.
    Expire(usize),
    /// The answer at this index arrives.
    Answer(usize),
    /// A broker checks its lease and sends an effect.
    Check(usize),
    /// The effect at this index arrives.
    Effect(usize),
    /// A broker releases the role.
    Release(usize),
}

impl World {
    fn terms(&self) -> LeaseTerms {
        let ignores_drift = self.planted == PlantedFault::NoDrift;
        LeaseTerms {
            drift: if ignores_drift { 0 } else { TERMS.drift },
            ..TERMS
        }
    }

    /// The brokers' clocks are slow by a tenth: the worst that the terms allow.
    fn broker_clock(state: &State) -> Time {
        Time(1_000_000 + state.steps * STEP_MICROS * 90 / 100)
    }

    /// The voters' clocks are fast by a tenth.
    fn voter_clock(state: &State) -> Time {
        Time(1_000_000 + state.steps * STEP_MICROS * 110 / 100)
    }

    /// The token under which a broker may act now, if it may.
    fn permission(&self, state: &State, broker: usize) -> Option<FencingToken> {
        let now = Self::broker_clock(state);
        state.leases[broker].check(now, self.terms()).token()
    }

    fn role() -> RoleName {
        RoleName("d".into())
    }

    fn holder(broker: usize) -> LeaseHolder {
        LeaseHolder {
            name: format!("b{broker}"),
            incarnation: 1,
        }
    }

    fn request(state: &mut State, broker: usize) -> Option<()> {
        let now = Self::broker_clock(state);
        let number = state.leases[broker].on_request(now);
        if number > MAX_REQUESTS[broker] {
            return None;
        }
        state.requests.push((broker, number));
        Some(())
    }

    fn append(state: &mut State, at: usize) -> Option<()> {
        let (broker, number) = state.requests.remove(at);
        let command = LeaseCommand::Acquire(Self::role(), Self::holder(broker));
        state.log.push(command);
        // What the complete log leads to is the answer, whenever a voter learns of it.
        let mut grants = GrantTable::default();
        let outcomes = state.log.iter().map(|c| grants.apply(Time(0), c));
        let token = match outcomes.last()? {
            Outcome::Granted(token, _) | Outcome::Renewed(token) => Some(token),
            _ => None,
        };
        state.answers.push((broker, number, token));
        Some(())
    }

    fn apply(state: &mut State, voter: usize) -> Option<()> {
        let now = Self::voter_clock(state);
        let command = state.log.get(state.voters[voter].1)?.clone();
        state.voters[voter].0.apply(now, &command);
        state.voters[voter].1 += 1;
        Some(())
    }

    fn expire(&self, state: &mut State, voter: usize) -> Option<()> {
        let now = Self::voter_clock(state);
        let grants = &state.voters[voter].0;
        let mut command = grants.expired(now, self.terms()).pop()?;
        if state.log.contains(&command) {
            return None;
        }
        if let (PlantedFault::LateRenewal, LeaseCommand::Expire(_, token, _)) =
            (self.planted, &command)
        {
            command = LeaseCommand::Release(Self::role(), *token);
        }
        state.log.push(command);
        Some(())
    }

    fn answer(&self, state: &mut State, at: usize) -> Option<()> {
        let now = Self::broker_clock(state);
        let (broker, number, token) = state.answers[at];
        let lease = &mut state.leases[broker];
        let before = lease.clone();
        match token {
            Some(token) => {
                let is_granted = lease.on_grant(number, token);
                if is_granted && self.planted == PlantedFault::CountedFromResponse {
                    let mut late = before.clone();
                    let repeated = late.on_request(now);
                    late.on_grant(repeated, token);
                    *lease = late;
                }
            }
            None => lease.on_rejection(number),
        }
        (*lease != before).then_some(())
    }

    fn check(&self, state: &mut State, broker: usize) -> Option<()> {
        let effect = (broker, self.permission(state, broker)?);
        if state.effects.contains(&effect) || state.effects.len() > 1 {
            return None;
        }
        state.effects.push(effect);
        Some(())
    }

    fn effect(&self, state: &mut State, at: usize) -> Option<()> {
        let (_, token) = state.effects.remove(at);
        let verdict = state.guard.on_effect(&Self::role(), token);
        if matches!(verdict, Verdict::Accept(_)) || self.planted == PlantedFault::NoFencing {
            state.stale_accepted |= token < state.last_token;
            (state.last_token, state.any_accepted) = (token.max(state.last_token), true);
        }
        Some(())
    }

    fn release(&self, state: &mut State, broker: usize) -> Option<()> {
        let may_act = self.permission(state, broker).is_some();
        let token = state.leases[broker].on_release().filter(|_| may_act)?;
        let command = LeaseCommand::Release(Self::role(), token);
        state.log.push(command);
        Some(())
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            steps: 0,
            log: Vec::new(),
            voters: Default::default(),
            leases: Default::default(),
            requests: Vec::new(),
            answers: Vec::new(),
            effects: Vec::new(),
            guard: FencingGuard::default(),
            last_token: FencingToken(0),
            stale_accepted: false,
            any_accepted: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend((state.steps < MAX_STEPS).then_some(Action::AdvanceTime));
        for broker in 0..2 {
            actions.push(Action::Request(broker));
            actions.push(Action::Check(broker));
        }
        // The first broker may release the role; that of the other one would add nothing new.
        actions.extend([Action::Apply(0), Action::Expire(0), Action::Release(0)]);
        actions.extend((0..state.requests.len()).map(Action::Append));
        actions.extend((0..state.answers.len()).map(Action::Answer));
        actions.extend((0..state.effects.len()).map(Action::Effect));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::AdvanceTime => state.steps += 1,
            Action::Request(broker) => Self::request(&mut state, broker)?,
            Action::Append(at) => Self::append(&mut state, at)?,
            Action::Apply(voter) => Self::apply(&mut state, voter)?,
            Action::Expire(voter) => self.expire(&mut state, voter)?,
            Action::Answer(at) => self.answer(&mut state, at)?,
            Action::Check(broker) => self.check(&mut state, broker)?,
            Action::Effect(at) => self.effect(&mut state, at)?,
            Action::Release(broker) => self.release(&mut state, broker)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder may act", |world: &World, state: &State| {
                !(world.permission(state, 0).is_some() && world.permission(state, 1).is_some())
            }),
            Property::always(
                "no effect is taken after a newer one",
                |_, state: &State| !state.stale_accepted,
            ),
            Property::sometimes("an effect is taken", |_, state: &State| state.any_accepted),
            Property::sometimes("the other one holds it in its turn", |_, state: &State| {
                state.last_token >= FencingToken(2)
            }),
        ]
    }
}

/// The number of states, and the properties that one of them breaks.
fn check(planted: PlantedFault) -> (usize, Vec<&'static str>) {
    let checker = World { planted }
        .checker()
        .threads(4)
        .target_max_depth(MAX_DEPTH)
        .spawn_bfs()
        .join();
    let broken = checker
        .discoveries()
        .into_keys()
        .filter(|name| name.starts_with("no ") || name.starts_with("one "));
    let reached = ["an effect is taken", "the other one holds it in its turn"];
    if planted == PlantedFault::Nothing {
        assert!(
            reached
                .iter()
                .all(|r| checker.discoveries().contains_key(r)),
            "the world is too small"
        );
    }
    (checker.unique_state_count(), broken.collect())
}

#[test]
fn no_reachable_state_has_two_holders_or_accepts_an_effect_of_a_former_one() {
    let (states, broken) = check(PlantedFault::Nothing);
    println!("{states} states");
    assert!(
        broken.is_empty() && states > 10_000,
        "{states} states: {broken:?}"
    );
}

#[test]
fn each_planted_fault_is_found() {
    for (planted, property) in [
        (PlantedFault::NoDrift, "one holder may act"),
        (PlantedFault::CountedFromResponse, "one holder may act"),
        (PlantedFault::LateRenewal, "one holder may act"),
        (
            PlantedFault::NoFencing,
            "no effect is taken after a newer one",
        ),
    ] {
        let (states, broken) = check(planted);
        println!("{planted:?}: {states} states, {broken:?}");
        assert!(
            broken.contains(&property),
            "{planted:?}: {states} states, {broken:?}"
        );
    }
}
