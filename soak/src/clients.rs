//! The clients of a day, and the platform's readiness checks by which they choose their routers.

use crate::journal::{ClientRequest, Clock, RequestEnd};
use crate::operators::{HOST, LONG_CONFIGURATION_PATH};
use crate::plan::{Plan, Profile};
use crate::servers::EVENT_INTERVAL;
use crate::tenants::tenant_of_client;
use fastrand::Rng;
use lichenswitch_emulators::operator::document::Tenant;
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

/// Clients abandon a request after this time without a byte.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the platform checks the readiness of each router, and the timeout of a check.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// A router gets no new connections after this number of failed checks in a row.
const MAX_MISSES: u32 = 2;
/// Deadline of short requests, below every `timeoutMs` of their routes.
const SHORT_REQUEST_DEADLINE: Duration = Duration::from_secs(2);
/// Deadline of streams, below every `timeoutMs` of their routes.
const STREAM_DEADLINE: Duration = Duration::from_secs(9);
/// The longest duration of a stream (ms): longer than the grace.
const MAX_STREAM_MS: u64 = 6_500;
/// Tokens in an event, as the servers are set.
const TOKENS_PER_EVENT: u32 = 4;
/// One request in this number is abandoned by its client as soon as it is sent.
const ABANDONED_ONE_IN: u32 = 40;
/// Delay after a rejection.
const REJECTION_BACKOFF: Duration = Duration::from_millis(100);
/// Delay after a connection that could not be opened.
const CONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay between two short requests (ms).
const MAX_SHORT_DELAY_MS: u64 = 60;
/// The length of long bodies (bytes): one write takes less of it, up to `maxBodyBytes`.
const MIN_LONG_BODY_BYTES: usize = 512 << 10;
const MAX_BODY_BYTES: usize = 4 << 20;
/// The longest delay between two streams (ms).
const MAX_STREAM_DELAY_MS: u64 = 400;

/// The requests of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Short requests that may be retried.
    Safe,
    /// Short requests that may not be retried.
    Unsafe,
    /// Streams that may be resumed at another server.
    ResumableStream,
    /// Streams that may not be resumed.
    UnresumableStream,
    /// Streams on a route that only some configurations have.
    OptionalRoute,
    /// Requests with long bodies that may not be retried.
    LongUnsafe,
    /// Short requests on the last route that a long configuration got.
    LongConfigurationRoute,
    /// Short requests to servers that are about full, which may not be retried but after a rejection.
    OverloadedUnsafe,
}

/// How long clients use a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// For a number of requests that is drawn.
    Limited,
    /// Until it is closed, whatever the router answers.
    UntilClosed,
}

/// The workload of each client of a day.
#[must_use]
pub fn workloads(plan: &Plan) -> Vec<Workload> {
    let mut workloads = CLIENT_WORKLOADS.to_vec();
    if plan.profile == Profile::Series {
        workloads.extend([Workload::LongUnsafe; 3]);
    }
    if plan.has_long_configuration {
        workloads.extend([Workload::LongConfigurationRoute; 2]);
    }
    if plan.profile == Profile::Overload {
        workloads.extend([Workload::OverloadedUnsafe; OVERLOADED_CLIENTS]);
    }
    workloads
}

/// The number of clients of the servers that are about full: more than these have slots.
const OVERLOADED_CLIENTS: usize = 20;

/// The workload of each client of a day of mixed faults.
const CLIENT_WORKLOADS: [Workload; 14] = [
    Workload::Safe,
    Workload::Safe,
    Workload::Unsafe,
    Workload::Unsafe,
    Workload::ResumableStream,
    Workload::ResumableStream,
    Workload::ResumableStream,
    Workload::ResumableStream,
    Workload::ResumableStream,
    Workload::UnresumableStream,
    Workload::UnresumableStream,
    Workload::UnresumableStream,
    Workload::OptionalRoute,
    Workload::OptionalRoute,
];

