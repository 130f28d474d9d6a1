//! How two records of one instance become one, whatever the order in which they come.

use lichenswitch_messages::{ServerRecord, ServerState};
use std::cmp::Ordering;

/// The record of an instance that is gone: the top of the lattice. It has no other content, so that
/// all machines hold the same.
#[must_use]
pub fn tombstone(instance: &str) -> ServerRecord {
    ServerRecord {
        instance: instance.to_owned(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    }
}

/// Takes into a record what another says of the same instance, and tells whether it is another one
/// now.
///
/// The greater one by state, sequence number and, last, content is the outcome; so the order of
/// news does not matter. `is_suspect` is no part of the lattice: the known record keeps its own, as
/// each control machine judges silence by itself.
pub fn merge_record(known: &mut ServerRecord, update: &ServerRecord) -> bool {
    debug_assert_eq!(
        known.instance, update.instance,
        "only records of one instance are joined"
    );
    if order(update, known) != Ordering::Greater {
        return false;
    }
    let is_suspect = known.is_suspect;
    *known = normalized(update);
    known.is_suspect = is_suspect && known.state != ServerState::Gone;
    true
}

/// Takes what a control machine has pushed to a router into the router's record, and tells whether
/// it is another one now. A router judges no silence by itself: `is_suspect` is as the control machine
/// says, unless the instance is gone.
pub fn merge_pushed_record(known: &mut ServerRecord, pushed: &ServerRecord) -> bool {
    let joined = merge_record(known, pushed);
    let is_suspect = pushed.is_suspect && known.state != ServerState::Gone;
    let judged = std::mem::replace(&mut known.is_suspect, is_suspect) != is_suspect;
    joined || judged
}

/// A record as it is kept: gone is gone, whatever else was said with it.
pub(crate) fn normalized(update: &ServerRecord) -> ServerRecord {
    match update.state {
        ServerState::Gone => tombstone(&update.instance),
        _ => update.clone(),
    }
}

/// The order of the lattice. All that is gone is equal.
fn order(one: &ServerRecord, other: &ServerRecord) -> Ordering {
    let gone = one.state == ServerState::Gone && other.state == ServerState::Gone;
    match gone {
        true => Ordering::Equal,
        false => key(one).cmp(&key(other)),
    }
}

/// By state, sequence number, and then by content, which differs at the same number only if a
/// server breaks the protocol.
fn key(record: &ServerRecord) -> (ServerState, u64, [&str; 3], u32, u64) {
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
