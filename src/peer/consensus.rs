//! The consensus of the voters on their log over the connections to peers, and the duties that this
//! broker would like to hold.
//!
//! It owns the voter's file, the asks that wait for an answer, and what this broker holds. It
//! promises: nothing is said before what it rests on is kept, a broker that can't keep does not
//! vote, and whether it holds a duty is asked of its own lease each time. It decides nothing
//! itself: `decide::agree` and `decide::duty` do.

mod messages;

pub use messages::OutgoingMessages;

use self::messages::{outgoing, Message};
use crate::decide::agree::genesis::{Announcement, Gather, Identity, Reason};
use crate::decide::agree::persistent_state::{PersistentState, Record};
use crate::decide::agree::standing::{Hearing, Standing};
use crate::decide::agree::state::Entry;
use crate::decide::agree::{Verdict, Voter};
use crate::decide::duty::grants::{Entry as Grant, Verdict as Granted};
use crate::decide::duty::hold::{Hold, Verdict as May};
use crate::decide::duty::{Duty, FenceNumber, Holder, Terms};
use crate::interface::{Micros, Time};
use lichenswitch_record_log::Keep;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Voters that have not begun announce themselves this often (microseconds).
const GATHER: Micros = 500_000;
/// How often it looks at what it holds (microseconds): a lease that runs out is told so soon after
/// it has.
const LOOK: Micros = 25_000;
/// Whoever was refused a duty asks again after this many hundredths of a lease.
const REFUSED: u64 = 30;
/// Asks of others that wait for the log, at most, and for how many leases: whoever asked has asked
/// again by then.
const WAITING: usize = 256;
const WAITS: u64 = 2;

/// Voters, folder, duties and terms, as the operators' file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The voters, by name.
    pub voters: Vec<String>,
    /// Where this broker keeps its memory, if it votes; `None`: in the process alone.
    pub folder: Option<PathBuf>,
    /// Duties that this broker would like to hold.
    pub duties: Vec<String>,
    /// How long leases last.
    pub terms: Terms,
}

/// Whether this broker votes.
enum VoterRole {
    /// It is none of the voters.
    Reader,
    /// It waits for the genesis.
    Gathers(Box<(Gather, PersistentState)>),
    /// It votes.
    Votes(Box<Voter>),
    /// It does not, though it is named.
    Abstains,
}

struct Holding {
    hold: Hold,
    /// Not asked for before this.
    not_before: Time,
    /// The fence under which it was held at the last look.
    held: Option<FenceNumber>,
}

/// This broker's part in the consensus: as a voter, or as a broker that asks the voters.
pub struct Consensus {
    own: Holder,
    rules: Rules,
    voter_role: VoterRole,
    keep: Option<Keep>,
    holdings: BTreeMap<Duty, Holding>,
    /// Who has heard this broker, and how it stood at the last look.
    hearing: Hearing,
    stood: Option<Standing>,
    /// A voter that knows of no grant grants none before this: see [`Consensus::begin`].
    grants_from: Time,
    /// Asks that were put into the log here: whose, by which number, from whom, when.
    asks: Vec<(Duty, Holder, u64, String, Time)>,
    /// The voter that is asked next.
    asked: usize,
    gather_at: Time,
    look_at: Time,
    log: Vec<String>,
}

impl Consensus {
    /// The part of `own` in the consensus of a cluster.
    ///
    /// # Errors
    /// When the folder can't be used, or holds records that this version can't read.
    pub fn new(now: Time, cluster: &str, own: Holder, rules: Rules) -> Result<Consensus, String> {
        let holding = || Holding {
            hold: Hold::default(),
            not_before: now,
            held: None,
        };
        let holdings = rules
            .duties
            .iter()
            .map(|d| (Duty(d.clone()), holding()))
            .collect();
        let hearing = Hearing::new(rules.voters.len(), rules.terms);
        let mut consensus = Consensus {
            hearing,
            stood: None,
            grants_from: now,
            own,
            rules,
            voter_role: VoterRole::Reader,
            keep: None,
            holdings,
            asks: Vec::new(),
            asked: 0,
            gather_at: now,
            look_at: now,
            log: Vec::new(),
        };
        if consensus.rules.voters.contains(&consensus.own.name) {
            consensus.sit(now, cluster)?;
        }
        Ok(consensus)
    }