impl Workload {
    fn path(self) -> &'static str {
        match self {
            Workload::Safe => "/safe/1",
            Workload::Unsafe => "/once/1",
            Workload::ResumableStream => "/long/1",
            Workload::UnresumableStream => "/whole/1",
            Workload::OptionalRoute => "/extra/1",
            Workload::LongUnsafe => "/once/1",
            Workload::LongConfigurationRoute => LONG_CONFIGURATION_PATH,
            Workload::OverloadedUnsafe => "/full/1",
        }
    }

    fn is_short(self) -> bool {
        matches!(
            self,
            Workload::Safe
                | Workload::Unsafe
                | Workload::LongUnsafe
                | Workload::LongConfigurationRoute
                | Workload::OverloadedUnsafe
        )
    }

    /// Draws the length of the body of its next request; `None`: the usual one.
    fn body_bytes(self, random: &mut Rng) -> Option<usize> {
        (self == Workload::LongUnsafe).then(|| random.usize(MIN_LONG_BODY_BYTES..=MAX_BODY_BYTES))
    }

    fn is_idempotent(self) -> bool {
        !matches!(
            self,
            Workload::Unsafe
                | Workload::UnresumableStream
                | Workload::LongUnsafe
                | Workload::OverloadedUnsafe
        )
    }

    fn deadline(self) -> Duration {
        if self.is_short() {
            SHORT_REQUEST_DEADLINE
        } else {
            STREAM_DEADLINE
        }
    }

    /// Draws how long its next response lasts: for streams from a fifth of a second up to longer
    /// than the grace, half of them long.
    fn response_duration(self, random: &mut Rng) -> Duration {
        Duration::from_millis(match self {
            _ if self.is_short() => 0,
            _ if random.bool() => random.u64(2_500..MAX_STREAM_MS),
            _ => random.u64(200..2_500),
        })
    }

    /// Draws how many events its next response has; `None`: the client abandons the request as soon
    /// as it is sent.
    fn event_count(self, random: &mut Rng) -> Option<u32> {
        let events = self.response_duration(random).as_millis() / EVENT_INTERVAL.as_millis() + 1;
        let is_abandoned = random.u32(0..ABANDONED_ONE_IN) == 0;
        (!is_abandoned).then_some(u32::try_from(events).unwrap_or(1))
    }

    /// Draws the delay before its next request on the same connection.
    fn delay(self, random: &mut Rng) -> Duration {
        let max_ms = if self.is_short() {
            MAX_SHORT_DELAY_MS
        } else {
            MAX_STREAM_DELAY_MS
        };
        Duration::from_millis(random.u64(5..max_ms))
    }

    /// Draws how many requests a connection carries at most.
    fn max_requests(self, connection_use: ConnectionUse, random: &mut Rng) -> u32 {
        if connection_use == ConnectionUse::UntilClosed {
            u32::MAX
        } else if self.is_short() {
            random.u32(1..60)
        } else {
            random.u32(1..6)
        }
    }
}

/// What the clients share: their routers, and the record of their requests.
pub struct Clients {
    clock: Clock,
    /// By machine, the address of its router for clients.
    fronts: Vec<SocketAddr>,
    /// By machine, the readiness checks that its router has failed in a row.
    misses: Vec<AtomicU32>,
    connection_use: ConnectionUse,
    /// Whether the configuration has tenants, so that requests bear keys.
    has_tenants: bool,
    /// When the routes of a long configuration were acknowledged, where there are any.
    long_routes_acknowledged_at: Option<Duration>,
    next_attempt: AtomicU64,
    stopped: AtomicBool,
    client_requests: Mutex<Vec<ClientRequest>>,
}

impl Clients {
    /// Clients of these routers.
    #[must_use]
    pub fn new(
        clock: Clock,
        fronts: Vec<SocketAddr>,
        connection_use: ConnectionUse,
        has_tenants: bool,
    ) -> Clients {
        let misses = fronts.iter().map(|_| AtomicU32::new(0)).collect();
        let (next_attempt, stopped) = (AtomicU64::new(1), AtomicBool::new(false));
        Clients {
            clock,
            fronts,
            misses,
            connection_use,
            has_tenants,
            long_routes_acknowledged_at: None,
            next_attempt,
            stopped,
            client_requests: Mutex::default(),
        }
    }

    /// Sets when the routes of a long configuration were acknowledged.
    pub fn set_long_routes_acknowledged_at(&mut self, at: Duration) {
        self.long_routes_acknowledged_at = Some(at);
    }

    /// Stops the clients: no new request is sent.
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

