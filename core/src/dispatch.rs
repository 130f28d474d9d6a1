//! Dispatch: what the module asks for becomes commands; sends of a turn to one server share a call.

use super::{Attempt, Command, Core, Dispatch, Part};
use lichenswitch_interface::{Action, Event, Micros, Outcome, PartId, RetrySafety, ServerId, Time};
use std::collections::HashMap;

/// The calls of a turn.
struct Calls<J> {
    /// The first attempt of this turn.
    first: u64,
    all: Vec<(ServerId, Vec<Dispatch<J>>)>,
    /// The last call to each server.
    last: HashMap<ServerId, usize>,
}

impl<J> Calls<J> {
    /// Puts an attempt into the last call to its server, where that has room, or into a new one.
    fn add(&mut self, server: ServerId, dispatch: Dispatch<J>, max_parts: usize) {
        match self.last.get(&server).map(|&i| &mut self.all[i].1) {
            Some(call) if call.len() < max_parts => call.push(dispatch),
            _ => {
                self.last.insert(server, self.all.len());
                self.all.push((server, vec![dispatch]));
            }
        }
    }
}

/// How long an attempt is waited for. Guards the client's time: no attempt is waited for beyond it;
/// a timeout of 0 stands for all of it.
fn wait_of(timeout: Micros, remaining: Micros) -> Micros {
    let remaining = remaining.max(1);
    if timeout == 0 {
        remaining
    } else {
        timeout.min(remaining)
    }
}

/// Until when a repeat may leave. Guards the rule on repeats: what waits for its connection may leave
/// long after it was decided.
fn leave_by(repeat: RetrySafety, part: &Part) -> Option<Time> {
    match (repeat, part.first_possible_run) {
        (RetrySafety::Keyed(window), Some((_, sent))) => Some(sent.plus(window)),
        _ => None,
    }
}

impl<J> Core<J> {
    /// Carries out what the module asks for in one turn.
    pub(super) fn execute_actions(
        &mut self,
        now: Time,
        actions: Vec<Action>,
        commands: &mut Vec<Command<J>>,
    ) {
        let mut calls = Calls {
            first: self.next_attempt,
            all: Vec::new(),
            last: HashMap::new(),
        };
        for action in actions {
            match action {
                Action::Send {
                    part,
                    server,
                    timeout,
                } => self.send(now, part, server, timeout, &mut calls),
                Action::Cancel { part, attempt } => {
                    self.cancel(now, (part, attempt), &mut calls, commands)
                }
                Action::Answer { query, whole } => self.answer(now, query, whole, commands),
                Action::Refuse { query, retry_after } => self.refuse(query, retry_after, commands),
                Action::Fail(query) => self.fail(query, commands),
                // The module never asks for a probe: it proves a process, not a service.
                Action::Probe(server) => {
                    commands.push(Command::Log(format!(
                        "probe of server {} is not offered",
                        server.0
                    )));
                }
                Action::CloseIdle(server) => commands.push(Command::CloseIdle(server)),
                Action::Subscribe => commands.push(Command::Subscribe),
                Action::Wake(after) => {
                    let at = now.plus(after);
                    self.wake = Some(self.wake.map_or(at, |was| was.min(at)));
                }
                Action::Log(text) => commands.push(Command::Log(text)),
            }
        }
        // Guards the wire: a call whose parts were all cancelled in this turn is none.
        let calls = calls.all.into_iter().filter(|(_, parts)| !parts.is_empty());
        commands.extend(calls.map(|(server, parts)| Command::Send(server, parts)));
    }

    /// Makes an attempt of a part, if the part still wants one, and puts it into a call.
    fn send(
        &mut self,
        now: Time,
        part: PartId,
        server: ServerId,
        timeout: Micros,
        calls: &mut Calls<J>,
    ) {
        let position = self.parts.get(&part).copied();
        let query = position.and_then(|(id, i)| Some((id, self.queries.get_mut(&id)?, i)));
        let Some((id, q, index)) = query else {
            // The query has ended before the send could be made: it never ran.
            return self.report_never_sent(part, 0, server);
        };
        let class = &self.settings.classes[q.class];
        let max_attempts = self.settings.attempts_of(q.class);
        let Some(p) = q.parts.get_mut(index) else {
            return;
        };
        let number = p.attempts;
        p.attempts += 1;
        // Guards the limit on attempts: one beyond it is not sent, whatever the module says.
        if u32::from(number - p.never_left) >= max_attempts || p.value.is_some() {
            return self.report_never_sent(part, number, server);
        }
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let load = self.load.entry(server).or_default();
        let pending = *load;
        *load += 1;
        self.attempts.insert(
            attempt,
            Attempt {
                part,
                number,
                server,
                sent: now,
                pending,
            },
        );
        self.in_flight.insert((part, number), attempt);
        let dispatch = Dispatch {
            attempt,
            job: q.job.clone(),
            class: q.class,
            shard: p.shard,
            first: q.first.clone().filter(|_| p.is_second_step),
            max_elements: p.most,
            timeout: wait_of(timeout, q.deadline.since(now)),
            send_by: leave_by(class.retry_safety, p),
        };
        p.first_possible_run = p.first_possible_run.or(Some((number, now)));
        self.planner.on_sent(now, id, p.shard.0, f64::from(pending));
        let max_parts = self.settings.layout.parts_a_call.max(1) as usize;
        calls.add(server, dispatch, max_parts);
    }

    /// Tells the module that an attempt was not made.
    fn report_never_sent(&mut self, part: PartId, attempt: u16, server: ServerId) {
        self.inbox.push(Event::Finished {
            part,
            attempt,
            server,
            outcome: Outcome::NeverSent,
            elapsed: 0,
        });
    }

    fn cancel(
        &mut self,
        now: Time,
        which: (PartId, u16),
        calls: &mut Calls<J>,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(&attempt) = self.in_flight.get(&which) else {
            return;
        };
        // One that was to be sent in this very turn is not sent.
        let never_left = attempt >= calls.first;
        if never_left {
            calls
                .all
                .iter_mut()
                .for_each(|(_, call)| call.retain(|d| d.attempt != attempt));
        }
        if !never_left {
            commands.push(Command::Cancel(attempt));
        }
        self.on_attempt_ended(now, attempt, Outcome::Cancelled, None);
    }
}
