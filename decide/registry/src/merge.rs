//! Merge of two records of one instance, whatever the order in which they arrive.

use lichenswitch_messages::{ServerRecord, ServerState};
use std::cmp::Ordering;

/// The record of an instance that is gone: the greatest element of the order. It has no other
/// content, so that all machines have the same one.
#[must_use]
pub fn tombstone(instance: &str) -> ServerRecord {
    ServerRecord {
        instance: instance.to_owned(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    }
}

/// Merges an update into the known record of the same instance, and returns whether that changed.
///
/// The result is the greater one by state, sequence number and, last, content; so merging is
/// commutative, associative and idempotent. `is_suspect` is not merged: the known record keeps its
/// own, as each control machine judges missing heartbeats by itself.
pub fn merge_record(known: &mut ServerRecord, update: &ServerRecord) -> bool {
    debug_assert_eq!(
        known.instance, update.instance,
        "only records of one instance are merged"
    );
    if compare(update, known) != Ordering::Greater {
        return false;
    }
    let is_suspect = known.is_suspect;
    *known = normalized(update);
    known.is_suspect = is_suspect && known.state != ServerState::Gone;
    true
}

/// Merges what a control machine has pushed into a router's record, and returns whether that
/// changed. A router doesn't judge missing heartbeats by itself: `is_suspect` is as the control
/// machine reports, unless the instance is gone.
pub fn merge_pushed_record(known: &mut ServerRecord, pushed: &ServerRecord) -> bool {
    let is_merged = merge_record(known, pushed);
    let is_suspect = pushed.is_suspect && known.state != ServerState::Gone;
    let is_judged_anew = std::mem::replace(&mut known.is_suspect, is_suspect) != is_suspect;
    is_merged || is_judged_anew
}

/// A record as it is stored: one that is gone has no other content.
pub(crate) fn normalized(update: &ServerRecord) -> ServerRecord {
    match update.state {
        ServerState::Gone => tombstone(&update.instance),
        _ => update.clone(),
    }
}

/// The order of records of one instance. All that are gone are equal.
fn compare(one: &ServerRecord, other: &ServerRecord) -> Ordering {
    let are_both_gone = one.state == ServerState::Gone && other.state == ServerState::Gone;
    match are_both_gone {
        true => Ordering::Equal,
        false => order_key(one).cmp(&order_key(other)),
    }
}

/// Orders by state, sequence number, and then by content, which differs at the same number only if a
/// server violates the protocol.
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
