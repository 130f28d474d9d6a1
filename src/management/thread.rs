//! The management thread: it accepts callers, answers their calls, and exchanges state with the
//! other processes of the broker.

use super::folder::{self, AppliedChange, SharedFolder};
use super::handover;
use super::shared::{lock, Orders, Shared};
use super::warnings::{warn_once, warn_or};
use crate::interface::{Micros, Time};
use crate::net::{Conn, ConnId, Net, Owner, Ready, TransferProgress};
use lichenswitch_management::call::{self, Call, Change};
use lichenswitch_management::desired_state::{ChangeError, DesiredState, Verdict};
use lichenswitch_management::health::{self, Lifecycle, NotReadyReason};
use lichenswitch_management::processes::ProcessStatus;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often the thread checks its callers and the folder when nobody calls (microseconds).
const CHECK_INTERVAL: Micros = 100_000;
/// A caller without a complete line is disconnected after this long (microseconds).
const CALL_TIMEOUT: Micros = 10_000_000;
/// How long a caller may take to end its side after its answer (microseconds).
const CLOSE_TIMEOUT: Micros = 1_000_000;
/// The most callers that are served at a time, where descriptors allow it, and the least.
const MAX_CALLERS: usize = 32;
const MIN_CALLERS: usize = 4;
/// One of this many descriptors of a broker may be a caller's.
const DESCRIPTORS_PER_CALLER: usize = 12;
/// The descriptors of the thread beside its callers: listener, poller, and one for files.
pub(super) const OWN_DESCRIPTORS: usize = 6;

/// How many of a broker's descriptors operators' calls take.
#[must_use]
pub fn reserved_descriptors(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_CALLER).clamp(MIN_CALLERS, MAX_CALLERS) + OWN_DESCRIPTORS
}

/// A caller's connection.
struct Caller {
    /// When it was opened, or answered.
    since: Time,
    is_answered: bool,
}

/// The state of the management thread.
pub(super) struct ManagementThread {
    shared: Arc<Shared>,
    net: Net,
    address: SocketAddr,
    is_listening: bool,
    callers: HashMap<ConnId, Caller>,
    /// What the processes of this broker share; `None`: nothing.
    folder: Option<SharedFolder>,
    /// Where the next process asks for the clients' socket.
    handover: Option<UnixListener>,
    /// This process has that socket from the one before.
    shares_socket: bool,
    /// When the desired state was last refreshed, and when the folder was last checked.
    refreshed_at: Time,
    checked_at: Time,
}

impl ManagementThread {
    /// A thread that will listen at this address.
    pub(super) fn new(
        now: Time,
        shared: Arc<Shared>,
        net: Net,
        address: SocketAddr,
        folder: Option<SharedFolder>,
        shares_socket: bool,
    ) -> ManagementThread {
        let handover = folder.as_ref().and_then(listen_for_handover);
        ManagementThread {
            shared,
            net,
            address,
            is_listening: false,
            callers: HashMap::new(),
            folder,
            handover,
            shares_socket,
            refreshed_at: now,
            checked_at: Time(0),
        }
    }

    pub(super) fn run(&mut self) {
        loop {
            self.listen();
            let until = self.net.clock.now().plus(CHECK_INTERVAL);
            match self.net.wait(Some(until)) {
                Ok(all_ready) => all_ready.into_iter().for_each(|ready| self.on_ready(ready)),
                Err(e) => {
                    log::error!("the wait for operators' calls failed: {e}");
                    thread::sleep(Duration::from_micros(CHECK_INTERVAL));
                }
            }
            self.check();
        }
    }

