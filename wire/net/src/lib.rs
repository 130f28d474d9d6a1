//! Sockets: the table of connections, the listeners, the wheel of timers and the wait for whatever
//! is ready.
//!
//! [`Net`] owns every descriptor of its program. A connection is opened by [`Net::connect`] or
//! [`Net::accept`] and given back in one place, [`Net::close`]. What a program calls its
//! connections, timers and signals is its own: [`Program`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod buffer;
mod connections;
mod listeners;
pub mod wheel;

use buffer::Buffer;
use lichenswitch_descriptors::{
    ConnectionKind, DescriptorShares, OpenDecision, OpenDecisionReason,
};
use lichenswitch_interface::Time;
use polling::{Event, PollMode, Poller};
use socket2::SockRef;
use std::fmt;
use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wheel::TimerWheel;

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
    fn side(owner: Self::Owner) -> ConnectionKind;
    /// After this long without a sign that what was sent has arrived, a connection of this owner
    /// breaks. Without it the system goes on trying for minutes where the other side has lost power
    /// or is cut off. `None`: as the system has it.
    fn user_timeout(owner: Self::Owner) -> Option<Duration> {
        let _ = owner;
        None
    }
    /// After this long without a byte the system asks whether the other side of a connection of
    /// this owner is still there, and breaks the connection once it has not answered for as long
    /// again. It finds what [`Program::user_timeout`] can't: silence while nothing is being sent.
    /// `None`: nobody asks.
    fn probe_after(owner: Self::Owner) -> Option<Duration> {
        let _ = owner;
        None
    }
}

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// This process has no descriptor for it now: the other side has no part in that.
    NoDescriptor(OpenDecisionReason),
    /// The system said no.
    Failed(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::NoDescriptor(why) => why.fmt(f),
            ConnectError::Failed(e) => e.fmt(f),
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

/// A clock that only moves forward and starts at the system's time, so that start times can be
/// compared.
pub struct Clock {
    origin: Instant,
    unix: u64,
}

impl Default for Clock {
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        Clock {
            origin: Instant::now(),
            unix,
        }
    }
}

impl Clock {
    /// The present time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(self.unix + self.origin.elapsed().as_micros() as u64)
    }
}

/// Which events of a connection the poller is to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Interest {
    readable: bool,
    writable: bool,
}

impl Interest {
    fn is_empty(self) -> bool {
        !self.readable && !self.writable
    }

