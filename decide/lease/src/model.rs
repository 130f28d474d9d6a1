//! Model check of the lease in all reachable states of a bounded model.
//!
//! The model has two brokers that request one role, a voter with its own clock that learns of log
//! entries with any delay, and a receiver. Requests and responses are delayed, lost and duplicated;
//! brokers pause between the lease check and the effect. The model runs the production code:
//! `HolderLease`, `GrantTable` and `FencingGuard`.

use super::fencing::{FencingGuard, Verdict};
use super::grant_table::{GrantTable, LeaseCommand, Outcome};
use super::holder_lease::HolderLease;
use super::{FencingToken, LeaseHolder, LeaseTerms, RoleName};
use lichenswitch_interface::Time;
use stateright::{Checker, Model, Property};

/// A fault injected into the model, to verify that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// Holder and voter ignore the drift of clocks.
    NoDrift,
    /// The holder measures a lease from the response instead of the request.
    CountedFromResponse,
    /// The end of a lease takes effect although a renewal precedes it in the log.
    LateRenewal,
    /// The receiver ignores the tokens.
    NoFencing,
}

/// Length of a time step (microseconds).
const STEP_MICROS: u64 = 1_000;
/// Maximum number of time steps on a path.
const MAX_STEPS: u64 = 5;
/// Maximum number of requests of each broker on a path.
const MAX_REQUESTS: [u64; 2] = [2, 1];
/// Maximum length of an explored path, in actions.
const MAX_DEPTH: usize = 16;
/// A lease of three time steps and a clock drift of 10 %.
const TERMS: LeaseTerms = LeaseTerms {
    lease: 3_000,
    drift: 100_000,
};

struct LeaseModel {
    injected: InjectedFault,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    steps: u64,
    log: Vec<LeaseCommand>,
    /// The grants of each voter, and the number of log entries that it has applied.
    voters: [(GrantTable, usize); 1],
    leases: [HolderLease; 2],
    /// Requests in flight: broker and request number.
    requests: Vec<(usize, u64)>,
    /// Responses in flight: broker, request number, and the token or `None` for a rejection. They
    /// are never removed, since each may arrive late, twice, or not at all.
    responses: Vec<(usize, u64, Option<FencingToken>)>,
    /// Effects in flight, sent after a passed lease check: broker and token.
    effects: Vec<(usize, FencingToken)>,
    guard: FencingGuard,
    /// Highest token of an accepted effect.
    last_token: FencingToken,
    /// Whether an effect was accepted after one with a higher token.
    stale_accepted: bool,
    any_accepted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    AdvanceTime,
    /// This broker sends a request.
    Request(usize),
    /// The request at this index reaches the log.
    Append(usize),
    /// This voter applies its next log entry.
    Apply(usize),
    /// This voter proposes that a lease has expired.
    Expire(usize),
    /// The response at this index arrives.
    Respond(usize),
    /// This broker checks its lease and sends an effect.
    Check(usize),
    /// The effect at this index arrives.
    Effect(usize),
    /// This broker releases the role.
    Release(usize),
}

impl LeaseModel {
    fn terms(&self) -> LeaseTerms {
        let ignores_drift = self.injected == InjectedFault::NoDrift;
        LeaseTerms {
            drift: if ignores_drift { 0 } else { TERMS.drift },
            ..TERMS
        }
    }

    /// Returns the time of the brokers' clocks, which are 10 % slow: the maximum drift.
    fn broker_clock(state: &State) -> Time {
        Time(1_000_000 + state.steps * STEP_MICROS * 90 / 100)
    }

    /// Returns the time of the voters' clocks, which are 10 % fast: the maximum drift.
    fn voter_clock(state: &State) -> Time {
        Time(1_000_000 + state.steps * STEP_MICROS * 110 / 100)
    }

    /// Returns the token under which a broker may act now; `None` if it must not act.
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

    fn append(state: &mut State, index: usize) -> Option<()> {
        let (broker, number) = state.requests.remove(index);
        let command = LeaseCommand::Acquire(Self::role(), Self::holder(broker));
        state.log.push(command);
        // The response follows from the complete log, whenever a voter applies it.
        let mut grants = GrantTable::default();
        let outcomes = state.log.iter().map(|c| grants.apply(Time(0), c));
        let token = match outcomes.last()? {
            Outcome::Granted(token, _) | Outcome::Renewed(token) => Some(token),
            _ => None,
        };
        state.responses.push((broker, number, token));
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
        if let (InjectedFault::LateRenewal, LeaseCommand::Expire(_, token, _)) =
            (self.injected, &command)
        {
            command = LeaseCommand::Release(Self::role(), *token);
        }
        state.log.push(command);
        Some(())
    }

