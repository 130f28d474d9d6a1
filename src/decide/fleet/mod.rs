//! Which brokers are believed alive, and how sure that is. The protocol is SWIM with suspicion
//! before death, by the library `foca`, which does no input or output; this module gives it time,
//! and keeps two promises beside it:
//!
//! - *a slow observer doubts itself first*: time in which this process stood still counts against
//!   nobody. Its clock for the fleet stops with it, so that a broker that wakes does not declare
//!   dead all whose answers it slept through;
//! - *who is not heard doubts itself first, too*: while nobody answers this broker, it declares
//!   nobody dead, up to a bound, and once somebody does, it goes on without the opinions that it
//!   formed meanwhile: nobody could refute them;
//! - *who was declared dead and is not comes back by itself*, under a later life, which wins over
//!   what is still told of the former one, and without its opinions, for the same reason.
//!
//! Messages go in and verdicts come out; who carries them is not known here.

pub mod redial;

use crate::interface::{Micros, Time};
use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Header, Identity, Message, NoCustomBroadcast,
};
use foca::{OwnedNotification, PeriodicParams, PostcardCodec, State, Timer};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A broker as others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where it listens for other brokers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its life: later ones are greater, microseconds of Unix time at their beginning.
    pub life: u64,
}

impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            life: self.life + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.life > adversary.life
    }
}

/// How the fleet is watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A member is asked this often, a different one each time, all in turn (microseconds).
    pub probe: Micros,
    /// After this long without its answer others are asked to ask it (microseconds); below `probe`
    /// by half or more.
    pub patience: Micros,
    /// So many others are.
    pub helpers: usize,
    /// One that is suspected and does not refute it for so long is declared dead (microseconds).
    pub suspicion: Micros,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            probe: 500_000,
            patience: 150_000,
            helpers: 3,
            suspicion: 2_000_000,
        }
    }
}

/// Calls that come later than this after they were due show that this process stood still
/// (microseconds): several times what a busy turn of the loop takes.
const STOOD_STILL: Micros = 250_000;
/// A member that was declared dead is held as such for this long, so that old news does not bring
/// it back.
const DEAD_FOR: Duration = Duration::from_secs(60);
/// Bytes of a message at most: some tens of news fit.
const PACKET: usize = 1_400;
/// News is passed on so many times by each who hears it: three times each [`GOSSIP`], so for longer
/// than a suspicion lasts by default. Guards one that was cut off and is back: it hears of the
/// suspicion in time to refute it.
const TRANSMISSIONS: u8 = 40;
/// News is told to some others this often beside (microseconds).
const GOSSIP: Micros = 200_000;
/// A broker is not heard once nobody has answered it for so many probes, or for the time of a
/// suspicion where that is shorter: a suspicion that it raised itself is older then, whoever else
/// has failed.
const UNHEARD: u64 = 4;
/// While it is not heard, its verdicts wait for so many times of a suspicion at most. Guards fleets
/// of two, and those that have lost all others: there nobody will ever answer. The others have
/// declared dead by then who was only cut off.
const HELD_BACK: u64 = 2;
/// Who stands alone knocks at the seeds this often (microseconds), and members that were declared
/// dead are told so as often, so that both sides of a cut find together.
const KNOCK: Micros = 2_000_000;

/// Why the view of the fleet has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was heard of for the first time, or again.
    Heard,
    /// Neither it nor any helper answered, and nobody refuted the suspicion in time.
    Silent,
    /// It came under a later life.
    Reborn,
    /// Others had declared this broker dead: it goes on under a later life.
    Buried,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Heard => "it was heard of",
            Reason::Silent => "it left or answered nobody, and nobody refuted that in time",
            Reason::Reborn => "it came under a later life",
            Reason::Buried => "others had declared this broker dead",
        })
    }
}

/// What follows from an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// These bytes are for that member.
    Send(Member, Vec<u8>),
    /// A member is believed alive now.
    Up(Member, Reason),
    /// It is not any more.
    Down(Member, Reason),
    /// This broker goes on as this member.
    Renewed(Member, Reason),
}

type Swim = Foca<Member, PostcardCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// The library's state of a broker that knows nobody yet.
fn swim(own: &Member, rules: Rules, seed: u64) -> Swim {
    let length = Duration::from_micros;
    let config = Config {
        probe_period: length(rules.probe.max(2)),
        probe_rtt: length(rules.patience.clamp(1, rules.probe.max(2) / 2)),
        num_indirect_probes: NonZeroUsize::new(rules.helpers).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: length(rules.suspicion.max(1)),
        remove_down_after: Some(DEAD_FOR),
        max_packet_size: NonZeroUsize::new(PACKET).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: None,
        // What is new goes to some others beside the probes: a suspicion is refuted well before its
        // end.
        periodic_gossip: Some(PeriodicParams {
            frequency: length(GOSSIP),
            num_members: NonZeroUsize::new(KNOCKS).unwrap_or(NonZeroUsize::MIN),
        }),
    };
    let rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ own.life);
    Foca::new(own.clone(), config, rng, PostcardCodec)
}

