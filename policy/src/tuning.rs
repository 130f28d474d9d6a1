//! Tuned values: what each weighs, and its unit where it is a time.

use lichenswitch_interface::Micros;

/// Share of the latency target (of a step's window) after which a part is copied. Lower: more copies in vain.
pub(crate) const COPY_DELAY_SHARE: f64 = 0.5;
/// Copies to this share of recent parts. Higher: heals faster, feeds an overload.
pub(crate) const COPY_RATE: f64 = 0.1;
/// That share falls to this part of itself as copies prove useless, with no budget and with one;
/// how fast that is learnt; places that a copy gives back that proved its twin lost. Fewer heal
/// late, more feed a jam.
pub(crate) const MIN_COPY_RATES: [f64; 2] = [0.6, 0.2];
pub(crate) const COPY_USEFULNESS_GAIN: f64 = 0.3;
pub(crate) const COPY_TOKENS_PER_LOSS: f64 = 2.0;
/// Copies that may be saved up while none are needed.
pub(crate) const MAX_COPY_TOKENS: f64 = 6.0;
/// A copy that is answered in less than this part of the time that its twin had been waited for
/// shows that the twin was lost or held up there alone; it does not count to the tenth. Higher:
/// fewer are let off.
pub(crate) const LOST_WAIT_RATIO: f64 = 2.0;
/// Share of the latency target that the first of two steps may take.
pub(crate) const FIRST_STEP_SHARE: f64 = 0.6;
/// Of its limit the first step takes this part where more instances than servers meet these seldom:
/// what is late then is at servers that others fill, or slow ones not known yet, and takes the
/// second step's time.
pub(crate) const SPARSE_FACTOR: f64 = 0.8;
/// Share of the latency target before its end at which a partial answer is worth more than waiting.
pub(crate) const PARTIAL_ANSWER_SHARE: f64 = 0.92;
/// An unanswered attempt goes on counting against its server for this multiple of the class's latency target.
pub(crate) const PENDING_LATENCY_TARGETS: f64 = 3.0;
/// Faded share of bad ends above which a server is passed over: one met often must have been late
/// twice, for it may only have stood still, one met seldom once. What halves it: this long
/// (microseconds), or the time in which a server gets so many parts of this instance, up to
/// MEMORY_MOST times as long.
pub(crate) const FAULT_THRESHOLD: [f64; 2] = [0.55, 0.3];
pub(crate) const FAULT_HALF_LIFE: f64 = 8_000_000.0;
pub(crate) const HALF_LIFE_PARTS: f64 = 8.0;
pub(crate) const MAX_HALF_LIFE_FACTOR: f64 = 4.0;
/// Answer times this many times the common one begin to count as bad, and this many are fully bad.
pub(crate) const SLOW_MIN: f64 = 2.0;
pub(crate) const SLOW_MAX: f64 = 5.0;
/// How far one outcome moves that share: an answer (by its slowness), an error, one late at half
/// its latency target or timed out, a broken connection or a part turned away as full; how fast common answer
/// times are learnt.
pub(crate) const SLOW_GAIN: f64 = 0.25;
pub(crate) const ERROR_GAIN: f64 = 0.4;
pub(crate) const LATE_GAIN: f64 = 0.45;
pub(crate) const BROKEN_GAIN: f64 = 0.6;
pub(crate) const COMMON_TIME_GAIN: f64 = 0.05;
/// How fast the share of bad ends at all servers of a zone follows, and how far it must be above
/// that of the best zone for the way to be blamed; lower: one bad server of a small zone closes it.
pub(crate) const ZONE_FAULT_GAIN: f64 = 0.1;
pub(crate) const ZONE_FAULT_MARGIN: f64 = 0.5;
/// A connection unused for so long (microseconds) may have been dropped unseen: it is closed before
/// a send while the share of losses on such ones is this far above that on others; how both move
/// and fade.
pub(crate) const IDLE_AFTER: Micros = 700_000;
pub(crate) const IDLE_LOSS_MARGIN: f64 = 0.2;
pub(crate) const IDLE_GAIN: f64 = 0.1;
pub(crate) const RESET_GAIN: f64 = 0.25;
pub(crate) const IDLE_LOSS_HALF_LIFE: f64 = 20_000_000.0;
/// A query none of whose parts was answered is stopped when it has broken connections to this many
/// servers; for so long (microseconds) queries of its class that have time for some common answers
/// send a part ahead.
pub(crate) const POISON_BROKEN_SERVERS: usize = 3;
pub(crate) const POISON_RETENTION: Micros = 20_000_000;
pub(crate) const POISON_MIN_COMMON_TIMES: f64 = 4.0;
/// How fast the mean worth of queries for their work is learnt, and how much of the queue that may
/// be waited in a query gets by its own at least (no class is starved) and at most.
pub(crate) const VALUE_GAIN: f64 = 0.05;
pub(crate) const MIN_VALUE_RATIO: f64 = 0.5;
pub(crate) const MAX_VALUE_RATIO: f64 = 1.3;
/// Parts that a warm server works off in a common answer time (it has cores, the time holds
/// waiting); part of its allowance while cold that instances share alike, the rest goes by traffic;
/// parts that may be saved; answers after which an instance knows its traffic.
pub(crate) const SLOW_START_PARTS: f64 = 1.5;
pub(crate) const SLOW_START_EQUAL_SHARE: f64 = 0.5;
pub(crate) const SLOW_START_MAX_TOKENS: f64 = 2.0;
pub(crate) const KNOWN_TRAFFIC_ANSWERS: u64 = 20;
/// A query is turned away when its slowest part is expected to need more than a share of its latency
/// target:
/// at first, and within these bounds as answers come in time (a step) or late (a cut, if they had
/// so much of the target).
pub(crate) const ADMISSION_INITIAL: f64 = 1.2;
pub(crate) const ADMISSION_MIN: f64 = 0.5;
pub(crate) const ADMISSION_MAX: f64 = 2.0;
pub(crate) const ADMISSION_STEP: f64 = 0.01;
pub(crate) const ADMISSION_CUT: f64 = 0.85;
pub(crate) const ADMISSION_CUT_SHARE: f64 = 0.75;
/// How fast a server's recent answer time follows answers, and what shows that it is longer; its
/// half-life.
pub(crate) const RESPONSE_TIME_GAIN: f64 = 0.2;
pub(crate) const LOWER_BOUND_GAIN: f64 = 0.4;
pub(crate) const RESPONSE_TIME_HALF_LIFE: f64 = 2_000_000.0;
/// Parts that a server is taken to work on at once beside those that wait, in the forecast.
pub(crate) const ASSUMED_CONCURRENCY: f64 = 2.0;
/// First wait before asking for the list again; doubles up to the most (microseconds).
pub(crate) const SUBSCRIBE_BACKOFF_MIN: Micros = 300_000;
pub(crate) const SUBSCRIBE_BACKOFF_MAX: Micros = 4_000_000;
/// A server that is passed over counts as avoided once nothing went there or came back for so long.
pub(crate) const AVOIDED_AFTER: Micros = 1_000_000;
/// Longest sleep between two looks at what is held; where no second copies are allowed, how long a
/// part rests after an attempt that may have run, of whose end the server may hear late
/// (microseconds).
pub(crate) const MAX_CHECK_INTERVAL: Micros = 100_000;
pub(crate) const CANCEL_PROPAGATION_TIME: Micros = 20_000;
