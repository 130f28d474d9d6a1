//! Runs many processes of one program on loopback, with a [`Relay`] for each direction between any
//! two of them, a [`Ledger`] of their log lines, and faults: processes are stopped, continued,
//! killed and started again, links fail. The rig uses the program's command, files and log alone.
//! It owns the processes and their folder: both are gone when it is dropped.

mod broker;
mod verdicts;

pub use verdicts::{judge_deaths, judge_holders, known_members, members_agree, Findings};

use crate::loopback_block::{candidate_networks, LoopbackBlock};
use crate::relay::Relay;
use crate::sync::lock;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An event of one process: a line that it logged, or what the rig did to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time since the rig started.
    pub at: Duration,
    /// The number of the process.
    pub process: usize,
    /// The event.
    pub event: Event,
}

/// The event of an [`Entry`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process logged this line.
    Logged(String),
    /// It was started.
    Started,
    /// It was killed.
    Killed,
    /// It was stopped (SIGSTOP).
    Stopped,
    /// It was continued (SIGCONT).
    Continued,
    /// Its link to that process was changed; whether the link works now.
    Link(usize, bool),
    /// It was asked to end, and ended with this status.
    Ended(i32),
}

/// The events of all processes, in order; the oracle of the checks in this module.
#[derive(Clone, Default)]
pub struct Ledger {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Ledger {
    fn record(&self, started_at: Instant, process: usize, event: Event) {
        let mut entries = lock(&self.entries);
        entries.push(Entry {
            at: started_at.elapsed(),
            process,
            event,
        });
    }

