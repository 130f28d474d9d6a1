//! The clients of a day, and the platform that tells them which routers are ready.

use crate::journal::{ClientRequest, Clock, RequestEnd};
use crate::operators::HOST;
use crate::servers::BETWEEN_EVENTS;
use fastrand::Rng;
use lichenswitch_emulators::stream_client::message::{Call, MessageError};
use lichenswitch_emulators::stream_client::{
    ClientConnection, ResponseEnd, StreamFault, StreamRequest, StreamedResponse,
};
use lichenswitch_emulators::sync::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Clients give a request up after so long without a byte.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The platform asks each router so often whether it is ready; a router that misses twice gets
/// nobody new.
const QUESTION: Duration = Duration::from_secs(1);
/// Misses that take a router out.
const MISSES: u32 = 2;
/// Deadline of short requests, below every `timeoutMs` of their routes.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);
/// Deadline of streams, below every `timeoutMs` of their routes.
const LONG_DEADLINE: Duration = Duration::from_secs(9);
/// The longest streams last longer than the grace.
const LONGEST: u64 = 6_500;
/// Tokens that an event holds, as the servers have it.
const STRIDE: u32 = 4;
/// One request of so many is left by its client as soon as it is sent.
const LEFT: u32 = 40;

/// A client that is refused rests so long.
const REFUSED: Duration = Duration::from_millis(100);

/// What a client asks for, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Short requests that may be repeated.
    Safe,
    /// Short requests that may not.
    Unsafe,
    /// Streams that may be taken up elsewhere.
    Stream,
    /// Streams that may not.
    WholeStream,
    /// Streams on a route that comes and goes.
    Extra,
}

/// All clients of a day.
pub const HABITS: [Habit; 14] = [
    Habit::Safe,
    Habit::Safe,
    Habit::Unsafe,
    Habit::Unsafe,
    Habit::Stream,
    Habit::Stream,
    Habit::Stream,
    Habit::Stream,
    Habit::Stream,
    Habit::WholeStream,
    Habit::WholeStream,
    Habit::WholeStream,
    Habit::Extra,
    Habit::Extra,
];

impl Habit {
    fn path(self) -> &'static str {
        match self {
            Habit::Safe => "/safe/1",
            Habit::Unsafe => "/once/1",
            Habit::Stream => "/long/1",
            Habit::WholeStream => "/whole/1",
            Habit::Extra => "/extra/1",
        }
    }

    fn is_short(self) -> bool {
        matches!(self, Habit::Safe | Habit::Unsafe)
    }

    fn is_idempotent(self) -> bool {
        !matches!(self, Habit::Unsafe | Habit::WholeStream)
    }

    fn deadline(self) -> Duration {
        if self.is_short() {
            SHORT_DEADLINE
        } else {
            LONG_DEADLINE
        }
    }

    /// How long its next answer is to last: for streams from a fifth of a second up to longer than
    /// the grace, many of them long.
    fn lasts(self, random: &mut Rng) -> Duration {
        Duration::from_millis(match self {
            _ if self.is_short() => 0,
            _ if random.bool() => random.u64(2_500..LONGEST),
            _ => random.u64(200..2_500),
        })
    }

    /// Requests on one connection, at most.
    fn turns(self, random: &mut Rng) -> u32 {
        if self.is_short() {
            random.u32(1..60)
        } else {
            random.u32(1..6)
        }
    }
}

/// What all clients share.
pub struct Clients {
    clock: Clock,
    fronts: Vec<SocketAddr>,
    misses: Vec<AtomicU32>,
    numbers: AtomicU64,
    stopped: AtomicBool,
    client_requests: Mutex<Vec<ClientRequest>>,
}

impl Clients {
    /// Clients of these routers.
    #[must_use]
    pub fn new(clock: Clock, fronts: Vec<SocketAddr>) -> Clients {
        let misses = fronts.iter().map(|_| AtomicU32::new(0)).collect();
        let (numbers, stopped) = (AtomicU64::new(1), AtomicBool::new(false));
        Clients {
            clock,
            fronts,
            misses,
            numbers,
            stopped,
            client_requests: Mutex::default(),
        }
    }

    /// No client sends anything more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// All requests so far.
    #[must_use]
    pub fn client_requests(&self) -> Vec<ClientRequest> {
        lock(&self.client_requests).clone()
    }

    /// Asks a router whether it is ready, until the clients are stopped.
    pub fn watch(&self, machine: usize, readiness: SocketAddr) {
        while !self.is_stopped() {
            let queried = Instant::now();
            let answer = Call::get("/readiness").send(readiness, QUESTION);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.misses[machine].store(0, Ordering::SeqCst);
            } else {
                self.misses[machine].fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(QUESTION.saturating_sub(queried.elapsed()));
        }
    }

