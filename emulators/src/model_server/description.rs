//! The properties of a model server.

use std::time::Duration;

/// The properties of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDescription {
    /// Its `instanceId`.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue_capacity: usize,
    /// Connections that it accepts; further ones are reset.
    pub max_connections: usize,
    /// `healthCheckPath` of its service.
    pub health_path: String,
    /// Time from a request's start to its first event.
    pub time_to_first_event: Duration,
    /// Time between events.
    pub event_interval: Duration,
    /// Tokens in an event.
    pub tokens_per_event: u32,
    /// Whether responses carry `Server-Load`.
    pub reports_load: bool,
    /// Idle connections are closed after this.
    pub idle_timeout: Duration,
    /// Version of its weights.
    pub version: u64,
}

impl ServerDescription {
    /// A quick server of a service.
    #[must_use]
    pub fn new(instance: &str, service: &str, zone: &str) -> ServerDescription {
        ServerDescription {
            instance: instance.into(),
            service: service.into(),
            zone: zone.into(),
            slots: 8,
            queue_capacity: 8,
            max_connections: 64,
            health_path: "/health".into(),
            time_to_first_event: Duration::from_millis(20),
            event_interval: Duration::from_millis(10),
            tokens_per_event: 4,
            reports_load: true,
            idle_timeout: Duration::from_secs(15),
            version: 1,
        }
    }
}
