//! One control process: the replica, and a thin glue round it by the table of `docs/design/control.md`, section 4.
//!
//! It owns what the role `control` decides, without sockets and files: what is to be done comes back as [`Effect`]s.

mod calls;
mod lag;
mod primary_calls;
mod relayed_calls;
mod routers;
mod state;

use lichenswitch_configuration::judge_alone;
use lichenswitch_messages::{ControlToRouter, PeerMessage, RelayedAnswer, RelayedCall, RouterToControl};
use lichenswitch_replication::{DurableItem, Notice, Output, Position, Replica, Ticket, Time};

use self::calls::{answer, Call, Origin};
use self::lag::{replication_message, Lag};
use self::primary_calls::PrimaryCalls;
use self::relayed_calls::{Primary, RelayedCalls, Step};
use self::routers::{position_of, Committed, Routers};
pub use self::state::Replicated;
use crate::packet::{CallId, ConnectionId, Reply};

/// Faults of the glue that tests plant to show that they would be found. All off elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GlueFaults {
    /// A repeat is known by its version number, not by its content.
    pub known_by_number: bool,
    /// The history of orders does not travel with an image.
    pub history_lost: bool,
    /// `describe` is answered by whoever is asked, from what it holds as committed.
    pub describe_without_contact: bool,
    /// Whoever is asked refuses an order by what it holds as committed.
    pub refusal_without_contact: bool,
    /// What is pushed to routers is said to be current, whatever contact there is.
    pub always_in_contact: bool,
    /// A machine that hears the primary but falls behind says that it is in contact.
    pub contact_while_behind: bool,
}

/// Something that the machine has to do for its process.
#[derive(Debug)]
pub enum Effect {
    /// Write and sync.
    Persist(Ticket, DurableItem),
    /// Send to the control machine at this address.
    SendPeer(String, PeerMessage),
    /// End a call from outside.
    Reply(CallId, Reply),
    /// Send to a router.
    ToRouter(ConnectionId, ControlToRouter),
    /// A position is committed.
    Committed(Position),
    /// For the trace.
    Notice(Notice),
    /// The process has left, and ends.
    End,
}

/// A control process.
pub struct ControlProcess {
    replica: Replica<Replicated>,
    faults: GlueFaults,
    primary_calls: PrimaryCalls,
    relayed_calls: RelayedCalls,
    routers: Routers,
    lag: Lag,
    open_calls: Vec<CallId>,
    /// When it ends at the latest, once it was told to.
    end_at: Option<Time>,
    effects: Vec<Effect>,
}

impl ControlProcess {
    /// A process round a replica. `first_call` is above all numbers that earlier processes gave their calls.
    pub fn new(replica: Replica<Replicated>, faults: GlueFaults, first_call: u64) -> Self {
        Self {
            replica,
            faults,
            primary_calls: PrimaryCalls::new(faults),
            relayed_calls: RelayedCalls::new(first_call),
            routers: Routers::default(),
            lag: Lag::default(),
            open_calls: Vec::new(),
            end_at: None,
            effects: Vec::new(),
        }
    }

    /// The replica.
    pub fn replica(&self) -> &Replica<Replicated> {
        &self.replica
    }

    /// Calls and connections that end with the process.
    pub fn open(&self) -> (&[CallId], Vec<ConnectionId>) {
        (&self.open_calls, self.routers.connections())
    }

    /// A message of another control machine.
    pub fn on_peer(&mut self, now: Time, from: &str, message: PeerMessage) {
        if let Some(message) = replication_message(&message) {
            self.lag.on_message(&message);
            return self.replica.on_message(now, message);
        }
        match message {
            PeerMessage::Call { id, call } => {
                let origin = Origin::Peer { address: from.to_owned(), id };
                self.take_relayed(now, Call { origin, question: call, arrived: now });
            }
            PeerMessage::Answer { id, answer } => {
                if let Some(step) = self.relayed_calls.on_answer(now, id, answer) {
                    self.do_step(now, step);
                }
            }
            _ => {}
        }
    }

    fn take_relayed(&mut self, now: Time, call: Call) {
        if self.replica.is_serving() {
            self.primary_calls.take(now, call, &mut self.replica);
        } else {
            self.end_call(now, call, RelayedAnswer::NotPrimary);
        }
    }

    /// A call from outside.
    pub fn on_call(&mut self, now: Time, id: CallId, question: RelayedCall) {
        self.open_calls.push(id);
        let call = Call { origin: Origin::Caller(id), question, arrived: now };
        let invalid = call.order().is_some_and(|order| judge_alone(&order).is_err());
        if invalid {
            return self.end_call(now, call, answer(400));
        }
        match self.answer_without_contact(&call) {
            Some(answer) => self.end_call(now, call, answer),
            None => self.relayed_calls.take(call),
        }
    }

    /// The planted faults of answers from memory.
    fn answer_without_contact(&self, call: &Call) -> Option<RelayedAnswer> {
        let (_, committed) = self.replica.committed()?;
        match call.order() {
            None if self.faults.describe_without_contact => Some(primary_calls::describe(&self.replica)),
            Some(order) if self.faults.refusal_without_contact => {
                let other = order.base_version != committed.state.version();
                let taken = committed.state.taken(&order.digest());
                (other && !taken).then(|| answer(412))
            }
            _ => None,
        }
    }

