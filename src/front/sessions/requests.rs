//! Reads the requests of clients, and hands their queries to the core.

use super::{AwaitedReply, Sessions, MAX_BUFFERED_BYTES};
use crate::core::Core;
use crate::front::session::{PendingQuery, SessionState};
use crate::front::{Front, RequestAction};
use crate::http::{self, Parsed};
use crate::net::{ConnId, Net};

impl<C> Sessions<C> {
    /// Reads requests until one has to be waited for.
    pub(super) fn read_requests<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        while let Some(request) = self.next_request(net, id, front) {
            let now = net.clock.now();
            let is_head = request.method == "HEAD";
            let response = match front.read_request(now, &request) {
                RequestAction::Reply(response) => response,
                RequestAction::Query(query, context) => match core.submit(now, *query) {
                    Ok(query) => {
                        let pending = PendingQuery {
                            id: query,
                            keep_alive: request.keep_alive,
                            is_head,
                        };
                        return self.await_reply(id, pending, context);
                    }
                    Err(refusal) => front.format_refusal(refusal),
                },
            };
            self.write(net, id, &response, request.keep_alive, is_head);
        }
    }

    /// The next complete request of a connection that waits for no answer. One that can't be read is
    /// rejected.
    fn next_request<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &F,
    ) -> Option<http::Request> {
        let session = self
            .open
            .get_mut(&id)
            .filter(|session| session.state == SessionState::Reading)?;
        // Guards memory: a client that does not read its answers is not asked for more requests.
        let conn = net
            .get_mut(id)
            .filter(|conn| !conn.input.is_empty() && conn.flushed())?;
        match http::request(conn.input.bytes()) {
            Ok(Parsed::Complete(request, used)) => {
                conn.input.consume(used);
                session.is_continue_sent = false;
                session.has_sent_request = true;
                Some(request)
            }
            Ok(Parsed::Partial(expects_continue)) => {
                self.on_partial(net, id, front, expects_continue);
                None
            }
            Err(http::MalformedMessage(status, reason)) => {
                let response = front.format_malformed(status, reason);
                self.reject_and_close(net, id, &response);
                None
            }
        }
    }

    /// The core has taken a query: its client waits for the answer.
    fn await_reply(&mut self, id: ConnId, query: PendingQuery, context: C) {
        if let Some(session) = self.open.get_mut(&id) {
            session.state = SessionState::AwaitingReply(query);
        }
        let awaited = AwaitedReply { conn: id, context };
        self.awaited_replies.insert(query.id, awaited);
    }

    /// A request is still arriving; `expects_continue`: its client waits for `100 Continue`.
    fn on_partial<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &F,
        expects_continue: bool,
    ) {
        let buffered = net.get(id).map_or(0, |conn| conn.input.bytes().len());
        if buffered >= MAX_BUFFERED_BYTES {
            let response = front.format_malformed(413, "request too large");
            return self.reject_and_close(net, id, &response);
        }
        // Guards memory against many large requests that arrive at once.
        if buffered > http::MAX_HEAD_BYTES && self.buffered_bytes(net) > self.max_partial_bytes() {
            let response = front.format_malformed(503, "too much is arriving");
            return self.reject_and_close(net, id, &response);
        }
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        if expects_continue && !session.is_continue_sent {
            session.is_continue_sent = true;
            conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
            net.flush(id, false);
        }
    }

    /// What a client sends while it waits is kept for later, but not more than is held of any
    /// request, nor of all. Guards against clients that are gone unseen: their end lies behind what
    /// they sent. So beyond that it is dropped, and the connection ends with the answer that is
    /// due.
    pub(super) fn on_early_input(&mut self, net: &mut Net, id: ConnId) {
        let buffered = net.get(id).map_or(0, |conn| conn.input.bytes().len());
        if buffered < MAX_BUFFERED_BYTES
            && (buffered <= http::MAX_HEAD_BYTES
                || self.buffered_bytes(net) <= self.max_partial_bytes())
        {
            return;
        }
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        if let SessionState::AwaitingReply(query) = &mut session.state {
            query.keep_alive = false;
        }
        self.discard_input(net, id);
    }
}
