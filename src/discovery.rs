//! Discovery: the list of data nodes, asked for once and then watched.
//!
//! The decision module says when to ask and how long to wait after a failure at least; where lists are pushed to an
//! agent of this machine it says nothing, and the watch is kept up from the start on. A watch that was answered is
//! renewed here. None of it is done before `decide::membership::pace` allows it: a small fleet's calls go at once, so
//! that its watches go on, a large one's are spread.

use crate::decide::membership::doubt::{Doubt, Told, Verdict};
use crate::decide::membership::pace::Pace;
use crate::http::{self, Parsed};
use crate::interface::{Listed, Listing, Micros, Mode, ServerId, Time};
use crate::net::{ConnId, Denied, Net, Owner, Pumped, Timer};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// A connection that is not up after this long never comes up.
const CONNECT: Micros = 500_000;
/// Within this after it was told that a node drains or is gone, a broker stops sending to it, where nothing else is set.
const STOP_WITHIN: Micros = 2_000_000;
/// The number of the timer that ends a doubted list's time; calls are numbered from 1.
const CONFIRMED: u64 = 0;
/// Longest list that is read.
const CEILING: usize = 4 * 1024 * 1024;

/// The list as discovery words it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub reset: bool,
    /// Its lines.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// A line of the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The same at every broker.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Its cell, where the line tells it.
    #[serde(default)]
    pub cell: Option<u32>,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Unix time of its last start; 0: long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of a data node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// Takes work.
    Serving,
    /// Wants nothing new.
    Draining,
    /// Is gone.
    Deleted,
    /// A state that this program does not know.
    #[serde(other)]
    Unknown,
}

/// The data nodes that are listed: their ids here, and where they listen.
#[derive(Default)]
pub struct Directory {
    zones: Vec<String>,
    ids: HashMap<String, ServerId>,
    nodes: HashMap<ServerId, Node>,
    /// How many cells there are; `None`: it is not known.
    cells: Option<u32>,
    next: u32,
    gone: Vec<ServerId>,
    overrides: OperatorOverrides,
    log: Vec<String>,
}

/// What operators have set, which overrides what the list says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorOverrides {
    /// Data nodes that are out, by id: they drain, whatever the list says.
    pub out: BTreeSet<String>,
    /// Data nodes that were taken out just now: they are sent what nobody else takes for a moment yet.
    pub leaving: BTreeSet<String>,
    /// Data nodes that were put back: since when they had been out, and when they were put back. They may have been started
    /// anew at any moment between.
    pub back: BTreeMap<String, (Time, Time)>,
}

impl OperatorOverrides {
    /// A line of the list with the overrides applied. One that was put back counts as started just then, where the list
    /// knows of no start since it was taken out: it was out so that it could be restarted, and the list may hear of that late
    /// or never.
    fn applied(&self, name: &str, told: Listed) -> Listed {
        if told.mode == Mode::Ready && self.out.contains(name) {
            return Listed { mode: Mode::Draining, ..told };
        }
        if told.mode == Mode::Ready && self.leaving.contains(name) {
            return Listed { mode: Mode::Leaving, ..told };
        }
        match self.back.get(name) {
            Some((out, back)) if told.started.is_none_or(|at| at < *out) => {
                Listed { started: Some(*back), ..told }
            }
            _ => told,
        }
    }
}

/// What is noted of a data node.
struct Node {
    name: String,
    address: Option<SocketAddr>,
    cell: u32,
    /// As the list has it.
    told: Option<Listed>,
}

impl Directory {
    /// An empty directory; zones are numbered in the order given.
    #[must_use]
    pub fn new(zones: Vec<String>) -> Self {
        Directory { zones, ..Directory::default() }
    }

    /// The same where there are so many cells: lines of others are left aside.
    #[must_use]
    pub fn with_cells(self, cells: u32) -> Self {
        Directory { cells: Some(cells), ..self }
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Where a data node listens.
    #[must_use]
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.nodes.get(&server).and_then(|n| n.address)
    }

    /// The name that discovery has for it.
    #[must_use]
    pub fn name(&self, server: ServerId) -> &str {
        self.nodes.get(&server).map_or("?", |n| &n.name)
    }

