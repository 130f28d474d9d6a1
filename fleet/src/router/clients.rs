//! Connections of clients: requests are read from them, and answers written.
//!
//! It owns each connection from its accept to its close. It promises: one request at a time on a
//! connection, the next one only after the answer to the one before; an answer that ends early
//! never looks complete; a client that leaves is told of at once, also while its request waits;
//! what is held of requests that are not whole is bounded; a connection that rests is kept for as
//! long as the configuration says.

use super::program::{Net, Owner, Timer};
use super::request::{ClientRequest, Progress, RequestReader};
use super::response::OwnAnswer;
use lichenswitch_configuration::Limits;
use lichenswitch_http::{encode_chunk, LAST_CHUNK};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::HashMap;

/// Most bytes read ahead of a client at a time: a body goes on into its request as it comes.
const CEILING: usize = 64 * 1_024;
/// Most bytes kept of what a client sends while its request waits. Behind more than that its end
/// could not be seen.
const AHEAD: usize = 32 * 1_024;
/// Clients take up connections that have rested for up to four fifths of the idle time-out; this is
/// kept beyond all of it, since their clocks begin later (microseconds).
const IDLE_MARGIN: Micros = 1_000_000;
/// How long a client may take to end its side once its last answer is written (microseconds).
const LINGER: Micros = 1_000_000;
/// A client that takes nothing of an answer for so long has gone (microseconds).
const UNREAD: Micros = 10_000_000;

/// What a client has done.
#[derive(Debug)]
pub(super) enum ClientEvent {
    /// It has sent a whole request.
    Request(ConnId, Box<ClientRequest>),
    /// It has left, or can't be written to, while its request was not answered.
    Left(ConnId),
    /// It has taken all that was written so far of an answer which goes on.
    Drained(ConnId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Between requests, or in the midst of one that is still arriving.
    Reading,
    /// Its request is held.
    Waiting,
    /// An answer is being passed on; whether in chunks.
    Answering { chunked: bool },
    /// The last answer is being written.
    Closing,
    /// The last answer is written: reads on to the client's end, so that the answer is not lost to
    /// a reset.
    Lingering,
}

struct Session {
    state: State,
    reader: RequestReader,
    /// When the state began; of a request that is arriving, when its first byte came.
    since: Time,
    /// A request is arriving.
    arriving: bool,
    /// The connection ends with the answer that is due.
    last: bool,
    /// The request that waits is answered without a body.
    head_only: bool,
    /// A timer is set that fires then at the latest.
    timer: Option<Time>,
}

/// The connections of clients.
pub(super) struct Clients {
    open: HashMap<ConnId, Session>,
    limits: Limits,
    /// Bytes held of requests that are arriving, and the most of them.
    arriving_bytes: usize,
    most_bytes: usize,
    /// From now on connections are closed after their answer.
    stopping: bool,
}

impl Clients {
    /// No connections yet; so many bytes are held of requests that are arriving.
    #[must_use]
    pub(super) fn new(most_bytes: usize) -> Clients {
        let limits = Limits::default();
        Clients {
            open: HashMap::new(),
            limits,
            arriving_bytes: 0,
            most_bytes,
            stopping: false,
        }
    }

    /// From now on these limits hold; of a request that is arriving, those from its beginning.
    pub(super) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// From now on connections are closed after their answer.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    /// How many connections are open.
    #[must_use]
    pub(super) fn count(&self) -> usize {
        self.open.len()
    }

    /// How many clients wait for an answer, or for the rest of one.
    #[must_use]
    pub(super) fn waiting(&self) -> usize {
        let waits =
            |session: &&Session| matches!(session.state, State::Waiting | State::Answering { .. });
        self.open.values().filter(waits).count()
    }

    /// Accepts all that wait.
    pub(super) fn accept(&mut self, net: &mut Net) {
        for id in net.accept(Owner::Client) {
            let since = net.clock.now();
            let session = Session {
                state: State::Reading,
                reader: RequestReader::new(&self.limits),
                since,
                arriving: false,
                last: false,
                head_only: false,
                timer: None,
            };
            self.open.insert(id, session);
            self.arm(net, id);
        }
    }

