//! The judge: a day's journal in, the rules that it breaks out. Pure.
//!
//! Where the published rules leave a choice, the stricter reading is taken: losses beside a change
//! of the configuration count without a comparison with other times, and losses beside nothing
//! count too.

use crate::bounds::{CONFIG_APPLY, CONTACT, DRAIN_TIMEOUT, GRACE, LOSS_MARGIN};
use crate::journal::{ClientRequest, FaultKind, Journal, OrderRecord, RequestEnd, ServerRecord};
use crate::violation::{Beside, Violation};
use lichenswitch_emulators::fleet_processes::Role;
use lichenswitch_emulators::model_server::heartbeat::ServerReport;
use lichenswitch_emulators::model_server::{Entry, Event, Fault};
use lichenswitch_emulators::operator::{judge as judge_answers, Entry as OperatorEntry, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request that ends so shortly before its time is over has used it up.
const NEARLY: Duration = Duration::from_millis(250);
/// A configuration is news for so long after its acknowledgement.
const UPDATE_INTERVAL: Duration = CONFIG_APPLY.saturating_add(Duration::from_secs(1));
/// SIGTERM explains a loss for so long.
const TERMINATION: Duration = GRACE.saturating_add(Duration::from_secs(1));
/// A request sent so soon after SIGTERM may be cut in the last sixth of the grace.
const SENT_EARLY: Duration = Duration::from_secs(3);
/// A signal reaches its process within this; what was sent before that, the process took without
/// knowing.
const SIGNALLED: Duration = Duration::from_millis(20);
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// All rules that the day breaks.
#[must_use]
pub fn judge(journal: &Journal) -> Vec<Violation> {
    let runs = Runs::of(journal);
    let mut violations: Vec<Violation> = journal
        .process_faults
        .iter()
        .cloned()
        .map(Violation::Process)
        .collect();
    for one in &journal.client_requests {
        violations.extend(lost(journal, &runs, one));
        let wrong = |fault| Violation::WrongAnswer(one.attempt.clone(), fault);
        violations.extend(one.faults.iter().cloned().map(wrong));
        violations.extend(run_wrongly(&runs, one));
    }
    violations.extend(unasked(journal));
    violations.extend(
        journal
            .servers
            .iter()
            .flat_map(|server| sent_to_leaver(journal, server)),
    );
    violations.extend(orders(journal));
    violations.extend(reads(journal));
    violations
}

/// What servers say of one request.
#[derive(Default)]
struct Run {
    runs: usize,
    arrived: bool,
    /// A server ended it before its end.
    broke_off: bool,
    /// When the last server stopped work on it.
    worked_until: Duration,
}

/// What servers say of each request.
struct Runs(BTreeMap<String, Run>);

impl Runs {
    fn of(journal: &Journal) -> Runs {
        let mut runs = Runs(BTreeMap::new());
        journal.servers.iter().for_each(|server| runs.add(server));
        runs
    }

    fn add(&mut self, server: &ServerRecord) {
        let mut working: BTreeSet<&str> = BTreeSet::new();
        for entry in &server.entries {
            if entry.attempt.is_empty() {
                continue;
            }
            let run = self.0.entry(entry.attempt.clone()).or_default();
            match entry.event {
                Event::Arrived(_) => run.arrived = true,
                Event::Started => {
                    run.runs += 1;
                    working.insert(&entry.attempt);
                }
                Event::FaultApplied(fault) => run.broke_off |= breaks_off(fault),
                Event::Responded(_) | Event::Aborted => {
                    run.worked_until = run.worked_until.max(server.began + entry.at);
                    working.remove(entry.attempt.as_str());
                    let stopped = server
                        .stopped
                        .is_some_and(|at| at <= server.began + entry.at);
                    run.broke_off |= entry.event == Event::Aborted && stopped;
                }
                _ => {}
            }
        }
        for attempt in working {
            // It works on to the end of the day, or ended with the server.
            let run = self.0.entry(attempt.to_owned()).or_default();
            run.broke_off |= server.stopped.is_some();
            run.worked_until = server.stopped.unwrap_or(Duration::MAX);
        }
    }
}

/// Whether a server that meets this fault gives no whole answer.
fn breaks_off(fault: Fault) -> bool {
    let whole = matches!(
        fault,
        Fault::ExtraResponse
            | Fault::ExtraBytes
            | Fault::LateResponse
            | Fault::NoLength
            | Fault::EarlyResponse(_)
            | Fault::Rejected(_)
            | Fault::Failed(_)
    );
    !whole
}

/// Whether a request was lost, and beside what.
fn lost(journal: &Journal, runs: &Runs, one: &ClientRequest) -> Option<Violation> {
    let end = match one.end {
        RequestEnd::Answered(_) | RequestEnd::Abandoned => return None,
        RequestEnd::Cut => "a cut answer",
        RequestEnd::NoAnswer => "a closed connection",
        RequestEnd::Silent => "silence",
    };
    let run = runs.0.get(&one.attempt);
    let spent = one.ended.saturating_sub(one.sent);
    let crossed = run.is_none_or(|run| !run.arrived) && spent <= LOSS_MARGIN;
    let used_up = spent + NEARLY >= one.time_left;
    let broke_off = run.is_some_and(|run| run.broke_off);
    if crossed
        || used_up
        || broke_off
        || journal.is_troubled(one.sent.saturating_sub(CONTACT), one.ended)
    {
        return None;
    }
    let beside = beside(journal, run, one)?;
    let (attempt, machine, turn) = (one.attempt.clone(), one.machine, one.turn);
    Some(Violation::RequestLost {
        attempt,
        machine,
        turn,
        sent: one.sent,
        ended: one.ended,
        end,
        beside,
    })
}

/// The planned work beside which it was lost; `None`: the rules excuse it.
fn beside(journal: &Journal, run: Option<&Run>, one: &ClientRequest) -> Option<Beside> {
    let mine = journal
        .faults
        .iter()
        .filter(|fault| fault.target == (Role::Router, one.machine));
    let (mut excused, mut beside) = (false, None);
    for fault in mine.filter(|fault| fault.from <= one.ended) {
        let since = one.ended.saturating_sub(fault.from);
        match fault.kind {
            FaultKind::Terminated
                if since <= TERMINATION && !is_late_work(fault.from, run, one) =>
            {
                return Some(Beside::Termination(since));
            }
            // Nobody could know when it was taken that it would not end in the grace.
            FaultKind::Terminated if since <= TERMINATION && one.sent <= fault.from + SIGNALLED => {
                return None
            }
            FaultKind::Terminated if since <= TERMINATION => excused = true,
            FaultKind::HungUp if one.sent <= fault.from + CONFIG_APPLY => {
                beside = Some(Beside::HangUp)
            }
            _ => {}
        }
    }
    // What beside a SIGTERM is excused counts all the same beside a configuration: that rule knows
    // no such excuse.
    let spent = one.ended.saturating_sub(one.sent);
    let is_early = spent.mul_f64(10.0) < one.time_left.mul_f64(7.0);
    if beside.is_none() && journal.orders.iter().any(|order| is_news(order, one)) {
        return is_early.then_some(Beside::Configuration);
    }
    beside.or((!excused).then_some(Beside::Nothing))
}

/// Whether a server was still at work in the last sixth of the grace on a request that was sent in
/// its beginning.
fn is_late_work(terminated: Duration, run: Option<&Run>, one: &ClientRequest) -> bool {
    let until = run
        .map_or(Duration::ZERO, |run| run.worked_until)
        .min(one.ended);
    until >= terminated + GRACE.mul_f64(5.0 / 6.0) && one.sent <= terminated + SENT_EARLY
}

/// Whether a configuration came into force, or may have, while a request was under way.
fn is_news(order: &OrderRecord, one: &ClientRequest) -> bool {
    let refused = order
        .outcomes
        .iter()
        .any(|outcome| matches!(outcome, Outcome::OtherVersion));
    let until = order
        .acknowledged
        .map_or(Duration::MAX, |at| at + UPDATE_INTERVAL);
    !refused && order.sent <= one.ended && until >= one.sent
}

/// What the rules on runs say of a request.
fn run_wrongly(runs: &Runs, one: &ClientRequest) -> Option<Violation> {
    let ran = runs.0.get(&one.attempt).map_or(0, |run| run.runs);
    match one.end {
        _ if one.idempotent => None,
        _ if ran > 1 => Some(Violation::RanTwice(one.attempt.clone(), ran)),
        RequestEnd::Answered(status) if ran > 0 && PROMISES.contains(&status) => {
            Some(Violation::RefusedAndRan(one.attempt.clone(), status))
        }
        _ => None,
    }
}

fn unasked(journal: &Journal) -> Vec<Violation> {
    let queried: BTreeSet<&str> = journal
        .client_requests
        .iter()
        .map(|one| one.attempt.as_str())
        .collect();
    let ran =
        |entry: &&Entry| entry.event == Event::Started && !queried.contains(entry.attempt.as_str());
    let entries = journal.servers.iter().flat_map(|server| &server.entries);
    entries
        .filter(ran)
        .map(|entry| Violation::Unasked(entry.attempt.clone()))
        .collect()
}

/// Requests that reached a server later than `drainTimeoutMs` after it was acknowledged that it
/// leaves.
fn sent_to_leaver(journal: &Journal, server: &ServerRecord) -> Vec<Violation> {
    let leaves = |entry: &&Entry| {
        matches!(
            entry.event,
            Event::Acknowledged(ServerReport::Draining(_) | ServerReport::Deregister, _)
        )
    };
    let Some(acknowledged) = server.entries.iter().find(leaves).map(|entry| entry.at) else {
        return Vec::new();
    };
    let refused: BTreeSet<&str> = server
        .entries
        .iter()
        .filter(|entry| entry.event == Event::Rejected(421))
        .map(|entry| entry.attempt.as_str())
        .collect();
    let late = |entry: &&Entry| {
        matches!(entry.event, Event::Arrived(_))
            && entry.at > acknowledged + DRAIN_TIMEOUT
            && !refused.contains(entry.attempt.as_str())
            && is_in_touch(journal, &entry.attempt, server.began + entry.at)
    };
    let violation = |entry: &Entry| Violation::SentToLeaver {
        attempt: entry.attempt.clone(),
        instance: server.instance.clone(),
        late: entry.at.saturating_sub(acknowledged),
    };
    server.entries.iter().filter(late).map(violation).collect()
}

/// Whether the machine that sent a request on then was in touch: nothing befell it, and nothing
/// unplanned any control machine, for `contactMs`. Planned work on control machines is no excuse
/// here: each hands on what it knows before it ends.
fn is_in_touch(journal: &Journal, attempt: &str, at: Duration) -> bool {
    let Some(one) = journal
        .client_requests
        .iter()
        .find(|one| one.attempt == attempt)
    else {
        return true;
    };
    journal.faults.iter().all(|fault| {
        let (role, machine) = fault.target;
        let concerns = match role {
            Role::Router => machine == one.machine && fault.kind != FaultKind::HungUp,
            Role::Control => !fault.kind.is_planned(),
        };
        let touches = fault.from <= at && fault.to.saturating_add(CONTACT) >= at;
        !(concerns && touches)
    })
}

fn orders(journal: &Journal) -> Vec<Violation> {
    let answered = |record: &OrderRecord| {
        let entry = |outcome: &Outcome| (*outcome != Outcome::Unclear).then_some(*outcome);
        let clear: Vec<Outcome> = record.outcomes.iter().filter_map(entry).collect();
        let nowhere = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        clear
            .into_iter()
            .map(move |outcome| (nowhere, outcome))
            .collect::<Vec<_>>()
    };
    let entries: Vec<OperatorEntry> = journal
        .orders
        .iter()
        .flat_map(|record| {
            let order = record.order.clone();
            answered(record)
                .into_iter()
                .map(move |(at, outcome)| OperatorEntry::Responded(order.clone(), at, outcome))
        })
        .collect();
    let mut violations: Vec<Violation> = judge_answers(&entries)
        .into_iter()
        .map(Violation::Orders)
        .collect();
    let read: BTreeSet<u64> = journal
        .reads
        .iter()
        .chain(&journal.final_reads)
        .map(|read| read.order)
        .collect();
    let is_refused = |record: &&OrderRecord| {
        record
            .outcomes
            .iter()
            .any(|outcome| matches!(outcome, Outcome::OtherVersion | Outcome::Refused(_)))
    };
    let refused = journal.orders.iter().filter(is_refused);
    violations.extend(
        refused
            .filter(|record| read.contains(&record.number))
            .map(|record| Violation::RefusedInForce(record.number)),
    );
    violations.extend(both_taken(journal, &read));
    violations
}

/// Orders that must have been taken, and share their base with another such.
fn both_taken(journal: &Journal, read: &BTreeSet<u64>) -> Vec<Violation> {
    let mut by_base: BTreeMap<u64, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &journal.orders {
        if record.acknowledged.is_none() && !read.contains(&record.number) {
            continue;
        }
        let first = *by_base.entry(record.order.base).or_insert(record.number);
        if first != record.number {
            violations.push(Violation::BothTaken(
                record.order.base,
                first,
                record.number,
            ));
        }
    }
    violations
}

fn reads(journal: &Journal) -> Vec<Violation> {
    let mut violations = Vec::new();
    for read in &journal.reads {
        let long_known = |record: &&OrderRecord| {
            record
                .acknowledged
                .is_some_and(|at| at + CONFIG_APPLY < read.sent)
        };
        let known = journal
            .orders
            .iter()
            .filter(long_known)
            .map(|record| record.version)
            .max()
            .unwrap_or(0);
        if read.version < known {
            let (machine, sent, reported) = (read.machine, read.sent, read.version);
            violations.push(Violation::ReadOld {
                machine,
                sent,
                reported,
                known,
            });
        }
    }
    for read in &journal.final_reads {
        let known = |record: &&OrderRecord| record.acknowledged.is_some_and(|at| at < read.sent);
        let newest = journal
            .orders
            .iter()
            .filter(known)
            .max_by_key(|record| record.version);
        let Some(newest) = newest else { continue };
        let older = read.version < newest.version;
        let other = read.version == newest.version && read.order != newest.number;
        if older || other {
            let (known, order) = (newest.version, newest.number);
            let (machine, reported) = (read.machine, read.version);
            violations.push(Violation::ConfigurationLost {
                machine,
                reported,
                known,
                order,
            });
        }
    }
    violations
}
