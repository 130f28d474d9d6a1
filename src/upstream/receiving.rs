//! Answers as they come, and connections that stay mute or bring what is none.

use super::link::Greeting;
use super::{AnswerError, Pool, Wire, MUTE_FACTOR, MUTE_MAX, MUTE_MIN, RESPONSE_TIME_PACE};
use crate::interface::{Micros, Outcome, ServerId};
use crate::net::{ConnId, Net, Timer, TransferProgress};

impl<W: Wire> Pool<W> {
    /// Records which connections to a node are mute. Guards against those that fall silent: what is
    /// written to them is answered by nobody, however well the node is.
    pub(super) fn mark_mute(&mut self, net: &Net, server: ServerId) {
        let now = net.clock.now();
        let known = self.by_server.get(&server).map_or(&[][..], Vec::as_slice);
        let mute_connections = known
            .iter()
            .filter(|id| self.links.get(id).is_some_and(|l| l.is_mute))
            .count();
        let usual_response_time = (self.usual_response_time.value_or(0.0) * MUTE_FACTOR) as Micros;
        let limit = usual_response_time.clamp(MUTE_MIN, MUTE_MAX) << mute_connections.min(4);
        for id in known {
            if let (Some(link), Some(conn)) = (self.links.get_mut(id), net.get(*id)) {
                link.is_mute |= link.time_without_response(conn.last_read_at, now) >= limit;
            }
        }
    }

    /// Something came on a connection: it is not mute. Others to the same node that stay mute for a
    /// while after that are dead; closing them gives up what is in flight there, so that it is tried
    /// again before it is late.
    pub(super) fn on_activity(&mut self, net: &mut Net, id: ConnId) {
        let (now, Some(link)) = (net.clock.now(), self.links.get_mut(&id)) else {
            return;
        };
        (link.is_mute, link.other_active_since, link.greeting) = (false, None, Greeting::Done);
        let server = link.server;
        if self
            .by_server
            .get(&server)
            .is_none_or(|known| known.len() < 2)
        {
            return;
        }
        self.mark_mute(net, server);
        for id in self.by_server.get(&server).cloned().unwrap_or_default() {
            let Some(link) = self.links.get_mut(&id).filter(|l| l.is_mute) else {
                continue;
            };
            if now.since(*link.other_active_since.get_or_insert(now)) < MUTE_MIN {
                continue;
            }
            let in_flight: Vec<_> = link.calls.drain(..).flat_map(|call| call.parts).collect();
            for part in in_flight {
                self.end_attempt(part.attempt, Outcome::Cancelled, None);
            }
            self.close_broken(net, id);
        }
    }

    /// Reads and writes what a connection is ready for.
    pub fn on_ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.links.contains_key(&id) {
            return;
        }
        let was_up = net.get(id).is_some_and(|conn| conn.up);
        let now = net.clock.now();
        let progress = net.transfer(id, W::MAX_INPUT_BYTES);
        self.count_written(net, id);
        let read = self.read_answers(net, id);
        let is_over = net
            .get(id)
            .is_none_or(|c| c.ended || c.input.bytes().len() >= W::MAX_INPUT_BYTES);
        if was_up && net.get(id).is_some_and(|c| c.last_read_at >= now) {
            self.on_activity(net, id);
        }
        match read {
            Err(error) => self.on_invalid_answer(net, id, &error),
            Ok(is_last) if is_last || is_over || progress != TransferProgress::Alive => {
                self.close_broken(net, id);
            }
            Ok(_) => {
                self.track_response_start(net, id);
                self.write_waiting(net, id);
            }
        }
    }

    /// Records whether an answer has begun that is not complete.
    pub(super) fn track_response_start(&mut self, net: &mut Net, id: ConnId) {
        let (now, Some(link)) = (net.clock.now(), self.links.get_mut(&id)) else {
            return;
        };
        match net.get(id).is_some_and(|c| !c.input.is_empty()) {
            // Guards the next call: noise behind a good answer would be read as the beginning of
            // its answer.
            true if link.calls.is_empty() => self.close_broken(net, id),
            true if link.response_started_at.is_none() => {
                link.response_started_at = Some(now);
                net.wheel
                    .set(now.plus(W::RESPONSE_TIMEOUT), Timer::Answer(id));
            }
            true => {}
            false => link.response_started_at = None,
        }
    }

    /// Ends a connection that brought what can't be an answer. It was one to a part in flight,
    /// which may have run; if only one is, to that. Behind a good answer, with nothing in flight, it
    /// does no harm.
    pub(super) fn on_invalid_answer(&mut self, net: &mut Net, id: ConnId, error: &AnswerError) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        self.log.push(format!(
            "connection to server {} closed: {error}",
            link.server.0
        ));
        if link.calls.iter().map(|c| c.parts.len()).sum::<usize>() == 1 {
            if let Some((attempt, _)) = link.complete_part(None) {
                self.end_attempt(attempt, Outcome::Error, None);
            }
        }
        self.close_broken(net, id);
    }

    /// Reads all complete answers; `true`: the connection can't be used again.
    pub(super) fn read_answers(&mut self, net: &mut Net, id: ConnId) -> Result<bool, AnswerError> {
        let now = net.clock.now();
        loop {
            let Some(conn) = net.get_mut(id) else {
                return Ok(true);
            };
            let ended = conn.ended;
            let Some(link) = self.links.get_mut(&id) else {
                return Ok(true);
            };
            let oldest = link
                .calls
                .first()
                .and_then(|c| c.parts.first())
                .map(|p| &p.part);
            let Some(answer) = self.wire.read_answer(&mut conn.input, ended, oldest)? else {
                return Ok(false);
            };
            link.response_started_at = None;
            match (link.complete_part(answer.part.as_ref()), answer.part) {
                (Some((attempt, sent)), part) => {
                    if let Some(part) = part.filter(|_| answer.outcome != Outcome::Ok) {
                        link.remember_unsuccessful(part);
                    }
                    self.usual_response_time
                        .add(now.since(sent) as f64, RESPONSE_TIME_PACE);
                    self.end_attempt(attempt, answer.outcome, answer.value);
                }
                // Guards the part that it was meant for, which would be waited for in vain.
                (None, Some(part)) if !link.recently_completed.contains(&part) => {
                    return Err(AnswerError::UnknownPart);
                }
                // Late, or a second time: it is dropped.
                (None, _) => {}
            }
            if answer.is_last {
                return Ok(true);
            }
        }
    }

    /// An answer that had begun should be complete. Guards the parts in flight on its connection:
    /// what claims more than it brings would take their answers in.
    pub fn on_response_timeout(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let response_started_at = self.links.get(&id).and_then(|l| l.response_started_at);
        if response_started_at.is_some_and(|at| now.since(at) >= W::RESPONSE_TIMEOUT) {
            self.on_invalid_answer(net, id, &AnswerError::Stalled);
        }
    }
}
