//! One control process: the replica, and a thin glue round it by the table of
//! `docs/design/control.md`, section 4.
//!
//! It owns what the role `control` decides, without sockets and files: what the machine has to do is
//! returned as [`Effect`]s.

mod calls;
mod glue_faults;
mod router_updates;
mod routers;
mod state;

use std::collections::BTreeSet;

use lichenswitch_control::{
    Eligibility, GroupMembership, GroupView, MembershipAction, PrimaryLocation,
};
use lichenswitch_messages::{ControlToRouter, PeerMessage};
use lichenswitch_replication::{
    DurableItem, Identity, Notice, Output, Position, Replica, Time, WriteId,
};

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
    /// During a shutdown: when it ends at the latest.
    end_at: Option<Time>,
    /// Members without a disk.
    without_disk: BTreeSet<Identity>,
    /// Of a machine without a disk: whether it is a member, and when it leaves.
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

    /// The machine has no disk: it votes only until enough machines with one do, in a group that
    /// tolerates so many losses.
    pub fn stand_in(&mut self, now: Time, tolerated: u32) {
        self.group_membership = Some(GroupMembership::new(
            Eligibility::Temporary,
            now,
            tolerated as usize,
        ));
    }

    /// Sets which members have no disk.
    pub fn set_diskless_members(&mut self, identities: &BTreeSet<Identity>) {
        self.without_disk.clone_from(identities);
        self.replica.set_diskless_members(identities.clone());
    }

    /// The replica.
    pub fn replica(&self) -> &Replica<Replicated> {
        &self.replica
    }

    /// Calls and router connections that are open, and end with the process.
    pub fn open(&self) -> (&[CallId], Vec<ConnectionId>) {
        (&self.open_calls, self.routers.connections())
    }

    /// An item, and all before it, is synced.
    pub fn on_persisted(&mut self, now: Time, write_id: WriteId) {
        self.replica.on_persisted(now, write_id);
    }

    /// An item, and all behind it, was not written.
    pub fn on_persist_failed(&mut self, now: Time, write_id: WriteId) {
        self.replica.on_persist_failed(now, write_id);
    }

    /// Begins a shutdown that ends at this time at the latest.
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

    /// Processes everything that has arrived, and returns what the machine has to do.
    pub fn take_effects(&mut self, now: Time) -> Vec<Effect> {
        let is_relay = self.update_group_membership(now);
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
        self.update_routers(now);
        if is_relay
            || self
                .end_at
                .is_some_and(|at| at <= now || self.replica.has_left())
        {
            self.effects.push(Effect::End);
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether a machine without a disk has left the group to those with one, so that its process may
    /// end.
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
}
