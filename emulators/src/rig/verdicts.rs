//! What the ledger of a [`super::Rig`] shows: which members each broker lists, which declared
//! deaths nothing explains, and whether a singleton role had two holders at a time.

use super::{Entry, Event};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The members that a broker lists, in order, by its log lines (`fleet: nX up ...`,
/// `fleet: nX down ...`) since its last start.
#[must_use]
pub fn known_members(entries: &[Entry], broker: usize) -> Vec<usize> {
    let mut known = BTreeSet::new();
    for entry in entries.iter().filter(|e| e.process == broker) {
        match &entry.event {
            Event::Started => known.clear(),
            Event::Logged(line) => match membership_change(line) {
                Some((member, "up")) => drop(known.insert(member)),
                Some((member, "down")) => drop(known.remove(&member)),
                _ => {}
            },
            _ => {}
        }
    }
    known.into_iter().collect()
}

/// Whether each of these brokers lists exactly the others.
#[must_use]
pub fn members_agree(entries: &[Entry], living: &[usize]) -> bool {
    living.iter().all(|broker| {
        known_members(entries, *broker)
            .iter()
            .eq(living.iter().filter(|other| *other != broker))
    })
}

/// The member that a log line reports on, and its reported state.
fn membership_change(line: &str) -> Option<(usize, &str)> {
    let mut fields = line.split("fleet: n").nth(1)?.split(' ');
    Some((fields.next()?.parse().ok()?, fields.next()?))
}

/// Result of a check of a ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Declared deaths, or acquired roles, that were checked.
    pub checked: usize,
    /// Entries that break the rule.
    pub wrong: Vec<Entry>,
}

/// Whether a process runs, and whether its links reach enough others, as the ledger is read.
struct Reachability {
    count: usize,
    /// When each process last began to run undisturbed; `None`: it does not run.
    running_since: Vec<Option<Duration>>,
    /// Links that are cut, as (from, to).
    cut_links: Vec<(usize, usize)>,
    /// When each process was last isolated.
    last_isolated: Vec<Option<Duration>>,
}

impl Reachability {
    fn new(count: usize) -> Reachability {
        Reachability {
            count,
            running_since: vec![None; count],
            cut_links: Vec::new(),
            last_isolated: vec![None; count],
        }
    }

    /// Whether a process reaches nobody, or nobody reaches it.
    fn is_isolated(&self, process: usize) -> bool {
        let out = self.cut_links.iter().filter(|l| l.0 == process).count();
        let into = self.cut_links.iter().filter(|l| l.1 == process).count();
        out.max(into) + 1 >= self.count
    }

    fn set_link(&mut self, at: Duration, link: (usize, usize), works: bool) {
        let was: Vec<bool> = (0..self.count).map(|p| self.is_isolated(p)).collect();
        self.cut_links.retain(|cut| *cut != link);
        self.cut_links.extend((!works).then_some(link));
        for process in (0..self.count).filter(|p| was[*p]) {
            self.last_isolated[process] = Some(at);
        }
    }

    /// Whether a process has been reachable for longer than `grace`.
    fn was_reachable(&self, process: usize, at: Duration, grace: Duration) -> bool {
        !self.is_isolated(process)
            && self.last_isolated[process].is_none_or(|last| at.saturating_sub(last) > grace)
    }

    /// Whether a process has run for longer than `grace`.
    fn was_running(&self, process: usize, at: Duration, grace: Duration) -> bool {
        self.running_since[process].is_some_and(|since| at.saturating_sub(since) > grace)
    }
}

/// Checks the deaths that processes named `n0`, `n1`, ... declared of each other
/// (`fleet: nX down ...`): one that is declared dead must have been killed, ended, stopped, or
/// isolated from all others in some direction within `grace` before that; or the one that declares
/// it was isolated so itself. That the latter had been stopped excuses nothing.
#[must_use]
pub fn judge_deaths(entries: &[Entry], count: usize, grace: Duration) -> Findings {
    let mut found = Findings::default();
    let mut state = Reachability::new(count);
    for entry in entries {
        let (at, process) = (entry.at, entry.process);
        match &entry.event {
            Event::Started | Event::Continued => state.running_since[process] = Some(at),
            Event::Killed | Event::Stopped | Event::Ended(_) => {
                state.running_since[process] = None;
            }
            Event::Link(to, works) => state.set_link(at, (process, *to), *works),
            Event::Logged(line) => {
                let change = membership_change(line).filter(|(member, _)| *member < count);
                let Some((member, "down")) = change else {
                    continue;
                };
                found.checked += 1;
                if state.was_running(member, at, grace)
                    && state.was_reachable(member, at, grace)
                    && state.was_reachable(process, at, grace)
                {
                    found.wrong.push(entry.clone());
                }
            }
        }
    }
    found
}

