//! Detects which brokers of the cluster are alive.
//!
//! The protocol is SWIM with suspicion (Das, Gupta, Motivala 2002), implemented by the library
//! `foca`, which has no I/O. This module supplies the time and adds three guarantees:
//!
//! - *A paused observer declares no member dead.* The detector's clock stops while this process is
//!   paused, so a broker that resumes does not declare members dead whose responses it has not read
//!   yet.
//! - *An isolated broker declares no member dead.* While no member responds to this broker, it
//!   withholds declarations of death, up to a bound. Once a member responds, it discards the
//!   suspicions that it formed while isolated, because the suspected members could not refute them.
//! - *A broker that was wrongly declared dead rejoins by itself.* It uses a later incarnation,
//!   which takes precedence over updates about the former one. It also discards its suspicions, for
//!   the same reason as above.
//!
//! The module takes messages and returns actions; it does not depend on the transport.

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

/// Lateness of an [`FailureDetector::on_time`] call from which on this process counts as paused
/// (microseconds). Several times the duration of a busy iteration of the event loop.
const PAUSE_THRESHOLD: Micros = 250_000;
/// Number of probe intervals without a response after which this broker counts as isolated. The
/// time is bounded by the suspicion timeout, so that a broker counts as isolated before one of its
/// own suspicions expires, regardless of which other members have failed.
const ISOLATION_PROBES: u64 = 4;
/// Maximum number of suspicion timeouts for which an isolated broker withholds declarations of
/// death. The bound is needed in a fleet of two, or if all other members have failed: no member
/// will ever respond. If this broker was only isolated, the others have declared it dead by then.
const MAX_WITHHELD_SUSPICIONS: u64 = 2;
/// Interval between announcements to seeds that are not believed alive (microseconds). They let the
/// two sides of a partition find each other again.
const ANNOUNCE_INTERVAL: Micros = 2_000_000;
/// Maximum number of seeds that receive an announcement at a time.
const ANNOUNCE_FANOUT: usize = 3;

/// The reason for a change in the view of the members, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The member was discovered for the first time, or again.
    Discovered,
    /// The member has left, or it responded neither to this broker nor to others and did not refute
    /// the suspicion in time.
    LeftOrUnresponsive,
    /// The member has returned with a later incarnation.
    LaterIncarnation,
    /// Other members had declared this broker dead, so it continues with a later incarnation.
    DeclaredDead,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Discovered => "discovered",
            Reason::LeftOrUnresponsive => {
                "it left, or it did not respond and the suspicion was not refuted in time"
            }
            Reason::LaterIncarnation => "it returned with a later incarnation",
            Reason::DeclaredDead => "others had declared this broker dead",
        })
    }
}

/// An action or a change of the view that follows from an event.
#[derive(Clone, Debug, PartialEq)]
pub enum DetectorAction {
    /// Send this encoded message to the member.
    Send(Member, Vec<u8>),
    /// The member is now believed alive.
    Up(Member, Reason),
    /// The member is no longer believed alive.
    Down(Member, Reason),
    /// This broker now uses this identity, which has a later incarnation.
    Renewed(Member, Reason),
}

/// One broker's view of which members of the cluster are alive.
pub struct FailureDetector {
    swim: Swim,
    own: Member,
    seeds: Vec<Member>,
    config: SwimConfig,
    seed: u64,
    /// When a member last responded to this broker, on the detector's clock.
    last_acknowledgement_at: Time,
    /// The library's timers, keyed by due time on the detector's clock and then by order of
    /// setting.
    timers: BTreeMap<(Time, u64), Timer<Member>>,
    timers_set: u64,
    announce_at: Time,
    /// Total time that this process was paused, by which the detector's clock is behind.
    total_pause: Micros,
    alive: BTreeMap<String, Member>,
    rejected_messages: u64,
}