/// One broker's view of the fleet.
pub struct Fleet {
    swim: Swim,
    own: Member,
    seeds: Vec<Member>,
    rules: Rules,
    seed: u64,
    /// When somebody last answered this broker, on the fleet's clock.
    answered: Time,
    /// What is due, by time on the fleet's clock, then in the order that it was asked for.
    timers: BTreeMap<(Time, u64), Timer<Member>>,
    asked: u64,
    knock_at: Time,
    /// How long this process stood still in all: the fleet's clock is behind by so much.
    stood_still: Micros,
    alive: BTreeMap<String, Member>,
    refused: u64,
}

impl Fleet {
    /// The view of `own`, which knows of these others; nothing is sent before the first
    /// [`Fleet::on_time`].
    #[must_use]
    pub fn new(now: Time, own: Member, seeds: Vec<Member>, rules: Rules, seed: u64) -> Fleet {
        let swim = swim(&own, rules, seed);
        let seeds = seeds.into_iter().filter(|s| s.name != own.name).collect();
        let (timers, alive, answered) = (BTreeMap::new(), BTreeMap::new(), now);
        let (knock_at, asked, stood_still, refused) = (now, 0, 0, 0);
        Fleet {
            swim,
            own,
            seeds,
            rules,
            seed,
            answered,
            timers,
            asked,
            knock_at,
            stood_still,
            alive,
            refused,
        }
    }

    /// This broker as others know it.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The others that are believed alive, by name.
    #[must_use]
    pub fn alive(&self) -> &BTreeMap<String, Member> {
        &self.alive
    }

    /// Messages that made no sense, or were not for this broker.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The fleet's clock: it stops while this process stands still.
    fn local(&self, now: Time) -> Time {
        now.minus(self.stood_still)
    }

