//! Tuned constants of the decision module.

use lichenswitch_interface::Micros;

/// Share of the latency target after which a part is copied. A lower share wastes copies.
pub(crate) const COPY_DELAY_SHARE: f64 = 0.5;
/// Copy tokens earned per part. A higher rate masks faults faster but adds load to an overload.
pub(crate) const COPY_RATE: f64 = 0.1;
/// Minimum factors on `COPY_RATE` as copies prove useless: without and with a retry budget.
/// Lower factors mask a fault later; higher ones add load to an overload.
pub(crate) const MIN_COPY_RATES: [f64; 2] = [0.6, 0.2];
/// Gain of the moving average of the usefulness of copies (0 to 1).
pub(crate) const COPY_USEFULNESS_GAIN: f64 = 0.3;
/// Copy tokens returned when a copy shows that the first attempt was lost.
pub(crate) const COPY_TOKENS_PER_LOSS: f64 = 2.0;
/// Maximum number of saved copy tokens.
pub(crate) const MAX_COPY_TOKENS: f64 = 6.0;
/// A copy shows that the first attempt was lost or delayed alone if the wait for it exceeded this
/// multiple of the copy's answer time. Higher values return fewer copy tokens.
pub(crate) const LOST_WAIT_RATIO: f64 = 2.0;
/// Share of the latency target that the first of two steps may take.
pub(crate) const FIRST_STEP_SHARE: f64 = 0.6;
/// Factor on the first step's time if there are more instances than servers and each meets a
/// server seldom: late parts are then at servers loaded by other instances, or slow and not yet
/// known, and use up the second step's time.
pub(crate) const SPARSE_FACTOR: f64 = 0.8;
/// Share of the latency target after which a partial answer is worth more than waiting.
pub(crate) const PARTIAL_ANSWER_SHARE: f64 = 0.92;
/// Time that an unanswered attempt counts as pending at its server, in latency targets.
pub(crate) const PENDING_LATENCY_TARGETS: f64 = 3.0;
/// Fault share above which a server is passed over. A frequently used one needs two late attempts,
/// since one may be a short stall (first value); a rarely used one needs one (second value).
pub(crate) const FAULT_THRESHOLD: [f64; 2] = [0.55, 0.3];
/// Minimum half-life of faults (microseconds).
pub(crate) const FAULT_HALF_LIFE: f64 = 8_000_000.0;
/// The half-life of faults spans this many parts at a server, up to this multiple of the minimum.
pub(crate) const HALF_LIFE_PARTS: f64 = 8.0;
pub(crate) const MAX_HALF_LIFE_FACTOR: f64 = 4.0;
/// Multiples of the common answer time from which an answer counts partly and fully as a fault.
pub(crate) const SLOW_MIN: f64 = 2.0;
pub(crate) const SLOW_MAX: f64 = 5.0;
/// Gains of the moving average of faults by outcome: a slow answer, an error, an attempt that
/// is late or timed out, and a broken connection or a rejection by a full server.
pub(crate) const SLOW_GAIN: f64 = 0.25;
pub(crate) const ERROR_GAIN: f64 = 0.4;
pub(crate) const LATE_GAIN: f64 = 0.45;
pub(crate) const BROKEN_GAIN: f64 = 0.6;
/// Gain of the moving average of common answer times.
pub(crate) const COMMON_TIME_GAIN: f64 = 0.05;
/// Gain of the moving average of faults at all servers of a zone.
pub(crate) const ZONE_FAULT_GAIN: f64 = 0.1;
/// Margin over the best zone above which the path to a zone is at fault. With a lower margin
/// one bad server of a small zone excludes the zone.
pub(crate) const ZONE_FAULT_MARGIN: f64 = 0.5;
/// Time without use (microseconds) after which a connection may have been dropped silently.
pub(crate) const IDLE_AFTER: Micros = 700_000;
/// Idle connections are closed before a send while their share of losses exceeds that of other
/// connections by this margin.
pub(crate) const IDLE_LOSS_MARGIN: f64 = 0.2;
/// Gains of the loss shares for a missing answer and a reset, and their half-life (microseconds).
pub(crate) const IDLE_GAIN: f64 = 0.1;
pub(crate) const RESET_GAIN: f64 = 0.25;
pub(crate) const IDLE_LOSS_HALF_LIFE: f64 = 20_000_000.0;
/// An unanswered query ends once it has broken connections to this many servers.
pub(crate) const POISON_BROKEN_SERVERS: usize = 3;
/// Time that a poison query affects later queries of its class (microseconds).
pub(crate) const POISON_RETENTION: Micros = 20_000_000;
/// Minimum window, in common answer times, for a query to send one part ahead of the others.
pub(crate) const POISON_MIN_COMMON_TIMES: f64 = 4.0;
/// Gain of the moving average of the value of queries per unit of work.
pub(crate) const VALUE_GAIN: f64 = 0.05;
/// Bounds of the factor by which a query's value scales the queue that it may join. The lower
/// bound keeps every class from starving.
pub(crate) const MIN_VALUE_RATIO: f64 = 0.5;
pub(crate) const MAX_VALUE_RATIO: f64 = 1.3;
/// Parts that a warm server completes in a common answer time (several cores; includes queueing).
pub(crate) const SLOW_START_PARTS: f64 = 1.5;
/// Share of a slow-start allowance split equally among instances; the rest is split by traffic.
pub(crate) const SLOW_START_EQUAL_SHARE: f64 = 0.5;
/// Maximum parts of an allowance that may be saved up.
pub(crate) const SLOW_START_MAX_TOKENS: f64 = 2.0;
/// Answers after which an instance knows its own share of the traffic.
pub(crate) const KNOWN_TRAFFIC_ANSWERS: u64 = 20;
/// A query is refused when the forecast of its slowest part exceeds this share of its latency
/// target. Answers in time raise the share by the step; late ones that had at least
/// `ADMISSION_CUT_SHARE` of the target multiply it by the cut.
pub(crate) const ADMISSION_INITIAL: f64 = 1.2;
pub(crate) const ADMISSION_MIN: f64 = 0.5;
pub(crate) const ADMISSION_MAX: f64 = 2.0;
pub(crate) const ADMISSION_STEP: f64 = 0.01;
pub(crate) const ADMISSION_CUT: f64 = 0.85;
pub(crate) const ADMISSION_CUT_SHARE: f64 = 0.75;
/// Gains of a server's recent response time for an answer and for a lower bound on it.
pub(crate) const RESPONSE_TIME_GAIN: f64 = 0.2;
pub(crate) const LOWER_BOUND_GAIN: f64 = 0.4;
/// Half-life of the recent response time (microseconds).
pub(crate) const RESPONSE_TIME_HALF_LIFE: f64 = 2_000_000.0;
/// Parts that a server is assumed to process at once, in the forecast.
pub(crate) const ASSUMED_CONCURRENCY: f64 = 2.0;
/// Initial and maximum delay before the list is requested again; it doubles (microseconds).
pub(crate) const SUBSCRIBE_BACKOFF_MIN: Micros = 300_000;
pub(crate) const SUBSCRIBE_BACKOFF_MAX: Micros = 4_000_000;
/// Idle time after which a server that is passed over counts as avoided (microseconds).
pub(crate) const AVOIDED_AFTER: Micros = 1_000_000;
/// Maximum time between two checks of a query that has something to send (microseconds).
pub(crate) const MAX_CHECK_INTERVAL: Micros = 100_000;
/// Delay before a retry after an attempt that may have run, if second copies are not allowed:
/// the server may learn late that the attempt has ended (microseconds).
pub(crate) const CANCEL_PROPAGATION_TIME: Micros = 20_000;
