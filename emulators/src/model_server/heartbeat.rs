//! What a server says of itself to the control machines: heartbeats, that it drains, that it
//! leaves.

use super::{lock, Event, Shared};
use crate::stream_client::message::{Answer, Call};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An acknowledgement counts if it comes within this.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// The most that an acknowledgement may hold.
const ANSWER_BYTES: usize = 4 * 1024;

/// What was said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// `ready`, with this sequence number.
    Ready(u64),
    /// `draining`, with this sequence number.
    Draining(u64),
    /// That it leaves.
    Deregister,
}

/// A server's talk with the control machines. Dropped, it falls silent.
#[derive(Debug)]
pub struct Registration {
    talk: Arc<Talk>,
}

#[derive(Debug)]
struct Talk {
    shared: Arc<Shared>,
    control: Vec<SocketAddr>,
    /// The machine that is called first: the one that answered last, or that it pointed to.
    preferred: Mutex<Option<SocketAddr>>,
    turn: AtomicU64,
    sequence_number: AtomicU64,
    silent: AtomicBool,
    rest: Mutex<()>,
    woken: Condvar,
}

impl Registration {
    pub(super) fn start(
        shared: Arc<Shared>,
        control: Vec<SocketAddr>,
        interval: Duration,
    ) -> Registration {
        // Servers begin at different machines.
        let turn = u64::from(shared.address.port());
        let talk = Arc::new(Talk {
            shared,
            control,
            preferred: Mutex::default(),
            turn: AtomicU64::new(turn),
            sequence_number: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            rest: Mutex::default(),
            woken: Condvar::new(),
        });
        let beating = talk.clone();
        thread::spawn(move || {
            while !beating.is_silent() {
                beating.beat(Instant::now() + interval);
                let rest = lock(&beating.rest);
                drop(
                    beating
                        .woken
                        .wait_timeout_while(rest, interval, |()| !beating.is_silent()),
                );
            }
        });
        Registration { talk }
    }

    /// Says no more heartbeats; the server serves on.
    pub fn fall_silent(&self) {
        let rest = lock(&self.talk.rest);
        self.talk.silent.store(true, Ordering::SeqCst);
        drop(rest);
        self.talk.woken.notify_all();
    }

    /// Says `draining` until that is acknowledged, for so long at most; tells whether it was. The
    /// server serves on.
    pub fn drain(&self, at_most: Duration) -> bool {
        self.talk.shared.draining.store(true, Ordering::SeqCst);
        self.talk.beat(Instant::now() + at_most)
    }

    /// Says that the server leaves until that is acknowledged, for so long at most; tells whether
    /// it was.
    pub fn deregister(&self, at_most: Duration) -> bool {
        self.fall_silent();
        let path = format!(
            "/instances/{}/deregister",
            self.talk.shared.description.instance
        );
        self.talk.say(
            &Call::post(&path, ""),
            Word::Deregister,
            Instant::now() + at_most,
        )
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.fall_silent();
    }
}

impl Talk {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst) || self.shared.is_stopped()
    }

    /// Says how the server is, to one control machine after another until one acknowledges it.
    fn beat(&self, until: Instant) -> bool {
        let number = self.sequence_number.fetch_add(1, Ordering::SeqCst) + 1;
        let leaving = self.shared.is_leaving();
        let description = &self.shared.description;
        let body = serde_json::json!({
            "service": description.service,
            "address": self.shared.address.to_string(),
            "zone": description.zone,
            "version": "v1",
            "capacitySlots": description.slots,
            "state": if leaving { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": description.version, "adapters": []}],
            "sequenceNumber": number,
        });
        let path = format!("/instances/{}/heartbeat", description.instance);
        let word = if leaving {
            Word::Draining(number)
        } else {
            Word::Ready(number)
        };
        self.say(&Call::post(&path, body.to_string()), word, until)
    }

    fn say(&self, call: &Call, word: Word, until: Instant) -> bool {
        loop {
            for address in self.in_turn() {
                let began = Instant::now();
                let answer = call.send_following(address, PATIENCE);
                let answer = answer
                    .ok()
                    .filter(|answer| is_acknowledgement(answer, began.elapsed()));
                let Some(answer) = answer else {
                    self.shared
                        .ledger
                        .note("", Event::Unacknowledged(word, address));
                    *lock(&self.preferred) = None;
                    self.turn.fetch_add(1, Ordering::SeqCst);
                    continue;
                };
                self.shared
                    .ledger
                    .note("", Event::Acknowledged(word, address));
                *lock(&self.preferred) = Some(points_to(&answer).unwrap_or(address));
                return true;
            }
            if Instant::now() >= until || self.shared.is_stopped() {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn in_turn(&self) -> Vec<SocketAddr> {
        let turn = self.turn.load(Ordering::SeqCst) as usize;
        let mut all: Vec<SocketAddr> = lock(&self.preferred).iter().copied().collect();
        let count = self.control.len();
        all.extend(
            (0..count)
                .map(|i| self.control[(turn + i) % count])
                .filter(|a| !all.contains(a))
                .collect::<Vec<_>>(),
        );
        all
    }
}

fn is_acknowledgement(answer: &Answer, took: Duration) -> bool {
    (200..300).contains(&answer.status()) && took <= PATIENCE && answer.body.len() <= ANSWER_BYTES
}

fn points_to(answer: &Answer) -> Option<SocketAddr> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    body.get("heartbeatEndpoint")?.as_str()?.parse().ok()
}