impl FailureDetector {
    /// Creates the view of the broker `own`, which initially knows only these seeds. The first call
    /// of [`FailureDetector::on_time`] sends the first messages. `seed` initializes the random
    /// numbers.
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
            total_pause: 0,
            alive: BTreeMap::new(),
            rejected_messages: 0,
        }
    }

    /// Returns the identity of this broker as a member, with its current incarnation.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the other members that are believed alive, by name.
    #[must_use]
    pub fn alive(&self) -> &BTreeMap<String, Member> {
        &self.alive
    }

    /// Returns the number of messages that could not be decoded or were not for this broker.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// Converts a time to the detector's clock, which stops while this process is paused.
    fn detector_time(&self, now: Time) -> Time {
        now.minus(self.total_pause)
    }

    /// Returns when [`FailureDetector::on_time`] has to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let timer = self.timers.keys().next();
        let local = timer.map_or(self.announce_at, |key| key.0.min(self.announce_at));
        local.plus(self.total_pause)
    }

    /// Sends due announcements and runs due timers. Must be called at the time that
    /// [`FailureDetector::next`] returns, and before waiting messages are handled, because a late
    /// call indicates that this process was paused.
    pub fn on_time(&mut self, now: Time) -> Vec<DetectorAction> {
        let late = now.since(self.next());
        if late > PAUSE_THRESHOLD {
            // The other members' responses are still unread, so the pause must not count against
            // them.
            self.total_pause += late;
        }
        let (local, mut actions) = (self.detector_time(now), Vec::new());
        if self.announce_at <= local {
            self.announce_at = local.plus(ANNOUNCE_INTERVAL);
            self.announce(local, &mut actions);
        }
        // Timers set below run in the next call at the earliest, so that this loop terminates.
        let later = self.timers.split_off(&(local.plus(1), 0));
        for ((due, _), timer) in std::mem::replace(&mut self.timers, later) {
            let ends_suspicion = matches!(timer, Timer::ChangeSuspectToDown { .. });
            if ends_suspicion && self.is_withheld(local, due) {
                self.set_timer(local.plus(self.config.probe_interval), timer);
                continue;
            }
            let mut output = AccumulatingRuntime::new();
            // The library returns a harmless error for the timer of a probe that has already ended.
            let _ = self.swim.handle_timer(timer, &mut output);
            self.take_output(local, &mut output, &mut actions);
        }
        actions
    }

    fn set_timer(&mut self, at: Time, timer: Timer<Member>) {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
    }

    /// Returns the time without a response after which this broker counts as isolated.
    fn isolation_timeout(&self) -> Micros {
        (ISOLATION_PROBES * self.config.probe_interval).min(self.config.suspicion_timeout)
    }

    /// Returns whether the end of a suspicion has to be withheld because this broker is isolated,
    /// and the bound for that is not reached. Otherwise a broker whose messages are lost would
    /// regard all others as dead, and would spread this once its messages arrive again.
    fn is_withheld(&self, local: Time, due: Time) -> bool {
        let (silence, isolation) = (
            local.since(self.last_acknowledgement_at),
            self.isolation_timeout(),
        );
        let bound = isolation + (MAX_WITHHELD_SUSPICIONS + 1) * self.config.suspicion_timeout;
        due <= local && silence >= isolation && silence < bound
    }

    /// Handles a member's response to this broker. If this broker was isolated, it discards its
    /// suspicions: the suspected members did not learn of them and could not refute them.
    fn on_acknowledgement(&mut self, local: Time, actions: &mut Vec<DetectorAction>) {
        if local.since(self.last_acknowledgement_at) >= self.isolation_timeout() {
            self.discard_suspicions(local, actions);
        }
        self.last_acknowledgement_at = local;
    }

    /// Resets the library's state to the known members, all of them alive. They are probed again,
    /// and the seeds receive a new announcement.
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
        // The library accepts these members, since it has returned them itself.
        let _ = self.swim.apply_many(known.into_iter(), false, &mut output);
        self.take_output(local, &mut output, actions);
    }

    /// Announces this broker to some of the seeds that are not believed alive, in rotating order.
    fn announce(&mut self, local: Time, actions: &mut Vec<DetectorAction>) {
        let is_absent = |seed: &&Member| !self.alive.contains_key(&seed.name);
        let absent: Vec<&Member> = self.seeds.iter().filter(is_absent).collect();
        if absent.is_empty() {
            return;
        }
        // Each broker uses its own order of the seeds, so that a fleet that starts at the same time
        // does not overload one seed.
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

    /// Handles an encoded message from another member.
    pub fn on_message(&mut self, now: Time, bytes: &[u8]) -> Vec<DetectorAction> {
        let (local, mut actions) = (self.detector_time(now), Vec::new());
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

    /// Announces to some other members that this broker stops, so that they need not detect it.
    pub fn on_stop(&mut self, now: Time) -> Vec<DetectorAction> {
        let (local, mut actions) = (self.detector_time(now), Vec::new());
        let mut output = AccumulatingRuntime::new();
        let _ = self.swim.leave_cluster(&mut output);
        self.take_output(local, &mut output, &mut actions);
        actions
    }

    /// Converts the library's output to timers and actions.
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
            // The library's messages for the new incarnation still contain the suspicions of the
            // former one, so they are not sent.
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
            // The end of a former incarnation does not change the view.
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

    /// Returns whether no later incarnation of the member is believed alive.
    fn is_latest(&self, member: &Member) -> bool {
        let alive = self.alive.get(&member.name);
        alive.is_none_or(|alive| alive.incarnation <= member.incarnation)
    }
}

#[cfg(test)]
mod tests;
