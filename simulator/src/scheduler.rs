//! Virtual time: events in the order of their times, and in the order in which they were scheduled
//! where these are equal.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use lichenswitch_replication::Time;

/// The events that are scheduled, and the current time.
#[derive(Debug)]
pub struct Scheduler<E> {
    now: Time,
    /// Number of the event that was scheduled last.
    last_number: u64,
    events: BinaryHeap<Reverse<Entry<E>>>,
}

#[derive(Debug)]
struct Entry<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> Scheduler<E> {
    /// One without events, at this time.
    pub fn new(now: Time) -> Self {
        Self {
            now,
            last_number: 0,
            events: BinaryHeap::new(),
        }
    }

    /// The time of the last event that was returned, or up to which there was none.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event at this time, or now if that has passed.
    pub fn at(&mut self, at: Time, event: E) {
        let at = at.max(self.now);
        self.last_number += 1;
        self.events.push(Reverse(Entry {
            at,
            number: self.last_number,
            event,
        }));
    }

    /// Schedules an event after so many microseconds.
    pub fn after(&mut self, microseconds: u64, event: E) {
        self.at(self.now.after(microseconds), event);
    }

    /// Removes and returns the next event if its time is not after `until`, and sets the time to it;
    /// otherwise sets the time to `until`.
    pub fn next(&mut self, until: Time) -> Option<E> {
        if self
            .events
            .peek()
            .is_none_or(|Reverse(first)| first.at > until)
        {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse(entry) = self.events.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
