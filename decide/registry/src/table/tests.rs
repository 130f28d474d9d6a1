//! Tests of `table`, one module per aspect, and their shared fixtures.

mod address_conflicts;
mod digests;
mod heartbeats;
mod merging;
mod restored_records;
mod timeouts;

use super::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
/// Start time of the table. It is large, so that a time that is wrongly 0 makes a test fail.
const START: Time = Time(1_000 * SECOND);

fn heartbeat(address: &str, sequence_number: u64) -> Heartbeat {
    Heartbeat {
        service: "s".to_owned(),
        address: address.to_owned(),
        capacity_slots: 8,
        sequence_number,
        ..Heartbeat::default()
    }
}

fn draining(address: &str, sequence_number: u64) -> Heartbeat {
    Heartbeat {
        state: ServerState::Draining,
        ..heartbeat(address, sequence_number)
    }
}

fn heartbeat_age(instance: &str, age_ms: u32) -> HeartbeatAge {
    HeartbeatAge {
        instance: instance.to_owned(),
        age_ms,
    }
}

fn table() -> Registry {
    Registry::new(START, SECOND)
}

/// Ticks the table at each of its wake times and then at `until`, and returns all changes.
fn tick_until(table: &mut Registry, until: Time) -> Changes {
    let mut changes = Changes::default();
    while table.next_wake() <= until {
        let now = table.next_wake();
        changes.append(table.tick(now));
    }
    changes.append(table.tick(until));
    changes
}

fn state_of(table: &Registry, instance: &str) -> Option<ServerState> {
    table.record(instance).map(|record| record.state)
}

fn is_suspect(table: &Registry, instance: &str) -> bool {
    table
        .record(instance)
        .is_some_and(|record| record.is_suspect)
}
