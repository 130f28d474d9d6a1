//! Responses to the health check and to requests for the server's report.

use super::{Connection, Persistence};
use crate::sync::lock;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A health check fails if it gets no slot within this time.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl Connection {
    /// Responds 200 to a health check if a slot is free in time and the server is healthy and not
    /// draining.
    pub(super) fn respond_health(&mut self) -> Persistence {
        let deadline = Some(Instant::now() + HEALTH_CHECK_TIMEOUT);
        let shared = self.shared.clone();
        let slot = shared.reserve_slot(deadline);
        let is_healthy =
            slot.is_some() && !shared.unhealthy.load(Ordering::SeqCst) && !shared.is_draining();
        drop(slot);
        let instance_field = format!("Instance-Id: {}\r\n", shared.description.instance);
        if is_healthy {
            self.respond(200, &instance_field, b"")
        } else {
            let fields = instance_field + "Not-Executed: 1\r\n";
            self.respond(503, &fields, b"")
        }
    }

    pub(super) fn respond_report(&mut self) -> Persistence {
        let load = *lock(&self.shared.load);
        let body = serde_json::json!({
            "stage": "both",
            "models": [{"name": "m", "version": self.shared.description.version, "adapters": []}],
            "busy": false,
            "sequenceNumber": 0,
            "queuedRequests": load.waiting,
            "activeRequests": load.running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        });
        self.respond(
            200,
            "Content-Type: application/json\r\n",
            body.to_string().as_bytes(),
        )
    }
}