    /// How many data nodes are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Notes the whole list and gives it to the module in its own terms. What is absent is gone.
    pub fn whole(&mut self, instances: &[Instance]) -> Vec<Listed> {
        let listed: HashSet<&str> = instances.iter().map(|i| i.instance_id.as_str()).collect();
        let absent: Vec<String> =
            self.ids.keys().filter(|id| !listed.contains(id.as_str())).cloned().collect();
        absent.iter().for_each(|id| self.give_back(id));
        self.changes(instances)
    }

    /// Notes changed lines and gives them to the module in its own terms.
    pub fn changes(&mut self, instances: &[Instance]) -> Vec<Listed> {
        instances.iter().filter_map(|node| self.change(node)).collect()
    }

    fn change(&mut self, node: &Instance) -> Option<Listed> {
        let deleted = node.lifecycle == Lifecycle::Deleted;
        let known = self.ids.get(&node.instance_id).copied();
        // Guards data nodes: one whose cell is not known would be sent parts of shards that it does not hold. One that
        // is known keeps its cell, since whether it drains counts.
        let told = node.cell.filter(|cell| self.cells.is_none_or(|cells| *cell < cells));
        let noted = known.and_then(|server| self.nodes.get(&server)).map(|n| n.cell);
        if told.is_none() && !deleted {
            let what = node.cell.map_or("no cell".into(), |cell| format!("cell {cell}, which there is not"));
            let then = if noted.is_some() { "it keeps its last one" } else { "the line is left aside" };
            self.log.push(format!("discovery: {} has {what}: {then}", node.instance_id));
        }
        let cell = match told.or(noted) {
            Some(cell) => cell,
            None if deleted && known.is_some() => 0,
            None => return None,
        };
        let server = match known {
            Some(server) => server,
            None if deleted => return None,
            None => {
                let server = ServerId(self.next);
                self.next += 1;
                self.ids.insert(node.instance_id.clone(), server);
                let new = Node { name: node.instance_id.clone(), address: None, cell, told: None };
                self.nodes.insert(server, new);
                server
            }
        };
        if let Some(noted) = self.nodes.get_mut(&server) {
            noted.cell = cell;
            // A line without a usable address keeps the last one.
            noted.address = node.host_port.parse().ok().or(noted.address);
        }
        if deleted {
            self.give_back(&node.instance_id);
        }
        let told = Listed {
            server,
            cell,
            zone: self.zones.iter().position(|z| *z == node.zone).map_or(u32::MAX, |z| z as u32),
            mode: match node.lifecycle {
                Lifecycle::Serving => Mode::Ready,
                // To be in a state that is not known is no reason to be sent anything.
                Lifecycle::Draining | Lifecycle::Unknown => Mode::Draining,
                Lifecycle::Deleted => Mode::Gone,
            },
            started: (node.started_at_ms > 0).then_some(Time(node.started_at_ms.saturating_mul(1_000))),
        };
        if let Some(noted) = self.nodes.get_mut(&server) {
            noted.told = Some(told);
        }
        Some(self.overrides.applied(&node.instance_id, told))
    }

    /// Replaces the overrides, and gives the module the lines that differ by that.
    pub fn set_overrides(&mut self, overrides: OperatorOverrides) -> Vec<Listed> {
        let before = std::mem::replace(&mut self.overrides, overrides);
        let noted = self.nodes.values().filter_map(|n| Some((&n.name, n.told?)));
        let lines =
            noted.map(|(name, told)| (before.applied(name, told), self.overrides.applied(name, told)));
        lines.filter(|(was, is)| was != is).map(|(_, is)| is).collect()
    }

    /// Ids of all that are listed.
    #[must_use]
    pub fn names(&self) -> BTreeSet<String> {
        self.nodes.values().map(|n| n.name.clone()).collect()
    }

    /// How many listed data nodes an override takes out.
    #[must_use]
    pub fn overridden_out(&self) -> usize {
        let out = |n: &&Node| {
            [&self.overrides.out, &self.overrides.leaving].iter().any(|set| set.contains(&n.name))
        };
        self.nodes.values().filter(out).count()
    }

