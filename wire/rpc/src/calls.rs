//! Calls that wait for an answer.

use std::collections::{BTreeSet, HashMap};

/// A call that waits.
#[derive(Debug)]
struct Waiting<T, C> {
    began: T,
    deadline: T,
    context: C,
}

/// Calls by number. A number is never used twice in the life of a process, so an answer that comes
/// late, or for a call of an earlier process, is nobody's. `T` is a point in time; `C` is what the
/// caller keeps for the answer.
#[derive(Debug)]
pub struct Calls<T, C> {
    next: u64,
    waiting: HashMap<u64, Waiting<T, C>>,
    by_deadline: BTreeSet<(T, u64)>,
    by_beginning: BTreeSet<(T, u64)>,
}

impl<T: Copy + Ord, C> Calls<T, C> {
    /// A table whose first call gets this number: a random one, so that two processes hardly ever
    /// use the same.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self {
            next: first,
            waiting: HashMap::new(),
            by_deadline: BTreeSet::new(),
            by_beginning: BTreeSet::new(),
        }
    }

    /// Enters a call and gives it its number. It waits until its deadline.
    pub fn begin(&mut self, now: T, deadline: T, context: C) -> u64 {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        self.by_deadline.insert((deadline, id));
        self.by_beginning.insert((now, id));
        self.waiting.insert(
            id,
            Waiting {
                began: now,
                deadline,
                context,
            },
        );
        id
    }

    /// Ends the call of this number. `None` where there is none: it has been answered, has expired,
    /// or never was.
    pub fn finish(&mut self, id: u64) -> Option<C> {
        let Waiting {
            began,
            deadline,
            context,
        } = self.waiting.remove(&id)?;
        self.by_deadline.remove(&(deadline, id));
        self.by_beginning.remove(&(began, id));
        Some(context)
    }

    /// Ends all calls whose deadline has come, the earliest first.
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

    /// Ends all calls, in no order: the connection that they went out on is gone.
    pub fn finish_all(&mut self) -> Vec<C> {
        self.by_deadline.clear();
        self.by_beginning.clear();
        self.waiting
            .drain()
            .map(|(_, waiting)| waiting.context)
            .collect()
    }

    /// When the next call expires.
    #[must_use]
    pub fn next_deadline(&self) -> Option<T> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }

    /// When the oldest call that still waits began.
    #[must_use]
    pub fn oldest(&self) -> Option<T> {
        self.by_beginning.first().map(|(began, _)| *began)
    }

    /// Number of calls that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