    /// Asks by this habit until the clients are stopped.
    pub fn query(&self, habit: Habit, random: &mut Rng) {
        while !self.is_stopped() {
            let machine = self.choose(random);
            let Ok(mut connection) = ClientConnection::open(self.fronts[machine], RESPONSE_TIMEOUT)
            else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            for turn in 0..habit.turns(random) {
                if self.is_stopped() || !self.one(&mut connection, machine, turn, habit, random) {
                    break;
                }
                let most = if habit.is_short() { 60 } else { 400 };
                thread::sleep(Duration::from_millis(random.u64(5..most)));
            }
        }
    }

    /// A router that is in, or any where none is.
    fn choose(&self, random: &mut Rng) -> usize {
        let is_in = |machine: &usize| self.misses[*machine].load(Ordering::SeqCst) < MISSES;
        let ready: Vec<usize> = (0..self.fronts.len()).filter(is_in).collect();
        random
            .choice(ready)
            .unwrap_or_else(|| random.usize(0..self.fronts.len()))
    }

    /// One short request to this router; tells whether it was served.
    #[must_use]
    pub fn is_served_by(&self, machine: usize) -> bool {
        let opened = ClientConnection::open(self.fronts[machine], RESPONSE_TIMEOUT);
        let sent = opened
            .ok()
            .and_then(|mut connection| self.send(&mut connection, Habit::Safe, Some(1)));
        sent.is_some_and(|sent| {
            let served = sent.end == RequestEnd::Answered(200);
            self.record(sent, machine, 0, Habit::Safe);
            served
        })
    }

    /// Sends one request and notes what comes of it; tells whether the connection goes on.
    fn one(
        &self,
        connection: &mut ClientConnection,
        machine: usize,
        turn: u32,
        habit: Habit,
        random: &mut Rng,
    ) -> bool {
        let lasts = habit.lasts(random).as_millis() / BETWEEN_EVENTS.as_millis() + 1;
        let events = (random.u32(0..LEFT) > 0).then_some(u32::try_from(lasts).unwrap_or(1));
        let Some(sent) = self.send(connection, habit, events) else {
            return false;
        };
        let (end, goes_on) = (sent.end, sent.goes_on);
        self.record(sent, machine, turn, habit);
        if matches!(end, RequestEnd::Answered(status) if status >= 300) {
            thread::sleep(REFUSED);
        }
        goes_on
    }

    /// Sends one request for so many events, or leaves as soon as it is sent; `None`: it could not
    /// be sent whole.
    fn send(
        &self,
        connection: &mut ClientConnection,
        habit: Habit,
        events: Option<u32>,
    ) -> Option<Sent> {
        let attempt = format!("{:016x}", self.numbers.fetch_add(1, Ordering::SeqCst));
        let mut request =
            StreamRequest::new(HOST, habit.path(), &attempt, events.unwrap_or(1) * STRIDE);
        request.deadline_ms = u64::try_from(habit.deadline().as_millis()).unwrap_or(u64::MAX);
        request.closes = false;
        let began = Instant::now();
        connection.write(&request).ok()?;
        let at = self.clock.now();
        if events.is_none() {
            return Some(Sent {
                attempt,
                at,
                end: RequestEnd::Abandoned,
                faults: Vec::new(),
                goes_on: false,
            });
        }
        let answer = connection.read(began, |_| {});
        let end = end(&answer);
        let faults = answer
            .as_ref()
            .map(|answer| answer.faults(&request, &[&attempt]))
            .unwrap_or_default();
        let goes_on = matches!(end, RequestEnd::Answered(_))
            && answer.is_ok_and(|answer| !answer.head.closes());
        Some(Sent {
            attempt,
            at,
            end,
            faults,
            goes_on,
        })
    }

    fn record(&self, sent: Sent, machine: usize, turn: u32, habit: Habit) {
        let Sent {
            attempt,
            at: sent,
            end,
            faults,
            goes_on: _,
        } = sent;
        let (idempotent, time_left, ended) =
            (habit.is_idempotent(), habit.deadline(), self.clock.now());
        let one = ClientRequest {
            attempt,
            machine,
            idempotent,
            turn,
            sent,
            ended,
            time_left,
            end,
            faults,
        };
        lock(&self.client_requests).push(one);
    }
}

/// A request that was sent, and what came of it.
struct Sent {
    attempt: String,
    at: Duration,
    end: RequestEnd,
    faults: Vec<StreamFault>,
    goes_on: bool,
}

fn end(answer: &Result<StreamedResponse, MessageError>) -> RequestEnd {
    match answer {
        Ok(answer) => match answer.end {
            ResponseEnd::Complete => RequestEnd::Answered(answer.head.status()),
            ResponseEnd::Truncated => RequestEnd::Cut,
            ResponseEnd::TimedOut => RequestEnd::Silent,
        },
        Err(MessageError::Timeout) => RequestEnd::Silent,
        Err(_) => RequestEnd::NoAnswer,
    }
}
