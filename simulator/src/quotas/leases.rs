//! Lease requests and grants at control machines and routers.

use std::collections::BTreeSet;

use lichenswitch_quota::{LeaseAction, LeaseGrant, LeaseRequest, OwnerId};

use super::events::Event;
use super::node::{LeaseOrigin, Requester};
use super::Fleet;

impl Fleet {
    /// A lease request arrives at a control machine, which grants it from its buckets or forwards it.
    pub(super) fn on_lease_request(
        &mut self,
        to: usize,
        from: Requester,
        id: u64,
        may_forward: bool,
        request: LeaseRequest,
    ) {
        if self.is_partitioned(to, from) {
            return;
        }
        let clock = self.control[to].clock(self.now);
        if !may_forward {
            let control = &mut self.control[to];
            let grant = control.buckets.lease(clock, &request, &control.ownership);
            return self.send(Event::LeaseGrant {
                to: from,
                from: to,
                id,
                grant,
            });
        }
        let reachable = self.reachable(to);
        let actions = self.control[to].on_request(
            clock,
            LeaseOrigin {
                requester: from,
                id,
            },
            request,
            &reachable,
        );
        self.do_actions(to, actions);
    }

    /// A grant arrives at the router or control machine that requested it.
    pub(super) fn on_grant(&mut self, to: Requester, from: usize, id: u64, grant: LeaseGrant) {
        if self.is_partitioned(from, to) {
            return;
        }
        match to {
            Requester::Router(router) => {
                let clock = self.routers[router].clock(self.now);
                let decisions = self.routers[router].allowances.on_grant(clock, id, grant);
                self.apply_decisions(router, decisions);
                self.send_lease_requests(router);
            }
            Requester::ControlNode(to, incarnation)
                if self.control[to].incarnation == incarnation =>
            {
                let (clock, reachable) = (self.control[to].clock(self.now), self.reachable(to));
                let owner = self.control[from].id;
                let actions = self.control[to].on_response(clock, owner, id, grant, &reachable);
                self.do_actions(to, actions);
            }
            Requester::ControlNode(..) => {}
        }
    }

    /// Sends the requests and responses of a control machine.
    pub(super) fn do_actions(&mut self, control: usize, actions: Vec<LeaseAction<LeaseOrigin>>) {
        for action in actions {
            match action {
                LeaseAction::Request {
                    to,
                    id,
                    may_forward,
                    request,
                } => {
                    let from = Requester::ControlNode(control, self.control[control].incarnation);
                    if let Some(to) = self.control.iter().position(|other| other.id == to) {
                        self.send(Event::LeaseRequest {
                            to,
                            from,
                            id,
                            may_forward,
                            request,
                        });
                    }
                }
                LeaseAction::Respond { origin, grant } => {
                    self.send(Event::LeaseGrant {
                        to: origin.requester,
                        from: control,
                        id: origin.id,
                        grant,
                    });
                }
            }
        }
    }

    /// Whether messages between a control machine and a requester are lost.
    fn is_partitioned(&self, control: usize, other: Requester) -> bool {
        let is_cut_off = |index: usize| self.control[index].partitioned_until > self.now;
        matches!(other, Requester::ControlNode(index, _) if is_cut_off(index) || is_cut_off(control))
    }

    /// The control machines that this one reaches.
    pub(super) fn reachable(&self, from: usize) -> BTreeSet<OwnerId> {
        let others = self
            .control
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != from);
        others
            .filter(|(_, other)| other.partitioned_until <= self.now)
            .map(|(_, other)| other.id)
            .collect()
    }
}