    /// These events of the connection `id`, as the poller takes them.
    fn event(self, id: ConnId) -> Event {
        Event {
            key: id.0,
            readable: self.readable,
            writable: self.writable,
        }
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
    pub last_active_at: Time,
    /// Last time that anything was read, or that it came up.
    pub last_read_at: Time,
    /// What the poller reports of it now; `None`: it is not with the poller.
    registered: Option<Interest>,
    /// Its owner wants to read nothing more for now.
    paused: bool,
}

impl<Owner> Conn<Owner> {
    /// Queues bytes and tells where they end: they are out once [`Conn::written`] has reached that
    /// point.
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
    /// From now on it breaks after this long without a sign that what was sent has arrived; see
    /// [`Program::user_timeout`].
    pub fn set_user_timeout(&self, timeout: Duration) {
        // Where the system has no such option, silence is noticed by whoever listens for it.
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout));
    }
    /// Ends this side: the other reads to the end of what was written.
    pub fn end_output(&mut self) {
        // One that is gone already needs no end.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

/// How a connection stands after bytes were moved to and from it.
#[derive(Debug, PartialEq, Eq)]
pub enum TransferProgress {
    /// Bytes may have been read and written.
    Alive,
    /// The connection never came up.
    NeverConnected,
    /// The connection broke, or there is no such connection.
    Broken,
}

const LISTENER_KEY: usize = 1 << 48;
const SIGNAL_KEY: usize = 1 << 49;
const INDEX_BITS: u32 = 16;

/// Connections that may wait to be accepted. Guards usual clients against many that connect at
/// once: what overflows here comes up only after the system's next try, a second later.
const BACKLOG: i32 = 1_024;
/// Descriptors that are none of the connections: standard streams, poller, listeners, signal pipe
/// and spare.
const RESERVED: usize = 24;

/// The table of connections, the listeners and the wheel.
pub struct Net<P: Program> {
    poller: Poller,
    events: Vec<Event>,
    slots: Vec<Option<(ConnId, Conn<P::Owner>)>>,
    free: Vec<usize>,
    next: usize,
    /// Who may open connections, and how many are open.
    shares: DescriptorShares,
    /// In the order of their keys; `None`: closed.
    listeners: Vec<(P::Owner, Option<TcpListener>)>,
    /// Accepting rests until a client's connection is given back.
    is_accept_paused: bool,
    signals: Vec<(P::Signal, UnixStream)>,
    /// Timers.
    pub wheel: TimerWheel<P::Timer>,
    /// The clock.
    pub clock: Clock,
}

impl<P: Program> Net<P> {
    /// A net that holds no more than `descriptors`, those of listeners and the like included.
    ///
    /// # Errors
    /// Where the system gives no poller.
    pub fn new(descriptors: usize) -> io::Result<Net<P>> {
        Net::of_connections(descriptors.saturating_sub(RESERVED).max(8))
    }

    /// A net of at most so many connections.
    ///
    /// # Errors
    /// Where the system gives no poller.
    pub fn of_connections(most: usize) -> io::Result<Net<P>> {
        let clock = Clock::default();
        Ok(Net {
            poller: Poller::new()?,
            events: Vec::new(),
            slots: Vec::new(),
            free: Vec::new(),
            next: 1,
            shares: DescriptorShares::new(most),
            listeners: Vec::new(),
            is_accept_paused: false,
            signals: Vec::new(),
            wheel: TimerWheel::new(clock.now()),
            clock,
        })
    }

    /// Reports a signal whenever this stream can be read.
    ///
    /// # Errors
    /// What the system returns where the stream can't be polled.
    pub fn watch_signal(&mut self, signal: P::Signal, stream: UnixStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let key = SIGNAL_KEY + self.signals.len();
        self.poller
            .add_with_mode(&stream, Event::readable(key), PollMode::Level)?;
        self.signals.push((signal, stream));
        Ok(())
    }

    /// Waits until something is ready or `until` has come.
    ///
    /// # Errors
    /// What the poller returns, but for an interruption by a signal.
    pub fn wait(&mut self, until: Option<Time>) -> io::Result<Vec<Ready<P::Owner, P::Signal>>> {
        let until = [until, self.wheel.next()].into_iter().flatten().min();
        let timeout = until.map(|at| Duration::from_micros(at.since(self.clock.now())));
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
            // A signal ends the wait before its byte can be read: it is no fault, and the next wait
            // brings it.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => {
                other?;
            }
        }
        let ready = |e: &Event| match e.key {
            key if key >= SIGNAL_KEY => self
                .signals
                .get(key - SIGNAL_KEY)
                .map(|s| Ready::Signal(s.0)),
            key if key >= LISTENER_KEY => self
                .listeners
                .get(key - LISTENER_KEY)
                .map(|l| Ready::Listener(l.0)),
            key => self
                .get(ConnId(key))
                .map(|c| Ready::Conn(ConnId(key), c.owner)),
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
                    // Guards the loop: an end stays readable for ever. What was asked for is done
                    // all the same if the pipe can't be taken out of the poller.
                    Ok(0) | Err(_) => {
                        let _ = self.poller.delete(&*stream);
                        break;
                    }
                }
            }
        }
    }

    /// Sets so many descriptors aside for other brokers, in each direction.
    pub fn reserve_for_peers(&mut self, each: usize) {
        self.shares.reserve_for_peers(each);
    }

    /// So many processes of this broker run side by side now: descriptors are shared by them.
    pub fn share_with_processes(&mut self, processes: u32) {
        self.shares.set_process_count(processes);
        self.resume_accepting();
    }

    /// So many data nodes are listed now, by all services: what is set aside for them follows.
    pub fn set_listed_nodes(&mut self, nodes: usize) {
        self.shares.set_listed_nodes(nodes);
        self.resume_accepting();
    }

    /// How many data nodes the descriptors bear, whatever clients hold.
    #[must_use]
    pub fn node_capacity(&self) -> usize {
        self.shares.node_capacity()
    }

    fn may_open(&self, side: ConnectionKind) -> bool {
        matches!(self.shares.may_open(side), OpenDecision::Open(_))
    }

    /// Connections to data nodes that clients who wait have a right to: the idle among them may go.
    #[must_use]
    pub fn reclaimable_connections(&self) -> usize {
        if self.is_accept_paused {
            self.shares.reclaimable_connections()
        } else {
            0
        }
    }

    /// How the descriptors stand for data nodes, in words.
    #[must_use]
    pub fn node_capacity_reason(&self) -> String {
        self.shares.may_open(ConnectionKind::Nodes).to_string()
    }

    /// Connections that clients hold beyond a quarter of all descriptors.
    #[must_use]
    pub fn excess_client_connections(&self) -> usize {
        self.shares.excess_client_connections()
    }
}

/// Descriptors that the system gives this process at the most, where it tells.
#[must_use]
pub fn system_limit() -> Option<usize> {
    soft_limit(&std::fs::read_to_string("/proc/self/limits").ok()?)
}

/// The soft limit on open files in the system's table of limits; `None`: there is none, or it is
/// not told.
fn soft_limit(table: &str) -> Option<usize> {
    let line = table
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// What the system answers to a connect that goes on in the background.
const EINPROGRESS: i32 = 115;
/// What it answers when this process, or the whole system, may have no more descriptors.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

#[cfg(test)]
mod tests;