    /// All entries so far.
    #[must_use]
    pub fn all(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }
}

/// Shell script that starts the program and prints its process id. Its standard input closes when
/// the rig is gone, however that ended, and the script kills the program then.
const SUPERVISOR_SCRIPT: &str = r#"exec 3<&0; "$0" </dev/null 3<&- & p=$!; echo $p; (cat <&3 >/dev/null; kill -9 $p) 2>/dev/null & w=$!
    exec 3<&-; wait $p; s=$?; kill $w; exit $s"#;

struct Process {
    supervisor: Child,
    pid: Pid,
}

impl Process {
    /// Waits until the process ends, and returns its status. The supervisor's input stays open until
    /// then: closing it would kill the process.
    fn wait(&mut self) -> Option<i32> {
        let input = self.supervisor.stdin.take();
        let status = self.supervisor.wait().ok()?.code();
        drop(input);
        status
    }
}

/// Processes of one program and the links between them.
pub struct Rig {
    program: PathBuf,
    folder: PathBuf,
    started_at: Instant,
    /// The address at which each process listens for the others.
    pub addresses: Vec<SocketAddr>,
    links: BTreeMap<(usize, usize), Relay>,
    processes: BTreeMap<usize, Process>,
    /// What happened so far.
    pub ledger: Ledger,
    _block: LoopbackBlock,
}

/// Interval at which [`Rig::until`] reads the ledger.
const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The port at which processes listen, each at another address. It lies below the ephemeral ports,
/// so that no outgoing connection takes it before the process binds it.
const LISTEN_PORT: u16 = 7_000;
/// The port by which a rig reserves its block of addresses.
const BLOCK_LOCK_PORT: u16 = 6_999;

/// The most processes of a rig: a block has an address for each.
const MAX_PROCESSES: usize = 253;
/// The number of blocks of addresses that a rig tries to reserve.
const BLOCK_ATTEMPTS: u32 = 1_000;

/// Reserves a block of addresses for the rig with this number in its process.
fn reserve_block(number: u32) -> std::io::Result<LoopbackBlock> {
    let start = std::process::id().wrapping_mul(31).wrapping_add(number);
    let mut last_error = std::io::Error::other("no block of addresses");
    for network in candidate_networks(start, BLOCK_ATTEMPTS) {
        match LoopbackBlock::reserve(network, BLOCK_LOCK_PORT) {
            Ok(block) => return Ok(block),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

impl Rig {
    /// Creates a rig for `count` processes, 253 at most, with working links and nothing started. The
    /// random faults of the links follow from `seed`.
    ///
    /// # Errors
    /// When loopback or the folder for files can't be used.
    pub fn new(program: &Path, count: usize, seed: u64) -> std::io::Result<Rig> {
        static RIG_COUNT: AtomicU32 = AtomicU32::new(0);
        let number = RIG_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("rig-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let block = reserve_block(number)?;
        let address =
            |process: usize| SocketAddr::from((block.address(1 + process as u8), LISTEN_PORT));
        let addresses: Vec<SocketAddr> = (0..count.min(MAX_PROCESSES)).map(address).collect();
        let mut links = BTreeMap::new();
        for (from, to) in (0..count)
            .flat_map(|a| (0..count).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
        {
            let link_seed = seed ^ ((from as u64) << 32 | to as u64);
            links.insert((from, to), Relay::start(addresses[to], link_seed)?);
        }
        let (program, processes) = (program.to_path_buf(), BTreeMap::new());
        let (started_at, ledger) = (Instant::now(), Ledger::default());
        Ok(Rig {
            program,
            folder,
            started_at,
            addresses,
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

    /// Cuts the link from one process to another, or restores it.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        self.link(from, to).set(crate::relay::Faults {
            is_partitioned: cut,
            ..Default::default()
        });
        self.ledger
            .record(self.started_at, from, Event::Link(to, !cut));
    }

    /// The folder for files of the processes; it is removed with the rig.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes a file into the folder, and returns its path.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn file(&self, name: &str, text: &str) -> std::io::Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a process, or starts it again with an empty memory.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start(&mut self, process: usize, environment: &[(&str, &Path)]) -> std::io::Result<()> {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(SUPERVISOR_SCRIPT).arg(&self.program);
        command
            .env_remove("NODE_CONFIG")
            .env_remove("LICHENSWITCH_CONFIG")
            .envs(environment.iter().copied());
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut supervisor = command.spawn()?;
        let (Some(stdout), Some(stderr)) = (supervisor.stdout.take(), supervisor.stderr.take())
        else {
            return Err(std::io::Error::other("no pipes"));
        };
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let pid = line.trim().parse().ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| std::io::Error::other(format!("no process id: {line:?}")))?;
        self.ledger.record(self.started_at, process, Event::Started);
        let (ledger, started_at) = (self.ledger.clone(), self.started_at);
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                ledger.record(started_at, process, Event::Logged(line));
            }
        });
        self.processes.insert(process, Process { supervisor, pid });
        Ok(())
    }

    fn signal(&self, process: usize, signal: Signal, event: Event) {
        if let Some(running) = self.processes.get(&process) {
            // A process that is gone already has its own entry.
            let _ = kill_process(running.pid, signal);
            self.ledger.record(self.started_at, process, event);
        }
    }

    /// Stops a process (SIGSTOP) until it is resumed.
    pub fn stop(&self, process: usize) {
        self.signal(process, Signal::STOP, Event::Stopped);
    }

    /// Continues a process that was stopped (SIGCONT).
    pub fn resume(&self, process: usize) {
        self.signal(process, Signal::CONT, Event::Continued);
    }

    /// Asks a process to end (SIGTERM), waits until it has, and returns its status.
    pub fn end(&mut self, process: usize) -> Option<i32> {
        let mut running = self.processes.remove(&process)?;
        let _ = kill_process(running.pid, Signal::TERM);
        let status = running.wait()?;
        self.ledger
            .record(self.started_at, process, Event::Ended(status));
        Some(status)
    }

    /// Kills a process (SIGKILL), and waits until it is gone.
    pub fn kill(&mut self, process: usize) {
        self.signal(process, Signal::KILL, Event::Killed);
        if let Some(mut running) = self.processes.remove(&process) {
            // The status says only that it was killed.
            let _ = running.wait();
        }
    }

    /// Waits until the ledger meets a condition, for `timeout` at most; returns whether it does.
    pub fn until(&self, timeout: Duration, is_met: impl Fn(&[Entry]) -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if is_met(&self.ledger.all()) {
                return true;
            }
            thread::sleep(LEDGER_POLL_INTERVAL);
        }
        is_met(&self.ledger.all())
    }

    /// Time since the rig started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
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