    /// Reads and writes what a connection is ready for.
    pub(super) fn ready(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let Some(state) = self.open.get(&id).map(|session| session.state) else {
            return net.close(id);
        };
        let progress = net.transfer(id, CEILING);
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|conn| conn.ended) {
            return self.left(net, id, events);
        }
        match state {
            State::Reading => self.read(net, id, events),
            State::Waiting => self.overhear(net, id),
            State::Answering { .. } => {
                self.overhear(net, id);
                if net.get(id).is_some_and(|conn| conn.flushed()) {
                    events.push(ClientEvent::Drained(id));
                }
            }
            State::Closing => self.close_if_written(net, id),
            State::Lingering => self.read_on(net, id),
        }
    }

    /// A connection's timer: its time may be over.
    pub(super) fn timer(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        if session.timer.is_some_and(|at| at <= now) {
            session.timer = None;
        }
        let Some(due) = self.due(net, id).filter(|due| *due <= now) else {
            return self.arm(net, id);
        };
        debug_assert!(due <= now, "only what is due ends");
        match self
            .open
            .get(&id)
            .map(|session| (session.state, session.arriving))
        {
            Some((State::Reading, true)) => {
                self.answer_own(net, id, &OwnAnswer::closing(408), events);
            }
            Some((State::Reading, false)) => self.half_close(net, id),
            _ => self.left(net, id, events),
        }
    }

    /// Gives a client an answer of this program, whole.
    pub(super) fn answer_own(
        &mut self,
        net: &mut Net,
        id: ConnId,
        answer: &OwnAnswer,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        session.last |= answer.closes || self.stopping;
        let (last, head_only) = (session.last, session.head_only);
        self.write(net, id, &answer.encode(last, head_only));
        self.answered(net, id, events);
    }

    /// Gives a client a server's answer, whole: its head without the end, and its body.
    pub(super) fn answer_whole(
        &mut self,
        net: &mut Net,
        id: ConnId,
        head: &[u8],
        body: &[u8],
        has_body: bool,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        session.last |= self.stopping;
        let mut bytes = Vec::with_capacity(head.len() + body.len() + 64);
        bytes.extend_from_slice(head);
        if has_body {
            bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
        }
        end_head(&mut bytes, session.last);
        bytes.extend_from_slice(body);
        self.write(net, id, &bytes);
        self.answered(net, id, events);
    }

    /// Begins a server's answer that is passed on as it comes: with this length, or in chunks.
    pub(super) fn begin(&mut self, net: &mut Net, id: ConnId, head: &[u8], length: Option<u64>) {
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        session.last |= self.stopping;
        session.state = State::Answering {
            chunked: length.is_none(),
        };
        let mut bytes = Vec::with_capacity(head.len() + 64);
        bytes.extend_from_slice(head);
        match length {
            Some(length) => {
                bytes.extend_from_slice(format!("content-length: {length}\r\n").as_bytes())
            }
            None => bytes.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        }
        end_head(&mut bytes, session.last);
        self.write(net, id, &bytes);
    }

    /// Passes a piece of a body on; it leaves with [`Clients::flush`].
    pub(super) fn pass(&mut self, net: &mut Net, id: ConnId, piece: &[u8]) {
        let Some(State::Answering { chunked }) = self.open.get(&id).map(|session| session.state)
        else {
            return;
        };
        let Some(conn) = net.get_mut(id) else { return };
        match chunked {
            true => {
                let mut chunk = Vec::with_capacity(piece.len() + 16);
                encode_chunk(piece, &mut chunk);
                conn.send(&chunk);
            }
            false => _ = conn.send(piece),
        }
    }