    /// Takes this voter's seat, with the memory that it has.
    fn sit(&mut self, now: Time, cluster: &str) -> Result<(), String> {
        let mut records = Vec::new();
        if let Some(folder) = self.rules.folder.clone() {
            let fault =
                |e: &dyn std::fmt::Display| format!("peers: folder: {}: {e}", folder.display());
            let owner = format!("{cluster} {}", self.own.name);
            let (keep, found) = Keep::open(&folder, &owner).map_err(|e| fault(&e))?;
            if let Some((path, why)) = &found.aside {
                self.log.push(format!(
                    "council: {why}; it is set aside as {}",
                    path.display()
                ));
            }
            if found.torn > 0 {
                self.log.push(format!(
                    "council: {} bytes whose writing was cut off are left aside",
                    found.torn
                ));
            }
            records = found.records.into_iter().map(Record).collect();
            self.keep = Some(keep);
        } else {
            self.log
                .push("council: no folder: what this voter promises ends with its process".into());
        }
        let mut state = PersistentState::from_records(&records)
            .map_err(|why| format!("peers: folder: {why}"))?;
        if state.identity().is_none() {
            // Two lives of a broker do not begin in the same microsecond, and names tell brokers
            // apart.
            let name = self
                .own
                .name
                .bytes()
                .fold(0u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
            let memory = (self.own.life ^ name.rotate_left(40)).max(1);
            state.begin(Identity {
                name: self.own.name.clone(),
                memory,
            });
        }
        let Some(identity) = state.identity().cloned() else {
            return Ok(());
        };
        let gather = Gather::new(identity, &self.rules.voters, state.genesis().cloned());
        self.voter_role = VoterRole::Gathers(Box::new((gather, state)));
        self.flush_gathering();
        self.begin(now);
        Ok(())
    }

    /// Keeps what the gathering has noted; without that it does not vote.
    fn flush_gathering(&mut self) {
        let VoterRole::Gathers(gathering) = &self.voter_role else {
            return;
        };
        let records = gathering.1.take_records();
        if !self.persist(&records) {
            self.voter_role = VoterRole::Abstains;
        }
    }

    /// Writes records to the file; `false`: it failed, and this broker votes no more.
    fn persist(&mut self, records: &[Record]) -> bool {
        let Some(keep) = &mut self.keep else {
            return true;
        };
        let records: Vec<Vec<u8>> = records.iter().map(|r| r.0.clone()).collect();
        if let Err(e) = if records.is_empty() {
            Ok(())
        } else {
            keep.append(&records)
        } {
            self.log.push(format!(
                "council: its folder can't be written: {e}; it does not vote from here on"
            ));
            return false;
        }
        true
    }

    /// Votes from here on, if the genesis names it.
    fn begin(&mut self, now: Time) {
        let VoterRole::Gathers(gathering) = &self.voter_role else {
            return;
        };
        let (gather, state) = &**gathering;
        match (gather.why(), gather.genesis()) {
            (Reason::Named, Some(genesis)) => {
                let names: Vec<&str> = genesis.voters().iter().map(|v| v.name.as_str()).collect();
                let line = format!(
                    "council: votes, genesis {:x} ({})",
                    genesis.digest(),
                    names.join(", ")
                );
                match Voter::new(now, state.clone(), self.rules.terms) {
                    Ok(voter) => {
                        // Guards who still holds a duty by a genesis that all voters have
                        // forgotten: its lease is over first.
                        if voter.applied() == 0 {
                            self.grants_from = now.plus(self.rules.terms.awaited());
                        }
                        self.log
                            .push(format!("{line}, {} entries known", voter.applied()));
                        self.voter_role = VoterRole::Votes(Box::new(voter));
                    }
                    Err(why) => {
                        self.log.push(format!("council: does not vote: {why}"));
                        self.voter_role = VoterRole::Abstains;
                    }
                }
            }
            (Reason::Waits(_), _) => {}
            (why, _) => {
                self.log.push(format!("council: does not vote: {why}"));
                self.voter_role = VoterRole::Abstains;
            }
        }
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Under which fence this broker may act for a duty now, if it may.
    #[must_use]
    pub fn may_act(&self, now: Time, duty: &Duty) -> Option<FenceNumber> {
        match self.holdings.get(duty)?.hold.check(now, self.rules.terms) {
            May::Act(fence, _) => Some(fence),
            May::Refrain(_) => None,
        }
    }

    /// When [`Consensus::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let mut next = Time(u64::MAX);
        match &self.voter_role {
            VoterRole::Votes(voter) => next = next.min(voter.next()),
            VoterRole::Gathers(_) => next = next.min(self.gather_at),
            VoterRole::Reader | VoterRole::Abstains => {}
        }
        next.min(self.look_at)
    }

    /// Where this broker stands among the voters.
    #[must_use]
    pub fn standing(&self, now: Time) -> Standing {
        self.hearing.standing(now).0
    }

    /// Time has come.
    pub fn on_time(&mut self, now: Time) -> OutgoingMessages {
        let mut out = OutgoingMessages::new();
        if now >= self.look_at {
            self.look_at = now.plus(LOOK);
            self.look(now, &mut out);
        }
        match &mut self.voter_role {
            VoterRole::Votes(voter) => {
                let told = voter.on_time(now);
                self.carry(now, told, &mut out);
            }
            VoterRole::Gathers(gathering) if now >= self.gather_at => {
                self.gather_at = now.plus(GATHER);
                let announcement = Message::Announcement(gathering.0.announcement());
                let others = self.rules.voters.iter().filter(|v| **v != self.own.name);
                out.extend(others.map(|v| outgoing(v, &announcement)));
            }
            _ => {}
        }
        out
    }

    /// Looks at what it holds: tells what began and what is over, and asks where it is time.
    fn look(&mut self, now: Time, out: &mut OutgoingMessages) {
        let (standing, why) = self.hearing.standing(now);
        // Guards the log: nothing is said of a start, before anybody could have heard it.
        if self.stood.is_some_and(|stood| stood != standing)
            || self.stood.is_none() && standing == Standing::Joined
        {
            self.log.push(format!("standing: {standing}: {why}"));
            self.stood = Some(standing);
        }
        if now >= self.hearing.ask_at() {
            let hear = Message::Hear(self.hearing.on_ask(now));
            for voter in self.rules.voters.clone() {
                out.extend(self.say(now, &voter, hear.clone()));
            }
        }
        let terms = self.rules.terms;
        let mut asks = Vec::new();
        for (duty, holding) in &mut self.holdings {
            // A stranger has nothing to ask of a fleet that it does not know.
            if standing == Standing::Stranger {
                holding.not_before = now.plus(LOOK);
            }
            let verdict = holding.hold.check(now, terms);
            let held = match verdict {
                May::Act(fence, _) => Some(fence),
                May::Refrain(_) => None,
            };
            if held != holding.held {
                self.log.push(match verdict {
                    May::Act(fence, why) => {
                        format!("duty {}: held under fence {}: {why}", duty.0, fence.0)
                    }
                    May::Refrain(why) => format!("duty {}: not held: {why}", duty.0),
                });
                holding.held = held;
            }
            if now >= holding.not_before && now >= holding.hold.ask_at(terms) {
                asks.push((duty.clone(), holding.hold.on_ask(now)));
            }
        }
        for (duty, number) in asks {
            // One after the other in turn: a voter that is cut off, or gone, answers nobody.
            let voter = self.rules.voters[self.asked % self.rules.voters.len()].clone();
            self.asked += 1;
            let ask = Message::Ask(duty, self.own.clone(), number);
            out.extend(self.say(now, &voter, ask));
        }
    }

    /// A message of another broker has come.
    pub fn on_word(&mut self, now: Time, from: &str, bytes: &[u8]) -> OutgoingMessages {
        match postcard::from_bytes::<Message>(bytes) {
            Ok(message) => self.hear(now, from, message),
            // It is of a version that says more: what it wants is not known here.
            Err(_) => OutgoingMessages::new(),
        }
    }

    /// A way to or from another broker is there again.
    pub fn on_way(&mut self, now: Time, name: &str) -> OutgoingMessages {
        let mut out = OutgoingMessages::new();
        if let VoterRole::Votes(voter) = &mut self.voter_role {
            let told = voter.on_reconnected(now, name);
            self.carry(now, told, &mut out);
        }
        out
    }

    /// This broker stops: what it holds it gives back.
    pub fn on_stop(&mut self, now: Time) -> OutgoingMessages {
        let mut out = OutgoingMessages::new();
        for (duty, holding) in std::mem::take(&mut self.holdings) {
            let mut hold = holding.hold;
            let held = matches!(hold.check(now, self.rules.terms), May::Act(..));
            if let Some(fence) = hold.on_give_back().filter(|_| held) {
                self.log
                    .push(format!("duty {}: not held: given back", duty.0));
                let back = Message::GiveBack(duty, fence);
                // To all: the first that enters it counts, and this broker does not wait for
                // answers any more.
                let voters = self.rules.voters.clone();
                for voter in voters {
                    out.extend(self.say(now, &voter, back.clone()));
                }
            }
        }
        out
    }

    fn hear(&mut self, now: Time, from: &str, message: Message) -> OutgoingMessages {
        let mut out = OutgoingMessages::new();
        match (message, &mut self.voter_role) {
            (Message::Announcement(announcement), VoterRole::Gathers(gathering))
                if announcement.identity.name == from =>
            {
                let (gather, state) = &mut **gathering;
                let was = gather.why().clone();
                if let (true, Some(genesis)) =
                    (gather.on_announcement(&announcement), gather.genesis())
                {
                    state.begun(genesis.clone());
                }
                if was != *gather.why() {
                    self.flush_gathering();
                    self.begin(now);
                }
            }
            (Message::Announcement(announcement), VoterRole::Votes(voter))
                if announcement.begun.is_none() =>
            {
                let own = voter
                    .genesis()
                    .voters()
                    .iter()
                    .find(|v| v.name == self.own.name)
                    .cloned();
                let begun = Some(voter.genesis().clone());
                out.extend(own.map(|identity| {
                    outgoing(
                        from,
                        &Message::Announcement(Announcement { identity, begun }),
                    )
                }));
            }
            (Message::Log(bytes), VoterRole::Votes(voter)) => {
                let told = voter.on_message(now, &bytes);
                self.carry(now, told, &mut out);
            }
            (Message::Ask(duty, holder, number), VoterRole::Votes(voter))
                if holder.name == from =>
            {
                // Guards the log against those who would be refused; that this voter may be behind
                // only makes them ask again.
                let elsewhere = voter
                    .grants()
                    .holder(&duty)
                    .is_some_and(|(held_by, _)| *held_by != holder);
                if elsewhere || now < self.grants_from {
                    return self.say(now, from, Message::Elsewhere(duty));
                }
                let old = |at: Time| now.since(at) > WAITS * self.rules.terms.lease;
                self.asks.retain(|a| !old(a.4));
                if self.asks.len() < WAITING {
                    self.asks
                        .push((duty.clone(), holder.clone(), number, from.into(), now));
                    let told = voter.on_entry(
                        now,
                        Entry {
                            grant: Grant::Ask(duty, holder),
                            number,
                        },
                    );
                    self.carry(now, told, &mut out);
                }
            }
            // Guards the holder: nobody else gives back what it acts under. A voter that is behind
            // leaves it to the others.
            (Message::GiveBack(duty, fence), VoterRole::Votes(voter))
                if voter
                    .grants()
                    .holder(&duty)
                    .is_some_and(|(held_by, _)| held_by.name == from) =>
            {
                let told = voter.on_entry(
                    now,
                    Entry {
                        grant: Grant::GiveBack(duty, fence),
                        number: 0,
                    },
                );
                self.carry(now, told, &mut out);
            }
            (Message::Answer(duty, number, fence), _) => {
                if let Some(holding) = self.holdings.get_mut(&duty) {
                    match fence {
                        Some(fence) => drop(holding.hold.on_grant(number, fence)),
                        None => {
                            holding.hold.on_refusal(number);
                            holding.not_before = now.plus(self.rules.terms.lease / 100 * REFUSED);
                        }
                    }
                }
            }
            (Message::Hear(number), VoterRole::Votes(voter)) => {
                let heard = Message::Heard(number, voter.genesis().digest());
                return self.say(now, from, heard);
            }
            (Message::Heard(number, genesis), _) => self.hearing.on_answer(from, number, genesis),
            (Message::Elsewhere(duty), _) => {
                // Who holds it knows better than a voter that was away, and asks the next one.
                let holds = self.may_act(now, &duty).is_some();
                let after = now.plus(self.rules.terms.lease / 100 * REFUSED);
                if let Some(holding) = self.holdings.get_mut(&duty).filter(|_| !holds) {
                    holding.not_before = after;
                }
            }
            // Not for this broker as it is: whoever said it says it to another one.
            _ => {}
        }
        out
    }

    fn say(&mut self, now: Time, to: &str, message: Message) -> OutgoingMessages {
        match to == self.own.name {
            true => self.hear(now, to, message),
            false => vec![outgoing(to, &message)],
        }
    }

    /// Carries out a voter's verdicts, in order.
    fn carry(&mut self, now: Time, told: Vec<Verdict>, out: &mut OutgoingMessages) {
        for verdict in told {
            match verdict {
                Verdict::Keep(records) => {
                    if !self.persist(&records) {
                        // Guards the others: what could not be kept must not be told.
                        self.voter_role = VoterRole::Abstains;
                        return;
                    }
                }
                Verdict::Send(to, bytes) => out.push(outgoing(&to.name, &Message::Log(bytes))),
                Verdict::Decided(_, entry, granted) => self.decided(now, &entry, &granted, out),
                Verdict::Caught(place) => {
                    self.log
                        .push(format!("council: caught up to entry {place} by a snapshot"));
                }
                Verdict::Led(who, why) => {
                    self.log.push(format!("council: {} leads: {why}", who.name))
                }
            }
        }
        if self.keep.as_ref().is_some_and(Keep::is_large) {
            self.shorten();
        }
    }

    fn decided(&mut self, now: Time, entry: &Entry, granted: &Granted, out: &mut OutgoingMessages) {
        let Grant::Ask(duty, holder) = &entry.grant else {
            return;
        };
        let waits = |a: &(Duty, Holder, u64, String, Time)| {
            (&a.0, &a.1, a.2) == (duty, holder, entry.number)
        };
        let Some(at) = self.asks.iter().position(waits) else {
            return;
        };
        let (duty, _, number, from, _) = self.asks.swap_remove(at);
        let fence = match granted {
            Granted::Granted(fence, _) | Granted::Renewed(fence) => Some(*fence),
            _ => None,
        };
        out.extend(self.say(now, &from, Message::Answer(duty, number, fence)));
    }

    /// One record takes the place of all in the file.
    fn shorten(&mut self) {
        let (VoterRole::Votes(voter), Some(keep)) = (&self.voter_role, &mut self.keep) else {
            return;
        };
        if let Err(e) = keep.replace(&voter.memory().0) {
            // What was kept before stays, and goes on.
            self.log.push(format!(
                "council: its folder's file could not be shortened: {e}"
            ));
        }
    }
}

#[cfg(test)]
mod stored_data_tests;
#[cfg(test)]
mod tests;
