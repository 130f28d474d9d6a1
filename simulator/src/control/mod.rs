//! One control process: the replica, and a thin glue round it by the table of
//! `docs/design/control.md`, section 4.
//!
//! It owns what the role `control` decides, without sockets and files: what is to be done comes
//! back as [`Effect`]s.

mod glue_faults;
mod routers;
mod state;

use lichenswitch_configuration::validate;
use lichenswitch_control::{
    configuration_position, describe_configuration, error_response, CallKind,
    CommittedConfiguration, CompletedCall, Eligibility, GroupMembership, GroupView,
    MembershipAction, PrimaryLocation,
};
use lichenswitch_messages::{
    ControlToRouter, PeerMessage, RelayedCall, RelayedResponse, RouterToControl,
};
use lichenswitch_replication::{
    DurableItem, Identity, Message, Notice, Output, Position, Replica, Time, WriteId,
};
use std::collections::BTreeSet;

pub use self::glue_faults::{GlueFault, GlueFaults};
use self::routers::Routers;
pub use self::state::Replicated;
use crate::packet::{CallId, ConnectionId, Reply};

type Call = lichenswitch_control::Call<CallId, String>;
type CallOrigin = lichenswitch_control::CallOrigin<CallId, String>;
type CallDispatcher = lichenswitch_control::CallDispatcher<CallId, String>;
type CallAction = lichenswitch_control::CallAction<CallId, String>;

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
    calls: CallDispatcher,
    routers: Routers,
    open_calls: Vec<CallId>,
    /// When it ends at the latest, during a shutdown.
    end_at: Option<Time>,
    /// Members without a disk.
    without_disk: BTreeSet<Identity>,
    /// Of a machine without a disk.
    group_membership: Option<GroupMembership>,
    effects: Vec<Effect>,
}

impl ControlProcess {
    /// A process round a replica. `first_call` is above all numbers that earlier processes gave
    /// their calls.
    pub fn new(replica: Replica<Replicated>, faults: GlueFaults, first_call: u64) -> Self {
        Self {
            replica,
            faults,
            calls: CallDispatcher::with_faults(first_call, faults.of_calls()),
            routers: Routers::default(),
            open_calls: Vec::new(),
            end_at: None,
            without_disk: BTreeSet::new(),
            group_membership: None,
            effects: Vec::new(),
        }
    }

