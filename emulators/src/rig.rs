//! Many processes of one program on loopback, with a link for each direction between any two of
//! them, a ledger of all that they say, and faults: stopped, continued, killed, started again,
//! links that fail. It knows the program by its command, its files and its log alone.

use crate::relay::Relay;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Something that happened: a line that a process wrote, or what the rig did to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When, since the rig began.
    pub at: Duration,
    /// Which process, by its number.
    pub who: usize,
    /// What.
    pub what: Event,
}

/// See [`Entry`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It wrote this line.
    Said(String),
    /// It was started.
    Started,
    /// It was killed.
    Killed,
    /// It was stopped: its process stands still.
    Stopped,
    /// It was continued.
    Continued,
    /// Its link to that one was changed: it works, or not.
    Link(usize, bool),
    /// It ended, by itself or not, with this status.
    Ended(i32),
}

/// What happened, in order.
#[derive(Clone, Default)]
pub struct Ledger {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Ledger {
    fn note(&self, began: Instant, who: usize, what: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        entries.push(Entry {
            at: began.elapsed(),
            who,
            what,
        });
    }

    /// All of it so far.
    #[must_use]
    pub fn all(&self) -> Vec<Entry> {
        self.entries
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }
}

/// The shell that starts a process ends it as soon as the rig is gone, however that ended: its
/// standard input closes then.
const KEEPER: &str = r#"exec 3<&0; "$0" </dev/null 3<&- & p=$!; echo $p; (cat <&3 >/dev/null; kill -9 $p) 2>/dev/null & w=$!
    exec 3<&-; wait $p; s=$?; kill $w; exit $s"#;

struct Process {
    keeper: Child,
    pid: Pid,
}

impl Process {
    /// Waits for its end, and tells its status. The keeper's input stays open until then: its end
    /// would kill the process.
    fn wait(&mut self) -> Option<i32> {
        let input = self.keeper.stdin.take();
        let status = self.keeper.wait().ok()?.code();
        drop(input);
        status
    }
}

/// Processes of one program and the links between them.
pub struct Rig {
    program: PathBuf,
    folder: PathBuf,
    began: Instant,
    /// Where each listens for the others.
    pub listens: Vec<SocketAddr>,
    links: BTreeMap<(usize, usize), Relay>,
    processes: BTreeMap<usize, Process>,
    /// What happened.
    pub ledger: Ledger,
    _block: TcpListener,
}

/// Where processes listen, each at an address of its own: below the ports that the system gives to
/// connections, so that none takes a place between its choice and its use.
const PORT: u16 = 7_000;
/// Whoever holds this port at the last address of a block has the block.
const HELD: u16 = 6_999;

/// Takes a block of 253 addresses of loopback for as long as the listener lives.
fn block(number: u32) -> std::io::Result<([u8; 3], TcpListener)> {
    let start = std::process::id().wrapping_mul(31).wrapping_add(number) % 62_500;
    let mut last = std::io::Error::other("no block of addresses");
    for i in 0..1_000 {
        let at = (start + i) % 62_500;
        let net = [127, 1 + (at / 250) as u8, 1 + (at % 250) as u8];
        match TcpListener::bind(SocketAddr::from(([net[0], net[1], net[2], 254], HELD))) {
            Ok(held) => return Ok((net, held)),
            Err(e) => last = e,
        }
    }
    Err(last)
}

impl Rig {
    /// A rig for so many processes, 253 at most, with all links sound and nothing started; chance
    /// of the links from a seed.
    ///
    /// # Errors
    /// When loopback or the folder for files can't be used.
    pub fn new(program: &Path, count: usize, seed: u64) -> std::io::Result<Rig> {
        static RIGS: AtomicU32 = AtomicU32::new(0);
        let number = RIGS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("rig-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (net, block) = block(number)?;
        let address =
            |who: usize| SocketAddr::from(([net[0], net[1], net[2], 1 + who as u8], PORT));
        let listens: Vec<SocketAddr> = (0..count.min(253)).map(address).collect();
        let mut links = BTreeMap::new();
        for (from, to) in (0..count)
            .flat_map(|a| (0..count).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
        {
            let chance = seed ^ ((from as u64) << 32 | to as u64);
            links.insert((from, to), Relay::start(listens[to], chance)?);
        }
        let (program, processes) = (program.to_path_buf(), BTreeMap::new());
        let (began, ledger) = (Instant::now(), Ledger::default());
        Ok(Rig {
            program,
            folder,
            began,
            listens,
            links,
            processes,
            ledger,
            _block: block,
        })
    }

    /// The link from one process to another.
    #[must_use]
    pub fn link(&self, from: usize, to: usize) -> &Relay {
        &self.links[&(from, to)]
    }

    /// Cuts the link from one to another, or mends it.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.link(from, to).set(crate::relay::Faults {
            cut,
            ..Default::default()
        });
        self.ledger.note(self.began, from, Event::Link(to, !cut));
    }