    /// Listens, if it does not yet. Guards a start beside a process that has the address: it is
    /// tried again.
    fn listen(&mut self) {
        if self.is_listening {
            return;
        }
        match self.net.listen(Owner::Operators, self.address) {
            Ok(address) => {
                self.is_listening = true;
                log::info!("operators call at {address}");
            }
            Err(e) => warn_once(&format!(
                "operators can't call at {} yet: {e}",
                self.address
            )),
        }
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Listener(_) => self.accept(),
            Ready::Conn(id, _) => self.on_readable(id),
            Ready::Signal(_) => {}
        }
    }

    /// Accepts all that wait. Guards callers with a call against those that only hold connections:
    /// the oldest one makes room, before those the ones that have their answer.
    fn accept(&mut self) {
        loop {
            for id in self.net.accept(Owner::Operators) {
                let caller = Caller {
                    since: self.net.clock.now(),
                    is_answered: false,
                };
                self.callers.insert(id, caller);
                // What was sent with the connection is read before any caller has to make room.
                self.on_readable(id);
            }
            if !self.net.is_accept_paused() {
                return;
            }
            let oldest = self
                .callers
                .iter()
                .min_by_key(|(_, c)| (!c.is_answered, c.since))
                .map(|(id, _)| *id);
            let Some(id) = oldest else { return };
            self.close(id);
        }
    }

    /// Reads what a caller has sent, and answers a complete line.
    fn on_readable(&mut self, id: ConnId) {
        let progress = self.net.transfer(id, call::MAX_LINE_BYTES + 1);
        let (Some(caller), Some(conn)) = (self.callers.get(&id), self.net.get_mut(id)) else {
            return;
        };
        if progress != TransferProgress::Alive {
            return self.close(id);
        }
        if caller.is_answered {
            conn.input.consume(conn.input.bytes().len());
            return match conn.ended {
                true if conn.flushed() => self.close(id),
                _ => self.end_output(id),
            };
        }
        let bytes = conn.input.bytes();
        let line_end = bytes.iter().position(|b| *b == b'\n').map(|at| at + 1);
        // A line is complete too when the caller has ended its side.
        let is_complete = conn.ended || bytes.len() > call::MAX_LINE_BYTES;
        match line_end.or(is_complete.then_some(bytes.len())) {
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
        let answer = self.handle_call(now, line);
        if let Some(caller) = self.callers.get_mut(&id) {
            *caller = Caller {
                since: now,
                is_answered: true,
            };
        }
        if let Some(conn) = self.net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
            conn.send(answer.as_bytes());
        }
        match self.net.flush(id, false) {
            TransferProgress::Alive => self.end_output(id),
            _ => self.close(id),
        }
    }

    /// Handles a call; returns the answer.
    fn handle_call(&mut self, now: Time, line: &[u8]) -> String {
        match call::parse(line) {
            Err(error) => format!("fail {error}\n"),
            Ok(Call::Health) => match self.check_ready(now) {
                Ok(()) => "ok ready\n".into(),
                Err(reason) => format!("fail {reason}\n"),
            },
            Ok(Call::Counters) => format!("ok\n{}eof\n", self.shared.metrics.text()),
            Ok(Call::Change(change)) => match self.change(now, &change) {
                Ok(outcome) => format!("ok {outcome}\n"),
                Err(error) => format!("fail {error}\n"),
            },
        }
    }

    /// Whether this process is ready to serve. The other processes are notified first: the one
    /// before may be asked to stop as soon as somebody knows that this one is ready.
    fn check_ready(&mut self, now: Time) -> Result<(), NotReadyReason> {
        let ready = health::check_ready(now, &lock(&self.shared.status));
        if let Some(folder) = &mut self.folder {
            let lifecycle = lock(&self.shared.status).lifecycle;
            let status = ProcessStatus {
                is_ready: ready.is_ok(),
                shares_socket: self.shares_socket,
                is_leaving: lifecycle == Lifecycle::Leaving,
                ..ProcessStatus::default()
            };
            folder.publish(status).unwrap_or_else(|e| warn_or(&e, ()));
        }
        ready
    }

    /// Ends this side once the answer is sent. What the caller still sends is read and dropped,
    /// since a close with bytes unread would lose the answer.
    fn end_output(&mut self, id: ConnId) {
        if let Some(conn) = self.net.get_mut(id).filter(|c| Conn::flushed(c)) {
            conn.end_output();
        }
    }

    /// Changes the desired state; returns the outcome in a sentence.
    fn change(&mut self, now: Time, change: &Change) -> Result<String, ChangeError> {
        let listed = lock(&self.shared.listed).clone();
        let orders = self.shared.orders();
        let mut outcome = None;
        let mut decide = |state: &DesiredState| -> Result<Option<DesiredState>, ChangeError> {
            let verdict = state.on_change(now, change, |id| listed.contains(id))?;
            let (changed, reason) = match verdict {
                Verdict::Unchanged(reason) => (None, reason),
                Verdict::Changed(state, reason) => (Some(state), reason),
            };
            outcome = Some(reason.to_string());
            Ok(changed)
        };
        let applied = match &mut self.folder {
            Some(folder) => folder.change(now, &orders.desired, decide)?,
            None => decide(&orders.desired)?.map(AppliedChange::in_memory),
        };
        let mut outcome = outcome.unwrap_or_default();
        if let Some(applied) = applied {
            log::info!("by hand: {outcome}");
            if let Err(e) = applied.stored {
                log::error!("what is set by hand is not kept: {e}");
                outcome = format!("{outcome}, until this process ends: {e}");
            }
            self.shared.set_orders(Orders {
                desired: applied.state,
                others: orders.others.clone(),
            });
        }
        Ok(outcome)
    }

    /// Disconnects callers whose time is over, and exchanges state with the other processes.
    fn check(&mut self) {
        let now = self.net.clock.now();
        let timeout = |caller: &Caller| match caller.is_answered {
            true => CLOSE_TIMEOUT,
            false => CALL_TIMEOUT,
        };
        let expired = self
            .callers
            .iter()
            .filter(|(_, caller)| now.since(caller.since) >= timeout(caller));
        let expired: Vec<ConnId> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.close(id));
        if now.since(self.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.hand_over();
        self.exchange(now);
    }

    /// Hands the clients' socket over to processes that ask for it.
    fn hand_over(&mut self) {
        while let Some((process, _)) = self.handover.as_ref().and_then(|l| l.accept().ok()) {
            let listener = lock(&self.shared.listener);
            let Some(listener) = listener.as_ref() else {
                return;
            };
            match handover::offer(&process, listener) {
                Ok(()) => log::info!("the clients' socket is another process's too"),
                Err(e) => log::warn!("the clients' socket was not handed over: {e}"),
            }
        }
    }

    /// Reports this process to the others, and takes over what they have changed.
    fn exchange(&mut self, now: Time) {
        let orders = self.shared.orders();
        // The answer is for the other processes.
        let _ = self.check_ready(now);
        let Some(folder) = &mut self.folder else {
            return;
        };
        let others = folder
            .others()
            .unwrap_or_else(|e| warn_or(&e, orders.others.clone()));
        let desired = folder
            .read_if_changed(now)
            .unwrap_or_else(|e| warn_or(&e, None))
            .filter(|state| state.revision > orders.desired.revision);
        if folder::is_refresh_due(self.refreshed_at, now) {
            self.refreshed_at = now;
            let refreshed = folder.change(now, &orders.desired, |state| {
                Ok::<_, ChangeError>(Some(state.clone()))
            });
            if let Ok(Some(AppliedChange { stored: Err(e), .. })) = refreshed {
                warn_or(&e, ());
            }
        }
        if desired.is_some() || others != orders.others {
            let desired = desired.unwrap_or_else(|| orders.desired.clone());
            self.shared.set_orders(Orders { desired, others });
        }
    }

    /// Closes a caller's connection: the only place that does.
    fn close(&mut self, id: ConnId) {
        self.callers.remove(&id);
        self.net.close(id);
    }
}

/// Listens where the next process asks for the clients' socket.
fn listen_for_handover(folder: &SharedFolder) -> Option<UnixListener> {
    let path = folder.handover_path(folder.process());
    // Guards against the socket of a former process of the same id.
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(&path).and_then(|l| l.set_nonblocking(true).map(|()| l));
    if let Err(e) = &listener {
        log::warn!(
            "{}: the next process can't take the door here: {e}",
            path.display()
        );
    }
    listener.ok()
}
