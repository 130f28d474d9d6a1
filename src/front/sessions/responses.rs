//! Writes responses to clients, and ends connections such that no response is lost.

use super::{AwaitedReply, Sessions};
use crate::core::{Core, Reply};
use crate::front::session::{PendingQuery, SessionState};
use crate::front::Front;
use crate::http::Response;
use crate::interface::QueryId;
use crate::net::{Conn, ConnId, Net, TransferProgress};
use lichenswitch_management::quiesce::QuiesceStage;

impl<C> Sessions<C> {
    /// Gives a query's client its final answer, then reads on.
    pub fn reply<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        query: QueryId,
        reply: Reply,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        let Some(AwaitedReply { conn: id, context }) = self.awaited_replies.remove(&query) else {
            return;
        };
        let response = front.format_reply(context, reply);
        let Some(SessionState::AwaitingReply(PendingQuery {
            keep_alive,
            is_head,
            ..
        })) = self.open.get(&id).map(|session| &session.state)
        else {
            return;
        };
        let (keep_alive, is_head) = (*keep_alive, *is_head);
        self.write(net, id, &response, keep_alive, is_head);
        self.read_requests(net, id, front, core);
    }

    /// Writes a response; the connection is kept only if client, front and broker agree on it.
    pub(super) fn write(
        &mut self,
        net: &mut Net,
        id: ConnId,
        response: &Response,
        keep_alive: bool,
        is_head: bool,
    ) {
        let keep_alive = keep_alive
            && response.keep_alive
            && !self.is_stopping
            && self.quiesce_stage == QuiesceStage::Serving;
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        session.state = if keep_alive {
            SessionState::Reading
        } else {
            SessionState::Closing
        };
        session.phase_started_at = now;
        conn.send(&response.encode(keep_alive, is_head));
        if net.flush(id, false) != TransferProgress::Alive {
            self.open.remove(&id);
            net.close(id);
        } else if !keep_alive {
            self.half_close_if_flushed(net, id);
        }
    }

    /// Answers what can't be read, and ends the connection once the client has seen it.
    pub(super) fn reject_and_close(&mut self, net: &mut Net, id: ConnId, response: &Response) {
        self.write(net, id, response, false, false);
    }

    /// The same on all connections on which a request may still be arriving.
    pub(super) fn reject_arriving(&mut self, net: &mut Net, response: &Response) {
        let arriving: Vec<_> = self
            .open
            .iter()
            .filter(|(_, session)| session.state == SessionState::Reading)
            .map(|(id, _)| *id)
            .collect();
        arriving
            .into_iter()
            .for_each(|id| self.reject_and_close(net, id, response));
    }

    /// The last answer is being written. Once it is, this side ends, and what the client still
    /// sends is read and dropped: a close with bytes unread would reset the connection before the
    /// client has the answer.
    pub(super) fn half_close_if_flushed(&mut self, net: &mut Net, id: ConnId) {
        if net.get(id).is_some_and(Conn::flushed) {
            self.half_close(net, id);
        }
    }

    /// Ends this side of a connection. Guards the answers before it, and a request that crosses the
    /// end: with bytes unread a close resets the connection. What is read after this is sent on by
    /// nobody; the client sees the end, and asks anew.
    pub(super) fn half_close(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        conn.end_output();
        session.state = SessionState::Lingering;
        session.phase_started_at = now;
        self.discard_input(net, id);
    }

    /// Drops what has been read, and reads on later.
    pub(super) fn discard_input(&mut self, net: &mut Net, id: ConnId) {
        if let Some(conn) = net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
            // A reset is seen at the next look or event: there is nothing left to lose.
            net.flush(id, false);
        }
    }
}
