//! Reports of a model server to the control machines: heartbeats with its state (`ready` or
//! `draining`), and its deregistration.

use super::{Event, Shared};
use crate::stream_client::message::{Call, Response};
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An acknowledgement counts if it arrives within this time.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two rounds over all control machines.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// The greatest size of an acknowledgement's body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// What a server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerReport {
    /// `ready`, with this sequence number.
    Ready(u64),
    /// `draining`, with this sequence number.
    Draining(u64),
    /// Its deregistration.
    Deregister,
}

/// A server's registration with the control machines: a thread reports its state at an interval.
/// Dropping it stops the heartbeats.
#[derive(Debug)]
pub struct Registration {
    reporter: Arc<Reporter>,
}

#[derive(Debug)]
struct Reporter {
    shared: Arc<Shared>,
    control: Vec<SocketAddr>,
    /// The machine that is called first: the one that acknowledged last, or the one named by its
    /// `heartbeatEndpoint`.
    preferred: Mutex<Option<SocketAddr>>,
    turn: AtomicU64,
    sequence_number: AtomicU64,
    stopped: AtomicBool,
    sleep_lock: Mutex<()>,
    wake_up: Condvar,
}

impl Registration {
    pub(super) fn start(
        shared: Arc<Shared>,
        control: Vec<SocketAddr>,
        interval: Duration,
    ) -> Registration {
        // Spreads the first calls of the servers over the machines.
        let turn = u64::from(shared.address.port());
        let reporter = Arc::new(Reporter {
            shared,
            control,
            preferred: Mutex::default(),
            turn: AtomicU64::new(turn),
            sequence_number: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            sleep_lock: Mutex::default(),
            wake_up: Condvar::new(),
        });
        let reporting = reporter.clone();
        thread::spawn(move || {
            while !reporting.is_stopped() {
                reporting.send_state(Instant::now() + interval);
                let sleep_lock = lock(&reporting.sleep_lock);
                drop(
                    reporting
                        .wake_up
                        .wait_timeout_while(sleep_lock, interval, |()| !reporting.is_stopped()),
                );
            }
        });
        Registration { reporter }
    }

    /// Stops the heartbeats; the server goes on serving.
    pub fn stop_heartbeats(&self) {
        let sleep_lock = lock(&self.reporter.sleep_lock);
        self.reporter.stopped.store(true, Ordering::SeqCst);
        drop(sleep_lock);
        self.reporter.wake_up.notify_all();
    }

    /// Reports `draining` until that is acknowledged, for `at_most`; returns whether it was. The
    /// server goes on serving.
    pub fn drain(&self, at_most: Duration) -> bool {
        self.reporter.shared.draining.store(true, Ordering::SeqCst);
        self.reporter.send_state(Instant::now() + at_most)
    }

    /// Stops the heartbeats, and deregisters the server until that is acknowledged, for `at_most`;
    /// returns whether it was.
    pub fn deregister(&self, at_most: Duration) -> bool {
        self.stop_heartbeats();
        let path = format!(
            "/instances/{}/deregister",
            self.reporter.shared.description.instance
        );
        self.reporter.send_until_acknowledged(
            &Call::post(&path, ""),
            ServerReport::Deregister,
            Instant::now() + at_most,
        )
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.stop_heartbeats();
    }
}

impl Reporter {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst) || self.shared.is_stopped()
    }

    /// Reports the server's state to one control machine after another until one acknowledges it;
    /// returns whether one did before the deadline.
    fn send_state(&self, deadline: Instant) -> bool {
        let number = self.sequence_number.fetch_add(1, Ordering::SeqCst) + 1;
        let draining = self.shared.is_draining();
        let description = &self.shared.description;
        let body = serde_json::json!({
            "service": description.service,
            "address": self.shared.address.to_string(),
            "zone": description.zone,
            "version": "v1",
            "capacitySlots": description.slots,
            "state": if draining { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": description.version, "adapters": []}],
            "sequenceNumber": number,
        });
        let path = format!("/instances/{}/heartbeat", description.instance);
        let report = if draining {
            ServerReport::Draining(number)
        } else {
            ServerReport::Ready(number)
        };
        self.send_until_acknowledged(&Call::post(&path, body.to_string()), report, deadline)
    }

    fn send_until_acknowledged(
        &self,
        call: &Call,
        report: ServerReport,
        deadline: Instant,
    ) -> bool {
        loop {
            for address in self.control_machines_in_turn() {
                let began = Instant::now();
                let response = call.send_following(address, ACKNOWLEDGEMENT_TIMEOUT);
                let response = response
                    .ok()
                    .filter(|response| is_acknowledgement(response, began.elapsed()));
                let Some(response) = response else {
                    self.shared
                        .ledger
                        .record("", Event::Unacknowledged(report, address));
                    *lock(&self.preferred) = None;
                    self.turn.fetch_add(1, Ordering::SeqCst);
                    continue;
                };
                self.shared
                    .ledger
                    .record("", Event::Acknowledged(report, address));
                *lock(&self.preferred) = Some(heartbeat_endpoint(&response).unwrap_or(address));
                return true;
            }
            if Instant::now() >= deadline || self.shared.is_stopped() {
                return false;
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }

    fn control_machines_in_turn(&self) -> Vec<SocketAddr> {
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

fn is_acknowledgement(response: &Response, took: Duration) -> bool {
    (200..300).contains(&response.status())
        && took <= ACKNOWLEDGEMENT_TIMEOUT
        && response.body.len() <= MAX_RESPONSE_BYTES
}

fn heartbeat_endpoint(response: &Response) -> Option<SocketAddr> {
    let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
    body.get("heartbeatEndpoint")?.as_str()?.parse().ok()
}