    /// A folder for what processes keep; it goes with the rig.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes a file for processes, and tells where it is.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn file(&self, name: &str, text: &str) -> std::io::Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a process, or starts it again without what it knew.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start(&mut self, who: usize, environment: &[(&str, &Path)]) -> std::io::Result<()> {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(KEEPER).arg(&self.program);
        command
            .env_remove("NODE_CONFIG")
            .env_remove("LICHENSWITCH_CONFIG")
            .envs(environment.iter().copied());
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut keeper = command.spawn()?;
        let (Some(stdout), Some(stderr)) = (keeper.stdout.take(), keeper.stderr.take()) else {
            return Err(std::io::Error::other("no pipes"));
        };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let pid = line.trim().parse().ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| std::io::Error::other(format!("no process id: {line:?}")))?;
        self.ledger.note(self.began, who, Event::Started);
        let (ledger, began) = (self.ledger.clone(), self.began);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                ledger.note(began, who, Event::Said(line));
            }
        });
        self.processes.insert(who, Process { keeper, pid });
        Ok(())
    }

    fn signal(&self, who: usize, signal: Signal, what: Event) {
        if let Some(process) = self.processes.get(&who) {
            // One that is gone already is noted by its end.
            let _ = kill_process(process.pid, signal);
            self.ledger.note(self.began, who, what);
        }
    }

    /// Stops a process: it stands still until it is continued.
    pub fn stop(&self, who: usize) {
        self.signal(who, Signal::STOP, Event::Stopped);
    }

    /// Continues a process that was stopped.
    pub fn go_on(&self, who: usize) {
        self.signal(who, Signal::CONT, Event::Continued);
    }

    /// Asks a process to end, and waits until it has; tells its status.
    pub fn end(&mut self, who: usize) -> Option<i32> {
        let mut process = self.processes.remove(&who)?;
        let _ = kill_process(process.pid, Signal::TERM);
        let status = process.wait()?;
        self.ledger.note(self.began, who, Event::Ended(status));
        Some(status)
    }

    /// Kills a process, and waits until it is gone.
    pub fn kill(&mut self, who: usize) {
        self.signal(who, Signal::KILL, Event::Killed);
        if let Some(mut process) = self.processes.remove(&who) {
            // Its status is that it was killed.
            let _ = process.wait();
        }
    }

    /// Waits until the ledger shows something, for so long at most; tells whether it did.
    pub fn until(&self, most: Duration, shows: impl Fn(&[Entry]) -> bool) -> bool {
        let end = Instant::now() + most;
        while Instant::now() < end {
            if shows(&self.ledger.all()) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        shows(&self.ledger.all())
    }

    /// Time since the rig began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Settings of a broker that serves nobody.
const SETTINGS: &str = r#"{"allowed":{"maxAttempts":4,"mostHeld":40},"classes":[{"name":"c","objectiveUs":1000000,
    "deadlineUs":2000000,"idempotency":"retryable","gain":1.0,"lateShare":0.1}],"discovery":"subscribe",
    "resolutionUs":5000,"zones":["a"],"familyInfo":{"partsACall":8,"sets":1,"width":1,"classFetch":[0],
    "classPartial":[0.9],"minShare":[1.0],"needByClass":[1.0]}}"#;

