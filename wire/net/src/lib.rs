//! Sockets: the table of connections, the listeners, the wheel of timers and the wait for whatever is ready.
//!
//! [`Net`] owns every descriptor of its program. A connection is opened by [`Net::connect`] or [`Net::accept`]
//! and given back in one place, [`Net::close`]. What a program calls its connections, timers and signals is its own:
//! [`Program`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod buffer;
pub mod wheel;

use buffer::Buffer;
use lichenswitch_descriptors::{Reason, Shares, Side, Verdict};
use lichenswitch_interface::Time;
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::fmt;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wheel::Wheel;

/// Names a connection. Never reused: a late event of a closed connection finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(usize);

/// What a program calls its connections, timers and signals.
pub trait Program {
    /// Who a connection or listener belongs to.
    type Owner: Copy + Eq + fmt::Debug;
    /// What a timer is for.
    type Timer;
    /// What a signal to the process asks for.
    type Signal: Copy + Eq + fmt::Debug;
    /// Whose descriptors the connections of an owner count to.
    fn side(owner: Self::Owner) -> Side;
    /// After this long without a sign that what was sent has arrived, a connection of this owner breaks. Without it the system goes on
    /// trying for minutes where the other side has lost power or is cut off. `None`: as the system has it.
    fn user_timeout(owner: Self::Owner) -> Option<Duration> {
        let _ = owner;
        None
    }
    /// After this long without a byte the system asks whether the other side of a connection of this owner is still there, and breaks
    /// the connection once it has not answered for as long again. It finds what [`Program::user_timeout`] can't: silence while nothing
    /// is being sent. `None`: nobody asks.
    fn probe_after(owner: Self::Owner) -> Option<Duration> {
        let _ = owner;
        None
    }
}

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum Denied {
    /// This process has no descriptor for it now: the other side has no part in that.
    Lack(Reason),
    /// The system said no.
    Failed(io::Error),
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Denied::Lack(why) => why.fmt(f),
            Denied::Failed(e) => e.fmt(f),
        }
    }
}

/// Something that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready<Owner, Signal> {
    /// A connection may be read from or written to.
    Conn(ConnId, Owner),
    /// A listener has connections to accept.
    Listener(Owner),
    /// A signal to the process has come.
    Signal(Signal),
}

/// A clock that only moves forward and starts at the system's time, so that start times can be compared.
pub struct Clock {
    origin: Instant,
    unix: u64,
}

impl Default for Clock {
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
        Clock { origin: Instant::now(), unix }
    }
}

impl Clock {
    /// The present time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(self.unix + self.origin.elapsed().as_micros() as u64)
    }
}

/// One connection.
pub struct Conn<Owner> {
    stream: TcpStream,
    owner: Owner,
    /// What has been read and not been used yet.
    pub input: Buffer,
    output: Buffer,
    /// Whether it is up (and not still being opened).
    pub up: bool,
    /// The other side sends nothing more.
    pub ended: bool,
    /// Bytes given to it and bytes written, since it was opened.
    queued: u64,
    written: u64,
    /// Last time that anything was written or read.
    pub used: Time,
    /// Last time that anything was read, or that it came up.
    pub heard: Time,
    interest: (bool, bool),
    /// Its owner wants nothing more for now.
    paused: bool,
    /// Whether the poller knows it.
    polled: bool,
}

impl<Owner> Conn<Owner> {
    /// Queues bytes and tells where they end: they are out once [`Conn::written`] has reached that point.
    pub fn send(&mut self, bytes: &[u8]) -> u64 {
        self.output.push(bytes);
        self.queued += bytes.len() as u64;
        self.queued
    }
    /// Bytes written so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written
    }
    /// Bytes that are queued and not written: the other side is behind by so many.
    #[must_use]
    pub fn queued_unwritten(&self) -> u64 {
        self.queued - self.written
    }
    /// Whether its reading rests.
    #[must_use]
    pub fn paused(&self) -> bool {
        self.paused
    }
    /// Whether all that was queued is written.
    #[must_use]
    pub fn flushed(&self) -> bool {
        self.output.is_empty()
    }
    /// Ends this side: the other reads to the end of what was written.
    pub fn end_output(&mut self) {
        // One that is gone already needs no end.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

/// What a look at a connection brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Pumped {
    /// Bytes may have been read and written.
    Alive,
    /// The connection never came up.
    NeverUp,
    /// The connection broke, or there is no such connection.
    Broken,
}

const LISTENER_KEY: usize = 1 << 48;
const SIGNAL_KEY: usize = 1 << 49;
const INDEX_BITS: u32 = 16;