    /// A router has said something, or closed its connection.
    pub fn on_router(&mut self, id: ConnectionId, now: Time, message: Option<RouterToControl>) {
        match message {
            None => self.routers.on_closed(id),
            Some(RouterToControl::Hello { configuration, .. }) => {
                let (in_contact, committed) = (self.in_contact(now), self.committed());
                let pushes = self.routers.on_hello(id, configuration, in_contact, committed.as_ref());
                self.effects.extend(pushes.into_iter().map(|(id, push)| Effect::ToRouter(id, push)));
            }
            Some(RouterToControl::Applied { .. }) => {}
        }
    }

    /// An item, and all before it, is synced.
    pub fn on_persisted(&mut self, now: Time, ticket: Ticket) {
        self.replica.on_persisted(now, ticket);
    }

    /// An item, and all behind it, was not written.
    pub fn on_persist_failed(&mut self, now: Time, ticket: Ticket) {
        self.replica.on_persist_failed(now, ticket);
    }

    /// Told to end, at this time at the latest.
    pub fn on_terminate(&mut self, now: Time, end_at: Time) {
        self.end_at = Some(end_at);
        self.replica.leave(now);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        self.replica.tick(now);
    }

    /// When [`Self::tick`] has something to do next.
    pub fn next_wake(&self) -> Time {
        let wakes = [
            Some(self.replica.next_wake()),
            self.primary_calls.next_wake(),
            self.relayed_calls.next_wake(),
            self.routers.next_wake(),
            self.end_at,
        ];
        wakes.into_iter().flatten().min().unwrap_or(Time(u64::MAX))
    }

    /// Does what follows from all that came, and tells what the machine has to do.
    pub fn take_effects(&mut self, now: Time) -> Vec<Effect> {
        self.drain(now);
        loop {
            let before = self.effects.len();
            let primary = self.primary();
            for step in self.relayed_calls.advance(now, &primary) {
                self.do_step(now, step);
            }
            self.primary_calls.advance(now, &mut self.replica);
            self.end_calls(now);
            self.drain(now);
            if self.effects.len() == before {
                break;
            }
        }
        self.tell_routers(now);
        if self.end_at.is_some_and(|at| at <= now || self.replica.has_left()) {
            self.effects.push(Effect::End);
        }
        std::mem::take(&mut self.effects)
    }

    fn primary(&self) -> Primary {
        if self.replica.is_serving() {
            return Primary::Here;
        }
        let here = &self.replica.member().address;
        match self.replica.primary().filter(|primary| &primary.address != here) {
            Some(primary) => Primary::At(primary.address.clone()),
            None => Primary::Unknown,
        }
    }

    fn do_step(&mut self, now: Time, step: Step) {
        match step {
            Step::Here(call) => self.primary_calls.take(now, call, &mut self.replica),
            Step::Send(to, id, call) => {
                self.effects.push(Effect::SendPeer(to, PeerMessage::Call { id, call: call.question }));
            }
            Step::Answer(call, answer) => self.end_call(now, call, answer),
        }
    }

    fn end_calls(&mut self, now: Time) {
        for (call, answer) in self.primary_calls.take_ended() {
            let back = matches!(call.origin, Origin::Caller(_)) && answer == RelayedAnswer::NotPrimary;
            if back {
                self.relayed_calls.take_back(now, call);
            } else {
                self.end_call(now, call, answer);
            }
        }
    }

    fn end_call(&mut self, _now: Time, call: Call, answer: RelayedAnswer) {
        let effect = match call.origin {
            Origin::Peer { address, id } => Effect::SendPeer(address, PeerMessage::Answer { id, answer }),
            Origin::Caller(id) => {
                self.open_calls.retain(|open| *open != id);
                Effect::Reply(id, reply_of(answer))
            }
        };
        self.effects.push(effect);
    }

    fn drain(&mut self, now: Time) {
        loop {
            let outputs = self.replica.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|output| self.do_output(now, output));
        }
    }

    fn do_output(&mut self, now: Time, output: Output) {
        let effect = match output {
            Output::Send { to, message } => Effect::SendPeer(to, PeerMessage::Replication(message.encode())),
            Output::Persist { ticket, item } => Effect::Persist(ticket, item),
            Output::Committed(position) => Effect::Committed(position),
            Output::Notice(notice) => Effect::Notice(notice),
            Output::Settled { request, outcome } => {
                return self.primary_calls.on_settled(now, request, &outcome, &mut self.replica);
            }
        };
        self.effects.push(effect);
    }

    fn tell_routers(&mut self, now: Time) {
        self.lag.on_held(now, self.replica.committed().map(|(position, _)| position));
        let mut pushes = Vec::new();
        // What is new comes before the word that all that was sent is current.
        if self.effects.iter().any(|effect| matches!(effect, Effect::Committed(_))) {
            if let Some(committed) = self.committed() {
                pushes.extend(self.routers.push(&committed));
            }
        }
        let in_contact = self.in_contact(now);
        pushes.extend(self.routers.tick(now, in_contact));
        self.effects.extend(pushes.into_iter().map(|(id, push)| Effect::ToRouter(id, push)));
    }

    fn in_contact(&self, now: Time) -> bool {
        let current = self.faults.contact_while_behind || self.lag.keeps_up(now);
        self.faults.always_in_contact || (current && self.replica.in_contact(now))
    }

    fn committed(&self) -> Option<Committed> {
        let (position, committed) = self.replica.committed()?;
        let document = committed.state.document()?;
        let (position, version) = (position_of(position), document.version());
        Some(Committed { position, version, document: document.to_json() })
    }
}

fn reply_of(answer: RelayedAnswer) -> Reply {
    match answer {
        RelayedAnswer::Answer { status, body } => Reply::Answer { status, body },
        RelayedAnswer::NotPrimary => Reply::Answer { status: 503, body: Vec::new() },
        RelayedAnswer::Unknown => Reply::Closed,
    }
}
