//! The lease, checked in all reachable states of a small world: two brokers that ask for one duty,
//! a voter with a clock of its own, an agreed log that it learns of when it does, a receiver. Asks
//! and answers are delayed, lost and doubled, brokers stand still between their check and their
//! effect. The code that is checked is the code that runs: `Hold`, `Grants` and `Fence`.

use super::fence::{Fence, Verdict as Taken};
use super::grants::{Entry, Grants, Verdict as Told};
use super::hold::{Hold, Verdict as May};
use super::{Duty, FenceNumber, Holder, Terms};
use lichenswitch_interface::Time;
use stateright::{Checker, Model, Property};

/// What is done wrongly, to see that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// The drift of clocks is ignored.
    NoDrift,
    /// A lease is counted from the answer.
    FromAnswer,
    /// The end of a lease counts though a renewal came first.
    LateRenewal,
    /// The receiver looks at no fence.
    NoFence,
}

/// One step of time, and the bounds of the world: steps, and asks of each broker.
const STEP: u64 = 1_000;
const STEPS: u64 = 5;
const ASKS: [u64; 2] = [2, 1];
/// Longest way that is looked at, in actions.
const DEPTH: usize = 16;
/// Three steps, and clocks that are a tenth off.
const TERMS: Terms = Terms {
    lease: 3_000,
    drift: 100_000,
};

struct World {
    planted: Planted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    steps: u64,
    log: Vec<Entry>,
    /// What a voter knows, and how much of the log it has learnt of.
    voters: [(Grants, usize); 1],
    holds: [Hold; 2],
    /// Asks that are out: by whom, and number.
    asks: Vec<(usize, u64)>,
    /// Answers that are out: to whom, to which ask, the fence or a refusal. They are never taken
    /// away: each may come late, twice, or not at all.
    answers: Vec<(usize, u64, Option<FenceNumber>)>,
    /// Effects on their way, whose check has passed: by whom, under which fence.
    effects: Vec<(usize, FenceNumber)>,
    fence: Fence,
    /// The fences of effects that were taken, and whether one came under a lower fence than one
    /// before it.
    last: FenceNumber,
    stale: bool,
    taken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Time,
    Ask(usize),
    /// An ask of this place comes to the log.
    Enter(usize),
    Learn(usize),
    /// A voter says that a lease is over.
    Over(usize),
    Answer(usize),
    Check(usize),
    Effect(usize),
    GiveBack(usize),
}

impl World {
    fn terms(&self) -> Terms {
        Terms {
            drift: if self.planted == Planted::NoDrift {
                0
            } else {
                TERMS.drift
            },
            ..TERMS
        }
    }

    /// A broker's clock is slow by a tenth, the voters' are fast by as much: the worst that the
    /// terms allow.
    fn clock(steps: u64, broker: bool) -> Time {
        Time(1_000_000 + steps * STEP * if broker { 90 } else { 110 } / 100)
    }

    fn acts(&self, state: &State, who: usize) -> Option<FenceNumber> {
        match state.holds[who].check(Self::clock(state.steps, true), self.terms()) {
            May::Act(fence, _) => Some(fence),
            May::Refrain(_) => None,
        }
    }

    fn duty() -> Duty {
        Duty("d".into())
    }

