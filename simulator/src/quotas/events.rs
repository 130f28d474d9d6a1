//! What happens in a fleet, in the order of time.

use lichenswitch_quota::{LeaseGrant, LeaseRequest};

use super::node::Requester;
use super::{Fleet, MILLISECOND};

/// Longest latency of a message between two machines (microseconds).
const MAX_LATENCY: u64 = 4 * MILLISECOND;
/// Least latency of one (microseconds).
const MIN_LATENCY: u64 = 100;

/// Something that happens at an instant.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A request of a tenant arrives at a router.
    Request { tenant: usize },
    /// A lease request arrives at a control machine, from a router or from another one.
    LeaseRequest {
        to: usize,
        from: Requester,
        id: u64,
        may_forward: bool,
        request: LeaseRequest,
    },
    /// A response arrives at the requester.
    LeaseGrant {
        to: Requester,
        from: usize,
        id: u64,
        grant: LeaseGrant,
    },
    /// A control machine does what is due.
    Tick { control: usize },
    /// The next fault is injected.
    Fault,
}

impl Fleet {
    /// Schedules an event at a time (microseconds).
    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Schedules the arrival of a message after a random latency.
    pub(super) fn send(&mut self, event: Event) {
        let latency = self.random.u64(MIN_LATENCY..MAX_LATENCY);
        self.schedule(self.now + latency, event);
    }

    /// Handles an event whose time has come.
    pub(super) fn handle(&mut self, event: Event) {
        // A suspended machine handles later what has arrived meanwhile.
        if let Some(resumes_at) = self
            .suspended_until(&event)
            .filter(|resumes_at| *resumes_at > self.now)
        {
            return self.schedule(resumes_at, event);
        }
        match event {
            Event::Request { tenant } => self.on_request(tenant),
            Event::LeaseRequest {
                to,
                from,
                id,
                may_forward,
                request,
            } => self.on_lease_request(to, from, id, may_forward, request),
            Event::LeaseGrant {
                to,
                from,
                id,
                grant,
            } => self.on_grant(to, from, id, grant),
            Event::Tick { control } => self.tick(control),
            Event::Fault => self.inject_fault(),
        }
    }

    fn suspended_until(&self, event: &Event) -> Option<u64> {
        match event {
            Event::LeaseRequest { to, .. } | Event::Tick { control: to } => {
                Some(self.control[*to].suspended_until)
            }
            Event::LeaseGrant {
                to: Requester::ControlNode(to, _),
                ..
            } => Some(self.control[*to].suspended_until),
            Event::LeaseGrant {
                to: Requester::Router(router),
                ..
            } => Some(self.routers[*router].suspended_until),
            Event::Request { .. } | Event::Fault => None,
        }
    }
}
