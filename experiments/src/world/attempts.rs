//! Attempts at data nodes, from the broker's command to the answer.

use super::random::{lognormal, rng};
use super::{FirstPhase, InFlightAttempt, Job, SimulationEvent, World};
use crate::node::Task;
use lichenswitch::core::{Command, Dispatch, Value};
use lichenswitch::interface::{Micros, Outcome, ServerId};
use std::time::Instant;

impl World {
    /// Handles an event whose time has come.
    pub(super) fn on_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.arrive(),
            SimulationEvent::AttemptArrived(server, attempt) => {
                self.on_attempt_arrived(server, attempt);
            }
            SimulationEvent::AttemptFinished(server, attempt) => {
                self.on_attempt_finished(server, attempt);
            }
            SimulationEvent::AnswerArrived(attempt) => self.on_answer_arrived(attempt),
            SimulationEvent::AttemptTimedOut(attempt) => {
                if self.cancel(attempt) {
                    self.end_attempt(attempt, Outcome::Timeout, None);
                }
            }
            SimulationEvent::CancellationArrived(server, attempt) => self.end_task(server, attempt),
        }
    }

    fn on_attempt_arrived(&mut self, server: u32, attempt: u64) {
        let Some(in_flight) = self.in_flight.get(&attempt) else {
            return;
        };
        let started = self.nodes[server as usize].take(self.now, in_flight.task);
        if let Some((attempt, ends)) = started {
            self.at(ends, SimulationEvent::AttemptFinished(server, attempt));
        }
    }

    fn on_attempt_finished(&mut self, server: u32, attempt: u64) {
        if self.nodes[server as usize].runs(attempt) {
            self.end_task(server, attempt);
            self.after_network_delay(SimulationEvent::AnswerArrived(attempt));
        }
    }

    fn on_answer_arrived(&mut self, attempt: u64) {
        if let Some(in_flight) = self.in_flight.remove(&attempt) {
            let value = self.value(&in_flight);
            self.end_attempt(attempt, Outcome::Ok, Some(value));
        }
    }

    fn after_network_delay(&mut self, event: SimulationEvent) {
        self.at(self.now.plus(self.scenario.network_delay), event);
    }

    /// Sends the cancellation of an attempt; returns whether it was in flight.
    fn cancel(&mut self, attempt: u64) -> bool {
        let Some(in_flight) = self.in_flight.remove(&attempt) else {
            return false;
        };
        self.after_network_delay(SimulationEvent::CancellationArrived(
            in_flight.server,
            attempt,
        ));
        true
    }

    /// A task leaves its data node, finished or cancelled; the next one starts.
    fn end_task(&mut self, server: u32, attempt: u64) {
        let Some(ended) = self.nodes[server as usize].end(self.now, attempt) else {
            return;
        };
        if ended.phase == 2 {
            self.totals.second_work += ended.cost.ran;
            self.totals.second_after_target += ended.cost.after_target;
        }
        if let Some((attempt, ends)) = ended.next {
            self.at(ends, SimulationEvent::AttemptFinished(server, attempt));
        }
    }

    /// Reports the end of an attempt to the broker.
    fn end_attempt(&mut self, attempt: u64, outcome: Outcome, value: Option<Value>) {
        let began = Instant::now();
        self.core
            .on_attempt_ended(self.now, attempt, outcome, value);
        self.totals.wall_time += began.elapsed();
    }

    /// Runs a turn of the broker, and its commands.
    pub(super) fn turn(&mut self) {
        let began = Instant::now();
        let commands = self.core.turn(self.now);
        let elapsed = began.elapsed();
        self.totals.wall_time += elapsed;
        self.totals.worst_turn = self.totals.worst_turn.max(elapsed);
        for command in commands {
            match command {
                Command::Send(server, parts) => self.send_call(server, &parts),
                Command::Cancel(attempt) => {
                    self.record(&[2, attempt]);
                    self.cancel(attempt);
                }
                Command::Reply(query, reply) => self.reply(query, &reply),
                Command::CloseIdle(server) => self.record(&[4, u64::from(server.0)]),
                // Here an attempt is sent at the moment of its command.
                Command::Recall(_) => {}
                Command::Subscribe => self.record(&[5]),
                Command::Log(_) => self.record(&[6]),
            }
        }
    }

    /// Sends a call of one or more parts; the overhead of the call belongs to its first part.
    fn send_call(&mut self, server: ServerId, parts: &[Dispatch<Job>]) {
        for (index, part) in parts.iter().enumerate() {
            let overhead = if index == 0 {
                self.scenario.call_overhead
            } else {
                0
            };
            self.send_part(server, part, overhead);
        }
    }

    fn send_part(&mut self, server: ServerId, part: &Dispatch<Job>, overhead: Micros) {
        let (serial, shard) = (part.job.serial, part.shard.0);
        self.record(&[
            1,
            u64::from(server.0),
            u64::from(shard),
            part.attempt,
            part.timeout,
        ]);
        self.totals.parts += 1;
        if let Some(first) = &part.first {
            self.queries[serial as usize].first_phase = Some(FirstPhase {
                shards: first.shards.len(),
                is_complete: first.whole,
            });
            self.totals.second_parts += 1;
        }
        let query = &self.queries[serial as usize];
        let task = Task {
            attempt: part.attempt,
            work: self.random_work(server, part) as Micros + overhead,
            phase: phase(part),
            target_at: query.arrived.plus(self.classes[query.class].latency_target),
        };
        let in_flight = InFlightAttempt {
            server: server.0,
            task,
            serial,
            shard,
            // The first phase of a sorted answer requests the best element alone.
            max_elements: part.max_elements.unwrap_or(1),
        };
        self.in_flight.insert(part.attempt, in_flight);
        self.after_network_delay(SimulationEvent::AttemptArrived(server.0, part.attempt));
        self.at(
            self.now.plus(part.timeout),
            SimulationEvent::AttemptTimedOut(part.attempt),
        );
    }

    /// The work of a part at a data node (microseconds). It depends on the query, the shard and the
    /// phase, and not on the broker.
    fn random_work(&self, server: ServerId, part: &Dispatch<Job>) -> f64 {
        let (serial, phase) = (part.job.serial, phase(part));
        let class = self.queries[serial as usize].class;
        let mix = &self.scenario.mix[class];
        let mut rng = rng(&[
            self.seed,
            3,
            u64::from(serial),
            u64::from(part.shard.0),
            u64::from(phase),
        ]);
        let work = lognormal(&mut rng, mix.work_ms * 1e3, mix.cv);
        if phase == 2 {
            work * mix.second
        } else if self.classes[class].second_step > 0 {
            work * self.first_phase_factors[server.0 as usize]
        } else {
            work
        }
    }
}

/// The phase of a part's query: 1 or 2.
fn phase(part: &Dispatch<Job>) -> u8 {
    1 + u8::from(part.first.is_some())
}
