//! Virtual time: events in the order of their time, and of their making where that is the same.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use lichenswitch_replication::Time;

/// Events that are to come, and the time.
#[derive(Debug)]
pub struct Scheduler<E> {
    now: Time,
    next: u64,
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
    /// Begins at this time.
    pub fn new(now: Time) -> Self {
        Self {
            now,
            next: 0,
            events: BinaryHeap::new(),
        }
    }

    /// The time of the event that is being handled.
    pub fn now(&self) -> Time {
        self.now
    }

    /// An event at this time; at once if that has passed.
    pub fn at(&mut self, at: Time, event: E) {
        let at = at.max(self.now);
        self.next += 1;
        self.events.push(Reverse(Entry {
            at,
            number: self.next,
            event,
        }));
    }

    /// An event after so many microseconds.
    pub fn after(&mut self, microseconds: u64, event: E) {
        self.at(self.now.after(microseconds), event);
    }

    /// The next event, if it is due by `until`; else the time is `until`.
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
