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
use std::collections::{HashMap, HashSet};
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
    log: Vec<String>,
}

/// What is noted of a data node.
struct Node {
    name: String,
    address: Option<SocketAddr>,
    cell: u32,
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
                let new = Node { name: node.instance_id.clone(), address: None, cell };
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
        Some(Listed {
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
        })
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
    /// A call is to be made then, by a timer of the last number.
    planned: bool,
    doubt: Doubt,
    /// A list that waits to be confirmed, and until when.
    doubted: Option<(List, Time)>,
    log: Vec<String>,
}

impl Discovery {
    /// A client that has asked nothing yet.
    #[must_use]
    pub fn new(address: SocketAddr, generation: Option<u64>, pace: Pace) -> Self {
        let (conn, call, calls, began) = (None, None, 0, Time(0));
        let (not_before, planned) = (None, false);
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
        if self.call.is_some() || self.planned {
            return Vec::new();
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
        self.planned = true;
        net.wheel.set(at, Timer::Discovery(self.calls));
    }

    /// Asks at another address from now on. The whole list is asked for: versions count from where they were told, and
    /// what the former address still had to tell is lost.
    pub fn move_to(&mut self, net: &mut Net, address: SocketAddr) -> Vec<Listing> {
        if address == self.address {
            return Vec::new();
        }
        self.hang_up(net);
        // The list that is held is good until then: brokers that are told together do not ask together.
        let at = self.pace.on_start(net.clock.now(), self.generation.is_some()).at;
        (self.address, self.generation, self.not_before) = (address, None, Some(at));
        self.planned = false;
        self.subscribe(net)
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
                format!("/registry/instances?since={since}&timeout_ms={}", self.pace.watch().wait / 1_000)
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
        self.doubt.on_failure();
        let now = net.clock.now();
        let verdict = if silent { self.pace.on_silence(now) } else { self.pace.on_failure(now) };
        self.not_before = Some(verdict.at);
        if silent {
            // Guards the rule on drains: the module's waits grow from call to call, what is missed counts all the same.
            self.plan(net, verdict.at);
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
        (self.call, self.renews) = (None, false);
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
        if self.planned && self.calls == call {
            self.planned = false;
            return self.subscribe(net);
        }
        if self.call != Some(call) {
            return Vec::new();
        }
        let watch = self.pace.watch();
        let wait = if self.generation.is_some() { watch.wait } else { 0 };
        let end = self.began.plus(wait + if self.renews { watch.renewed } else { watch.patience });
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
        let ended = conn.ended || pumped != Pumped::Alive;
        let answer = match http::response(conn.input.bytes(), ended, CEILING) {
            Ok(Parsed::Whole(answer, used)) => {
                conn.input.consume(used);
                answer
            }
            Ok(Parsed::Partial(_)) if !ended && conn.input.bytes().len() < CEILING => return Vec::new(),
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
        if ended || !answer.keep_alive {
            self.hang_up(net);
        }
        let now = net.clock.now();
        if std::mem::take(&mut self.failed) > 1 {
            self.log.push("discovery: it answers again".into());
        }
        self.not_before = Some(self.pace.on_answer(now).at);
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
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    const LIST: &str = r#"{"generation":41,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"10.1.0.18:8080","zone":"b","machineType":"m2","cell":3,
         "lifecycle":"SERVING","weight":1.0,"startedAtMs":5}]}"#;

    #[test]
    fn a_list_is_put_in_the_modules_terms_and_ids_stay() {
        let list: List = serde_json::from_str(LIST).unwrap();
        let mut directory = Directory::new(vec!["a".into(), "b".into()]);
        let first = directory.changes(&list.instances);
        assert_eq!((first[0].cell, first[0].zone, first[0].mode), (3, 1, Mode::Ready));
        assert_eq!(first[0].started, Some(Time(5_000)));
        assert_eq!(directory.address(first[0].server), Some("10.1.0.18:8080".parse().unwrap()));
        let gone =
            Instance { lifecycle: Lifecycle::Deleted, host_port: String::new(), ..list.instances[0].clone() };
        let second = directory.changes(std::slice::from_ref(&gone));
        assert_eq!((second[0].server, second[0].mode), (first[0].server, Mode::Gone));
        assert!(directory.changes(&[gone]).is_empty(), "one that was never listed is no news");
    }

    #[test]
    fn a_list_that_comes_indented_is_the_same_list() {
        let value: serde_json::Value = serde_json::from_str(LIST).unwrap();
        let pretty = serde_json::to_string_pretty(&value).unwrap().replace('\n', "\r\n\t ");
        let [plain, indented] = [LIST, &pretty]
            .map(|text| Directory::default().changes(&serde_json::from_str::<List>(text).unwrap().instances));
        assert!(pretty.lines().count() > 10 && plain.len() == 1);
        assert_eq!(plain, indented);
    }

    #[test]
    fn what_is_known_of_a_node_goes_with_it_and_its_number_is_not_used_again() {
        let list: List = serde_json::from_str(LIST).unwrap();
        let mut directory = Directory::default();
        let node = |i: u32| Instance { instance_id: format!("s-{i}"), ..list.instances[0].clone() };
        let gone = |i| Instance { lifecycle: Lifecycle::Deleted, ..node(i) };
        for i in 0..100 {
            assert_eq!(directory.whole(&[node(i)])[0].server, ServerId(i));
        }
        directory.changes(&[gone(99)]);
        assert_eq!((directory.ids.len(), directory.nodes.len()), (0, 0));
        assert_eq!(directory.take_gone().len(), 100);
        assert_eq!(directory.changes(&[node(7)])[0].server, ServerId(100));
    }

    /// Runs the loop until the client has news.
    fn news(net: &mut Net, client: &mut Discovery, directory: &mut Directory) -> Vec<Listing> {
        for _ in 0..1_000 {
            let until = net.clock.now().plus(100_000);
            for ready in net.wait(Some(until)).unwrap() {
                if let crate::net::Ready::Conn(id, _) = ready {
                    let news = client.ready(net, id, directory);
                    if !news.is_empty() {
                        return news;
                    }
                }
            }
        }
        panic!("no news");
    }

    fn request(stream: &mut TcpStream) -> String {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
        }
        String::from_utf8(bytes).unwrap()
    }

