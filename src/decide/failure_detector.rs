//! Which brokers are believed alive. The protocol is SWIM with suspicion (Das, Gupta, Motivala
//! 2002), by the library `foca`, which has no I/O; this module gives it time, and makes three
//! promises beside it:
//!
//! - *a paused observer declares nobody dead*: time in which this process was paused counts against
//!   nobody. The detector's clock stops meanwhile, so that a broker that resumes does not declare
//!   dead those whose answers it has not read yet;
//! - *an isolated broker declares nobody dead*: while nobody answers this broker, it withholds its
//!   actions, up to a bound, and once somebody answers, it discards the suspicions that it formed
//!   meanwhile: nobody could refute them;
//! - *a broker that was wrongly declared dead returns by itself*, with a later incarnation, which
//!   wins over what is still said about the former one. It discards its suspicions too, for the
//!   same reason.
//!
//! Messages go in and actions come out; how messages travel is not known here.

mod member;
pub mod reconnect_backoff;
mod swim;

pub use member::Member;
pub use swim::SwimConfig;

use crate::interface::{Micros, Time};
use foca::{AccumulatingRuntime, OwnedNotification, State, Timer};
use std::collections::BTreeMap;
use std::fmt;
use swim::{is_acknowledgement, new_swim, Swim};

/// A call that comes later than this after it was due shows that this process was paused
/// (microseconds): several times what a busy turn of the loop takes.
const PAUSE_THRESHOLD: Micros = 250_000;
/// A broker is isolated once nobody has answered it for this many probes, or for the time of a
/// suspicion where that is shorter: a suspicion of its own is older then, whoever else has failed.
const ISOLATION_PROBES: u64 = 4;
/// An isolated broker withholds its actions for this many times of a suspicion at most. Guards
/// fleets of two, and a broker that has lost all others: nobody will ever answer it. The others have
/// declared dead by then whoever was only isolated.
const MAX_WITHHELD_SUSPICIONS: u64 = 2;
/// A broker announces itself to seeds that it does not believe alive this often (microseconds), so
/// that both sides of a partition find each other again.
const ANNOUNCE_INTERVAL: Micros = 2_000_000;
/// The number of seeds that it announces itself to at a time.
const ANNOUNCE_FANOUT: usize = 3;

/// Why the view of the members has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The member was heard of for the first time, or again.
    Discovered,
    /// It has left; or it answered neither this broker nor another one, and did not refute the
    /// suspicion in time.
    LeftOrUnresponsive,
    /// It has returned with a later incarnation.
    LaterIncarnation,
    /// Others had declared this broker dead: it goes on with a later incarnation.
    DeclaredDead,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Discovered => "it was heard of",
            Reason::LeftOrUnresponsive => {
                "it left or answered nobody, and nobody refuted that in time"
            }
            Reason::LaterIncarnation => "it came under a later life",
            Reason::DeclaredDead => "others had declared this broker dead",
        })
    }
}

/// What follows from an event.
#[derive(Clone, Debug, PartialEq)]
pub enum DetectorAction {
    /// Send these bytes to that member.
    Send(Member, Vec<u8>),
    /// A member is believed alive now.
    Up(Member, Reason),
    /// A member is not believed alive any more.
    Down(Member, Reason),
    /// This broker goes on as this member.
    Renewed(Member, Reason),
}

/// One broker's view of the members.
pub struct FailureDetector {
    swim: Swim,
    own: Member,
    seeds: Vec<Member>,
    config: SwimConfig,
    seed: u64,
    /// When another member last answered this broker, on the detector's clock.
    last_acknowledgement_at: Time,
    /// The library's timers, by time on the detector's clock, then in the order that they were set.
    timers: BTreeMap<(Time, u64), Timer<Member>>,
    timers_set: u64,
    announce_at: Time,
    /// How long this process was paused in total: the detector's clock is behind by this.
    paused: Micros,
    alive: BTreeMap<String, Member>,
    rejected_messages: u64,
}

