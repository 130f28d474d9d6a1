//! Operators' calls: one line a connection at an address of their own, answered by a thread that
//! waits for nobody.
//!
//! The thread owns its listener, its callers and the wanted state; the loop that serves clients
//! owns all else. They meet in `Shared`, where each leaves what the other wants to know and neither
//! holds a lock for longer than a copy takes. So an answer comes in time however much the loop has
//! to do, and however many callers hold connections without a whole call.

pub mod folder;
mod handle;
pub mod handover;
pub mod metrics;

pub use handle::ManagementHandle;

use crate::interface::{Micros, Time};
use crate::net::{Conn, ConnId, Net, Owner, Ready, TransferProgress};
use folder::Folder;
use lichenswitch_management::call::{self, Call, Change};
use lichenswitch_management::health::{self, Standing, Unready};
use lichenswitch_management::processes::Told;
use lichenswitch_management::wanted::{Refused, Verdict, Wanted};
use metrics::Metrics;
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often the loop tells how it stands.
const BEAT: Micros = 100_000;
/// How often the thread looks round when nobody calls.
const LOOK: Micros = 100_000;
/// The same warning comes this long apart at least.
const SAME: Duration = Duration::from_secs(60);
/// A caller without a whole line is let go after this long.
const PATIENCE: Micros = 10_000_000;
/// How long a caller may take to end its side once it has its answer.
const LINGER: Micros = 1_000_000;
/// Callers that are heard at once, where descriptors allow it, and at least.
const CALLERS: usize = 32;
const CALLERS_LEAST: usize = 4;
/// One in so many of a broker's descriptors may be a caller's.
const CALLERS_PART: usize = 12;
/// Descriptors of the thread beside its callers: listener, poller, and one for work on files.
const BESIDE: usize = 6;

/// Why operators can't call.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// There is no poller or thread for it.
    #[error("management: {0}")]
    System(#[from] io::Error),
}

/// What the loop and the thread leave for each other.
struct Shared {
    /// The figures.
    metrics: Metrics,
    /// Servers that discovery lists.
    listed: Mutex<Arc<BTreeSet<String>>>,
    standing: Mutex<Standing>,
    orders: Mutex<Arc<Orders>>,
    /// The socket that clients connect to, for the next process; `None`: this one has none, or is
    /// leaving it.
    listener: Mutex<Option<TcpListener>>,
    /// Wakes the loop.
    wake: UnixStream,
}

/// What the loop is to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// What operators want.
    pub wanted: Wanted,
    /// Other processes of this broker that are alive.
    pub others: Vec<Told>,
}

/// A lock that a panic elsewhere does not close: what it guards is always whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn orders(&self) -> Arc<Orders> {
        lock(&self.orders).clone()
    }

    fn order(&self, orders: Orders) {
        *lock(&self.orders) = Arc::new(orders);
        // A pipe that is full wakes the loop all the same.
        let _ = (&self.wake).write(&[1]);
    }
}

/// Descriptors that operators' calls take of so many.
#[must_use]
pub fn set_aside(sockets: usize) -> usize {
    (sockets / CALLERS_PART).clamp(CALLERS_LEAST, CALLERS) + BESIDE
}

/// A caller.
struct Caller {
    /// When it came, or got its answer.
    since: Time,
    answered: bool,
}

/// The state of the management thread: its listener, its callers and the wanted state.
struct ManagementThread {
    shared: Arc<Shared>,
    net: Net,
    address: SocketAddr,
    listens: bool,
    callers: HashMap<ConnId, Caller>,
    /// What the processes of this broker share; `None`: nothing.
    folder: Option<Folder>,
    /// Where the next process asks for the clients' socket.
    offers: Option<UnixListener>,
    /// This process has it from the one before.
    shares_socket: bool,
    /// When the wanted state was last kept up, and when this thread last looked round.
    kept: Time,
    looked: Time,
}

/// Logs a failure, and goes on with something else.
fn told_as<T>(failure: &folder::Failure, otherwise: T) -> T {
    warn_once(&failure.to_string());
    otherwise
}