    fn holder(who: usize) -> Holder {
        Holder {
            name: format!("b{who}"),
            life: 1,
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            steps: 0,
            log: Vec::new(),
            voters: Default::default(),
            holds: Default::default(),
            asks: Vec::new(),
            answers: Vec::new(),
            effects: Vec::new(),
            fence: Fence::default(),
            last: FenceNumber(0),
            stale: false,
            taken: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        steps.extend((state.steps < STEPS).then_some(Step::Time));
        for who in 0..2 {
            steps.push(Step::Ask(who));
            steps.push(Step::Check(who));
        }
        // The first one may give it back; more of the same would only be more of the same.
        steps.extend([Step::Learn(0), Step::Over(0), Step::GiveBack(0)]);
        steps.extend((0..state.asks.len()).map(Step::Enter));
        steps.extend((0..state.answers.len()).map(Step::Answer));
        steps.extend((0..state.effects.len()).map(Step::Effect));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let (broker, voter) = (Self::clock(s.steps, true), Self::clock(s.steps, false));
        match step {
            Step::Time => s.steps += 1,
            Step::Ask(who) => {
                let number = s.holds[who].on_ask(broker);
                if number > ASKS[who] {
                    return None;
                }
                s.asks.push((who, number));
            }
            Step::Enter(at) => {
                let (who, number) = s.asks.remove(at);
                s.log.push(Entry::Ask(Self::duty(), Self::holder(who)));
                // What the whole log leads to is the answer, whoever learns of it when.
                let mut grants = Grants::default();
                let told = s.log.iter().map(|e| grants.on_entry(Time(0), e)).last()?;
                s.answers.push(match told {
                    Told::Granted(fence, _) | Told::Renewed(fence) => (who, number, Some(fence)),
                    _ => (who, number, None),
                });
            }
            Step::Learn(v) => {
                let entry = s.log.get(s.voters[v].1)?.clone();
                s.voters[v].0.on_entry(voter, &entry);
                s.voters[v].1 += 1;
            }
            Step::Over(v) => {
                let mut entry = s.voters[v].0.over(voter, self.terms()).pop()?;
                if s.log.contains(&entry) {
                    return None;
                }
                if let (Planted::LateRenewal, Entry::Over(_, fence, _)) = (self.planted, &entry) {
                    entry = Entry::GiveBack(Self::duty(), *fence);
                }
                s.log.push(entry);
            }
            Step::Answer(at) => {
                let (who, number, fence) = s.answers[at];
                let before = s.holds[who].clone();
                match fence {
                    Some(fence) => {
                        if s.holds[who].on_grant(number, fence)
                            && self.planted == Planted::FromAnswer
                        {
                            let mut late = before.clone();
                            let anew = late.on_ask(broker);
                            late.on_grant(anew, fence);
                            s.holds[who] = late;
                        }
                    }
                    None => s.holds[who].on_refusal(number),
                }
                if s.holds[who] == before {
                    return None;
                }
            }
            Step::Check(who) => {
                let effect = (who, self.acts(last, who)?);
                if s.effects.contains(&effect) || s.effects.len() > 1 {
                    return None;
                }
                s.effects.push(effect);
            }
            Step::Effect(at) => {
                let (_, fence) = s.effects.remove(at);
                let verdict = s.fence.on_effect(&Self::duty(), fence);
                if matches!(verdict, Taken::Take(_)) || self.planted == Planted::NoFence {
                    s.stale |= fence < s.last;
                    (s.last, s.taken) = (fence.max(s.last), true);
                }
            }
            Step::GiveBack(who) => {
                let acts = self.acts(last, who).is_some();
                let fence = s.holds[who].on_give_back().filter(|_| acts)?;
                s.log.push(Entry::GiveBack(Self::duty(), fence));
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder may act", |world: &World, s: &State| {
                !(world.acts(s, 0).is_some() && world.acts(s, 1).is_some())
            }),
            Property::always("no effect is taken after a newer one", |_, s: &State| {
                !s.stale
            }),
            Property::sometimes("an effect is taken", |_, s: &State| s.taken),
            Property::sometimes("the other one holds it in its turn", |_, s: &State| {
                s.last >= FenceNumber(2)
            }),
        ]
    }
}

fn check(planted: Planted) -> (usize, Vec<&'static str>) {
    let checker = World { planted }
        .checker()
        .threads(4)
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join();
    let broken = checker
        .discoveries()
        .into_keys()
        .filter(|name| name.starts_with("no ") || name.starts_with("one "));
    let reached = ["an effect is taken", "the other one holds it in its turn"];
    if planted == Planted::Nothing {
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
fn no_reachable_state_has_two_holders_or_takes_an_effect_of_an_old_one() {
    let (states, broken) = check(Planted::Nothing);
    println!("{states} states");
    assert!(
        broken.is_empty() && states > 10_000,
        "{states} states: {broken:?}"
    );
}

#[test]
fn each_planted_fault_is_found() {
    for (planted, what) in [
        (Planted::NoDrift, "one holder may act"),
        (Planted::FromAnswer, "one holder may act"),
        (Planted::LateRenewal, "one holder may act"),
        (Planted::NoFence, "no effect is taken after a newer one"),
    ] {
        let (states, broken) = check(planted);
        println!("{planted:?}: {states} states, {broken:?}");
        assert!(
            broken.contains(&what),
            "{planted:?}: {states} states, {broken:?}"
        );
    }
}
