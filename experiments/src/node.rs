//! A data node in virtual time: some cores, a queue, pauses and slow spells. It accounts for all
//! that it worked.

use lichenswitch::interface::{Micros, Time};
use std::collections::{HashMap, VecDeque};

/// A piece of work: one attempt of a part.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Names the attempt.
    pub attempt: u64,
    /// Work that it needs, in microseconds of one core.
    pub work: Micros,
    /// 1 or 2: the phase of its query.
    pub phase: u8,
    /// After this time its query is worth little.
    pub aim_at: Time,
}

/// What a task has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Work done.
    pub ran: Micros,
    /// Work done after the aim of its query.
    pub after_aim: Micros,
}

struct Running {
    task: Task,
    started: Time,
    ends: Time,
}

/// A task that starts: its attempt, and when it ends.
pub type Start = (u64, Time);

/// How a task left its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Left {
    /// The phase of its query.
    pub phase: u8,
    /// What it has cost.
    pub cost: Cost,
    /// What starts in its place.
    pub next: Option<Start>,
}

/// One data node.
#[derive(Default)]
pub struct Node {
    cores: usize,
    /// Times at which nothing is worked on, in order.
    pauses: Vec<(Time, Time)>,
    running: HashMap<u64, Running>,
    queue: VecDeque<Task>,
}

impl Node {
    /// A node with so many cores that stands still at these times.
    #[must_use]
    pub fn new(cores: usize, pauses: Vec<(Time, Time)>) -> Node {
        Node {
            cores,
            pauses,
            ..Node::default()
        }
    }

    /// When work that starts now ends.
    fn ends(&self, start: Time, work: Micros) -> Time {
        let (mut at, mut left) = (start, work);
        for &(from, to) in self.pauses.iter().filter(|p| p.1 > start) {
            let free = from.since(at);
            if free >= left {
                break;
            }
            left -= free;
            at = at.max(to);
        }
        at.plus(left)
    }

    /// Time between two points that is no pause.
    fn active(&self, from: Time, to: Time) -> Micros {
        let paused = self
            .pauses
            .iter()
            .map(|p| to.min(p.1).since(from.max(p.0)))
            .sum::<u64>();
        to.since(from).saturating_sub(paused)
    }

    fn start(&mut self, now: Time, task: Task) -> Start {
        let ends = self.ends(now, task.work);
        self.running.insert(
            task.attempt,
            Running {
                task,
                started: now,
                ends,
            },
        );
        (task.attempt, ends)
    }

    /// Takes a task; tells when it ends if it starts at once.
    pub fn take(&mut self, now: Time, task: Task) -> Option<Start> {
        if self.running.len() < self.cores {
            return Some(self.start(now, task));
        }
        self.queue.push_back(task);
        None
    }

    fn cost(&self, r: &Running, until: Time) -> Cost {
        let until = until.min(r.ends);
        let late = r.started.max(r.task.aim_at);
        Cost {
            ran: self.active(r.started, until),
            after_aim: if until > late {
                self.active(late, until)
            } else {
                0
            },
        }
    }

    /// Ends a task that ran to its end or is given up; tells its phase, its cost and what starts in
    /// its place. `None`: it is not here any more.
    pub fn end(&mut self, now: Time, attempt: u64) -> Option<Left> {
        if let Some(at) = self.queue.iter().position(|t| t.attempt == attempt) {
            let task = self.queue.remove(at)?;
            return Some(Left {
                phase: task.phase,
                cost: Cost::default(),
                next: None,
            });
        }
        let running = self.running.remove(&attempt)?;
        let cost = self.cost(&running, now);
        let next = self.queue.pop_front().map(|task| self.start(now, task));
        Some(Left {
            phase: running.task.phase,
            cost,
            next,
        })
    }

    /// Whether a task that was to end now still runs.
    #[must_use]
    pub fn runs(&self, attempt: u64) -> bool {
        self.running.contains_key(&attempt)
    }
}

#[cfg(test)]
mod tests;