    /// When [`Fleet::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let due = self
            .timers
            .keys()
            .next()
            .map_or(self.knock_at, |k| k.0.min(self.knock_at));
        due.plus(self.stood_still)
    }

    /// Time has come: what is due is done. To be called when [`Fleet::next`] says, and before
    /// messages that had to wait are handed in, since that it comes late shows that this process
    /// stood still.
    pub fn on_time(&mut self, now: Time) -> Vec<Verdict> {
        let late = now.since(self.next());
        if late > STOOD_STILL {
            // Guards the others: what they answered meanwhile lies unread, and nobody has failed to
            // answer.
            self.stood_still += late;
        }
        let (local, mut told) = (self.local(now), Vec::new());
        if self.knock_at <= local {
            self.knock_at = local.plus(KNOCK);
            self.knock(local, &mut told);
        }
        // What becomes due by what is done here waits for the next call: a call always ends.
        let later = self.timers.split_off(&(local.plus(1), 0));
        for ((due, _), timer) in std::mem::replace(&mut self.timers, later) {
            if matches!(timer, Timer::ChangeSuspectToDown { .. }) && self.is_held_back(local, due) {
                self.set(local.plus(self.rules.probe), timer);
                continue;
            }
            let mut out = AccumulatingRuntime::new();
            // A timer of a probe that is over is none: the library says so by an error, and nothing
            // is lost.
            let _ = self.swim.handle_timer(timer, &mut out);
            self.carry(local, &mut out, &mut told);
        }
        told
    }

    fn set(&mut self, at: Time, timer: Timer<Member>) {
        self.asked += 1;
        self.timers.insert((at, self.asked), timer);
    }

    /// For how long nobody has answered once this broker is not heard.
    fn unheard(&self) -> Micros {
        (UNHEARD * self.rules.probe).min(self.rules.suspicion)
    }

    /// Whether a verdict has to wait since this broker is not heard, and not for too long yet.
    /// Guards the others against a broker whose words are lost on the way: to it all look dead, and
    /// once it is heard again it would say so.
    fn is_held_back(&self, local: Time, due: Time) -> bool {
        let silence = local.since(self.answered);
        let most = self.unheard() + (HELD_BACK + 1) * self.rules.suspicion;
        due <= local && silence >= self.unheard() && silence < most
    }

    /// Somebody has answered this broker. Whom it suspected while it was not heard could not hear
    /// of it, so not refute it either, and what was to be told of it has been said in vain: it has
    /// no opinions then.
    fn on_answered(&mut self, local: Time, told: &mut Vec<Verdict>) {
        if local.since(self.answered) >= self.unheard() {
            self.begin_anew(local, told);
        }
        self.answered = local;
    }

    /// This broker goes on without its opinions: those that it believes alive are asked anew, and
    /// the seeds are knocked at.
    fn begin_anew(&mut self, local: Time, told: &mut Vec<Verdict>) {
        let known: Vec<foca::Member<Member>> = self
            .swim
            .iter_members()
            .map(|m| foca::Member::new(m.id().clone(), m.incarnation(), State::Alive))
            .collect();
        self.swim = swim(&self.own, self.rules, self.seed);
        self.timers.clear();
        (self.knock_at, self.answered) = (local, local);
        let mut out = AccumulatingRuntime::new();
        // Nothing in it can be refused: it is what the library itself has told.
        let _ = self.swim.apply_many(known.into_iter(), false, &mut out);
        self.carry(local, &mut out, told);
    }

    /// Says to the seeds that this broker is there: to all that are not believed alive, one after
    /// the other in time.
    fn knock(&mut self, local: Time, told: &mut Vec<Verdict>) {
        let absent: Vec<&Member> = self
            .seeds
            .iter()
            .filter(|s| !self.alive.contains_key(&s.name))
            .collect();
        if absent.is_empty() {
            return;
        }
        // Guards seeds against a fleet that starts together: each knocks at some, in an order of
        // its own.
        let (count, start) = (
            absent.len(),
            (local.0 / KNOCK).wrapping_add(self.own.life) as usize,
        );
        let some = (0..count.min(KNOCKS))
            .map(|i| absent[(start + i) % count].clone())
            .collect::<Vec<_>>();
        for seed in some {
            let mut out = AccumulatingRuntime::new();
            let _ = self.swim.announce(seed, &mut out);
            self.carry(local, &mut out, told);
        }
    }

    /// A message has come.
    pub fn on_message(&mut self, now: Time, bytes: &[u8]) -> Vec<Verdict> {
        let (local, mut told) = (self.local(now), Vec::new());
        let mut out = AccumulatingRuntime::new();
        if self.swim.handle_data(bytes, &mut out).is_err() {
            self.refused += 1;
        }
        self.carry(local, &mut out, &mut told);
        let header: Result<Header<Member>, _> = PostcardCodec.decode_header(bytes);
        let answers = |m: &Message<_>| {
            matches!(
                m,
                Message::Ack(_) | Message::ForwardedAck { .. } | Message::Feed
            )
        };
        if header.is_ok_and(|h| answers(&h.message)) {
            self.on_answered(local, &mut told);
        }
        told
    }

    /// This broker stops: the others are told, so that nobody has to find it out.
    pub fn on_stop(&mut self, now: Time) -> Vec<Verdict> {
        let (local, mut told) = (self.local(now), Vec::new());
        let mut out = AccumulatingRuntime::new();
        let _ = self.swim.leave_cluster(&mut out);
        self.carry(local, &mut out, &mut told);
        told
    }

    /// The life under which a member is believed alive.
    fn life_of(&self, name: &str) -> Option<u64> {
        self.alive.get(name).map(|m| m.life)
    }

    fn carry(
        &mut self,
        local: Time,
        out: &mut AccumulatingRuntime<Member>,
        told: &mut Vec<Verdict>,
    ) {
        let notes: Vec<_> = std::iter::from_fn(|| out.to_notify()).collect();
        let renewed = notes.iter().find_map(|note| match note {
            OwnedNotification::Rejoin(member) => Some(member.clone()),
            _ => None,
        });
        if let Some(member) = renewed {
            // What the library would say under the new life holds the opinions of the former: it is
            // not said.
            self.own = member.clone();
            told.push(Verdict::Renewed(member, Reason::Buried));
            return self.begin_anew(local, told);
        }
        while let Some((after, timer)) = out.to_schedule() {
            self.set(local.plus(after.as_micros() as Micros), timer);
        }
        while let Some((to, bytes)) = out.to_send() {
            told.push(Verdict::Send(to, bytes.to_vec()));
        }
        for note in notes {
            match note {
                OwnedNotification::MemberUp(member) => {
                    let known = self.alive.insert(member.name.clone(), member.clone());
                    told.extend(
                        (known.as_ref() != Some(&member))
                            .then_some(Verdict::Up(member, Reason::Heard)),
                    );
                }
                // Of a former life nobody has to hear that it is over.
                OwnedNotification::MemberDown(member)
                    if self.life_of(&member.name) <= Some(member.life) =>
                {
                    let known = self.alive.remove(&member.name);
                    told.extend(known.map(|_| Verdict::Down(member, Reason::Silent)));
                }
                OwnedNotification::Rename(_, member) if self.alive.contains_key(&member.name) => {
                    self.alive.insert(member.name.clone(), member.clone());
                    told.push(Verdict::Up(member, Reason::Reborn));
                }
                _ => {}
            }
        }
    }
}

/// Seeds that are knocked at at once.
const KNOCKS: usize = 3;

#[cfg(test)]
mod tests;
