//! Connections: opened, read, written and given back.

use super::buffer::Buffer;
use super::{
    Conn, ConnId, ConnectError, Interest, Net, Program, TransferProgress, EINPROGRESS, EMFILE,
    ENFILE, INDEX_BITS, LISTENER_KEY,
};
use lichenswitch_descriptors::{OpenDecision, OpenDecisionReason};
use polling::PollMode;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

impl<P: Program> Net<P> {
    /// Starts to open a connection. It is up once [`Net::transfer`] says so.
    ///
    /// # Errors
    /// [`ConnectError::NoDescriptor`] where the share of `owner` or the system has none left: try
    /// again once a connection is closed. [`ConnectError::Failed`] where the system refused it.
    pub fn connect(
        &mut self,
        owner: P::Owner,
        address: SocketAddr,
    ) -> Result<ConnId, ConnectError> {
        // Guards the descriptor budget, and what one side may take of it from the others.
        match self.shares.may_open(P::side(owner)) {
            OpenDecision::Open(_) => {
                self.open(owner, address)
                    .map_err(|e| match e.raw_os_error() {
                        Some(EMFILE | ENFILE) => {
                            ConnectError::NoDescriptor(OpenDecisionReason::SystemLimit)
                        }
                        _ => ConnectError::Failed(e),
                    })
            }
            OpenDecision::CloseIdleFirst(reason) | OpenDecision::Wait(reason) => {
                Err(ConnectError::NoDescriptor(reason))
            }
        }
    }

    pub(super) fn open(&mut self, owner: P::Owner, address: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        let up = match socket.connect(&address.into()) {
            Ok(()) => true,
            Err(e)
                if e.kind() == io::ErrorKind::WouldBlock
                    || e.raw_os_error() == Some(EINPROGRESS) =>
            {
                false
            }
            Err(e) => return Err(e),
        };
        self.add(socket.into(), owner, up)
    }

    pub(super) fn add(
        &mut self,
        stream: TcpStream,
        owner: P::Owner,
        up: bool,
    ) -> io::Result<ConnId> {
        set_options::<P>(&stream, owner)?;
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let id = ConnId((self.next << INDEX_BITS | index) % LISTENER_KEY);
        self.next += 1;
        let interest = Interest {
            readable: true,
            writable: !up,
        };
        let event = interest.event(id);
        if let Err(e) = self.poller.add_with_mode(&stream, event, PollMode::Level) {
            self.free.push(index);
            return Err(e);
        }
        self.shares.on_opened(P::side(owner));
        let now = self.clock.now();
        let conn = Conn {
            stream,
            owner,
            input: Buffer::default(),
            output: Buffer::default(),
            up,
            ended: false,
            queued: 0,
            written: 0,
            last_active_at: now,
            last_read_at: now,
            registered: Some(interest),
            paused: false,
        };
        self.slots[index] = Some((id, conn));
        Ok(id)
    }

