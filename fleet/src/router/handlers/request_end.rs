//! The end of a request: it leaves the table, its attempts are withdrawn, and its client gets the final
//! response.
//!
//! It promises that a refusal (503) leaves only for a request that has not run and never will.

use crate::router::abort_reason::AbortReason;
use crate::router::ids::RequestId;
use crate::router::local_response::LocalResponse;
use crate::router::request_table::{RequestPhase, RequestState};
use crate::router::state::Router;
use lichenswitch_interface::{Micros, Time};

impl Router {
    /// Takes a request out that has its answer: what else is out for it is given up.
    pub(crate) fn finish(&mut self, id: RequestId) -> Option<RequestState> {
        self.drop_exchange(id)
    }
}

impl Router {
    /// Takes a request out of the table, and gives up all that is out for it.
    pub(crate) fn drop_exchange(&mut self, id: RequestId) -> Option<RequestState> {
        let mut exchange = self.exchanges.remove(id)?;
        for out in std::mem::take(&mut exchange.out) {
            if self.connections.withdraw(&mut self.net, out.id) {
                exchange.may_have_run = exchange.may_have_run.saturating_sub(1);
            }
        }
        let service = self.services.get_mut(exchange.service);
        if let RequestPhase::Relaying(relay) = &exchange.phase {
            self.connections.withdraw(&mut self.net, relay.attempt);
        }
        if let Some(service) = service {
            service.release(exchange.class);
            if let RequestPhase::Relaying(relay) = &exchange.phase {
                service.stream_ended(relay.server);
            }
            if let Some(query) = exchange.query {
                service.hangup(query);
            }
        }
        Some(exchange)
    }

    /// The time of a request is over.
    pub(crate) fn overdue(&mut self, id: RequestId) {
        let now = self.net.clock.now();
        if self
            .exchanges
            .get(id)
            .is_some_and(|exchange| exchange.deadline <= now)
        {
            self.end_now(id, AbortReason::Deadline);
        }
    }

    /// Gives a request its end at once: a final answer, or the cut of the one that has begun.
    pub(crate) fn end_now(&mut self, id: RequestId, reason: AbortReason) {
        match self.exchanges.get(id).map(|exchange| &exchange.phase) {
            Some(RequestPhase::Pending) => self.answer_given_up(id, None),
            Some(RequestPhase::Relaying(_) | RequestPhase::Resuming { .. }) => self.cut(id, reason),
            None => {}
        }
    }
}

impl Router {
    /// Gives a request that gets no answer from a server its final answer: a refusal only where it
    /// has not run.
    pub(crate) fn answer_given_up(&mut self, id: RequestId, after: Option<Micros>) {
        let now = self.net.clock.now();
        let Some(exchange) = self.finish(id) else {
            return;
        };
        let (client, ran) = (exchange.client, exchange.may_have_run > 0);
        let events = &mut self.client_events;
        match exchange.failure {
            Some(failure) if ran => {
                let (head, has_body) = (failure.head.encode(), failure.head.has_body);
                self.clients.answer_whole(
                    &mut self.net,
                    client,
                    &head,
                    &failure.body,
                    has_body,
                    events,
                );
            }
            _ => {
                let answer = match ran {
                    false => LocalResponse::refused(after),
                    true if nearly(exchange.deadline, now) => LocalResponse::plain(504),
                    true => LocalResponse::plain(502),
                };
                self.clients
                    .answer_own(&mut self.net, client, &answer, events);
            }
        }
    }
}

/// Whether a point has come, but for a moment.
pub(crate) fn nearly(point: Time, now: Time) -> bool {
    /// The module gives up two turns before the end.
    const NEARLY: Micros = 10_000;
    now.plus(NEARLY) >= point
}