    fn respond(&self, state: &mut State, index: usize) -> Option<()> {
        let now = Self::broker_clock(state);
        let (broker, number, token) = state.responses[index];
        let lease = &mut state.leases[broker];
        let before = lease.clone();
        match token {
            Some(token) => {
                let is_granted = lease.on_grant(number, token);
                if is_granted && self.injected == InjectedFault::CountedFromResponse {
                    let mut measured_late = before.clone();
                    let repeated = measured_late.on_request(now);
                    measured_late.on_grant(repeated, token);
                    *lease = measured_late;
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

    fn effect(&self, state: &mut State, index: usize) -> Option<()> {
        let (_, token) = state.effects.remove(index);
        let verdict = state.guard.on_effect(&Self::role(), token);
        if matches!(verdict, Verdict::Accept(_)) || self.injected == InjectedFault::NoFencing {
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

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            steps: 0,
            log: Vec::new(),
            voters: Default::default(),
            leases: Default::default(),
            requests: Vec::new(),
            responses: Vec::new(),
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
        // Only the first broker may release the role; a release of the second adds no new
        // behaviour.
        actions.extend([Action::Apply(0), Action::Expire(0), Action::Release(0)]);
        actions.extend((0..state.requests.len()).map(Action::Append));
        actions.extend((0..state.responses.len()).map(Action::Respond));
        actions.extend((0..state.effects.len()).map(Action::Effect));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::AdvanceTime => state.steps += 1,
            Action::Request(broker) => Self::request(&mut state, broker)?,
            Action::Append(index) => Self::append(&mut state, index)?,
            Action::Apply(voter) => Self::apply(&mut state, voter)?,
            Action::Expire(voter) => self.expire(&mut state, voter)?,
            Action::Respond(index) => self.respond(&mut state, index)?,
            Action::Check(broker) => self.check(&mut state, broker)?,
            Action::Effect(index) => self.effect(&mut state, index)?,
            Action::Release(broker) => self.release(&mut state, broker)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one broker may act", |model: &LeaseModel, state: &State| {
                !(model.permission(state, 0).is_some() && model.permission(state, 1).is_some())
            }),
            Property::always("no stale effect is accepted", |_, state: &State| {
                !state.stale_accepted
            }),
            Property::sometimes("an effect is accepted", |_, state: &State| {
                state.any_accepted
            }),
            Property::sometimes("the role passes to a second grant", |_, state: &State| {
                state.last_token >= FencingToken(2)
            }),
        ]
    }
}

/// Explores the model. Returns the number of states and the violated properties.
fn check_model(injected: InjectedFault) -> (usize, Vec<&'static str>) {
    let checker = LeaseModel { injected }
        .checker()
        .threads(4)
        .target_max_depth(MAX_DEPTH)
        .spawn_bfs()
        .join();
    let violated = checker
        .discoveries()
        .into_keys()
        .filter(|name| name.starts_with("no ") || name.starts_with("one "));
    let reached = ["an effect is accepted", "the role passes to a second grant"];
    if injected == InjectedFault::Nothing {
        assert!(
            reached
                .iter()
                .all(|r| checker.discoveries().contains_key(r)),
            "the bounds are too small to reach {reached:?}"
        );
    }
    (checker.unique_state_count(), violated.collect())
}

#[test]
fn no_reachable_state_has_two_holders_or_accepts_a_stale_effect() {
    let (states, violated) = check_model(InjectedFault::Nothing);
    println!("{states} states");
    assert!(
        violated.is_empty() && states > 10_000,
        "{states} states: {violated:?}"
    );
}

#[test]
fn each_injected_fault_is_detected() {
    for (injected, property) in [
        (InjectedFault::NoDrift, "one broker may act"),
        (InjectedFault::CountedFromResponse, "one broker may act"),
        (InjectedFault::LateRenewal, "one broker may act"),
        (InjectedFault::NoFencing, "no stale effect is accepted"),
    ] {
        let (states, violated) = check_model(injected);
        println!("{injected:?}: {states} states, {violated:?}");
        assert!(
            violated.contains(&property),
            "{injected:?}: {states} states, {violated:?}"
        );
    }
}
