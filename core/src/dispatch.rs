//! Dispatch: what the module asks for becomes commands; sends of a turn to one server share a call.

use super::{Attempt, Command, Core, Dispatch};
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

impl<J> Core<J> {
    pub(super) fn carry_out(
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

    fn send(
        &mut self,
        now: Time,
        part: PartId,
        server: ServerId,
        timeout: Micros,
        calls: &mut Calls<J>,
    ) {
        let place = self.parts.get(&part).copied();
        let Some((q, i)) = place.and_then(|(id, i)| Some((self.queries.get_mut(&id)?, i))) else {
            // The query has ended before the send could be made: it never ran.
            let attempt = 0;
            let event = Event::Finished {
                part,
                attempt,
                server,
                outcome: Outcome::Moot,
                elapsed: 0,
            };
            return self.inbox.push(event);
        };
        let (deadline, job, first, class) = (q.deadline, q.job.clone(), q.first.clone(), q.class);
        let repeat = self.settings.classes[q.class].repeat;
        let Some(p) = q.parts.get_mut(i) else { return };
        let number = p.attempts;
        p.attempts += 1;
        // Guards the limit on attempts: one beyond it is not sent, whatever the module says.
        if u32::from(number - p.unsent) >= self.settings.attempts_of(q.class) || p.value.is_some() {
            let event = Event::Finished {
                part,
                attempt: number,
                server,
                outcome: Outcome::Moot,
                elapsed: 0,
            };
            return self.inbox.push(event);
        }
        // Guards the client's time: no attempt is waited for beyond it; 0 stands for all of it.
        let left = deadline.since(now).max(1);
        let wait = if timeout == 0 {
            left
        } else {
            timeout.min(left)
        };
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
        self.out.insert((part, number), attempt);
        let first = first.filter(|_| p.second);
        // Guards the rule on repeats: what waits for its connection may leave long after it was
        // decided.
        let leave_by = match (repeat, p.ran) {
            (RetrySafety::Keyed(window), Some((_, ran))) => Some(ran.plus(window)),
            _ => None,
        };
        p.ran = p.ran.or(Some((number, now)));
        let dispatch = Dispatch {
            attempt,
            job,
            class,
            shard: p.shard,
            first,
            most: p.most,
            wait,
            leave_by,
        };
        if let Some((id, _)) = place {
            self.planner.on_sent(now, id, p.shard.0, f64::from(pending));
        }
        let room = self.settings.layout.parts_a_call.max(1) as usize;
        match calls.last.get(&server).map(|&i| &mut calls.all[i].1) {
            Some(call) if call.len() < room => call.push(dispatch),
            _ => {
                calls.last.insert(server, calls.all.len());
                calls.all.push((server, vec![dispatch]));
            }
        }
    }

    fn cancel(
        &mut self,
        now: Time,
        which: (PartId, u16),
        calls: &mut Calls<J>,
        commands: &mut Vec<Command<J>>,
    ) {
        let Some(&attempt) = self.out.get(&which) else {
            return;
        };
        // One that was to be sent in this very turn stays at home.
        let unsent = attempt >= calls.first;
        if unsent {
            calls
                .all
                .iter_mut()
                .for_each(|(_, call)| call.retain(|d| d.attempt != attempt));
        }
        if !unsent {
            commands.push(Command::Withdraw(attempt));
        }
        self.ended(now, attempt, Outcome::Cancelled, None);
    }
}
