//! One control process: the replica, and a thin glue round it by the table of
//! `docs/design/control.md`, section 4.
//!
//! It owns what the role `control` decides, without sockets and files: what is to be done comes
//! back as [`Effect`]s.

mod routers;
mod state;

use lichenswitch_configuration::{judge_alone, Order};
use lichenswitch_control::{
    answer, configuration_position, describe, Change, Committed, Eligibility, Faults, OwnPart,
    Primary, Question, View,
};
use lichenswitch_messages::{
    ControlToRouter, PeerMessage, RelayedCall, RelayedResponse, RouterToControl,
};
use lichenswitch_replication::{
    DurableItem, Identity, Message, Notice, Output, Position, Replica, Time, WriteId,
};
use std::collections::BTreeSet;

use self::routers::Routers;
pub use self::state::Replicated;
use crate::packet::{CallId, ConnectionId, Reply};

type Call = lichenswitch_control::Call<CallId, String>;
type Origin = lichenswitch_control::Origin<CallId, String>;
type Calls = lichenswitch_control::Calls<CallId, String>;
type Action = lichenswitch_control::Action<CallId, String>;

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

impl GlueFaults {
    /// Those that lie in what is decided about calls.
    fn of_calls(self) -> Faults {
        Faults {
            known_by_number: self.known_by_number,
            refusal_without_contact: self.refusal_without_contact,
        }
    }
}

/// Something that the machine has to do for its process.
#[derive(Debug)]
pub enum Effect {
    /// Write and sync.
    Persist(WriteId, DurableItem),
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
    calls: Calls,
    routers: Routers,
    open_calls: Vec<CallId>,
    /// When it ends at the latest, once it was told to.
    end_at: Option<Time>,
    /// Members without a disk.
    without_disk: BTreeSet<Identity>,
    /// Of a machine without a disk.
    own_part: Option<OwnPart>,
    effects: Vec<Effect>,
}

impl ControlProcess {
    /// A process round a replica. `first_call` is above all numbers that earlier processes gave
    /// their calls.
    pub fn new(replica: Replica<Replicated>, faults: GlueFaults, first_call: u64) -> Self {
        Self {
            replica,
            faults,
            calls: Calls::with_faults(first_call, faults.of_calls()),
            routers: Routers::default(),
            open_calls: Vec::new(),
            end_at: None,
            without_disk: BTreeSet::new(),
            own_part: None,
            effects: Vec::new(),
        }
    }

    /// The machine has no disk: it stands in for those with one, in a group that must bear so many
    /// losses.
    pub fn stand_in(&mut self, now: Time, tolerated: u32) {
        self.own_part = Some(OwnPart::new(Eligibility::StandIn, now, tolerated as usize));
    }

    /// These members have no disk.
    pub fn set_diskless_members(&mut self, identities: &BTreeSet<Identity>) {
        self.without_disk.clone_from(identities);
        self.replica.set_diskless_members(identities.clone());
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
        match message {
            PeerMessage::Replication(bytes) => {
                let message = Message::decode(&bytes).expect("what a replica encoded is decoded");
                self.replica.on_message(now, message);
            }
            PeerMessage::Call { id, call } => {
                let origin = Origin::Peer {
                    address: from.to_owned(),
                    id,
                };
                match Question::of_relayed(call) {
                    Some(question) => self.take_call(
                        now,
                        Call {
                            origin,
                            question,
                            arrived: now,
                        },
                    ),
                    None => self.end_call(origin, RelayedResponse::NotPrimary),
                }
            }
            PeerMessage::CallResponse {
                id,
                response: answer,
            } => self.calls.on_answer(now, &from.to_owned(), id, answer),
            _ => {}
        }
    }

    fn take_call(&mut self, now: Time, call: Call) {
        self.calls.take(now, call, Some(&mut self.replica));
    }

    /// A call from outside.
    pub fn on_call(&mut self, now: Time, id: CallId, question: RelayedCall) {
        self.open_calls.push(id);
        let origin = Origin::Caller(id);
        let Some(question) = Question::of_relayed(question) else {
            return self.end_call(origin, answer(400, "there is no such path"));
        };
        let invalid = order_of(&question).and_then(|order| judge_alone(order).err());
        if let Some(error) = invalid {
            return self.end_call(origin, answer(400, &error.to_string()));
        }
        match self.answer_without_contact(&question) {
            Some(answer) => self.end_call(origin, answer),
            None => self.take_call(
                now,
                Call {
                    origin,
                    question,
                    arrived: now,
                },
            ),
        }
    }

    /// The planted faults of answers from memory.
    fn answer_without_contact(&self, question: &Question) -> Option<RelayedResponse> {
        let (_, committed) = self.replica.committed()?;
        match order_of(question) {
            None if self.faults.describe_without_contact => Some(describe(&self.replica)),
            Some(order) if self.faults.refusal_without_contact => {
                let other = order.base_version != committed.state().version();
                let taken = committed.state().taken(&order.digest());
                (other && !taken).then(|| answer(412, "by what is held here"))
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
                let pushes =
                    self.routers
                        .on_hello(id, configuration, in_contact, committed.as_ref());
                self.effects.extend(
                    pushes
                        .into_iter()
                        .map(|(id, push)| Effect::ToRouter(id, push)),
                );
            }
            Some(RouterToControl::Applied { .. }) => {}
        }
    }

