//! Pending calls: those that await their response.

use std::collections::{BTreeSet, HashMap};

/// A call that awaits its response.
#[derive(Debug)]
struct PendingCall<T, C> {
    started_at: T,
    deadline: T,
    context: C,
}

/// Pending calls by number. A number is never used twice in the lifetime of a process, so a response
/// that is late, or to a call of an earlier process, matches no call. `T` is an instant; `C` is the
/// context that the caller needs for the response.
#[derive(Debug)]
pub struct PendingCalls<T, C> {
    next_id: u64,
    pending: HashMap<u64, PendingCall<T, C>>,
    by_deadline: BTreeSet<(T, u64)>,
    by_start: BTreeSet<(T, u64)>,
}

impl<T: Copy + Ord, C> PendingCalls<T, C> {
    /// A table whose first call gets this number: a random one, so that two processes hardly ever
    /// use the same numbers.
    #[must_use]
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            pending: HashMap::new(),
            by_deadline: BTreeSet::new(),
            by_start: BTreeSet::new(),
        }
    }

    /// Adds a call that is pending until its deadline, and returns its number.
    pub fn begin(&mut self, now: T, deadline: T, context: C) -> u64 {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.by_deadline.insert((deadline, id));
        self.by_start.insert((now, id));
        self.pending.insert(
            id,
            PendingCall {
                started_at: now,
                deadline,
                context,
            },
        );
        id
    }

    /// Ends the call of this number. `None` where there is none: it has a response, has expired, or
    /// never was.
    pub fn finish(&mut self, id: u64) -> Option<C> {
        let PendingCall {
            started_at,
            deadline,
            context,
        } = self.pending.remove(&id)?;
        self.by_deadline.remove(&(deadline, id));
        self.by_start.remove(&(started_at, id));
        Some(context)
    }

    /// Ends all calls whose deadline has come, in the order of deadlines.
    pub fn expire(&mut self, now: T) -> Vec<C> {
        let mut expired = Vec::new();
        while let Some((_, id)) = self
            .by_deadline
            .first()
            .copied()
            .filter(|(deadline, _)| *deadline <= now)
        {
            expired.extend(self.finish(id));
        }
        expired
    }

    /// Ends all calls, in no order: the connection that they were sent on is closed.
    pub fn finish_all(&mut self) -> Vec<C> {
        self.by_deadline.clear();
        self.by_start.clear();
        self.pending.drain().map(|(_, call)| call.context).collect()
    }

    /// The earliest deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<T> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// When the oldest pending call was started.
    #[must_use]
    pub fn oldest(&self) -> Option<T> {
        self.by_start.first().map(|(started_at, _)| *started_at)
    }

    /// Number of pending calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no call is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
