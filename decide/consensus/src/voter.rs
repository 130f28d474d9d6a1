//! One voter: the library's state with time, memory and messages round it, and the grants that
//! follow from the log.

use crate::genesis::{Genesis, Identity};
use crate::persistent_state::{take, Journal, PersistentState, Record};
use crate::state::Entry;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_lease::grants::{self, Grants};
use lichenswitch_lease::Terms;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::collections::BTreeMap;
use std::fmt;

/// The library's clock ticks this often (microseconds); leaders are looked for every so many ticks,
/// what may be lost is said again after so many.
const TICK: Micros = 50_000;
const ELECTION_TICKS: u64 = 6;
const RESEND_TICKS: u64 = 10;
/// So many decided entries make a snapshot: the log stays this long at most, and as long again
/// while it is agreed on.
const SNAPSHOT: usize = 500;
/// A lease that is over is said to be again after this long, if the log has not shown it
/// (microseconds).
const SAY_AGAIN: Micros = 1_000_000;

/// What follows from an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// These are kept for good before any of the verdicts behind it is carried out; if that fails,
    /// the voter ends.
    Keep(Vec<Record>),
    /// These bytes are for that voter.
    Send(Identity, Vec<u8>),
    /// An entry was decided, at this place of the log, and led to that.
    Decided(usize, Entry, grants::Verdict),
    /// What was decided up to this place came as a snapshot.
    Caught(usize),
    /// This voter leads now, or by its knowledge that one does.
    Led(Identity, Reason),
}

/// Why somebody leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A majority has promised it under this number.
    Elected(u32),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Elected(number) => write!(f, "a majority has promised it, number {number}"),
        }
    }
}

/// What the library calls a voter: its place in the genesis, from 1. It keeps a table up to the
/// greatest of these numbers, so a memory's own number would not do.
fn place(genesis: &Genesis, voter: &Identity) -> u64 {
    1 + genesis
        .voters()
        .iter()
        .position(|v| v == voter)
        .unwrap_or_default() as u64
}

/// One voter.
pub struct Voter {
    paxos: OmniPaxos<Entry, PersistentState>,
    journal: Journal,
    /// What has been kept so far.
    memory: PersistentState,
    genesis: Genesis,
    own: Identity,
    terms: Terms,
    tick_at: Time,
    /// Entries applied, and what they led to.
    applied: usize,
    grants: Grants,
    /// Ends of leases that this voter has put forward, and when.
    said: BTreeMap<String, Time>,
    leader: Option<(Identity, u32)>,
    refused: u64,
}