    /// The machine has no disk: it stands in for those with one, in a group that must bear so many
    /// losses.
    pub fn stand_in(&mut self, now: Time, tolerated: u32) {
        self.group_membership = Some(GroupMembership::new(
            Eligibility::StandIn,
            now,
            tolerated as usize,
        ));
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
    ///
    /// # Panics
    /// Where replication can't decode what it encoded.
    pub fn on_peer(&mut self, now: Time, from: &str, message: PeerMessage) {
        match message {
            PeerMessage::Replication(bytes) => {
                let message = Message::decode(&bytes).expect("what a replica encoded is decoded");
                self.replica.on_message(now, message);
            }
            PeerMessage::Call { id, call } => {
                let origin = CallOrigin::Peer {
                    address: from.to_owned(),
                    id,
                };
                match CallKind::from_relayed(call) {
                    Some(kind) => self.take_call(
                        now,
                        Call {
                            origin,
                            kind,
                            arrived: now,
                        },
                    ),
                    None => self.end_call(origin, RelayedResponse::NotPrimary),
                }
            }
            PeerMessage::CallResponse { id, response } => {
                self.calls.on_response(now, &from.to_owned(), id, response)
            }
            _ => {}
        }
    }

    fn take_call(&mut self, now: Time, call: Call) {
        self.calls.take(now, call, Some(&mut self.replica));
    }

    /// A call from outside.
    pub fn on_call(&mut self, now: Time, id: CallId, kind: RelayedCall) {
        self.open_calls.push(id);
        let origin = CallOrigin::Caller(id);
        let Some(kind) = CallKind::from_relayed(kind) else {
            return self.end_call(origin, error_response(400, "there is no such path"));
        };
        let invalid = kind.as_order().and_then(|order| validate(order).err());
        if let Some(error) = invalid {
            return self.end_call(origin, error_response(400, &error.to_string()));
        }
        match self.answer_without_contact(&kind) {
            Some(response) => self.end_call(origin, response),
            None => self.take_call(
                now,
                Call {
                    origin,
                    kind,
                    arrived: now,
                },
            ),
        }
    }

    /// The planted faults of answers from memory.
    fn answer_without_contact(&self, kind: &CallKind) -> Option<RelayedResponse> {
        let (_, committed) = self.replica.committed()?;
        match kind.as_order() {
            None if self.faults.has(GlueFault::DescribeWithoutContact) => {
                Some(describe_configuration(&self.replica))
            }
            Some(order) if self.faults.has(GlueFault::RejectWithoutContact) => {
                let other = order.base_version != committed.state().version();
                let taken = committed.state().has_applied(&order.digest());
                (other && !taken).then(|| error_response(412, "by what is held here"))
            }
            _ => None,
        }
    }

    /// A router has sent a message, or (`None`) closed its connection.
    pub fn on_router(&mut self, id: ConnectionId, now: Time, message: Option<&RouterToControl>) {
        match message {
            None => self.routers.on_closed(id),
            Some(RouterToControl::Hello { configuration, .. }) => {
                let (in_contact, committed) = (self.in_contact(now), self.committed());
                let pushes =
                    self.routers
                        .on_hello(id, *configuration, in_contact, committed.as_ref());
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
            self.group_membership
                .as_ref()
                .and_then(GroupMembership::next_wake),
        ];
        wakes.into_iter().flatten().min().unwrap_or(Time(u64::MAX))
    }

    /// Handles all that has arrived, and returns what the machine has to do.
    pub fn take_effects(&mut self, now: Time) -> Vec<Effect> {
        let relays = self.update_group_membership(now);
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
    fn update_group_membership(&mut self, now: Time) -> bool {
        let Some(group_membership) = &mut self.group_membership else {
            return false;
        };
        let voters = &self.replica.membership().voters;
        let durable_voters = voters
            .iter()
            .filter(|voter| !self.without_disk.contains(&voter.identity))
            .count();
        let view = GroupView {
            is_member: true,
            has_left: self.replica.has_left(),
            durable_voters,
        };
        match group_membership.next_action(now, view) {
            Some(MembershipAction::Leave) => self.replica.leave(now),
            Some(MembershipAction::BecomeRelay) => return true,
            Some(MembershipAction::Join) | None => {}
        }
        false
    }

    fn primary(&self) -> PrimaryLocation<String> {
        if self.replica.is_serving() {
            return PrimaryLocation::Local;
        }
        let here = &self.replica.member().address;
        match self
            .replica
            .primary()
            .filter(|primary| &primary.address != here)
        {
            Some(primary) => PrimaryLocation::Remote(primary.address.clone()),
            None => PrimaryLocation::Unknown,
        }
    }

    fn do_action(&mut self, action: CallAction) {
        match action {
            CallAction::Forward { to, id, call } => {
                self.effects
                    .push(Effect::SendPeer(to, PeerMessage::Call { id, call }));
            }
            CallAction::Respond(CompletedCall { call, response, .. }) => {
                self.end_call(call.origin, response)
            }
        }
    }

    fn end_call(&mut self, origin: CallOrigin, response: RelayedResponse) {
        let effect = match origin {
            CallOrigin::Peer { address, id } => {
                Effect::SendPeer(address, PeerMessage::CallResponse { id, response })
            }
            CallOrigin::Caller(id) => {
                self.open_calls.retain(|open| *open != id);
                Effect::Reply(id, reply_of(response))
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
                return self.calls.on_request_completed(
                    now,
                    request,
                    &outcome,
                    &mut self.replica,
                    status,
                );
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
        if self.faults.has(GlueFault::ClaimContact) {
            return true;
        }
        if self.faults.has(GlueFault::ClaimContactWhileLagging) {
            return self.replica.in_contact(now);
        }
        self.replica.is_current(now)
    }

    fn committed(&self) -> Option<CommittedConfiguration> {
        let (position, committed) = self.replica.committed()?;
        let document = committed.state().document()?;
        let (position, version) = (configuration_position(position), document.version());
        Some(CommittedConfiguration {
            position,
            version,
            document: document.to_json().into(),
        })
    }
}

fn reply_of(response: RelayedResponse) -> Reply {
    match response {
        RelayedResponse::Response { status, body } => Reply::Answer { status, body },
        RelayedResponse::NotPrimary => Reply::Answer {
            status: 503,
            body: Vec::new(),
        },
        RelayedResponse::Unknown => Reply::Closed,
    }
}