    /// Writes what has been passed on; tells how many bytes the client has still to take.
    pub(super) fn flush(
        &mut self,
        net: &mut Net,
        id: ConnId,
        events: &mut Vec<ClientEvent>,
    ) -> usize {
        if net.flush(id, false) != TransferProgress::Alive {
            self.left(net, id, events);
            return 0;
        }
        let unwritten = net.get(id).map_or(0, |conn| conn.queued_unwritten());
        if unwritten > 0 {
            self.arm(net, id);
        }
        usize::try_from(unwritten).unwrap_or(usize::MAX)
    }

    /// Ends a body that is complete.
    pub(super) fn end(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let Some(State::Answering { chunked }) = self.open.get(&id).map(|session| session.state)
        else {
            return;
        };
        if chunked {
            self.write(net, id, LAST_CHUNK);
        }
        self.answered(net, id, events);
    }

    /// Ends an answer that is not complete: the client sees that it was cut off.
    pub(super) fn cut(&mut self, net: &mut Net, id: ConnId) {
        self.close(net, id);
    }

    /// The same behind what was passed on, all of which still reaches the client: it can ask for
    /// the rest of a stream elsewhere.
    pub(super) fn cut_behind_written(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        (session.last, session.state, session.since) = (true, State::Closing, now);
        self.arm(net, id);
        self.close_if_written(net, id);
    }

    /// Ends connections that rest, an eighth of all, those that have rested for longest first.
    /// Guards clients that wait to be accepted.
    pub(super) fn make_room(&mut self, net: &mut Net) {
        let rests = |id: &ConnId, session: &Session| {
            let quiet = net
                .get(*id)
                .is_some_and(|conn| conn.input.is_empty() && conn.flushed());
            session.state == State::Reading && !session.arriving && quiet
        };
        let mut resting: Vec<(Time, ConnId)> = self
            .open
            .iter()
            .filter(|(id, s)| rests(id, s))
            .map(|(id, s)| (s.since, *id))
            .collect();
        resting.sort_unstable();
        for (_, id) in resting.into_iter().take(self.open.len().div_ceil(8)) {
            self.close(net, id);
        }
    }

    /// Connections on which something is still to be read, answered or written.
    #[must_use]
    pub(super) fn busy(&self, net: &Net) -> usize {
        let unwritten = |id: &ConnId| net.get(*id).is_some_and(|conn| !conn.flushed());
        let is_busy = |id: &ConnId, session: &Session| match session.state {
            State::Reading => session.arriving || unwritten(id),
            State::Waiting | State::Answering { .. } => true,
            State::Closing => unwritten(id),
            State::Lingering => false,
        };
        self.open
            .iter()
            .filter(|(id, session)| is_busy(id, session))
            .count()
    }

    /// Closes a client's connection.
    fn close(&mut self, net: &mut Net, id: ConnId) {
        if let Some(session) = self.open.remove(&id) {
            self.arriving_bytes -= session.reader.held();
        }
        net.close(id);
    }

    fn left(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        if matches!(
            self.open.get(&id).map(|session| session.state),
            Some(State::Waiting | State::Answering { .. })
        ) {
            events.push(ClientEvent::Left(id));
        }
        self.close(net, id);
    }