impl Voter {
    /// The voter that has kept this, under a genesis that names it; leases last by `terms`. What it
    /// kept of the log it learns of now, so it waits for the end of each lease from here on.
    ///
    /// # Errors
    /// When what was kept names no identity, or no genesis that names it.
    pub fn new(now: Time, state: PersistentState, terms: Terms) -> Result<Voter, String> {
        let own = state
            .identity()
            .cloned()
            .ok_or("what was kept names no identity")?;
        let genesis = state
            .genesis()
            .cloned()
            .ok_or("what was kept names no genesis")?;
        if !genesis.voters().contains(&own) {
            return Err(format!(
                "the genesis does not name {} with this memory",
                own.name
            ));
        }
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: 1,
                nodes: (1..=genesis.voters().len() as u64).collect(),
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: place(&genesis, &own),
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                ..ServerConfig::default()
            },
        };
        let (journal, memory) = (state.journal(), state.clone());
        let paxos = config.build(state).map_err(|e| format!("voters: {e:?}"))?;
        let mut voter = Voter {
            paxos,
            journal,
            memory,
            genesis,
            own,
            terms,
            tick_at: now,
            applied: 0,
            grants: Grants::default(),
            said: BTreeMap::new(),
            leader: None,
            refused: 0,
        };
        // What is known already is nobody's news.
        voter.learn(now);
        Ok(voter)
    }

    /// What was granted, as far as this voter has applied the log.
    #[must_use]
    pub fn grants(&self) -> &Grants {
        &self.grants
    }

    /// Entries that it has applied.
    #[must_use]
    pub fn applied(&self) -> usize {
        self.applied
    }

    /// All that it has told to keep so far, as one record.
    #[must_use]
    pub fn memory(&self) -> Record {
        self.memory.whole()
    }

    /// Its genesis.
    #[must_use]
    pub fn genesis(&self) -> &Genesis {
        &self.genesis
    }

    /// Who leads, by its knowledge.
    #[must_use]
    pub fn leader(&self) -> Option<&Identity> {
        self.leader.as_ref().map(|(who, _)| who)
    }

    /// Messages that made no sense here, or were of another genesis.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// When [`Voter::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        self.tick_at
    }

    /// Time has come.
    pub fn on_time(&mut self, now: Time) -> Vec<Verdict> {
        if now >= self.tick_at {
            // One that stood still ticks once: the others' words lie unread, and nobody has failed
            // to speak.
            self.tick_at = now.plus(TICK);
            self.paxos.tick();
            self.end_leases(now);
        }
        self.told(now)
    }

    /// Puts an entry forward. It may be lost on the way: whoever waits for it says it again.
    pub fn on_entry(&mut self, now: Time, entry: Entry) -> Vec<Verdict> {
        // The log refuses entries only while voters are replaced, and then whoever waits says them
        // again too.
        let _ = self.paxos.append(entry);
        self.told(now)
    }

    /// A message of another voter has come.
    pub fn on_message(&mut self, now: Time, bytes: &[u8]) -> Vec<Verdict> {
        let read: Result<(u64, Message<Entry>), _> = postcard::from_bytes(bytes);
        let (voters, own) = (
            self.genesis.voters().len() as u64,
            place(&self.genesis, &self.own),
        );
        // Guards the log: a word of another genesis is about another log, and who has forgotten has
        // none to speak by.
        match read {
            Ok((digest, message))
                if digest == self.genesis.digest()
                    && message.get_receiver() == own
                    && message.get_sender() != own
                    && (1..=voters).contains(&message.get_sender()) =>
            {
                self.paxos.handle_incoming(message);
            }
            _ => self.refused += 1,
        }
        self.told(now)
    }

    /// A connection to or from another voter is there again after it was lost: what was on its way
    /// may be missing.
    pub fn on_reconnected(&mut self, now: Time, name: &str) -> Vec<Verdict> {
        if let Some(voter) = self
            .genesis
            .voters()
            .iter()
            .find(|v| v.name == name && **v != self.own)
        {
            self.paxos.reconnected(place(&self.genesis, voter));
        }
        self.told(now)
    }

    /// Puts forward that leases are over by this voter's clock. Each says so: the one that leads
    /// may be gone just then, and twice does no harm.
    fn end_leases(&mut self, now: Time) {
        for grant in self.grants.over(now, self.terms) {
            let key = format!("{grant:?}");
            if self
                .said
                .get(&key)
                .is_none_or(|at| now.since(*at) >= SAY_AGAIN)
            {
                self.said.insert(key, now);
                let _ = self.paxos.append(Entry { grant, number: 0 });
            }
        }
        self.said.retain(|_, at| now.since(*at) < 10 * SAY_AGAIN);
    }

    /// Applies what was decided since the last time.
    fn learn(&mut self, now: Time) -> Vec<Verdict> {
        let mut told = Vec::new();
        for entry in self
            .paxos
            .read_decided_suffix(self.applied)
            .unwrap_or_default()
        {
            match entry {
                LogEntry::Decided(entry) => {
                    let verdict = self.grants.on_entry(now, &entry.grant);
                    told.push(Verdict::Decided(self.applied, entry, verdict));
                    self.applied += 1;
                }
                LogEntry::Snapshotted(short) if short.trimmed_idx > self.applied => {
                    self.grants = short.snapshot.grants(now);
                    self.applied = short.trimmed_idx;
                    told.push(Verdict::Caught(self.applied));
                }
                _ => {}
            }
        }
        if self.applied >= self.paxos.get_compacted_idx() + SNAPSHOT {
            // Refused only where it is made already.
            let _ = self.paxos.snapshot(Some(self.applied), true);
        }
        told
    }

    /// The voter at a place of the genesis, from 1.
    fn at(&self, place: u64) -> Option<&Identity> {
        self.genesis.voters().get((place as usize).checked_sub(1)?)
    }

    fn told(&mut self, now: Time) -> Vec<Verdict> {
        let learnt = self.learn(now);
        let mut out = Vec::new();
        self.paxos.take_outgoing_messages(&mut out);
        let records = take(&self.journal);
        for record in &records {
            // It was written a moment ago.
            let _ = self.memory.extend(record);
        }
        let mut told = Vec::new();
        told.extend((!records.is_empty()).then_some(Verdict::Keep(records)));
        let digest = self.genesis.digest();
        for message in out {
            let to = self.at(message.get_receiver());
            let bytes = postcard::to_stdvec(&(digest, &message)).ok();
            told.extend(
                to.zip(bytes)
                    .map(|(to, bytes)| Verdict::Send(to.clone(), bytes)),
            );
        }
        told.extend(learnt);
        let number = self.paxos.get_promise().n;
        let leads = self
            .paxos
            .get_current_leader()
            .and_then(|(place, _)| self.at(place))
            .cloned();
        if let Some(leads) = leads.filter(|l| {
            self.leader
                .as_ref()
                .is_none_or(|(who, n)| who != l || *n != number)
        }) {
            self.leader = Some((leads.clone(), number));
            told.push(Verdict::Led(leads, Reason::Elected(number)));
        }
        told
    }
}

#[cfg(test)]
mod tests;