    /// The connection, if it is still there.
    #[must_use]
    pub fn get(&self, id: ConnId) -> Option<&Conn<P::Owner>> {
        let slot = self.slots.get(id.0 & ((1 << INDEX_BITS) - 1))?.as_ref()?;
        (slot.0 == id).then_some(&slot.1)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn<P::Owner>> {
        let slot = self
            .slots
            .get_mut(id.0 & ((1 << INDEX_BITS) - 1))?
            .as_mut()?;
        (slot.0 == id).then_some(&mut slot.1)
    }

    /// Lets the reading of a connection rest, or go on, whatever is pumped meanwhile: what the
    /// other side sends waits in the system, and beyond that at the other side. While it rests and
    /// nothing is to be written nothing is reported of it, not even that it broke; that shows once
    /// reading goes on.
    pub fn pause(&mut self, id: ConnId, on: bool) -> TransferProgress {
        let Some(conn) = self.get_mut(id) else {
            return TransferProgress::Broken;
        };
        conn.paused = on;
        self.flush(id, false)
    }

    /// Writes what is queued and reads what has come, until `max_bytes` bytes of input are buffered.
    pub fn transfer(&mut self, id: ConnId, max_bytes: usize) -> TransferProgress {
        let now = self.clock.now();
        let Some(conn) = self.get_mut(id) else {
            return TransferProgress::Broken;
        };
        if !conn.up {
            match conn.connect_progress() {
                ConnectProgress::Failed => return TransferProgress::NeverConnected,
                ConnectProgress::Pending => return TransferProgress::Alive,
                ConnectProgress::Done => conn.up = true,
            }
            (conn.last_active_at, conn.last_read_at) = (now, now);
        }
        let buffered = conn.input.bytes().len();
        let read = conn.read(max_bytes);
        if conn.input.bytes().len() > buffered {
            (conn.last_active_at, conn.last_read_at) = (now, now);
        }
        match read {
            Ok(ended) => conn.ended = ended,
            Err(_) => return TransferProgress::Broken,
        }
        let full = conn.input.bytes().len() >= max_bytes;
        self.flush(id, full)
    }

    /// Writes what is queued; reading pauses while `full`.
    pub fn flush(&mut self, id: ConnId, full: bool) -> TransferProgress {
        let now = self.clock.now();
        let Some(conn) = self.get_mut(id) else {
            return TransferProgress::Broken;
        };
        if conn.up && !conn.output.is_empty() {
            let progress = conn.output.drain(&mut conn.stream);
            // Bytes written before a failure may have been received.
            conn.written += progress.written_bytes as u64;
            if progress.error.is_some() {
                return TransferProgress::Broken;
            }
            conn.last_active_at = now;
        }
        let wanted = conn.wanted_events(full);
        let registered = conn.registered;
        if wanted == registered {
            return TransferProgress::Alive;
        }
        conn.registered = wanted;
        match self.register(id, registered, wanted) {
            Ok(()) => TransferProgress::Alive,
            Err(_) => TransferProgress::Broken,
        }
    }

    /// Changes what the poller reports of a connection.
    fn register(
        &self,
        id: ConnId,
        before: Option<Interest>,
        wanted: Option<Interest>,
    ) -> io::Result<()> {
        let Some(conn) = self.get(id) else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let (poller, stream) = (&self.poller, &conn.stream);
        match (before, wanted) {
            (Some(_), Some(events)) => {
                poller.modify_with_mode(stream, events.event(id), PollMode::Level)
            }
            (None, Some(events)) => poller.add_with_mode(stream, events.event(id), PollMode::Level),
            (Some(_), None) => poller.delete(stream),
            (None, None) => Ok(()),
        }
    }

    /// Closes a connection so that the other side sees it break: what it has read so far can't look
    /// complete.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.get(id) {
            // Where that can't be had it ends as any other does.
            let _ = SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(id);
    }

    /// Closes a connection: the one place where a descriptor of the table is given back.
    pub fn close(&mut self, id: ConnId) {
        let index = id.0 & ((1 << INDEX_BITS) - 1);
        if self.get(id).is_none() {
            return;
        }
        if let Some((_, conn)) = self.slots[index].take() {
            // A stream that can't be taken out of the poller is taken out by its close.
            let _ = self.poller.delete(&conn.stream);
            self.shares.on_closed(P::side(conn.owner));
            self.free.push(index);
            self.resume_accepting();
        }
    }
}

fn set_options<P: Program>(stream: &TcpStream, owner: P::Owner) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    if let Some(timeout) = P::user_timeout(owner) {
        // Where the system has no such option, silence is noticed by whoever listens for it.
        let _ = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
    }
    if let Some(wait) = P::probe_after(owner) {
        let probes = TcpKeepalive::new()
            .with_time(wait)
            .with_interval(wait)
            .with_retries(1);
        // The same.
        let _ = SockRef::from(stream).set_tcp_keepalive(&probes);
    }
    Ok(())
}

/// How far the system is with opening a connection.
enum ConnectProgress {
    Pending,
    Done,
    Failed,
}

impl<Owner> Conn<Owner> {
    fn connect_progress(&self) -> ConnectProgress {
        if matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
            return ConnectProgress::Failed;
        }
        // Without an error a connection that is still being opened has no peer yet.
        match self.stream.peer_addr() {
            Ok(_) => ConnectProgress::Done,
            Err(_) => ConnectProgress::Pending,
        }
    }

    /// Reads what has come; `Ok(true)`: the other side has ended.
    fn read(&mut self, max_bytes: usize) -> io::Result<bool> {
        if !self.ended && !self.paused {
            return self.input.fill(&mut self.stream, max_bytes);
        }
        // Guards the loop: without a read nothing else shows that it broke, and what is broken
        // stays ready.
        match self.stream.take_error() {
            Ok(None) => Ok(self.ended),
            Ok(Some(e)) | Err(e) => Err(e),
        }
    }

    /// What the poller is to report of it; `full`: no more may be read now.
    fn wanted_events(&self, full: bool) -> Option<Interest> {
        let interest = Interest {
            // An ended side stays readable for ever: to go on polling it would spin.
            readable: !(full || self.ended || self.paused),
            writable: !self.up || !self.output.is_empty(),
        };
        // A connection that broke is ready whatever it is asked for: one that is paused is not
        // looked at.
        (!self.paused || !interest.is_empty()).then_some(interest)
    }
}