impl FailureDetector {
    /// The view of the broker `own`, which knows of these seeds. Nothing is sent before the first
    /// [`FailureDetector::on_time`].
    #[must_use]
    pub fn new(
        now: Time,
        own: Member,
        seeds: Vec<Member>,
        config: SwimConfig,
        seed: u64,
    ) -> FailureDetector {
        let swim = new_swim(&own, config, seed);
        let seeds = seeds.into_iter().filter(|s| s.name != own.name).collect();
        FailureDetector {
            swim,
            own,
            seeds,
            config,
            seed,
            last_acknowledgement_at: now,
            timers: BTreeMap::new(),
            timers_set: 0,
            announce_at: now,
            paused: 0,
            alive: BTreeMap::new(),
            rejected_messages: 0,
        }
    }

    /// This broker as others know it.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The other members that are believed alive, by name.
    #[must_use]
    pub fn alive(&self) -> &BTreeMap<String, Member> {
        &self.alive
    }

    /// How many messages could not be decoded, or were not for this broker.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// The detector's clock, which stops while this process is paused.
    fn local(&self, now: Time) -> Time {
        now.minus(self.paused)
    }

    /// When [`FailureDetector::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let timer = self.timers.keys().next();
        let local = timer.map_or(self.announce_at, |key| key.0.min(self.announce_at));
        local.plus(self.paused)
    }

    /// Does what is due. To be called when [`FailureDetector::next`] says, and before messages that
    /// had to wait are handled: a late call shows that this process was paused.
    pub fn on_time(&mut self, now: Time) -> Vec<DetectorAction> {
        let late = now.since(self.next());
        if late > PAUSE_THRESHOLD {
            // Guards the others: their answers are still unread, and nobody has failed to answer.
            self.paused += late;
        }
        let (local, mut actions) = (self.local(now), Vec::new());
        if self.announce_at <= local {
            self.announce_at = local.plus(ANNOUNCE_INTERVAL);
            self.announce(local, &mut actions);
        }
        // A timer that is set by what is done here waits for the next call: a call always ends.
        let later = self.timers.split_off(&(local.plus(1), 0));
        for ((due, _), timer) in std::mem::replace(&mut self.timers, later) {
            let ends_suspicion = matches!(timer, Timer::ChangeSuspectToDown { .. });
            if ends_suspicion && self.is_withheld(local, due) {
                self.set_timer(local.plus(self.config.probe_interval), timer);
                continue;
            }
            let mut output = AccumulatingRuntime::new();
            // The library answers the timer of a probe that has ended by an error, which means
            // nothing.
            let _ = self.swim.handle_timer(timer, &mut output);
            self.take_output(local, &mut output, &mut actions);
        }
        actions
    }

    fn set_timer(&mut self, at: Time, timer: Timer<Member>) {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
    }

    /// A broker that nobody has answered for this long is isolated.
    fn isolation_timeout(&self) -> Micros {
        (ISOLATION_PROBES * self.config.probe_interval).min(self.config.suspicion_timeout)
    }

    /// Whether a verdict has to wait since this broker is isolated, and not for too long yet. Guards
    /// the others against a broker whose messages are lost: to it all others look dead, and it would
    /// say so once its messages arrive again.
    fn is_withheld(&self, local: Time, due: Time) -> bool {
        let (silence, isolation) = (
            local.since(self.last_acknowledgement_at),
            self.isolation_timeout(),
        );
        let bound = isolation + (MAX_WITHHELD_SUSPICIONS + 1) * self.config.suspicion_timeout;
        due <= local && silence >= isolation && silence < bound
    }

    /// A member has answered this broker. Those that it suspected while it was isolated could not
    /// learn of that, so they could not refute it: it discards the suspicions.
    fn on_acknowledgement(&mut self, local: Time, actions: &mut Vec<DetectorAction>) {
        if local.since(self.last_acknowledgement_at) >= self.isolation_timeout() {
            self.discard_suspicions(local, actions);
        }
        self.last_acknowledgement_at = local;
    }

    /// Starts again with the members that it knows, all of them alive: they are probed anew, and the
    /// seeds are announced to.
    fn discard_suspicions(&mut self, local: Time, actions: &mut Vec<DetectorAction>) {
        let known: Vec<foca::Member<Member>> = self
            .swim
            .iter_members()
            .map(|m| foca::Member::new(m.id().clone(), m.incarnation(), State::Alive))
            .collect();
        self.swim = new_swim(&self.own, self.config, self.seed);
        self.timers.clear();
        (self.announce_at, self.last_acknowledgement_at) = (local, local);
        let mut output = AccumulatingRuntime::new();
        // The library accepts it all, since it comes from the library itself.
        let _ = self.swim.apply_many(known.into_iter(), false, &mut output);
        self.take_output(local, &mut output, actions);
    }

    /// Announces this broker to some of the seeds that are not believed alive, to all of them in
    /// turn.
    fn announce(&mut self, local: Time, actions: &mut Vec<DetectorAction>) {
        let is_absent = |seed: &&Member| !self.alive.contains_key(&seed.name);
        let absent: Vec<&Member> = self.seeds.iter().filter(is_absent).collect();
        if absent.is_empty() {
            return;
        }
        // Guards seeds against a fleet that starts at the same time: each broker has an order of its
        // own.
        let turn = (local.0 / ANNOUNCE_INTERVAL).wrapping_add(self.own.incarnation);
        let (count, first) = (absent.len(), turn as usize);
        let chosen: Vec<Member> = (0..count.min(ANNOUNCE_FANOUT))
            .map(|i| absent[(first + i) % count].clone())
            .collect();
        for seed in chosen {
            let mut output = AccumulatingRuntime::new();
            let _ = self.swim.announce(seed, &mut output);
            self.take_output(local, &mut output, actions);
        }
    }

    /// Handles the message of another member.
    pub fn on_message(&mut self, now: Time, bytes: &[u8]) -> Vec<DetectorAction> {
        let (local, mut actions) = (self.local(now), Vec::new());
        let mut output = AccumulatingRuntime::new();
        if self.swim.handle_data(bytes, &mut output).is_err() {
            self.rejected_messages += 1;
        }
        self.take_output(local, &mut output, &mut actions);
        if is_acknowledgement(bytes) {
            self.on_acknowledgement(local, &mut actions);
        }
        actions
    }

    /// This broker stops: it tells some others, so that nobody has to detect it.
    pub fn on_stop(&mut self, now: Time) -> Vec<DetectorAction> {
        let (local, mut actions) = (self.local(now), Vec::new());
        let mut output = AccumulatingRuntime::new();
        let _ = self.swim.leave_cluster(&mut output);
        self.take_output(local, &mut output, &mut actions);
        actions
    }

    /// Turns what the library has put out into timers and actions.
    fn take_output(
        &mut self,
        local: Time,
        output: &mut AccumulatingRuntime<Member>,
        actions: &mut Vec<DetectorAction>,
    ) {
        let notifications: Vec<_> = std::iter::from_fn(|| output.to_notify()).collect();
        let renewed = notifications.iter().find_map(|n| match n {
            OwnedNotification::Rejoin(member) => Some(member.clone()),
            _ => None,
        });
        if let Some(member) = renewed {
            // The library's messages in the new incarnation hold the suspicions of the former one:
            // they are not sent.
            self.own = member.clone();
            actions.push(DetectorAction::Renewed(member, Reason::DeclaredDead));
            return self.discard_suspicions(local, actions);
        }
        while let Some((after, timer)) = output.to_schedule() {
            self.set_timer(local.plus(after.as_micros() as Micros), timer);
        }
        while let Some((to, bytes)) = output.to_send() {
            actions.push(DetectorAction::Send(to, bytes.to_vec()));
        }
        for notification in notifications {
            actions.extend(self.on_notification(notification));
        }
    }

    fn on_notification(
        &mut self,
        notification: OwnedNotification<Member>,
    ) -> Option<DetectorAction> {
        match notification {
            OwnedNotification::MemberUp(member) => {
                let known = self.alive.insert(member.name.clone(), member.clone());
                (known.as_ref() != Some(&member))
                    .then_some(DetectorAction::Up(member, Reason::Discovered))
            }
            // The end of a former incarnation is no change.
            OwnedNotification::MemberDown(member) if self.is_latest(&member) => {
                let known = self.alive.remove(&member.name);
                known.map(|_| DetectorAction::Down(member, Reason::LeftOrUnresponsive))
            }
            OwnedNotification::Rename(_, member) if self.alive.contains_key(&member.name) => {
                self.alive.insert(member.name.clone(), member.clone());
                Some(DetectorAction::Up(member, Reason::LaterIncarnation))
            }
            _ => None,
        }
    }

    /// Whether no later incarnation of the member is believed alive.
    fn is_latest(&self, member: &Member) -> bool {
        let alive = self.alive.get(&member.name);
        alive.is_none_or(|alive| alive.incarnation <= member.incarnation)
    }
}

#[cfg(test)]
mod tests;
