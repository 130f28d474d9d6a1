//! Merge of two records of one instance. The result does not depend on the order of arrival.

use lichenswitch_messages::{ServerRecord, ServerState};
use std::cmp::Ordering;

/// Returns the record of an instance that is gone. It is greater than all other records of the
/// instance, and has no other content, so that it is the same on all machines.
#[must_use]
pub fn tombstone(instance: &str) -> ServerRecord {
    ServerRecord {
        instance: instance.to_owned(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    }
}

/// Merges an update into the known record of the same instance, and returns whether the known
/// record changed.
///
/// The result is the greater record by state, then sequence number, then content. Merging is
/// therefore commutative, associative and idempotent. `is_suspect` is not merged: the known record
/// keeps its value, because each control machine decides by itself which servers are suspect.
pub fn merge_record(known: &mut ServerRecord, update: &ServerRecord) -> bool {
    debug_assert_eq!(
        known.instance, update.instance,
        "merged records must belong to one instance"
    );
    if compare(update, known) != Ordering::Greater {
        return false;
    }
    let is_suspect = known.is_suspect;
    *known = normalized(update);
    known.is_suspect = is_suspect && known.state != ServerState::Gone;
    true
}

/// Merges a record that a control machine has pushed into a router's record, and returns whether
/// the router's record changed. A router doesn't detect missing heartbeats by itself: it takes over
/// `is_suspect` from the control machine, unless the instance is gone.
pub fn merge_pushed_record(known: &mut ServerRecord, pushed: &ServerRecord) -> bool {
    let is_merged = merge_record(known, pushed);
    let is_suspect = pushed.is_suspect && known.state != ServerState::Gone;
    let has_suspicion_changed = std::mem::replace(&mut known.is_suspect, is_suspect) != is_suspect;
    is_merged || has_suspicion_changed
}

/// Returns the record in the form in which it is stored: a gone instance has no other content.
pub(crate) fn normalized(update: &ServerRecord) -> ServerRecord {
    match update.state {
        ServerState::Gone => tombstone(&update.instance),
        _ => update.clone(),
    }
}

/// Compares two records of one instance. Records of a gone instance are equal.
fn compare(one: &ServerRecord, other: &ServerRecord) -> Ordering {
    let are_both_gone = one.state == ServerState::Gone && other.state == ServerState::Gone;
    match are_both_gone {
        true => Ordering::Equal,
        false => order_key(one).cmp(&order_key(other)),
    }
}

/// Returns the sort key of a record: state, sequence number, then content. The content differs at
/// the same sequence number only if a server violates the protocol.
fn order_key(record: &ServerRecord) -> (ServerState, u64, [&str; 3], u32, u64) {
    (
        record.state,
        record.sequence_number,
        [&record.service, &record.address, &record.zone],
        record.capacity_slots,
        record.warm_up_remaining_ms,
    )
}

#[cfg(test)]
mod tests;