impl Rig {
    /// Writes the files of a broker that talks with all others, by links of its own, and tells what
    /// they are: the platform's and the operators'. `times`: further lines of its section `peers`.
    ///
    /// # Errors
    /// When they can't be written.
    pub fn broker_files(&self, who: usize, times: &str) -> std::io::Result<[PathBuf; 2]> {
        let others = (0..self.listens.len()).filter(|other| *other != who);
        let line = |o: usize| {
            format!(
                "    - {{name: n{o}, address: \"{}\"}}\n",
                self.link(who, o).address
            )
        };
        let others: String = others.map(line).collect();
        let (listen, zone) = (self.listens[who], who % 3);
        let peers = format!(
            "peers:\n  cluster: test\n  listen: {listen}\n  zone: z{zone}\n{times}  known:\n{others}"
        );
        let platform = format!(
            r#"{{"name":"n{who}","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"{who}","settings":{SETTINGS}}}"#
        );
        Ok([
            self.file(&format!("n{who}.json"), &platform)?,
            self.file(&format!("n{who}.yaml"), &peers)?,
        ])
    }

    /// Starts a broker with these files.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start_broker(&mut self, who: usize, files: &[PathBuf; 2]) -> std::io::Result<()> {
        self.start(
            who,
            &[
                ("NODE_CONFIG", &files[0]),
                ("LICHENSWITCH_CONFIG", &files[1]),
            ],
        )
    }

    /// The process of a broker, by its number in the system.
    #[must_use]
    pub fn pid(&self, who: usize) -> Option<i32> {
        self.processes
            .get(&who)
            .map(|p| p.pid.as_raw_nonzero().get())
    }
}

/// Whom a broker knows, in order, by its lines (`fleet: nX up ...`, `fleet: nX down ...`) since its
/// last start.
#[must_use]
pub fn known(entries: &[Entry], by: usize) -> Vec<usize> {
    let mut known = std::collections::BTreeSet::new();
    for entry in entries.iter().filter(|e| e.who == by) {
        match &entry.what {
            Event::Started => known.clear(),
            Event::Said(line) => match told(line) {
                Some((who, "up")) => drop(known.insert(who)),
                Some((who, "down")) => drop(known.remove(&who)),
                _ => {}
            },
            _ => {}
        }
    }
    known.into_iter().collect()
}

/// Whether all of these know all of these, and nobody else.
#[must_use]
pub fn agree(entries: &[Entry], living: &[usize]) -> bool {
    living.iter().all(|by| {
        known(entries, *by)
            .iter()
            .eq(living.iter().filter(|o| *o != by))
    })
}

/// Of whom a line tells, and what.
fn told(line: &str) -> Option<(usize, &str)> {
    let mut words = line.split("fleet: n").nth(1)?.split(' ');
    Some((words.next()?.parse().ok()?, words.next()?))
}

/// What a look at a ledger found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Deaths that were told and looked at.
    pub checked: usize,
    /// Those that nothing explains: the one declared dead ran, and enough of its links worked.
    pub wrong: Vec<Entry>,
}

/// Judges what processes named `n0`, `n1`, ... said of each other (`fleet: nX down ...`): one that
/// is declared dead must have been killed, ended, stopped, or cut off from all others in some
/// direction, within `before` of that; or the one that declares it, cut off so itself, had no way
/// to hear of it. That the latter had stood still excuses nothing.
#[must_use]
pub fn judge_deaths(entries: &[Entry], count: usize, before: Duration) -> Findings {
    let mut found = Findings::default();
    // Since when each runs as it should; `None`: it does not.
    let mut sound: Vec<Option<Duration>> = vec![None; count];
    let mut cut: Vec<(usize, usize)> = Vec::new();
    // When each was last cut off.
    let mut apart: Vec<Option<Duration>> = vec![None; count];
    let cut_off = |cut: &[(usize, usize)], who: usize| {
        let out = cut.iter().filter(|(from, _)| *from == who).count();
        let into = cut.iter().filter(|(_, to)| *to == who).count();
        out.max(into) + 1 >= count
    };
    for entry in entries {
        match &entry.what {
            Event::Started | Event::Continued => sound[entry.who] = Some(entry.at),
            Event::Killed | Event::Stopped | Event::Ended(_) => sound[entry.who] = None,
            Event::Link(to, works) => {
                let was: Vec<bool> = (0..count).map(|who| cut_off(&cut, who)).collect();
                cut.retain(|link| *link != (entry.who, *to));
                cut.extend((!works).then_some((entry.who, *to)));
                for who in (0..count).filter(|who| was[*who]) {
                    apart[who] = Some(entry.at);
                }
            }
            Event::Said(line) => {
                let Some((who, "down")) = told(line).filter(|t| t.0 < count) else {
                    continue;
                };
                found.checked += 1;
                let long_ago = |at: Duration| entry.at.saturating_sub(at) > before;
                let reached = |who: usize| !cut_off(&cut, who) && apart[who].is_none_or(long_ago);
                if sound[who].is_some_and(long_ago) && reached(who) && reached(entry.who) {
                    found.wrong.push(entry.clone());
                }
            }
        }
    }
    found
}