/// Logs a warning, but not the same again within a minute. Guards the log: what fails is tried ten
/// times a second.
fn warn_once(text: &str) {
    static LAST: Mutex<Vec<(Instant, String)>> = Mutex::new(Vec::new());
    let mut last = lock(&LAST);
    last.retain(|(at, _)| at.elapsed() < SAME);
    if last.iter().all(|(_, said)| said != text) {
        log::warn!("{text}");
        last.push((Instant::now(), text.into()));
    }
}

impl ManagementThread {
    fn run(&mut self) {
        loop {
            self.listen();
            let until = self.net.clock.now().plus(LOOK);
            match self.net.wait(Some(until)) {
                Ok(all_ready) => all_ready.into_iter().for_each(|ready| self.ready(ready)),
                Err(e) => {
                    log::error!("the wait for operators' calls failed: {e}");
                    thread::sleep(std::time::Duration::from_micros(LOOK));
                }
            }
            self.look();
        }
    }

    /// Listens, if it does not yet. Guards a start beside a process that has the address: it is
    /// tried again.
    fn listen(&mut self) {
        if self.listens {
            return;
        }
        match self.net.listen(Owner::Operators, self.address) {
            Ok(address) => {
                self.listens = true;
                log::info!("operators call at {address}");
            }
            Err(e) => warn_once(&format!(
                "operators can't call at {} yet: {e}",
                self.address
            )),
        }
    }

    fn ready(&mut self, ready: Ready) {
        match ready {
            Ready::Listener(_) => self.accept(),
            Ready::Conn(id, _) => self.heard(id),
            Ready::Signal(_) => {}
        }
    }

    /// Accepts all that wait. Guards callers that have something to say against those that hold
    /// connections: who came first, or has its answer, makes room.
    fn accept(&mut self) {
        loop {
            for id in self.net.accept(Owner::Operators) {
                self.callers.insert(
                    id,
                    Caller {
                        since: self.net.clock.now(),
                        answered: false,
                    },
                );
                // What was sent with the connection is read before anybody has to make room.
                self.heard(id);
            }
            if !self.net.is_accept_paused() {
                return;
            }
            let first = self
                .callers
                .iter()
                .min_by_key(|(_, c)| (!c.answered, c.since))
                .map(|(id, _)| *id);
            let Some(id) = first else { return };
            self.close(id);
        }
    }

    fn heard(&mut self, id: ConnId) {
        let progress = self.net.transfer(id, call::LONGEST + 1);
        let (Some(caller), Some(conn)) = (self.callers.get(&id), self.net.get_mut(id)) else {
            return;
        };
        if progress != TransferProgress::Alive {
            return self.close(id);
        }
        if caller.answered {
            conn.input.consume(conn.input.bytes().len());
            return match conn.ended {
                true if conn.flushed() => self.close(id),
                _ => self.end(id),
            };
        }
        let bytes = conn.input.bytes();
        let end = bytes.iter().position(|b| *b == b'\n').map(|at| at + 1);
        // A line that its caller ends with its side is whole too.
        let end = end.or((conn.ended || bytes.len() > call::LONGEST).then_some(bytes.len()));
        match end {
            None => {}
            Some(0) => self.close(id),
            Some(end) => {
                let line = bytes[..end].to_vec();
                self.answer(id, &line);
            }
        }
    }

