//! This router's share of each server: connections, and what running streams weigh.
//!
//! All routers together stay within the connections and slots that are configured for a server. Streams
//! weigh less the more slots servers report to be free.

use super::server_response::ServerLoad;

/// Connections to a server that a router may always have, whatever its share.
const MIN_CONNECTIONS_PER_SERVER: usize = 2;

/// The same where the operator configures no bound.
const DEFAULT_CONNECTIONS_PER_SERVER: usize = 16;

/// Smoothing of the occupied-slots ratio: each report moves it by this share of the difference.
const LOAD_SMOOTHING: f64 = 0.1;

/// Lower bound on the occupied-slots ratio, so that many streams at one server still count.
const MIN_OCCUPIED_SLOTS_RATIO: f64 = 0.05;

/// This router's share of each server of a service.
#[derive(Debug)]
pub(crate) struct ServerShare {
    /// Connections that a server accepts from all callers, where that is configured.
    configured_connections: Option<u32>,
    /// Requests that a server executes at once, where that is configured.
    configured_slots: Option<u32>,
    max_connections: usize,
    /// This router's share of a server's slots, at least 1.
    slot_share: u32,
    /// Smoothed ratio of occupied slots that servers report; `None` before the first report.
    occupied_slots_ratio: Option<f64>,
    streams_per_request: u32,
}

impl Default for ServerShare {
    fn default() -> ServerShare {
        ServerShare {
            configured_connections: None,
            configured_slots: None,
            max_connections: MIN_CONNECTIONS_PER_SERVER,
            slot_share: 1,
            occupied_slots_ratio: None,
            streams_per_request: 1,
        }
    }
}

impl ServerShare {
    /// Sets how many connections and requests a server accepts from all callers together, where that
    /// is configured.
    pub(crate) fn configure(&mut self, connections: Option<u32>, slots: Option<u32>, routers: u32) {
        (self.configured_connections, self.configured_slots) = (connections, slots);
        self.set_router_count(routers);
    }

    /// Sets the number of routers that share the servers.
    pub(crate) fn set_router_count(&mut self, routers: u32) {
        let share = |total: u32| total / routers.max(1);
        self.max_connections = match self.configured_connections {
            Some(connections) => share(connections) as usize,
            None => DEFAULT_CONNECTIONS_PER_SERVER,
        }
        .max(MIN_CONNECTIONS_PER_SERVER);
        self.slot_share = share(self.configured_slots.unwrap_or(0)).max(1);
        self.update_stream_weight();
    }

    /// A server has reported its load.
    pub(crate) fn on_server_load(&mut self, load: ServerLoad) {
        let occupied = f64::from(load.running.saturating_add(load.waiting)) / f64::from(load.slots);
        let before = self.occupied_slots_ratio.unwrap_or(occupied);
        self.occupied_slots_ratio = Some(before + LOAD_SMOOTHING * (occupied - before));
        self.update_stream_weight();
    }

    /// How many connections this router may have to each server.
    #[must_use]
    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// How many running streams at a server weigh as much as one pending request; at least 1.
    #[must_use]
    pub(crate) fn streams_per_request(&self) -> u32 {
        self.streams_per_request
    }

    /// Recomputes how many streams weigh as much as a pending request: this router's share of a
    /// server's slots, or more where servers report free slots.
    fn update_stream_weight(&mut self) {
        let by_load = self
            .occupied_slots_ratio
            .map_or(1.0, |occupied| 1.0 / occupied.max(MIN_OCCUPIED_SLOTS_RATIO));
        // At most 1 / MIN_OCCUPIED_SLOTS_RATIO.
        self.streams_per_request = self.slot_share.max(by_load as u32);
    }
}