/// Judges who held a duty when, by what brokers said (`duty D: held under fence N: ...`,
/// `duty D: not held: ...`, which names how long ago a lease ran out): no two at a time, and under
/// fences that grow. One that stands still does nothing, so it holds nothing then; once it goes on
/// it has `wakes` to find out.
#[must_use]
#[expect(clippy::too_many_lines, reason = "one arm for each kind of line")]
pub fn judge_holders(entries: &[Entry], duty: &str, wakes: Duration) -> Findings {
    let mut found = Findings::default();
    // Who holds since when, whether it runs, and the spans of each that are over.
    let mut holds: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut stopped: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut spans: Vec<(Duration, Duration, usize)> = Vec::new();
    let (mut fence, mut fenced_by) = (0, None);
    let (held, over) = (
        format!("duty {duty}: held under fence "),
        format!("duty {duty}: not held"),
    );
    let mut wrong: Vec<Entry> = Vec::new();
    for entry in entries {
        let who = entry.who;
        let mut ends = |at: Duration, holds: &mut BTreeMap<usize, Duration>| {
            if let Some(from) = holds.remove(&who) {
                spans.extend((at > from).then_some((from, at, who)));
            }
        };
        match &entry.what {
            Event::Killed | Event::Ended(_) | Event::Started => ends(entry.at, &mut holds),
            Event::Stopped => drop(stopped.insert(who, entry.at)),
            Event::Continued => {
                // What it held when it was stopped it held until then, as far as others have to do
                // with it.
                let at = stopped.remove(&who).unwrap_or(entry.at);
                if holds.contains_key(&who) {
                    ends(at, &mut holds);
                    holds.insert(who, entry.at + wakes);
                }
            }
            Event::Said(line) if line.contains(&over) => {
                let ago = line
                    .split("ran out ")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next()?.parse().ok());
                ends(
                    entry
                        .at
                        .saturating_sub(Duration::from_millis(ago.unwrap_or(0))),
                    &mut holds,
                );
            }
            Event::Said(line) => {
                let Some(rest) = line.split(&held).nth(1) else {
                    continue;
                };
                let number: u64 = rest
                    .split(':')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                found.checked += 1;
                if number < fence || number == fence && fenced_by != Some(who) {
                    wrong.push(entry.clone());
                }
                (fence, fenced_by) = (fence.max(number), Some(who));
                holds.insert(who, entry.at);
            }
            Event::Link(..) => {}
        }
    }
    // Who is not said to have let go of it holds it to the end, and beyond.
    let last = entries.last().map_or(Duration::ZERO, |e| e.at) + Duration::from_millis(1);
    spans.extend(holds.iter().map(|(who, from)| {
        (
            *from,
            stopped.get(who).copied().unwrap_or(last).max(*from),
            *who,
        )
    }));
    spans.sort_unstable();
    for (i, span) in spans.iter().enumerate() {
        let later = spans[i + 1..]
            .iter()
            .find(|s| s.2 != span.2 && s.0 < span.1);
        let what = |s: &(Duration, Duration, usize)| {
            Event::Said(format!("n{} holds {duty} beside n{}", s.2, span.2))
        };
        wrong.extend(later.map(|s| Entry {
            at: s.0,
            who: s.2,
            what: what(s),
        }));
    }
    found.wrong = wrong;
    found
}

impl Drop for Rig {
    fn drop(&mut self) {
        for (_, mut process) in std::mem::take(&mut self.processes) {
            let _ = kill_process(process.pid, Signal::KILL);
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[cfg(test)]
mod tests;