    fn answer(&mut self, id: ConnId, line: &[u8]) {
        let now = self.net.clock.now();
        let answer = match call::read(line) {
            Err(why) => format!("fail {why}\n"),
            Ok(Call::Health) => match self.check_ready(now) {
                Ok(()) => "ok ready\n".into(),
                Err(why) => format!("fail {why}\n"),
            },
            Ok(Call::Counters) => format!("ok\n{}eof\n", self.shared.metrics.text()),
            Ok(Call::Change(change)) => match self.change(now, &change) {
                Ok(said) => format!("ok {said}\n"),
                Err(why) => format!("fail {why}\n"),
            },
        };
        if let Some(caller) = self.callers.get_mut(&id) {
            *caller = Caller {
                since: now,
                answered: true,
            };
        }
        if let Some(conn) = self.net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
            conn.send(answer.as_bytes());
        }
        match self.net.flush(id, false) {
            TransferProgress::Alive => self.end(id),
            _ => self.close(id),
        }
    }

    /// Whether this process is ready to serve. The other processes are told first: the one before
    /// may be told to stop as soon as somebody has heard that this one is.
    fn check_ready(&mut self, now: Time) -> Result<(), Unready> {
        let ready = health::ready(now, &lock(&self.shared.standing));
        if let Some(folder) = &mut self.folder {
            let leaving = lock(&self.shared.standing).leaving;
            let told = Told {
                ready: ready.is_ok(),
                shares_socket: self.shares_socket,
                leaving,
                ..Told::default()
            };
            folder.tell(told).unwrap_or_else(|e| told_as(&e, ()));
        }
        ready
    }

    /// Ends this side once the answer is out; what its caller still sends is read and dropped,
    /// since a close with bytes unread would take the answer with it.
    fn end(&mut self, id: ConnId) {
        if let Some(conn) = self.net.get_mut(id).filter(|c| Conn::flushed(c)) {
            conn.end_output();
        }
    }

    fn change(&mut self, now: Time, change: &Change) -> Result<String, Refused> {
        let listed = lock(&self.shared.listed).clone();
        let orders = self.shared.orders();
        let mut said = None;
        let mut decide = |wanted: &Wanted| -> Result<Option<Wanted>, Refused> {
            let verdict = wanted.on_change(now, change, |id| listed.contains(id))?;
            let (wanted, why) = match verdict {
                Verdict::Same(why) => (None, why),
                Verdict::Set(wanted, why) => (Some(wanted), why),
            };
            said = Some(why.to_string());
            Ok(wanted)
        };
        let changed = match &mut self.folder {
            Some(folder) => folder.change(now, &orders.wanted, decide)?,
            None => decide(&orders.wanted)?.map(|wanted| (wanted, Ok(()))),
        };
        let mut said = said.unwrap_or_default();
        if let Some((wanted, kept)) = changed {
            log::info!("by hand: {said}");
            if let Err(e) = kept {
                log::error!("what is set by hand is not kept: {e}");
                said = format!("{said}, until this process ends: {e}");
            }
            self.shared.order(Orders {
                wanted,
                ..(*orders).clone()
            });
        }
        Ok(said)
    }

    /// Lets those go whose time is over, and looks at what the other processes have left.
    fn look(&mut self) {
        let now = self.net.clock.now();
        let most = |c: &Caller| if c.answered { LINGER } else { PATIENCE };
        let over = self
            .callers
            .iter()
            .filter(|(_, c)| now.since(c.since) >= most(c));
        let over: Vec<ConnId> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.close(id));
        if now.since(self.looked) < LOOK {
            return;
        }
        self.looked = now;
        self.hand_over();
        self.look_round(now);
    }

    /// Hands the clients' socket to those that ask for it.
    fn hand_over(&mut self) {
        while let Some((asks, _)) = self.offers.as_ref().and_then(|l| l.accept().ok()) {
            let listener = lock(&self.shared.listener);
            let Some(listener) = listener.as_ref() else {
                return;
            };
            match handover::offer(&asks, listener) {
                Ok(()) => log::info!("the clients' socket is another process's too"),
                Err(e) => log::warn!("the clients' socket was not handed over: {e}"),
            }
        }
    }

    /// Tells the other processes how this one stands, and takes in what they have changed.
    fn look_round(&mut self, now: Time) {
        let orders = self.shared.orders();
        // Its answer is for the other processes.
        let _ = self.check_ready(now);
        let Some(folder) = &mut self.folder else {
            return;
        };
        let others = folder
            .others()
            .unwrap_or_else(|e| told_as(&e, orders.others.clone()));
        let wanted = folder.read(now).unwrap_or_else(|e| told_as(&e, None));
        let wanted = wanted.filter(|w| w.revision > orders.wanted.revision);
        if folder::is_due(self.kept, now) {
            self.kept = now;
            let kept = folder.change(now, &orders.wanted, |w| Ok::<_, Refused>(Some(w.clone())));
            if let Ok(Some((_, Err(e)))) = kept {
                told_as(&e, ());
            }
        }
        if wanted.is_some() || others != orders.others {
            let wanted = wanted.unwrap_or_else(|| orders.wanted.clone());
            self.shared.order(Orders { wanted, others });
        }
    }

    /// Ends a caller's connection: the one place where it is given back.
    fn close(&mut self, id: ConnId) {
        self.callers.remove(&id);
        self.net.close(id);
    }
}
