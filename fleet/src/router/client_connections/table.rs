//! The table of clients' connections: accept, limits, timers and close.

use super::connection::{ClientConnection, ClientEvent, ConnectionPhase};
use crate::router::reactor::{Net, SocketOwner, Timer};
use crate::router::request_reader::RequestReader;
use lichenswitch_configuration::Limits;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_net::ConnId;
use std::collections::HashMap;

/// Clients take up connections that have rested for up to four fifths of the idle time-out; this is
/// kept beyond all of it, since their clocks begin later (microseconds).
pub(crate) const IDLE_MARGIN: Micros = 1_000_000;

/// How long a client may take to end its side once its last answer is written (microseconds).
pub(crate) const LINGER: Micros = 1_000_000;

/// A client that takes nothing of an answer for so long has gone (microseconds).
pub(crate) const UNREAD: Micros = 10_000_000;

/// The connections of clients.
pub(crate) struct ClientConnections {
    pub(crate) open: HashMap<ConnId, ClientConnection>,
    pub(crate) limits: Limits,
    /// Bytes held of requests that are arriving, and the most of them.
    pub(crate) arriving_bytes: usize,
    pub(crate) most_bytes: usize,
    /// From now on connections are closed after their answer.
    pub(crate) stopping: bool,
}

impl ClientConnections {
    /// No connections yet; so many bytes are held of requests that are arriving.
    #[must_use]
    pub(crate) fn new(most_bytes: usize) -> ClientConnections {
        let limits = Limits::default();
        ClientConnections {
            open: HashMap::new(),
            limits,
            arriving_bytes: 0,
            most_bytes,
            stopping: false,
        }
    }

    /// From now on these limits hold; of a request that is arriving, those from its beginning.
    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// From now on connections are closed after their answer.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// How many connections are open.
    #[must_use]
    pub(crate) fn count(&self) -> usize {
        self.open.len()
    }

    /// How many clients wait for an answer, or for the rest of one.
    #[must_use]
    pub(crate) fn waiting(&self) -> usize {
        let waits = |session: &&ClientConnection| {
            matches!(
                session.state,
                ConnectionPhase::Waiting | ConnectionPhase::Answering { .. }
            )
        };
        self.open.values().filter(waits).count()
    }

    /// Accepts all that wait.
    pub(crate) fn accept(&mut self, net: &mut Net) {
        for id in net.accept(SocketOwner::Client) {
            let since = net.clock.now();
            let session = ClientConnection {
                state: ConnectionPhase::Reading,
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

    /// Ends connections that rest, an eighth of all, those that have rested for longest first.
    /// Guards clients that wait to be accepted.
    pub(crate) fn make_room(&mut self, net: &mut Net) {
        let rests = |id: &ConnId, session: &ClientConnection| {
            let quiet = net
                .get(*id)
                .is_some_and(|conn| conn.input.is_empty() && conn.flushed());
            session.state == ConnectionPhase::Reading && !session.arriving && quiet
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
    pub(crate) fn busy(&self, net: &Net) -> usize {
        let unwritten = |id: &ConnId| net.get(*id).is_some_and(|conn| !conn.flushed());
        let is_busy = |id: &ConnId, session: &ClientConnection| match session.state {
            ConnectionPhase::Reading => session.arriving || unwritten(id),
            ConnectionPhase::Waiting | ConnectionPhase::Answering { .. } => true,
            ConnectionPhase::Closing => unwritten(id),
            ConnectionPhase::Lingering => false,
        };
        self.open
            .iter()
            .filter(|(id, session)| is_busy(id, session))
            .count()
    }

    /// Closes a client's connection.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) {
        if let Some(session) = self.open.remove(&id) {
            self.arriving_bytes -= session.reader.held();
        }
        net.close(id);
    }

    pub(super) fn left(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        if matches!(
            self.open.get(&id).map(|session| session.state),
            Some(ConnectionPhase::Waiting | ConnectionPhase::Answering { .. })
        ) {
            events.push(ClientEvent::Disconnected(id));
        }
        self.close(net, id);
    }

    /// When the time of a connection is over, as it stands.
    pub(super) fn due(&self, net: &Net, id: ConnId) -> Option<Time> {
        let (session, conn) = (self.open.get(&id)?, net.get(id)?);
        let idle = self.limits.idle_timeout_ms.saturating_mul(1_000);
        let head = self.limits.header_timeout_ms.saturating_mul(1_000);
        Some(match session.state {
            ConnectionPhase::Reading if !conn.flushed() => conn.last_active_at.plus(UNREAD),
            ConnectionPhase::Reading if session.arriving && session.reader.has_head() => {
                conn.last_read_at.plus(idle)
            }
            ConnectionPhase::Reading if session.arriving => session.since.plus(head),
            ConnectionPhase::Reading => session.since.plus(idle).plus(IDLE_MARGIN),
            // Its own end is the request's.
            ConnectionPhase::Waiting => return None,
            ConnectionPhase::Answering { .. } if conn.flushed() => return None,
            ConnectionPhase::Answering { .. } | ConnectionPhase::Closing => {
                conn.last_active_at.plus(UNREAD)
            }
            ConnectionPhase::Lingering => session.since.plus(LINGER),
        })
    }

    /// Sets a connection's timer, where none is set that fires before its time is over.
    pub(super) fn arm(&mut self, net: &mut Net, id: ConnId) {
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