    /// Gives back what is known of a node that is gone. Guards memory: on a long day most nodes are replaced often,
    /// each time under a new name.
    fn give_back(&mut self, id: &str) {
        if let Some(server) = self.ids.remove(id) {
            self.nodes.remove(&server);
            self.gone.push(server);
        }
    }

    /// The nodes that went since the last time.
    pub fn take_gone(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.gone)
    }
}

/// Why a call was not made.
enum Unasked {
    /// No connection could be begun here; discovery has no part in that.
    Local(Denied),
    /// The connection broke.
    Broken,
}

/// The client of discovery.
pub struct Discovery {
    address: SocketAddr,
    /// Version of the list that is held; `None`: none is, so the whole list is asked for.
    generation: Option<u64>,
    conn: Option<ConnId>,
    /// The call that is out, if one is; calls are numbered so that timers of earlier ones find nothing.
    call: Option<u64>,
    calls: u64,
    began: Time,
    /// It goes on with a watch that was answered just before.
    renews: bool,
    /// Calls that failed since one was answered.
    failed: u32,
    pace: Pace,
    /// The next call is not made before this; unset until the first.
    not_before: Option<Time>,
    /// A call is to be made by the timer of this number.
    planned: Option<u64>,
    doubt: Doubt,
    /// A list that waits to be confirmed, and until when.
    doubted: Option<(List, Time)>,
    /// Where discovery is to be asked from the next call on; until then a watch at the former address goes on.
    moving: Option<SocketAddr>,
    log: Vec<String>,
}

impl Discovery {
    /// A client that has asked nothing yet.
    #[must_use]
    pub fn new(address: SocketAddr, generation: Option<u64>, pace: Pace) -> Self {
        let (conn, call, calls, began) = (None, None, 0, Time(0));
        let (not_before, planned) = (None, None);
        let (doubt, doubted, log) = (Doubt::new(STOP_WITHIN), None, Vec::new());
        Discovery {
            address,
            generation,
            conn,
            call,
            calls,
            began,
            renews: false,
            failed: 0,
            pace,
            not_before,
            planned,
            doubt,
            doubted,
            moving: None,
            log,
        }
    }

    /// The same where nothing new may go to a node `micros` after it was told to drain.
    #[must_use]
    pub fn stopping_within(self, micros: Micros) -> Self {
        Discovery { doubt: Doubt::new(micros), ..self }
    }