    /// Checks the readiness of a router until the clients are stopped.
    pub fn watch_readiness(&self, machine: usize, readiness: SocketAddr) {
        while !self.is_stopped() {
            let checked_at = Instant::now();
            let response = Call::get("/readiness").send(readiness, READINESS_INTERVAL);
            if response.is_ok_and(|response| response.status() == 200) {
                self.misses[machine].store(0, Ordering::SeqCst);
            } else {
                self.misses[machine].fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(READINESS_INTERVAL.saturating_sub(checked_at.elapsed()));
        }
    }

    /// The tenant of the client with this index, where there are tenants.
    fn tenant(&self, client: usize) -> Option<Tenant> {
        self.has_tenants.then(|| tenant_of_client(client))
    }

    /// Sends the requests of the client with this index until the clients are stopped.
    pub fn send_requests(&self, client: usize, workload: Workload, random: &mut Rng) {
        let tenant = self.tenant(client);
        while !self.is_stopped() {
            let machine = self.choose_router(random);
            let Ok(mut connection) = ClientConnection::open(self.fronts[machine], RESPONSE_TIMEOUT)
            else {
                thread::sleep(CONNECT_BACKOFF);
                continue;
            };
            for turn in 0..workload.max_requests(self.connection_use, random) {
                if self.is_stopped() {
                    break;
                }
                let events = workload.event_count(random);
                let body_bytes = workload.body_bytes(random);
                let draft = RequestDraft {
                    workload,
                    tenant: tenant.as_ref(),
                    events,
                    body_bytes,
                };
                let Some(sent) = self.send(&mut connection, &draft) else {
                    break;
                };
                let (is_rejected, keeps_alive) = (sent.is_rejected(), sent.keeps_alive);
                self.record(sent, machine, turn, &draft);
                if is_rejected {
                    thread::sleep(REJECTION_BACKOFF);
                }
                if !keeps_alive {
                    break;
                }
                thread::sleep(workload.delay(random));
            }
        }
    }

    /// Chooses among the routers that are ready, or among all where none is.
    fn choose_router(&self, random: &mut Rng) -> usize {
        let is_ready = |machine: &usize| self.misses[*machine].load(Ordering::SeqCst) < MAX_MISSES;
        let ready: Vec<usize> = (0..self.fronts.len()).filter(is_ready).collect();
        random
            .choice(ready)
            .unwrap_or_else(|| random.usize(0..self.fronts.len()))
    }

    /// Sends a short request to a router; returns whether it was served.
    #[must_use]
    pub fn is_served_by(&self, machine: usize) -> bool {
        let opened = ClientConnection::open(self.fronts[machine], RESPONSE_TIMEOUT);
        let tenant = self.tenant(machine);
        let draft = RequestDraft {
            workload: Workload::Safe,
            tenant: tenant.as_ref(),
            events: Some(1),
            body_bytes: None,
        };
        let sent = opened
            .ok()
            .and_then(|mut connection| self.send(&mut connection, &draft));
        sent.is_some_and(|sent| {
            let served = sent.end == RequestEnd::Responded(200);
            self.record(sent, machine, 0, &draft);
            served
        })
    }

    /// Sends a request. Returns `None` if it could not be sent completely.
    fn send(
        &self,
        connection: &mut ClientConnection,
        draft: &RequestDraft<'_>,
    ) -> Option<SentRequest> {
        let RequestDraft {
            workload,
            tenant,
            events,
            body_bytes,
        } = *draft;
        let attempt = format!("{:016x}", self.next_attempt.fetch_add(1, Ordering::SeqCst));
        let mut request = StreamRequest::new(
            HOST,
            workload.path(),
            &attempt,
            events.unwrap_or(1) * TOKENS_PER_EVENT,
        );
        request.deadline_ms = u64::try_from(workload.deadline().as_millis()).unwrap_or(u64::MAX);
        request.closes = false;
        request.api_key = tenant.map(|tenant| tenant.key.clone());
        if let Some(length) = body_bytes {
            request.body = vec![b' '; length];
        }
        let started_at = Instant::now();
        connection.write(&request).ok()?;
        let at = self.clock.now();
        if events.is_none() {
            return Some(SentRequest {
                attempt,
                at,
                end: RequestEnd::Abandoned,
                faults: Vec::new(),
                keeps_alive: false,
            });
        }
        let response = connection.read(started_at, |_| {});
        let end = request_end(&response);
        let faults = response
            .as_ref()
            .map(|response| response.faults(&request, &[&attempt]))
            .unwrap_or_default();
        let keeps_alive = matches!(end, RequestEnd::Responded(_))
            && response.is_ok_and(|response| !response.head.closes());
        Some(SentRequest {
            attempt,
            at,
            end,
            faults,
            keeps_alive,
        })
    }

    fn record(&self, sent: SentRequest, machine: usize, turn: u32, draft: &RequestDraft<'_>) {
        let workload = draft.workload;
        let SentRequest {
            attempt,
            at: sent,
            end,
            faults,
            keeps_alive: _,
        } = sent;
        let (idempotent, time_limit, ended) = (
            workload.is_idempotent(),
            workload.deadline(),
            self.clock.now(),
        );
        let route_acknowledged_at = self
            .long_routes_acknowledged_at
            .filter(|_| workload == Workload::LongConfigurationRoute);
        lock(&self.client_requests).push(ClientRequest {
            attempt,
            machine,
            idempotent,
            tenant: draft.tenant.map(|tenant| tenant.name.clone()),
            turn,
            sent,
            ended,
            time_limit,
            end,
            faults,
            route_acknowledged_at,
        });
    }
}

/// What a request is to be.
struct RequestDraft<'a> {
    workload: Workload,
    /// The tenant whose key it bears.
    tenant: Option<&'a Tenant>,
    /// How many events its response has; `None`: the client abandons it as soon as it is sent.
    events: Option<u32>,
    /// The length of its body, where it is not the usual one.
    body_bytes: Option<usize>,
}

/// A request that was sent, and its result.
struct SentRequest {
    attempt: String,
    /// When its last byte was sent.
    at: Duration,
    end: RequestEnd,
    faults: Vec<StreamFault>,
    /// Whether its connection carries another request.
    keeps_alive: bool,
}

impl SentRequest {
    fn is_rejected(&self) -> bool {
        matches!(self.end, RequestEnd::Responded(status) if status >= 300)
    }
}

fn request_end(response: &Result<StreamedResponse, MessageError>) -> RequestEnd {
    match response {
        Ok(response) => match response.end {
            ResponseEnd::Complete => RequestEnd::Responded(response.head.status()),
            ResponseEnd::Truncated => RequestEnd::Truncated,
            ResponseEnd::TimedOut => RequestEnd::TimedOut,
        },
        Err(MessageError::Timeout) => RequestEnd::TimedOut,
        Err(_) => RequestEnd::NoResponse,
    }
}