    /// An item, and all before it, is synced.
    pub fn on_persisted(&mut self, now: Time, write_id: WriteId) {
        self.replica.on_persisted(now, write_id);
    }

    /// An item, and all behind it, was not written.
    pub fn on_persist_failed(&mut self, now: Time, write_id: WriteId) {
        self.replica.on_persist_failed(now, write_id);
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
            self.calls.next_wake(),
            self.routers.next_wake(),
            self.end_at,
            self.own_part.as_ref().and_then(OwnPart::next_wake),
        ];
        wakes.into_iter().flatten().min().unwrap_or(Time(u64::MAX))
    }

    /// Does what follows from all that came, and tells what the machine has to do.
    pub fn take_effects(&mut self, now: Time) -> Vec<Effect> {
        let relays = self.look_at_own_part(now);
        self.drain(now);
        loop {
            let before = self.effects.len();
            let primary = self.primary();
            for action in self.calls.advance(now, &primary, Some(&mut self.replica)) {
                self.do_action(action);
            }
            self.drain(now);
            if self.effects.len() == before {
                break;
            }
        }
        self.tell_routers(now);
        if relays
            || self
                .end_at
                .is_some_and(|at| at <= now || self.replica.has_left())
        {
            self.effects.push(Effect::End);
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether a machine without a disk has left the group to those with one: it holds nothing that
    /// matters any more.
    fn look_at_own_part(&mut self, now: Time) -> bool {
        let Some(own_part) = &mut self.own_part else {
            return false;
        };
        let voters = &self.replica.membership().voters;
        let durable_voters = voters
            .iter()
            .filter(|voter| !self.without_disk.contains(&voter.identity))
            .count();
        let view = View {
            takes_part: true,
            has_left: self.replica.has_left(),
            durable_voters,
        };
        match own_part.look(now, view) {
            Some(Change::Leave) => self.replica.leave(now),
            Some(Change::Relay) => return true,
            Some(Change::TakePart) | None => {}
        }
        false
    }

    fn primary(&self) -> Primary<String> {
        if self.replica.is_serving() {
            return Primary::Here;
        }
        let here = &self.replica.member().address;
        match self
            .replica
            .primary()
            .filter(|primary| &primary.address != here)
        {
            Some(primary) => Primary::At(primary.address.clone()),
            None => Primary::Unknown,
        }
    }

    fn do_action(&mut self, action: Action) {
        match action {
            Action::Send { to, id, call } => {
                self.effects
                    .push(Effect::SendPeer(to, PeerMessage::Call { id, call }));
            }
            Action::Answer { call, answer, .. } => self.end_call(call.origin, answer),
        }
    }

    fn end_call(&mut self, origin: Origin, answer: RelayedResponse) {
        let effect = match origin {
            Origin::Peer { address, id } => Effect::SendPeer(
                address,
                PeerMessage::CallResponse {
                    id,
                    response: answer,
                },
            ),
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
            outputs
                .into_iter()
                .for_each(|output| self.do_output(now, output));
        }
    }

    fn do_output(&mut self, now: Time, output: Output) {
        let effect = match output {
            Output::Send { to, message } => {
                Effect::SendPeer(to, PeerMessage::Replication(message.encode()))
            }
            Output::Persist { write_id, item } => Effect::Persist(write_id, item),
            Output::Committed(position) => Effect::Committed(position),
            Output::Notice(notice) => Effect::Notice(notice),
            Output::Completed { request, outcome } => {
                let status = |_: &Replica<Replicated>| Vec::new();
                return self
                    .calls
                    .on_settled(now, request, &outcome, &mut self.replica, status);
            }
        };
        self.effects.push(effect);
    }

    fn tell_routers(&mut self, now: Time) {
        let mut pushes = Vec::new();
        // What is new comes before the word that all that was sent is current.
        if self
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Committed(_)))
        {
            if let Some(committed) = self.committed() {
                pushes.extend(self.routers.push(&committed));
            }
        }
        let in_contact = self.in_contact(now);
        pushes.extend(self.routers.tick(now, in_contact));
        self.effects.extend(
            pushes
                .into_iter()
                .map(|(id, push)| Effect::ToRouter(id, push)),
        );
    }

    fn in_contact(&self, now: Time) -> bool {
        match self.faults {
            GlueFaults {
                always_in_contact: true,
                ..
            } => true,
            GlueFaults {
                contact_while_behind: true,
                ..
            } => self.replica.in_contact(now),
            _ => self.replica.is_current(now),
        }
    }

    fn committed(&self) -> Option<Committed> {
        let (position, committed) = self.replica.committed()?;
        let document = committed.state().document()?;
        let (position, version) = (configuration_position(position), document.version());
        Some(Committed {
            position,
            version,
            document: document.to_json().into(),
        })
    }
}

fn order_of(question: &Question) -> Option<&Order> {
    match question {
        Question::Order(order) => Some(order),
        Question::Describe | Question::Status => None,
    }
}

fn reply_of(answer: RelayedResponse) -> Reply {
    match answer {
        RelayedResponse::Response { status, body } => Reply::Answer { status, body },
        RelayedResponse::NotPrimary => Reply::Answer {
            status: 503,
            body: Vec::new(),
        },
        RelayedResponse::Unknown => Reply::Closed,
    }
}
