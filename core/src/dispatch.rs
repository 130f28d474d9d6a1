//! Dispatch: translates the module's actions into commands and groups a turn's sends into calls.

use super::{Attempt, Command, Core, Dispatch, Part};
use lichenswitch_interface::{Action, Event, Micros, Outcome, PartId, RetrySafety, ServerId, Time};
use std::collections::HashMap;

/// Calls of one turn.
struct Calls<J> {
    /// Identifier of the first attempt of this turn.
    first_attempt: u64,
    list: Vec<(ServerId, Vec<Dispatch<J>>)>,
    /// Index of the last call to each server.
    last_by_server: HashMap<ServerId, usize>,
}

impl<J> Calls<J> {
    /// Adds an attempt to the last call to its server, or to a new call if that one is full.
    fn add(&mut self, server: ServerId, dispatch: Dispatch<J>, max_parts: usize) {
        match self
            .last_by_server
            .get(&server)
            .map(|&i| &mut self.list[i].1)
        {
            Some(call) if call.len() < max_parts => call.push(dispatch),
            _ => {
                self.last_by_server.insert(server, self.list.len());
                self.list.push((server, vec![dispatch]));
            }
        }
    }
}

/// Returns the time to wait for an attempt, at most the client's remaining time. A `timeout` of 0
/// selects all of it.
fn attempt_timeout(timeout: Micros, remaining: Micros) -> Micros {
    let remaining = remaining.max(1);
    if timeout == 0 {
        remaining
    } else {
        timeout.min(remaining)
    }
}

/// Returns the latest time to send a repeat. A part that waits for a connection may be sent long
/// after the decision, when replicas would no longer drop the duplicate.
fn send_deadline(repeat: RetrySafety, part: &Part) -> Option<Time> {
    match (repeat, part.first_possible_run) {
        (RetrySafety::Keyed(window), Some((_, sent))) => Some(sent.plus(window)),
        _ => None,
    }
}

impl<J> Core<J> {
    /// Carries out the module's actions of one turn.
    pub(super) fn execute_actions(
        &mut self,
        now: Time,
        actions: Vec<Action>,
        commands: &mut Vec<Command<J>>,
    ) {
        let mut calls = Calls {
            first_attempt: self.next_attempt,
            list: Vec::new(),
            last_by_server: HashMap::new(),
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
                // The module requests no probes: a probe shows a running process, not a service.
                Action::Probe(server) => {
                    commands.push(Command::Log(format!(
                        "probe of server {} ignored: probes are not supported",
                        server.0
                    )));
                }
                Action::CloseIdle(server) => commands.push(Command::CloseIdle(server)),
                Action::Subscribe => commands.push(Command::Subscribe),
                Action::Wake(after) => {
                    let at = now.plus(after);
                    self.wake_at = Some(self.wake_at.map_or(at, |was| was.min(at)));
                }
                Action::Log(text) => commands.push(Command::Log(text)),
            }
        }
        // A call whose parts were all cancelled in this turn is not sent.
        let calls = calls
            .list
            .into_iter()
            .filter(|(_, parts)| !parts.is_empty());
        commands.extend(calls.map(|(server, parts)| Command::Send(server, parts)));
    }

    /// Creates an attempt of a part that still needs one and adds it to a call.
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
        let Some((id, held_query, index)) = query else {
            // The query ended before the send, so the attempt never ran.
            return self.report_never_sent(part, 0, server);
        };
        let class = &self.settings.classes[held_query.class];
        let max_attempts = self.settings.attempts_of(held_query.class);
        let Some(held_part) = held_query.parts.get_mut(index) else {
            return;
        };
        let number = held_part.attempts;
        held_part.attempts += 1;
        // Enforces the limit on attempts independently of the module.
        if u32::from(number - held_part.never_left) >= max_attempts || held_part.value.is_some() {
            return self.report_never_sent(part, number, server);
        }
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let load = self.parts_in_flight.entry(server).or_default();
        let pending = *load;
        *load += 1;
        self.attempts.insert(
            attempt,
            Attempt {
                part,
                index: number,
                server,
                sent_at: now,
                pending,
            },
        );
        self.attempt_ids.insert((part, number), attempt);
        let dispatch = Dispatch {
            attempt,
            job: held_query.job.clone(),
            class: held_query.class,
            shard: held_part.shard,
            first: held_query
                .first
                .clone()
                .filter(|_| held_part.is_second_step),
            max_elements: held_part.max_elements,
            timeout: attempt_timeout(timeout, held_query.deadline.since(now)),
            send_by: send_deadline(class.retry_safety, held_part),
        };
        held_part.first_possible_run = held_part.first_possible_run.or(Some((number, now)));
        self.planner
            .on_sent(now, id, held_part.shard.0, f64::from(pending));
        let max_parts = self.settings.layout.parts_a_call.max(1) as usize;
        calls.add(server, dispatch, max_parts);
    }

    /// Reports to the module that an attempt was not sent.
    fn report_never_sent(&mut self, part: PartId, attempt: u16, server: ServerId) {
        self.pending_events.push(Event::Finished {
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
        let Some(&attempt) = self.attempt_ids.get(&which) else {
            return;
        };
        // An attempt of this turn is dropped from its call instead of cancelled.
        let never_left = attempt >= calls.first_attempt;
        if never_left {
            calls
                .list
                .iter_mut()
                .for_each(|(_, call)| call.retain(|d| d.attempt != attempt));
        }
        if !never_left {
            commands.push(Command::Cancel(attempt));
        }
        self.on_attempt_ended(now, attempt, Outcome::Cancelled, None);
    }
}