/// Connections that may wait to be accepted. Guards usual clients against many that connect at once: what
/// overflows here comes up only after the system's next try, a second later.
const BACKLOG: i32 = 1_024;
/// Descriptors that are none of the connections: standard streams, poller, listeners, signal pipe and spare.
const RESERVED: usize = 24;

/// The table of connections, the listeners and the wheel.
pub struct Net<P: Program> {
    poller: Poller,
    events: Vec<Event>,
    slots: Vec<Option<(ConnId, Conn<P::Owner>)>>,
    free: Vec<usize>,
    next: usize,
    /// Who may open connections, and how many are open.
    shares: Shares,
    /// In the order of their keys; `None`: closed.
    listeners: Vec<(P::Owner, Option<TcpListener>)>,
    /// Accepting rests until a client's connection is given back.
    resting: bool,
    signals: Vec<(P::Signal, UnixStream)>,
    /// Timers.
    pub wheel: Wheel<P::Timer>,
    /// The clock.
    pub clock: Clock,
}

impl<P: Program> Net<P> {
    /// A net that holds no more than `descriptors`.
    pub fn new(descriptors: usize) -> io::Result<Net<P>> {
        Net::of_connections(descriptors.saturating_sub(RESERVED).max(8))
    }

    /// A net of so many connections.
    pub fn of_connections(most: usize) -> io::Result<Net<P>> {
        let clock = Clock::default();
        Ok(Net {
            poller: Poller::new()?,
            events: Vec::new(),
            slots: Vec::new(),
            free: Vec::new(),
            next: 1,
            shares: Shares::new(most),
            listeners: Vec::new(),
            resting: false,
            signals: Vec::new(),
            wheel: Wheel::new(clock.now()),
            clock,
        })
    }

    /// Listens for clients; tells the address, whose port the system may have chosen.
    pub fn listen(&mut self, owner: P::Owner, address: SocketAddr) -> io::Result<SocketAddr> {
        // Guards an upgrade: the next process begins to listen while this one still serves.
        self.listen_at(owner, address, true)
    }

    /// The same where no other process may listen at the address at the same time; one that has ended stands in nobody's way.
    pub fn listen_alone(&mut self, owner: P::Owner, address: SocketAddr) -> io::Result<SocketAddr> {
        self.listen_at(owner, address, false)
    }

