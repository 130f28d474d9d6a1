//! The callers of the control machines: their start, wakes and messages.

use fastrand::Rng;
use lichenswitch_messages::RelayedCall;

use super::{World, FIRST_OPERATOR, FIRST_READER, FIRST_ROUTER};
use crate::callers::{CallerContext, Operator, Pace, Reader, Router};
use crate::network::{Arrival, Host};
use crate::packet::{CallId, ConnectionId, Packet};

/// Zones of the callers.
const ZONES: u32 = 4;

impl World {
    pub(super) fn set_up_callers(&mut self) {
        let now = self.now();
        for number in 0..self.settings.operators {
            let host = Host(FIRST_OPERATOR + number);
            let operator = Operator::new(self.settings.pace, now.after(100_000), number == 0);
            self.operators.insert(host, operator);
        }
        for number in 0..self.settings.readers {
            self.readers
                .insert(Host(FIRST_READER + number), Reader::default());
        }
        for number in 0..self.settings.routers {
            let host = Host(FIRST_ROUTER + number);
            self.routers.insert(host, Router::start(host, now, None));
        }
        for host in self.callers() {
            self.network.place(host, host.0 % ZONES);
            self.wake_at(host, now);
        }
    }

    /// All callers.
    pub fn callers(&self) -> Vec<Host> {
        let callers = self
            .operators
            .keys()
            .chain(self.readers.keys())
            .chain(self.routers.keys());
        callers.copied().collect()
    }

    /// The operators.
    pub fn operators_mut(&mut self) -> impl Iterator<Item = &mut Operator> {
        self.operators.values_mut()
    }

    /// The readers.
    pub fn readers_mut(&mut self) -> impl Iterator<Item = &mut Reader> {
        self.readers.values_mut()
    }

    /// The routers.
    pub fn routers(&self) -> impl Iterator<Item = (&Host, &Router)> {
        self.routers.iter()
    }

    /// Has all operators work at this pace.
    pub fn set_pace(&mut self, pace: Pace) {
        self.operators
            .values_mut()
            .for_each(|operator| operator.set_pace(pace));
    }

    /// A new router, which goes first to a machine.
    pub fn add_router(&mut self, first: Option<Host>) -> Host {
        let last = self
            .routers
            .keys()
            .last()
            .map_or(FIRST_ROUTER, |host| host.0);
        let host = Host(last + 1);
        let now = self.now();
        self.network.place(host, host.0 % ZONES);
        self.routers.insert(host, Router::start(host, now, first));
        self.wake_at(host, now);
        host
    }

    /// The process of a router starts anew, with nothing in force.
    pub fn restart_router(&mut self, host: Host, first: Option<Host>) {
        let now = self.now();
        if let Some(router) = self.routers.get_mut(&host) {
            *router = Router::start(host, now, first);
        }
        self.wakes.remove(&host);
        self.wake_at(host, now);
    }

    pub(super) fn wake_caller(&mut self, host: Host) {
        self.with_caller(host, |caller, context| match caller {
            Caller::Operator(operator) => operator.on_wake(context),
            Caller::Reader(reader) => reader.on_wake(context),
            Caller::Router(router) => router.on_wake(context),
        });
    }

    pub(super) fn on_caller_arrival(&mut self, arrival: Arrival<Packet>) {
        self.with_caller(arrival.to, |caller, context| {
            match (caller, arrival.packet) {
                (Caller::Operator(operator), Packet::Reply(id, reply)) => {
                    operator.on_reply(context, id, &reply)
                }
                (Caller::Reader(reader), Packet::Reply(id, reply)) => {
                    reader.on_reply(context, id, &reply)
                }
                (Caller::Router(router), Packet::ToRouter(id, message)) => {
                    router.on_message(context, id, message)
                }
                _ => {}
            }
        });
    }

    fn with_caller(&mut self, host: Host, act: impl FnOnce(Caller<'_>, &mut CallerContext<'_>)) {
        let listed = self.listed();
        let before = self.last_number;
        let mut context = CallerContext {
            now: self.scheduler.now(),
            random: &mut self.random,
            oracle: &mut self.oracle,
            listed: &listed,
            last_number: &mut self.last_number,
            outgoing: Vec::new(),
            notes: Vec::new(),
        };
        let wake = if let Some(operator) = self.operators.get_mut(&host) {
            act(Caller::Operator(operator), &mut context);
            operator.next_wake()
        } else if let Some(reader) = self.readers.get_mut(&host) {
            act(Caller::Reader(reader), &mut context);
            reader.next_wake()
        } else if let Some(router) = self.routers.get_mut(&host) {
            act(Caller::Router(router), &mut context);
            router.next_wake()
        } else {
            return;
        };
        let (outgoing, notes) = (
            std::mem::take(&mut context.outgoing),
            std::mem::take(&mut context.notes),
        );
        notes
            .into_iter()
            .for_each(|note| self.record_trace(|| format!("{host} {note}")));
        let numbers = before + 1..=self.last_number;
        for number in numbers {
            self.callers_by_number.insert(number, host);
        }
        for (to, packet) in outgoing {
            let is_order = matches!(packet, Packet::Call(_, RelayedCall::Order { .. }));
            if let Some((after, action)) = self.armed_by_order.take_if(|_| is_order) {
                self.act_after(after, action);
            }
            self.send(host, to, packet, false);
        }
        self.wake_at(host, wake);
    }

    /// The caller that made a call.
    pub(super) fn caller_of(&self, id: CallId) -> Option<Host> {
        self.callers_by_number.get(&id.0).copied()
    }

    pub(super) fn send_to_router(
        &mut self,
        from: Host,
        id: ConnectionId,
        message: Option<lichenswitch_messages::ControlToRouter>,
    ) {
        if let Some(router) = self.callers_by_number.get(&id.0).copied() {
            self.send(from, router, Packet::ToRouter(id, message), false);
        }
    }

    /// Random numbers of this run.
    pub fn random(&mut self) -> &mut Rng {
        &mut self.random
    }
}

/// A caller of any kind, borrowed for one event.
enum Caller<'a> {
    Operator(&'a mut Operator),
    Reader(&'a mut Reader),
    Router(&'a mut Router),
}