    /// Reads a request, if it is whole; the next one is read once this one is answered.
    fn read(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        let Some(conn) = net
            .get_mut(id)
            .filter(|conn| !conn.input.is_empty() || session.arriving)
        else {
            return;
        };
        if !session.arriving {
            (session.arriving, session.since) = (true, now);
            session.reader = RequestReader::new(&self.limits);
        }
        let held = session.reader.held();
        let progress = session.reader.read(&mut conn.input);
        self.arriving_bytes = self.arriving_bytes + session.reader.held() - held;
        match progress {
            Ok(Progress::More { expects_continue }) => {
                if self.arriving_bytes > self.most_bytes {
                    return self.answer_own(net, id, &OwnAnswer::refused(None).and_close(), events);
                }
                if expects_continue {
                    conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                // Reading rests where the ceiling was reached, and goes on now that there is room.
                if net.flush(id, false) != TransferProgress::Alive {
                    return self.left(net, id, events);
                }
                self.arm(net, id);
            }
            Ok(Progress::Whole(request)) => {
                self.arriving_bytes -= session.reader.held();
                session.reader = RequestReader::new(&self.limits);
                (session.arriving, session.state, session.since) = (false, State::Waiting, now);
                session.last |= !request.keep_alive;
                session.head_only = request.is_head();
                if net.flush(id, false) != TransferProgress::Alive {
                    return self.close(net, id);
                }
                events.push(ClientEvent::Request(id, request));
                self.overhear(net, id);
            }
            Err(malformed) => {
                self.answer_own(net, id, &OwnAnswer::closing(malformed.0), events);
            }
        }
    }

    /// What a client sends while it waits is kept for later, but not much of it: its end lies
    /// behind what it sent, so beyond that it is dropped, and the connection ends with the answer
    /// that is due.
    fn overhear(&mut self, net: &mut Net, id: ConnId) {
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        if session.last || conn.input.bytes().len() > AHEAD {
            session.last = true;
            conn.input.consume(conn.input.bytes().len());
            // A connection that is broken is told of by the poller.
            net.flush(id, false);
        }
    }

    fn write(&mut self, net: &mut Net, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = net.get_mut(id) {
            conn.send(bytes);
        }
        // A connection that is broken is told of by the poller: nothing is to be saved of it here.
        net.flush(id, false);
    }

    /// The answer has been written or queued: reads on, or ends the connection.
    fn answered(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        self.arriving_bytes -= session.reader.held();
        session.reader = RequestReader::new(&self.limits);
        (session.arriving, session.since) = (false, now);
        if session.last {
            session.state = State::Closing;
            self.arm(net, id);
            return self.close_if_written(net, id);
        }
        session.state = State::Reading;
        self.read(net, id, events);
        self.arm(net, id);
    }

    fn close_if_written(&mut self, net: &mut Net, id: ConnId) {
        match net.get(id).map(|conn| conn.flushed()) {
            Some(true) => self.half_close(net, id),
            Some(false) => {}
            None => self.close(net, id),
        }
    }

    /// Ends this side of a connection. Guards the answers before it, and a request that crosses the
    /// end: with bytes unread a close would reset the connection.
    fn half_close(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        conn.end_output();
        (session.state, session.since) = (State::Lingering, now);
        self.read_on(net, id);
        self.arm(net, id);
    }

    fn read_on(&mut self, net: &mut Net, id: ConnId) {
        if let Some(conn) = net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
        }
        net.flush(id, false);
    }

    /// When the time of a connection is over, as it stands.
    fn due(&self, net: &Net, id: ConnId) -> Option<Time> {
        let (session, conn) = (self.open.get(&id)?, net.get(id)?);
        let idle = self.limits.idle_timeout_ms.saturating_mul(1_000);
        let head = self.limits.header_timeout_ms.saturating_mul(1_000);
        Some(match session.state {
            State::Reading if !conn.flushed() => conn.last_active_at.plus(UNREAD),
            State::Reading if session.arriving && session.reader.has_head() => {
                conn.last_read_at.plus(idle)
            }
            State::Reading if session.arriving => session.since.plus(head),
            State::Reading => session.since.plus(idle).plus(IDLE_MARGIN),
            // Its own end is the request's.
            State::Waiting => return None,
            State::Answering { .. } if conn.flushed() => return None,
            State::Answering { .. } | State::Closing => conn.last_active_at.plus(UNREAD),
            State::Lingering => session.since.plus(LINGER),
        })
    }

    /// Sets a connection's timer, where none is set that fires before its time is over.
    fn arm(&mut self, net: &mut Net, id: ConnId) {
        let Some(due) = self.due(net, id) else { return };
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        if session.timer.is_none_or(|at| due < at) {
            session.timer = Some(due);
            net.wheel.set(due, Timer::Client(id));
        }
    }
}

fn end_head(bytes: &mut Vec<u8>, last: bool) {
    // A connection is kept unless something else is said.
    if last {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
}