    /// Whether it is to ask again without being told to.
    #[must_use]
    pub fn goes_on(&self) -> bool {
        self.pace.goes_on()
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Asks for changes from now on, as soon as the pace allows, unless that is under way. A failure to ask is reported
    /// like any other.
    pub fn subscribe(&mut self, net: &mut Net) -> Vec<Listing> {
        if self.call.is_some() || self.planned.is_some() {
            return Vec::new();
        }
        if let Some(address) = self.moving.take() {
            // The whole list is asked for: versions count from where they were told.
            (self.address, self.generation, self.renews) = (address, None, false);
            self.hang_up(net);
        }
        let (now, known) = (net.clock.now(), self.generation.is_some());
        let at = *self.not_before.get_or_insert_with(|| self.pace.on_start(now, known).at);
        if at > now {
            self.plan(net, at);
            return Vec::new();
        }
        self.ask(net).err().map_or_else(Vec::new, |why| self.not_asked(net, why))
    }

    /// A call could not be made. Guards the rule on drains: discovery has not failed, and a broker that waited as if it
    /// had would not hear of a change for seconds after the others.
    fn not_asked(&mut self, net: &mut Net, why: Unasked) -> Vec<Listing> {
        let Unasked::Local(why) = why else { return self.fail(net, "the connection broke", false) };
        let verdict = self.pace.on_unmade(net.clock.now());
        self.log.push(format!("discovery: no call could be made: {why}; {verdict}"));
        self.not_before = Some(verdict.at);
        self.plan(net, verdict.at);
        Vec::new()
    }

    /// A call is made then, whoever asks for it.
    fn plan(&mut self, net: &mut Net, at: Time) {
        self.calls += 1;
        self.planned = Some(self.calls);
        net.wheel.set(at, Timer::Discovery(self.calls));
    }

    /// Asks at another address from the next call on, which comes soon; until then a watch at the former one goes on. A
    /// call there that does not wait for changes is given up: what it would bring is asked for anew.
    pub fn move_to(&mut self, net: &mut Net, address: SocketAddr) -> Vec<Listing> {
        if address == self.moving.unwrap_or(self.address) {
            return Vec::new();
        }
        self.moving = Some(address);
        let at = self.pace.on_move(net.clock.now()).at;
        if self.generation.is_none() {
            self.hang_up(net);
        }
        self.not_before = Some(at);
        self.plan(net, at);
        Vec::new()
    }

    fn ask(&mut self, net: &mut Net) -> Result<(), Unasked> {
        self.began = net.clock.now();
        let conn = match self.conn.filter(|id| net.get(*id).is_some_and(|c| c.up && !c.ended)) {
            Some(id) => id,
            None => {
                // One that can't be used any more is given back before its place is needed.
                self.hang_up(net);
                net.connect(Owner::Discovery, self.address).map_err(Unasked::Local)?
            }
        };
        self.conn = Some(conn);
        let target = match self.generation {
            Some(since) => {
                let wait = self.pace.watch().times(self.renews, true).0 / 1_000;
                format!("/registry/instances?since={since}&timeout_ms={wait}")
            }
            None => "/registry/instances".into(),
        };
        let request =
            format!("GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.address);
        net.get_mut(conn).ok_or(Unasked::Broken)?.send(request.as_bytes());
        self.calls += 1;
        self.call = Some(self.calls);
        net.wheel.set(self.began.plus(CONNECT), Timer::Discovery(self.calls));
        (net.flush(conn, false) == Pumped::Alive).then_some(()).ok_or(Unasked::Broken)
    }

    /// The call has failed; `silent`: nothing came, not even a refusal.
    fn fail(&mut self, net: &mut Net, what: &str, silent: bool) -> Vec<Listing> {
        self.hang_up(net);
        self.renews = false;
        self.doubt.on_failure();
        let (now, began) = (net.clock.now(), self.began);
        let mut verdict = match silent {
            true => self.pace.on_silence(now, began),
            false => self.pace.on_failure(now, began),
        };
        match self.not_before {
            // The former address may fail as it likes: the call to the next one stands.
            Some(at) if self.moving.is_some() => verdict.at = at,
            _ => {
                self.not_before = Some(verdict.at);
                // Guards the rule on drains: the module's waits grow from call to call, what is missed counts all the
                // same.
                self.plan(net, verdict.at);
            }
        }
        let (after, next) = (now.since(self.began) / 1_000, verdict.at.since(now) / 1_000);
        self.failed += 1;
        // Guards the log: an agent that is down is asked ten times a second.
        if self.failed == 1 || !self.pace.goes_on() {
            self.log.push(format!(
                "discovery: call failed after {after} ms: {what}; next in {next} ms at the soonest: {verdict}"
            ));
        }
        vec![Listing::Failed]
    }

    /// A doubted list was not confirmed in time: what it wants stopped is stopped. What it says of others is not believed.
    fn unconfirmed(&mut self, directory: &mut Directory) -> Vec<Listing> {
        let Some((list, _)) = self.doubted.take() else { return Vec::new() };
        self.log.push(format!(
            "discovery: version {} was not confirmed: what it wants stopped is stopped",
            list.generation
        ));
        if list.instances.is_empty() {
            return vec![Listing::Whole(directory.whole(&[]))];
        }
        let ends = list.instances.into_iter().filter(|i| i.lifecycle != Lifecycle::Serving);
        vec![Listing::Changes(directory.changes(&ends.collect::<Vec<_>>()))]
    }

    /// Ends the connection: the one place where it is given back.
    fn hang_up(&mut self, net: &mut Net) {
        self.call = None;
        if let Some(id) = self.conn.take() {
            net.close(id);
        }
    }

    /// A call's timer: it may be made now, its connection should be up by now, or its answer here.
    pub fn timer(&mut self, net: &mut Net, call: u64, directory: &mut Directory) -> Vec<Listing> {
        if call == CONFIRMED {
            let due = self.doubted.as_ref().is_some_and(|(_, at)| net.clock.now() >= *at);
            return if due { self.unconfirmed(directory) } else { Vec::new() };
        }
        if self.planned == Some(call) {
            self.planned = None;
            if self.moving.is_some() {
                // What is out at the former address is given up for the call to the next one.
                self.hang_up(net);
            }
            return self.subscribe(net);
        }
        if self.call != Some(call) {
            return Vec::new();
        }
        let (wait, patience) = self.pace.watch().times(self.renews, self.generation.is_some());
        let end = self.began.plus(wait + patience);
        let up = self.conn.and_then(|id| net.get(id)).is_some_and(|c| c.up);
        if !up {
            return self.fail(net, "it never came up", true);
        }
        if net.clock.now() >= end {
            return self.fail(net, "no answer", true);
        }
        net.wheel.set(end, Timer::Discovery(call));
        Vec::new()
    }

    /// Reads what has come. An answer is news, and the watch is renewed at once.
    pub fn ready(&mut self, net: &mut Net, id: ConnId, directory: &mut Directory) -> Vec<Listing> {
        if self.conn != Some(id) {
            return Vec::new();
        }
        let pumped = net.pump(id, CEILING);
        let Some(conn) = net.get_mut(id) else { return Vec::new() };
        // A reset is no end: an answer without a length that breaks off is not whole.
        let (ended, broken) = (conn.ended, pumped != Pumped::Alive);
        let answer = match http::response(conn.input.bytes(), ended, CEILING) {
            Ok(Parsed::Whole(answer, used)) => {
                conn.input.consume(used);
                answer
            }
            Ok(Parsed::Partial(_)) if !ended && !broken && conn.input.bytes().len() < CEILING => {
                return Vec::new();
            }
            // Between two calls it may end without any harm.
            _ if self.call.is_none() => {
                self.hang_up(net);
                return Vec::new();
            }
            _ => return self.fail(net, "the connection broke, or what came is no answer", false),
        };
        if self.call.take().is_none() {
            self.hang_up(net);
            return Vec::new();
        }
        let list = match answer.status {
            200 => serde_json::from_slice::<List>(&answer.body).map_err(|e| format!("unreadable list: {e}")),
            status => Err(format!("answered with {status}")),
        };
        let list = match list {
            Ok(list) => list,
            Err(what) => return self.fail(net, &what, false),
        };
        self.renews = true;
        if ended || broken || !answer.keep_alive {
            self.hang_up(net);
        }
        let now = net.clock.now();
        if std::mem::take(&mut self.failed) > 0 {
            self.log.push("discovery: it answers again".into());
        }
        let next = self.pace.on_answer(now).at;
        if self.moving.is_none() {
            self.not_before = Some(next);
        }
        let whole = list.reset || self.generation.is_none();
        let told = Told { generation: list.generation, whole, lines: list.instances.len() };
        let mut news = match self.doubt.on_list(now, told, self.generation, directory.len()) {
            Verdict::Take(_) => {
                self.doubted = None;
                self.generation = Some(list.generation);
                vec![match whole {
                    true => Listing::Whole(directory.whole(&list.instances)),
                    false => Listing::Changes(directory.changes(&list.instances)),
                }]
            }
            Verdict::Confirm(why, until) => {
                self.log.push(format!("discovery: a list is doubted, the whole one is asked for: {why}"));
                // Of several in a row the first one's time counts: it was heard then.
                let until = self.doubted.as_ref().map_or(until, |(_, first)| until.min(*first));
                // The whole list is asked for; the timer is one that no call has.
                (self.generation, self.doubted) = (None, Some((list, until)));
                net.wheel.set(until, Timer::Discovery(CONFIRMED));
                Vec::new()
            }
        };
        news.extend(self.subscribe(net));
        news
    }
}

#[cfg(test)]
mod tests;
