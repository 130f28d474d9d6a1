//! A data node in virtual time: some cores, a queue, and pauses. It reports the cost of each task.

use lichenswitch::interface::{Micros, Time};
use std::collections::{HashMap, VecDeque};

/// The work of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Number of the attempt.
    pub attempt: u64,
    /// Work that it needs, in microseconds of one core.
    pub work: Micros,
    /// 1 or 2: the phase of its query.
    pub phase: u8,
    /// The latency target of its query: an answer after it has little value.
    pub target_at: Time,
}

/// The cost of a task, in microseconds of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Work done.
    pub ran: Micros,
    /// Work done after the latency target of its query.
    pub after_target: Micros,
}

struct Running {
    task: Task,
    started: Time,
    ends: Time,
}

/// A task that starts: its attempt, and when it ends.
pub type Start = (u64, Time);

/// A task that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedTask {
    /// The phase of its query.
    pub phase: u8,
    /// Its cost.
    pub cost: Cost,
    /// The queued task that starts in its place.
    pub next: Option<Start>,
}

/// One data node.
#[derive(Default)]
pub struct Node {
    cores: usize,
    /// Intervals in which no work is done, in order.
    pauses: Vec<(Time, Time)>,
    running: HashMap<u64, Running>,
    queue: VecDeque<Task>,
}

impl Node {
    /// A node with so many cores that does no work in these intervals, which are in order.
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
        let (mut at, mut remaining) = (start, work);
        for &(from, to) in self.pauses.iter().filter(|p| p.1 > start) {
            let free = from.since(at);
            if free >= remaining {
                break;
            }
            remaining -= free;
            at = at.max(to);
        }
        at.plus(remaining)
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

    /// Starts a task, or queues it if no core is free; returns when it ends if it starts at once.
    pub fn take(&mut self, now: Time, task: Task) -> Option<Start> {
        if self.running.len() < self.cores {
            return Some(self.start(now, task));
        }
        self.queue.push_back(task);
        None
    }

    fn cost(&self, running: &Running, until: Time) -> Cost {
        let until = until.min(running.ends);
        let late = running.started.max(running.task.target_at);
        Cost {
            ran: self.active(running.started, until),
            after_target: if until > late {
                self.active(late, until)
            } else {
                0
            },
        }
    }

    /// Ends a task that has finished or was cancelled; `None`: it has ended before.
    pub fn end(&mut self, now: Time, attempt: u64) -> Option<EndedTask> {
        if let Some(at) = self.queue.iter().position(|t| t.attempt == attempt) {
            let task = self.queue.remove(at)?;
            return Some(EndedTask {
                phase: task.phase,
                cost: Cost::default(),
                next: None,
            });
        }
        let running = self.running.remove(&attempt)?;
        let cost = self.cost(&running, now);
        let next = self.queue.pop_front().map(|task| self.start(now, task));
        Some(EndedTask {
            phase: running.task.phase,
            cost,
            next,
        })
    }

    /// Whether a task runs.
    #[must_use]
    pub fn runs(&self, attempt: u64) -> bool {
        self.running.contains_key(&attempt)
    }
}

#[cfg(test)]
mod tests;
