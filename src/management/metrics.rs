//! The metrics that operators read, in the text form of OpenMetrics.
//!
//! The loop adds the counters of the core; the management thread encodes them. Both sides only use
//! atomic numbers, so neither waits for the other.

use crate::core::ClassCounters;
use prometheus_client::encoding::{text, EncodeLabelSet};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Kind {
    kind: String,
}

/// The counters of one class.
struct Class {
    ok: Counter,
    shed: Counter,
    errors: Counter,
    attempts: Counter,
}

/// All metrics.
pub struct Metrics {
    registry: Registry,
    classes: Vec<Class>,
    active: Gauge,
    pool_size: Gauge,
    pool_ejected: Gauge,
}

impl Metrics {
    /// Metrics that start at 0, for these classes in the order of the settings.
    #[must_use]
    pub fn new(classes: &[String]) -> Metrics {
        let mut registry = Registry::with_prefix("svc");
        let mut family = |name: &str, help: &str| {
            let family = Family::<Kind, Counter>::default();
            registry.register(name, help, family.clone());
            family
        };
        let ok = family("ok", "Requests served");
        let shed = family("shed", "Requests refused");
        let errors = family("errors", "Requests failed");
        let attempts = family("tries", "Attempts written whole to shard servers");
        let of = |family: &Family<Kind, Counter>, kind: &String| {
            family.get_or_create(&Kind { kind: kind.clone() }).clone()
        };
        let class = |kind: &String| Class {
            ok: of(&ok, kind),
            shed: of(&shed, kind),
            errors: of(&errors, kind),
            attempts: of(&attempts, kind),
        };
        let classes = classes.iter().map(class).collect();
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let active = gauge("active", "Requests taken but not yet ended");
        let pool_size = gauge("pool_size", "Shard servers in the list");
        let pool_ejected = gauge(
            "pool_ejected",
            "Shard servers in the list that are avoided now",
        );
        Metrics {
            registry,
            classes,
            active,
            pool_size,
            pool_ejected,
        }
    }

    /// Adds what was counted since the last call, by class.
    pub fn add(&self, counters: &[ClassCounters]) {
        for (class, count) in self.classes.iter().zip(counters) {
            class.ok.inc_by(count.served);
            class.shed.inc_by(count.refused);
            class.errors.inc_by(count.failed);
            class.attempts.inc_by(count.attempts);
        }
    }

    /// Sets the gauges.
    pub fn set(&self, active: usize, pool_size: usize, pool_ejected: usize) {
        for (gauge, value) in [
            (&self.active, active),
            (&self.pool_size, pool_size),
            (&self.pool_ejected, pool_ejected),
        ] {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// All of them as text, each line with its end.
    #[must_use]
    pub fn text(&self) -> String {
        let mut exposition = String::new();
        // Writing to a string does not fail.
        let _ = text::encode_registry(&mut exposition, &self.registry);
        exposition
    }
}