/// A time in which a process held the role. Ordered by its start.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct HeldSpan {
    from: Duration,
    to: Duration,
    process: usize,
}

/// Who held a role when, as the ledger is read.
#[derive(Default)]
struct HolderHistory {
    /// Processes that hold the role, and since when.
    held_since: BTreeMap<usize, Duration>,
    /// Processes that are stopped, and since when.
    stopped_at: BTreeMap<usize, Duration>,
    /// Spans that are over.
    spans: Vec<HeldSpan>,
    /// The highest fencing token so far, and the process that reported one last.
    highest_token: u64,
    last_holder: Option<usize>,
}

impl HolderHistory {
    fn release(&mut self, process: usize, at: Duration) {
        if let Some(from) = self.held_since.remove(&process) {
            self.spans.extend((at > from).then_some(HeldSpan {
                from,
                to: at,
                process,
            }));
        }
    }

    /// A role held when the process was stopped counts until then for the others, and again from
    /// `wake_time` after it goes on.
    fn resume(&mut self, process: usize, at: Duration, wake_time: Duration) {
        let stopped_at = self.stopped_at.remove(&process).unwrap_or(at);
        if self.held_since.contains_key(&process) {
            self.release(process, stopped_at);
            self.held_since.insert(process, at + wake_time);
        }
    }

    /// Takes down that a process acquired the role; tells whether its token is in order.
    fn acquire(&mut self, process: usize, at: Duration, token: u64) -> bool {
        let is_reused = token == self.highest_token && self.last_holder != Some(process);
        let in_order = token >= self.highest_token && !is_reused;
        self.highest_token = self.highest_token.max(token);
        self.last_holder = Some(process);
        self.held_since.insert(process, at);
        in_order
    }

    /// All spans by their start; one that is not reported over lasts to `end`.
    fn into_spans(mut self, end: Duration) -> Vec<HeldSpan> {
        let stopped_at = self.stopped_at;
        self.spans
            .extend(self.held_since.iter().map(|(process, from)| HeldSpan {
                from: *from,
                to: stopped_at.get(process).copied().unwrap_or(end).max(*from),
                process: *process,
            }));
        self.spans.sort_unstable();
        self.spans
    }
}

/// Checks who held a role when, by the log lines of brokers (`duty D: held under fence N: ...`,
/// `duty D: not held: ...`, which names how long ago a lease ran out): no two at a time, and with
/// growing fencing tokens. A stopped process does nothing, so it holds nothing meanwhile; once
/// continued, it has `wake_time` to find out.
#[must_use]
pub fn judge_holders(entries: &[Entry], role: &str, wake_time: Duration) -> Findings {
    let mut found = Findings::default();
    let mut history = HolderHistory::default();
    let acquired_text = format!("duty {role}: held under fence ");
    let released_text = format!("duty {role}: not held");
    for entry in entries {
        let (at, process) = (entry.at, entry.process);
        match &entry.event {
            Event::Killed | Event::Ended(_) | Event::Started => history.release(process, at),
            Event::Stopped => drop(history.stopped_at.insert(process, at)),
            Event::Continued => history.resume(process, at, wake_time),
            Event::Logged(line) if line.contains(&released_text) => {
                history.release(process, at.saturating_sub(expired_ago(line)));
            }
            Event::Logged(line) => {
                let Some(after_text) = line.split(&acquired_text).nth(1) else {
                    continue;
                };
                let token = after_text.split(':').next().and_then(|n| n.parse().ok());
                found.checked += 1;
                if !history.acquire(process, at, token.unwrap_or(0)) {
                    found.wrong.push(entry.clone());
                }
            }
            Event::Link(..) => {}
        }
    }
    let end = entries.last().map_or(Duration::ZERO, |e| e.at) + Duration::from_millis(1);
    found.wrong.extend(overlaps(&history.into_spans(end), role));
    found
}

/// How long before a log line the lease that it names ran out; zero where it doesn't say.
fn expired_ago(line: &str) -> Duration {
    let after_text = line.split("ran out ").nth(1);
    let ago_ms = after_text.and_then(|after_text| after_text.split(' ').next()?.parse().ok());
    Duration::from_millis(ago_ms.unwrap_or(0))
}

/// An entry for each span during which another process acquired the role.
fn overlaps(spans: &[HeldSpan], role: &str) -> Vec<Entry> {
    let overlap = |(index, span): (usize, &HeldSpan)| {
        let later = spans[index + 1..]
            .iter()
            .find(|other| other.process != span.process && other.from < span.to)?;
        Some(Entry {
            at: later.from,
            process: later.process,
            event: Event::Logged(format!(
                "n{} holds {role} beside n{}",
                later.process, span.process
            )),
        })
    };
    spans.iter().enumerate().filter_map(overlap).collect()
}
