//! A scripted model server on loopback: it serves requests in a bounded number of slots with a stream
//! of events, registers with the control machines, and keeps a ledger of what was received, run and
//! rejected. Faults are set by script.

mod admission;
mod connection;
mod description;
mod fault;
pub mod heartbeat;
mod ledger;

pub use admission::RequestLoad;
pub use description::ServerDescription;
pub use fault::Fault;
pub use ledger::{Entry, Event, Ledger};

use crate::sync::lock;
use fault::{LateResponses, Script};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// What the threads of a server share.
#[derive(Debug)]
struct Shared {
    description: ServerDescription,
    address: SocketAddr,
    ledger: Ledger,
    script: Mutex<Script>,
    load: Mutex<RequestLoad>,
    /// A slot was released, or the server ended.
    freed: Condvar,
    open_connections: Mutex<Vec<TcpStream>>,
    draining: AtomicBool,
    unhealthy: AtomicBool,
    stopped: AtomicBool,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}

/// A server that runs. Dropped, it crashes.
#[derive(Debug)]
pub struct ModelServer {
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// What happened.
    pub ledger: Ledger,
    shared: Arc<Shared>,
}

impl ModelServer {
    /// Starts a server at an address; port 0: at a free one.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn start(description: ServerDescription, at: SocketAddr) -> std::io::Result<ModelServer> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let ledger = Ledger::new();
        let shared = Arc::new(Shared {
            description,
            address,
            ledger: ledger.clone(),
            script: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            open_connections: Mutex::default(),
            draining: AtomicBool::new(false),
            unhealthy: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        thread::spawn(move || connection::accept(&listener, &accepting));
        Ok(ModelServer {
            address,
            ledger,
            shared,
        })
    }

    /// The properties of the server.
    #[must_use]
    pub fn description(&self) -> &ServerDescription {
        &self.shared.description
    }

    /// The next requests meet these faults, one each; `None`: none.
    pub fn next_faults(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        lock(&self.shared.script).next.extend(faults);
    }

    /// From now on every request meets this fault, unless [`ModelServer::next_faults`] says
    /// otherwise.
    pub fn always_fault(&self, fault: Option<Fault>) {
        lock(&self.shared.script).always = fault;
    }

    /// From now on a share of responses, 0 to 1, is sent once more, late ([`Fault::LateResponse`]);
    /// which ones follows from the seed. Requests with another fault are not among them.
    pub fn repeat_responses(&self, share: f64, seed: u64) {
        lock(&self.shared.script).late_responses = Some(LateResponses::new(share, seed));
    }

    /// Sets whether the health check passes; requests are accepted in either case.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.unhealthy.store(!healthy, Ordering::SeqCst);
    }

    /// Requests running and waiting.
    #[must_use]
    pub fn load(&self) -> RequestLoad {
        *lock(&self.shared.load)
    }

    /// Starts to send heartbeats to these control machines.
    #[must_use]
    pub fn register(
        &self,
        control: Vec<SocketAddr>,
        interval: Duration,
    ) -> heartbeat::Registration {
        heartbeat::Registration::start(self.shared.clone(), control, interval)
    }

    /// Ends without deregistration: connections are closed, and the address refuses new ones.
    pub fn crash(&self) {
        if self.shared.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in lock(&self.shared.open_connections).drain(..) {
            // One that is gone already needs no end.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.shared.freed.notify_all();
        // Wakes the thread that accepts, so that the listener goes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

impl Drop for ModelServer {
    fn drop(&mut self) {
        self.crash();
    }
}

#[cfg(test)]
mod tests;
