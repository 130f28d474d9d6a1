//! Connections: opened, read, written and given back.

use super::buffer::Buffer;
use super::{
    Conn, ConnId, Denied, Net, Program, Pumped, EINPROGRESS, EMFILE, ENFILE, INDEX_BITS,
    LISTENER_KEY,
};
use lichenswitch_descriptors::{Reason, Verdict};
use polling::{Event, PollMode};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

impl<P: Program> Net<P> {
    /// Starts to open a connection.
    pub fn connect(&mut self, owner: P::Owner, address: SocketAddr) -> Result<ConnId, Denied> {
        // Guards the descriptor budget, and what one side may take of it from the others.
        match self.shares.may_open(P::side(owner)) {
            Verdict::Open(_) => self
                .open(owner, address)
                .map_err(|e| match e.raw_os_error() {
                    Some(EMFILE | ENFILE) => Denied::Lack(Reason::System),
                    _ => Denied::Failed(e),
                }),
            Verdict::Instead(why) | Verdict::Wait(why) => Err(Denied::Lack(why)),
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
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        if let Some(timeout) = P::user_timeout(owner) {
            // Where the system has no such option, silence is noticed by whoever listens for it.
            let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(timeout));
        }
        if let Some(wait) = P::probe_after(owner) {
            let probes = TcpKeepalive::new()
                .with_time(wait)
                .with_interval(wait)
                .with_retries(1);
            // The same.
            let _ = SockRef::from(&stream).set_tcp_keepalive(&probes);
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let id = ConnId((self.next << INDEX_BITS | index) % LISTENER_KEY);
        self.next += 1;
        let interest = (true, !up);
        let event = Event {
            key: id.0,
            readable: interest.0,
            writable: interest.1,
        };
        if let Err(e) = self.poller.add_with_mode(&stream, event, PollMode::Level) {
            self.free.push(index);
            return Err(e);
        }
        self.shares.on_opened(P::side(owner));
        let (input, output, used) = (Buffer::default(), Buffer::default(), self.clock.now());
        let (queued, written, ended) = (0, 0, false);
        let heard = used;
        let (paused, polled) = (false, true);
        let conn = Conn {
            stream,
            owner,
            input,
            output,
            up,
            ended,
            queued,
            written,
            used,
            heard,
            interest,
            paused,
            polled,
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
    pub fn pause(&mut self, id: ConnId, on: bool) -> Pumped {
        let Some(conn) = self.get_mut(id) else {
            return Pumped::Broken;
        };
        conn.paused = on;
        self.flush(id, false)
    }

    /// Writes what is queued and reads what has come, up to `ceiling` bytes held.
    pub fn pump(&mut self, id: ConnId, ceiling: usize) -> Pumped {
        let now = self.clock.now();
        let Some(conn) = self.get_mut(id) else {
            return Pumped::Broken;
        };
        if !conn.up {
            if matches!(conn.stream.take_error(), Ok(Some(_)) | Err(_)) {
                return Pumped::NeverUp;
            }
            // Without an error a connection that is still being opened has no peer yet.
            if conn.stream.peer_addr().is_err() {
                return Pumped::Alive;
            }
            conn.up = true;
            (conn.used, conn.heard) = (now, now);
        }
        let held = conn.input.bytes().len();
        let read = match conn.ended || conn.paused {
            // Guards the loop: without a read nothing else shows that it broke, and what is broken
            // stays ready.
            true => match conn.stream.take_error() {
                Ok(None) => Ok(conn.ended),
                Ok(Some(e)) | Err(e) => Err(e),
            },
            false => conn.input.fill(&mut conn.stream, ceiling),
        };
        if conn.input.bytes().len() > held {
            (conn.used, conn.heard) = (now, now);
        }
        match read {
            Ok(ended) => conn.ended = ended,
            Err(_) => return Pumped::Broken,
        }
        let full = conn.input.bytes().len() >= ceiling;
        self.flush(id, full)
    }

    /// Writes what is queued; reading rests while `full`.
    pub fn flush(&mut self, id: ConnId, full: bool) -> Pumped {
        let now = self.clock.now();
        let Some(conn) = self.get_mut(id) else {
            return Pumped::Broken;
        };
        if conn.up && !conn.output.is_empty() {
            match conn.output.drain(&mut conn.stream) {
                Ok(n) => conn.written += n as u64,
                Err(_) => return Pumped::Broken,
            }
            conn.used = now;
        }
        // An ended side stays readable for ever: to go on polling it would spin.
        let rests = full || conn.ended || conn.paused;
        let interest = (!rests, !conn.up || !conn.output.is_empty());
        // A connection that broke is ready whatever it is asked for: one that rests is not looked
        // at.
        let polled = !conn.paused || interest != (false, false);
        if (interest, polled) == (conn.interest, conn.polled) {
            return Pumped::Alive;
        }
        let was_polled = std::mem::replace(&mut conn.polled, polled);
        conn.interest = interest;
        let event = Event {
            key: id.0,
            readable: interest.0,
            writable: interest.1,
        };
        let Some((_, conn)) = self.slots[id.0 & ((1 << INDEX_BITS) - 1)].as_ref() else {
            return Pumped::Broken;
        };
        let told = match (was_polled, polled) {
            (true, true) => self
                .poller
                .modify_with_mode(&conn.stream, event, PollMode::Level),
            (false, true) => self
                .poller
                .add_with_mode(&conn.stream, event, PollMode::Level),
            (true, false) => self.poller.delete(&conn.stream),
            (false, false) => Ok(()),
        };
        match told {
            Ok(()) => Pumped::Alive,
            Err(_) => Pumped::Broken,
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
            self.attend_again();
        }
    }
}