    fn answer(stream: &mut TcpStream, status: u16, body: &str) {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).unwrap();
    }

    #[test]
    fn another_address_is_asked_for_the_whole_list_at_once() {
        let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
        let mut client = Discovery::new(old.local_addr().unwrap(), Some(41), Pace::new(1, 3, 0));
        client.subscribe(&mut net);
        let (mut left, _) = old.accept().unwrap();
        assert!(client.move_to(&mut net, old.local_addr().unwrap()).is_empty() && client.call == Some(1));
        assert!(client.move_to(&mut net, new.local_addr().unwrap()).is_empty());
        assert_eq!(left.read_to_end(&mut Vec::new()).unwrap(), 0, "the watch at the old address is over");
        let (mut stream, _) = new.accept().unwrap();
        net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
        client.ready(&mut net, client.conn.unwrap(), &mut directory);
        assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
        answer(&mut stream, 200, LIST);
        assert!(matches!(&news(&mut net, &mut client, &mut directory)[..], [Listing::Whole(_)]));
        assert!(request(&mut stream).contains("since=41"));
    }

    #[test]
    fn a_watch_is_renewed_at_once_and_a_failure_is_told() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
        let mut client = Discovery::new(listener.local_addr().unwrap(), None, Pace::new(1, 3, 0));
        assert!(client.subscribe(&mut net).is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
        client.ready(&mut net, client.conn.unwrap(), &mut directory);
        assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
        answer(&mut stream, 200, LIST);
        let first = news(&mut net, &mut client, &mut directory);
        assert!(matches!(&first[..], [Listing::Whole(lines)] if lines.len() == 1));
        assert!(request(&mut stream).starts_with("GET /registry/instances?since=41&timeout_ms=2000 "));
        answer(&mut stream, 200, r#"{"generation":42,"reset":false,"instances":[]}"#);
        assert!(matches!(&news(&mut net, &mut client, &mut directory)[..], [Listing::Changes(_)]));
        assert!(request(&mut stream).contains("since=42"));
        answer(&mut stream, 503, "");
        assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed]);
        assert!(client.subscribe(&mut net).is_empty(), "it asks again when told to");
        let (mut stream, _) = listener.accept().unwrap();
        net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
        client.ready(&mut net, client.conn.unwrap(), &mut directory);
        assert!(request(&mut stream).contains("since=42"));
        drop(stream);
        assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed]);
    }

    /// Runs the loop and the client's timers until the client has asked, and takes the connection.
    fn asked(net: &mut Net, client: &mut Discovery, listener: &TcpListener) -> TcpStream {
        listener.set_nonblocking(true).unwrap();
        for _ in 0..1_000 {
            net.wait(Some(net.clock.now().plus(10_000))).unwrap();
            let now = net.clock.now();
            for timer in net.wheel.due(now) {
                if let Timer::Discovery(call) = timer {
                    client.timer(net, call, &mut Directory::default());
                }
            }
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                let id = client.conn.unwrap();
                net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
                client.ready(net, id, &mut Directory::default());
                return stream;
            }
        }
        panic!("never asked");
    }

    #[test]
    fn a_watch_that_falls_silent_is_opened_anew_in_time_whoever_asks_and_what_it_missed_is_read() {
        let (mut net, mut client, mut directory, listener, silent) =
            watching_of(Pace::new(1, 300, 10_000_000));
        let begun = client.began;
        let mut news = Vec::new();
        while news.is_empty() {
            net.wait(Some(net.clock.now().plus(50_000))).unwrap();
            for timer in net.wheel.due(net.clock.now()) {
                if let Timer::Discovery(call) = timer {
                    news.extend(client.timer(&mut net, call, &mut directory));
                }
            }
        }
        assert_eq!(news, [Listing::Failed]);
        let line = client.take_log().remove(0);
        assert!(line.contains("no answer") && line.contains("Silent"), "{line}");
        assert!(client.planned, "it goes on without being told to");
        let mut stream = asked(&mut net, &mut client, &listener);
        assert!(net.clock.now().since(begun) < 6_000_000, "what it missed counts as told by then");
        assert!(request(&mut stream).contains("since=41&timeout_ms=2000 "));
        answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
        let told = self::news(&mut net, &mut client, &mut directory);
        assert!(matches!(&told[..], [Listing::Whole(lines)] if lines[0].mode == Mode::Draining));
        drop(silent);
    }

    #[test]
    fn one_of_many_brokers_asks_when_its_turn_has_come_and_only_once() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
        let pace = Pace::new(5, 4, 0);
        let first = pace.clone().on_start(Time(0), true).at;
        assert!(first > Time(10_000), "this seed has to wait");
        let mut client = Discovery::new(listener.local_addr().unwrap(), Some(41), pace);
        let began = net.clock.now();
        for _ in 0..3 {
            assert!(client.subscribe(&mut net).is_empty());
            assert!(client.conn.is_none() && client.calls == 1, "one call is planned, and not made yet");
        }
        let mut stream = asked(&mut net, &mut client, &listener);
        assert!(net.clock.now().since(began) >= first.0);
        assert!(request(&mut stream).contains("since=41"));
        // What fails is repeated later, however often the module asks meanwhile, and the drain is not missed.
        answer(&mut stream, 503, "");
        assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed]);
        assert!(client.take_log()[0].contains("Failed, calls spread over 480 ms"));
        let calls = client.calls;
        client.not_before = Some(net.clock.now().plus(50_000));
        for _ in 0..3 {
            assert!(client.subscribe(&mut net).is_empty() && client.calls == calls + 1);
        }
        let mut stream = asked(&mut net, &mut client, &listener);
        assert!(request(&mut stream).contains("since=41"));
        answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
        let told = news(&mut net, &mut client, &mut directory);
        assert!(matches!(&told[..], [Listing::Whole(lines)] if lines[0].mode == Mode::Draining));
        // The watch goes on at once.
        assert!(request(&mut stream).contains("since=41"));
    }

    #[test]
    fn an_agent_of_the_own_machine_is_asked_again_soon_and_its_doubted_lists_are_settled_within_the_rule() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
        let client = Discovery::new(listener.local_addr().unwrap(), None, Pace::at_agent(1));
        let mut client = client.stopping_within(500_000);
        assert!(client.goes_on() && client.subscribe(&mut net).is_empty());
        let (mut stream, _) = listener.accept().unwrap();
        net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
        client.ready(&mut net, client.conn.unwrap(), &mut directory);
        assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1"));
        answer(&mut stream, 200, LIST);
        assert!(matches!(&news(&mut net, &mut client, &mut directory)[..], [Listing::Whole(_)]));
        assert!(request(&mut stream).contains("since=41&timeout_ms=1000 "));
        answer(&mut stream, 200, EMPTY);
        let heard = net.clock.now();
        asks_whole(&mut net, &mut client, &mut directory, &mut stream);
        let until = client.doubted.as_ref().unwrap().1;
        assert!(until.since(heard) >= 250_000 && until.since(net.clock.now()) <= 250_000);
        drop(stream);
        assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed]);
        let pause = client.not_before.unwrap().since(net.clock.now());
        assert!(pause <= 100_000 && client.take_log()[1].contains("Agent"), "{pause}");
        // It is down for long: told once, and once more when it is back.
        for _ in 0..3 {
            client.subscribe(&mut net);
            let mut stream = asked(&mut net, &mut client, &listener);
            request(&mut stream);
            drop(stream);
            assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed]);
        }
        let lines = client.take_log();
        assert!(!lines.iter().any(|l| l.contains("failed")), "{lines:?}");
        client.subscribe(&mut net);
        let mut stream = asked(&mut net, &mut client, &listener);
        request(&mut stream);
        answer(&mut stream, 200, LIST);
        assert!(matches!(&news(&mut net, &mut client, &mut directory)[..], [Listing::Whole(_)]));
        assert_eq!(client.take_log(), ["discovery: it answers again"]);
    }

    /// Takes descriptors for an owner until there are none left.
    fn take_all(net: &mut Net, owner: Owner, at: SocketAddr) -> Vec<ConnId> {
        let mut taken = Vec::new();
        loop {
            match net.connect(owner, at) {
                Ok(id) => taken.push(id),
                Err(Denied::Lack(_)) => return taken,
                Err(Denied::Failed(e)) => panic!("{e}"),
            }
        }
    }

    #[test]
    fn discovery_has_its_place_when_data_nodes_and_clients_hold_all_they_can() {
        let [discovery, nodes] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
        net.listed(200);
        let at = nodes.local_addr().unwrap();
        let held =
            take_all(&mut net, Owner::Frames, at).len() + take_all(&mut net, Owner::Platform, at).len();
        assert_eq!(held, 38, "all of 64 but 24 of the process's own and two for discovery");
        let mut client = Discovery::new(discovery.local_addr().unwrap(), Some(41), Pace::new(1, 3, 0));
        assert!(client.subscribe(&mut net).is_empty() && client.call == Some(1));
        let (mut stream, _) = discovery.accept().unwrap();
        net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
        client.ready(&mut net, client.conn.unwrap(), &mut directory);
        assert!(request(&mut stream).contains("since=41"));
        answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
        let told = news(&mut net, &mut client, &mut directory);
        assert!(matches!(&told[..], [Listing::Whole(lines)] if lines[0].mode == Mode::Draining));
    }

    #[test]
    fn a_call_that_can_not_be_begun_is_no_failure_of_discovery_and_is_made_soon() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut net = Net::new(64).unwrap();
        let at = listener.local_addr().unwrap();
        let held = take_all(&mut net, Owner::Discovery, at);
        let others: Vec<TcpStream> = held.iter().map(|_| listener.accept().unwrap().0).collect();
        // One of 300 brokers: after a failure it would wait for up to 12 s.
        let mut client = Discovery::new(at, None, Pace::new(1, 300, 10_000_000));
        assert!(client.subscribe(&mut net).is_empty() && client.call.is_none());
        let (now, next) = (net.clock.now(), client.not_before.unwrap());
        assert!(client.planned && next.since(now) <= 200_000);
        let line = client.take_log().remove(0);
        assert!(line.starts_with("discovery: no call could be made: all 2 descriptors are in use"), "{line}");
        assert!(line.ends_with("Unmade, calls spread over 6000 ms"), "the spread stays: {line}");
        held.into_iter().for_each(|id| net.close(id));
        let mut stream = asked(&mut net, &mut client, &listener);
        assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1"));
        drop(others);
    }

    /// A client that holds version 41 with one node and watches, and its discovery's end of the connection.
    fn watching() -> (Net, Discovery, Directory, TcpListener, TcpStream) {
        watching_of(Pace::new(1, 3, 0))
    }

    /// The same at a pace.
    fn watching_of(pace: Pace) -> (Net, Discovery, Directory, TcpListener, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default().with_cells(8));
        let mut client = Discovery::new(listener.local_addr().unwrap(), None, pace);
        client.subscribe(&mut net);
        let (mut stream, _) = listener.accept().unwrap();
        net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
        client.ready(&mut net, client.conn.unwrap(), &mut directory);
        request(&mut stream);
        answer(&mut stream, 200, LIST);
        assert_eq!(news(&mut net, &mut client, &mut directory).len(), 1);
        assert!(request(&mut stream).contains("since=41"));
        (net, client, directory, listener, stream)
    }

    /// Runs the loop until the client asks for the whole list, which none of its news may come before.
    fn asks_whole(net: &mut Net, client: &mut Discovery, directory: &mut Directory, stream: &mut TcpStream) {
        let before = client.calls;
        while client.calls == before {
            net.wait(Some(net.clock.now().plus(100_000))).unwrap();
            let told = client.ready(net, client.conn.unwrap(), directory);
            assert!(told.is_empty(), "it is not believed yet: {told:?}");
        }
        assert!(request(stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
    }

    const EMPTY: &str = r#"{"generation":42,"reset":true,"instances":[]}"#;

    #[test]
    fn an_unreadable_list_changes_nothing_and_is_told() {
        for bad in ["", "{", "[]", r#"{"generation":"x"}"#, r#"{"generation":42,"instances":[{"cell":1}]}"#] {
            let (mut net, mut client, mut directory, _listener, mut stream) = watching();
            answer(&mut stream, 200, bad);
            assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed], "{bad}");
            assert!(client.take_log()[0].contains("unreadable list: "), "{bad}");
            assert_eq!((directory.len(), client.generation), (1, Some(41)), "{bad}");
        }
    }

    #[test]
    fn an_empty_list_is_confirmed_before_it_is_believed() {
        for (second, left) in [(LIST, 1), (EMPTY, 0)] {
            let (mut net, mut client, mut directory, _listener, mut stream) = watching();
            answer(&mut stream, 200, EMPTY);
            asks_whole(&mut net, &mut client, &mut directory, &mut stream);
            let line = client.take_log().remove(0);
            assert!(
                line.contains("doubted") && line.contains("empty, while 1 data nodes are known"),
                "{line}"
            );
            assert_eq!(directory.len(), 1);
            answer(&mut stream, 200, second);
            let told = news(&mut net, &mut client, &mut directory);
            assert!(matches!(&told[..], [Listing::Whole(lines)] if lines.len() == left), "{told:?}");
            assert!(directory.len() == left && client.doubted.is_none());
        }
    }

    #[test]
    fn a_list_that_goes_back_is_confirmed_and_its_drains_are_kept_if_nobody_confirms_it() {
        let back = LIST.replace("41", "40").replace("true", "false").replace("SERVING", "DRAINING");
        // Confirmed: what the whole list says holds, whatever its version.
        let (mut net, mut client, mut directory, _listener, mut stream) = watching();
        answer(&mut stream, 200, &back);
        asks_whole(&mut net, &mut client, &mut directory, &mut stream);
        assert!(client.take_log()[0].contains("version 40, while 41 is held"));
        answer(&mut stream, 200, &LIST.replace("41", "7"));
        let told = news(&mut net, &mut client, &mut directory);
        assert!(matches!(&told[..], [Listing::Whole(lines)] if lines[0].mode == Mode::Ready));
        assert!(request(&mut stream).contains("since=7"), "versions count from there");
        // Not confirmed: the drain was heard, and is kept within the time for it; who serves is not believed.
        let serves = r#"{"instanceId":"s-2","hostPort":"10.1.0.19:8080","cell":1,"lifecycle":"SERVING"}"#;
        let back = back.replace("}]}", &format!("}},{serves}]}}"));
        let (mut net, mut client, mut directory, _listener, mut stream) = watching();
        answer(&mut stream, 200, &back);
        asks_whole(&mut net, &mut client, &mut directory, &mut stream);
        let until = client.doubted.as_ref().unwrap().1;
        assert!(client.timer(&mut net, CONFIRMED, &mut directory).is_empty(), "there is time yet");
        answer(&mut stream, 503, "");
        assert_eq!(news(&mut net, &mut client, &mut directory), [Listing::Failed]);
        while net.clock.now() < until {
            net.wait(Some(until)).unwrap();
        }
        let told = client.timer(&mut net, CONFIRMED, &mut directory);
        let is_kept = |lines: &[Listed]| lines.len() == 1 && lines[0].mode == Mode::Draining;
        assert!(matches!(&told[..], [Listing::Changes(lines)] if is_kept(lines)), "{told:?}");
        assert!(client.timer(&mut net, CONFIRMED, &mut directory).is_empty(), "once");
    }

    #[test]
    fn a_line_without_a_known_cell_is_left_aside_and_one_that_is_known_keeps_its_cell() {
        let list: List = serde_json::from_str(LIST).unwrap();
        let mut directory = Directory::default().with_cells(8);
        let line = |id: &str, cell, lifecycle| Instance {
            instance_id: id.into(),
            cell,
            lifecycle,
            ..list.instances[0].clone()
        };
        let bad = [line("new", None, Lifecycle::Serving), line("far", Some(8), Lifecycle::Serving)];
        assert!(directory.whole(&bad).is_empty() && directory.is_empty());
        let log = directory.take_log();
        assert!(log[0].contains("new has no cell: the line is left aside"), "{log:?}");
        assert!(log[1].contains("far has cell 8, which there is not"), "{log:?}");
        directory.changes(&[line("old", Some(3), Lifecycle::Serving)]);
        let told = directory.changes(&[line("old", None, Lifecycle::Draining)]);
        assert_eq!((told[0].cell, told[0].mode), (3, Mode::Draining), "that it drains counts");
        assert!(directory.take_log()[0].contains("it keeps its last one"));
        let gone = directory.changes(&[line("old", None, Lifecycle::Deleted)]);
        assert!(gone[0].mode == Mode::Gone && directory.is_empty() && directory.take_log().is_empty());
    }
}