    fn listen_at(&mut self, owner: P::Owner, address: SocketAddr, shared: bool) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        // Connections of the process before may still be known to the system.
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        self.adopt(owner, socket.into())
    }

    /// Listens on a socket that listens already; tells the address.
    pub fn adopt(&mut self, owner: P::Owner, listener: TcpListener) -> io::Result<SocketAddr> {
        listener.set_nonblocking(true)?;
        let key = LISTENER_KEY + self.listeners.len();
        self.poller.add_with_mode(&listener, Event::readable(key), PollMode::Level)?;
        let bound = listener.local_addr()?;
        self.listeners.push((owner, Some(listener)));
        Ok(bound)
    }

    /// Where it listens, by owner.
    #[must_use]
    pub fn addresses(&self) -> Vec<(P::Owner, SocketAddr)> {
        let address = |l: &Option<TcpListener>| l.as_ref()?.local_addr().ok();
        self.listeners.iter().filter_map(|(owner, l)| Some((*owner, address(l)?))).collect()
    }

    /// Another handle of the socket that `owner` listens on.
    pub fn listener_of(&self, owner: P::Owner) -> io::Result<TcpListener> {
        let found = self.listeners.iter().find(|l| l.0 == owner).and_then(|l| l.1.as_ref());
        found.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))?.try_clone()
    }

    /// Closes the listeners of `owner`.
    pub fn leave(&mut self, owner: P::Owner) {
        for (_, listener) in self.listeners.iter_mut().filter(|l| l.0 == owner) {
            if let Some(listener) = listener.take() {
                // A listener that can't be taken out of the poller is taken out by its close.
                let _ = self.poller.delete(&listener);
            }
        }
    }

    /// Closes all listeners.
    pub fn stop_listening(&mut self) {
        let owners: Vec<P::Owner> = self.listeners.iter().map(|l| l.0).collect();
        owners.into_iter().for_each(|owner| self.leave(owner));
    }

    /// Reports a signal whenever this stream can be read.
    pub fn watch_signal(&mut self, signal: P::Signal, stream: UnixStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let key = SIGNAL_KEY + self.signals.len();
        self.poller.add_with_mode(&stream, Event::readable(key), PollMode::Level)?;
        self.signals.push((signal, stream));
        Ok(())
    }

    /// Waits until something is ready or `until` has come.
    pub fn wait(&mut self, until: Option<Time>) -> io::Result<Vec<Ready<P::Owner, P::Signal>>> {
        let until = [until, self.wheel.next()].into_iter().flatten().min();
        let timeout = until.map(|at| Duration::from_micros(at.since(self.clock.now())));
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            // A signal ends the wait before its byte can be read: it is no fault, and the next wait brings it.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => {
                other?;
            }
        }
        let ready = |e: &Event| match e.key {
            key if key >= SIGNAL_KEY => self.signals.get(key - SIGNAL_KEY).map(|s| Ready::Signal(s.0)),
            key if key >= LISTENER_KEY => {
                self.listeners.get(key - LISTENER_KEY).map(|l| Ready::Listener(l.0))
            }
            key => self.get(ConnId(key)).map(|c| Ready::Conn(ConnId(key), c.owner)),
        };
        Ok(self.events.iter().filter_map(ready).collect())
    }

    /// Takes a signal's bytes, so that only the next one is reported.
    pub fn clear_signal(&mut self, signal: P::Signal) {
        for (_, stream) in self.signals.iter_mut().filter(|s| s.0 == signal) {
            let mut bytes = [0; 64];
            loop {
                match stream.read(&mut bytes) {
                    Ok(1..) => {}
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // Guards the loop: an end stays readable for ever. What was asked for is done all the same
                    // if the pipe can't be taken out of the poller.
                    Ok(0) | Err(_) => {
                        let _ = self.poller.delete(&*stream);
                        break;
                    }
                }
            }
        }
    }

    /// Accepts all that wait at the listeners of `owner`. With the budget used up the rest wait until a client's
    /// connection is given back.
    pub fn accept(&mut self, owner: P::Owner) -> Vec<ConnId> {
        let mut taken = Vec::new();
        let listeners = std::mem::take(&mut self.listeners);
        for listener in listeners.iter().filter(|l| l.0 == owner).filter_map(|l| l.1.as_ref()) {
            loop {
                // Guards the descriptor budget: over it a process fails in places that can't say so.
                if !self.may_open(P::side(owner)) {
                    if P::side(owner) == Side::PeersIn {
                        // Clients don't wait for peers: one too many is closed, and comes again later.
                        match listener.accept() {
                            Err(e) if e.kind() != io::ErrorKind::Interrupted => break,
                            _ => continue,
                        }
                    }
                    self.resting = true;
                    break;
                }
                match listener.accept() {
                    Ok((stream, _)) => taken.extend(self.add(stream, owner, true)),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // One that left before it was accepted is no reason to leave the others waiting.
                    Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                    // Guards the loop: the system has no descriptor or memory for it, and a listener stays ready.
                    Err(_) => {
                        self.resting = true;
                        break;
                    }
                }
            }
        }
        self.listeners = listeners;
        if self.resting {
            self.attend(false);
        }
        taken
    }

    /// Reports listeners that have connections to accept, or not: one that stays ready would spin the loop.
    fn attend(&mut self, on: bool) {
        for (i, (_, listener)) in self.listeners.iter().enumerate() {
            let Some(listener) = listener else { continue };
            let event = Event { key: LISTENER_KEY + i, readable: on, writable: false };
            // A listener that can't be changed goes on as it is: late to accept, or busy.
            let _ = self.poller.modify_with_mode(listener, event, PollMode::Level);
        }
    }

    /// Sets so many descriptors aside for other brokers, in each direction.
    pub fn set_aside_for_peers(&mut self, each: usize) {
        self.shares.on_peers(each);
    }

    /// So many processes of this broker run side by side now: descriptors are shared by them.
    pub fn share(&mut self, processes: u32) {
        self.shares.on_processes(processes);
        self.attend_again();
    }

    /// So many data nodes are listed now, by all services: what is set aside for them follows.
    pub fn listed(&mut self, nodes: usize) {
        self.shares.on_listed(nodes);
        self.attend_again();
    }

    /// How many data nodes the descriptors bear, whatever clients hold.
    #[must_use]
    pub fn bears(&self) -> usize {
        self.shares.bears()
    }

    fn may_open(&self, side: Side) -> bool {
        matches!(self.shares.may_open(side), Verdict::Open(_))
    }

    /// Connections to data nodes that clients who wait have a right to: the idle among them may go.
    #[must_use]
    pub fn owed(&self) -> usize {
        if self.resting {
            self.shares.owed()
        } else {
            0
        }
    }

    /// How the descriptors stand for data nodes, in words.
    #[must_use]
    pub fn why_short(&self) -> String {
        self.shares.may_open(Side::Nodes).to_string()
    }

    /// Starts to open a connection.
    pub fn connect(&mut self, owner: P::Owner, address: SocketAddr) -> Result<ConnId, Denied> {
        // Guards the descriptor budget, and what one side may take of it from the others.
        match self.shares.may_open(P::side(owner)) {
            Verdict::Open(_) => self.open(owner, address).map_err(|e| match e.raw_os_error() {
                Some(EMFILE | ENFILE) => Denied::Lack(Reason::System),
                _ => Denied::Failed(e),
            }),
            Verdict::Instead(why) | Verdict::Wait(why) => Err(Denied::Lack(why)),
        }
    }

    fn open(&mut self, owner: P::Owner, address: SocketAddr) -> io::Result<ConnId> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let up = match socket.connect(&address.into()) {
            Ok(()) => true,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS) => false,
            Err(e) => return Err(e),
        };
        self.add(socket.into(), owner, up)
    }

    fn add(&mut self, stream: TcpStream, owner: P::Owner, up: bool) -> io::Result<ConnId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        if let Some(timeout) = P::user_timeout(owner) {
            // Where the system has no such option, silence is noticed by whoever listens for it.
            let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(timeout));
        }
        if let Some(wait) = P::probe_after(owner) {
            let probes = TcpKeepalive::new().with_time(wait).with_interval(wait).with_retries(1);
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
        let event = Event { key: id.0, readable: interest.0, writable: interest.1 };
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
        let slot = self.slots.get_mut(id.0 & ((1 << INDEX_BITS) - 1))?.as_mut()?;
        (slot.0 == id).then_some(&mut slot.1)
    }

    /// Lets the reading of a connection rest, or go on, whatever is pumped meanwhile: what the other side sends waits in the system, and
    /// beyond that at the other side. While it rests and nothing is to be written nothing is reported of it, not even that it broke;
    /// that shows once reading goes on.
    pub fn pause(&mut self, id: ConnId, on: bool) -> Pumped {
        let Some(conn) = self.get_mut(id) else { return Pumped::Broken };
        conn.paused = on;
        self.flush(id, false)
    }

    /// Writes what is queued and reads what has come, up to `ceiling` bytes held.
    pub fn pump(&mut self, id: ConnId, ceiling: usize) -> Pumped {
        let now = self.clock.now();
        let Some(conn) = self.get_mut(id) else { return Pumped::Broken };
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
            // Guards the loop: without a read nothing else shows that it broke, and what is broken stays ready.
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
        let Some(conn) = self.get_mut(id) else { return Pumped::Broken };
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
        // A connection that broke is ready whatever it is asked for: one that rests is not looked at.
        let polled = !conn.paused || interest != (false, false);
        if (interest, polled) == (conn.interest, conn.polled) {
            return Pumped::Alive;
        }
        let was_polled = std::mem::replace(&mut conn.polled, polled);
        conn.interest = interest;
        let event = Event { key: id.0, readable: interest.0, writable: interest.1 };
        let Some((_, conn)) = self.slots[id.0 & ((1 << INDEX_BITS) - 1)].as_ref() else {
            return Pumped::Broken;
        };
        let told = match (was_polled, polled) {
            (true, true) => self.poller.modify_with_mode(&conn.stream, event, PollMode::Level),
            (false, true) => self.poller.add_with_mode(&conn.stream, event, PollMode::Level),
            (true, false) => self.poller.delete(&conn.stream),
            (false, false) => Ok(()),
        };
        match told {
            Ok(()) => Pumped::Alive,
            Err(_) => Pumped::Broken,
        }
    }

    /// Closes a connection so that the other side sees it break: what it has read so far can't look complete.
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

    /// Accepts again once there is room. Where the system itself had none, that shows in the next try.
    pub fn attend_again(&mut self) {
        if self.resting && self.may_open(Side::Clients) {
            self.resting = false;
            self.attend(true);
        }
    }

    /// Whether clients wait because the budget is used up.
    #[must_use]
    pub fn resting(&self) -> bool {
        self.resting
    }

    /// Connections that clients hold beyond a quarter of all descriptors.
    #[must_use]
    pub fn crowd(&self) -> usize {
        self.shares.crowd()
    }
}

/// Descriptors that the system gives this process at the most, where it tells.
#[must_use]
pub fn system_limit() -> Option<usize> {
    soft_limit(&std::fs::read_to_string("/proc/self/limits").ok()?)
}

/// The soft limit on open files in the system's table of limits; `None`: there is none, or it is not told.
fn soft_limit(table: &str) -> Option<usize> {
    let line = table.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// What the system answers to a connect that goes on in the background.
const EINPROGRESS: i32 = 115;
/// What it answers when this process, or the whole system, may have no more descriptors.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

#[cfg(test)]
mod tests;
