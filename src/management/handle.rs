//! The handle by which the broker's loop reaches the management thread, and the start of that
//! thread.

use super::folder::{self, SharedFolder};
use super::handover;
use super::metrics::Metrics;
use super::shared::{lock, Orders, Shared};
use super::thread::{reserved_descriptors, ManagementThread, OWN_DESCRIPTORS};
use super::warnings::warn_or;
use crate::config::Platform;
use crate::decide::descriptors::DISCOVERY_RESERVE;
use crate::interface::{Micros, Time};
use crate::net::{Clock, Net};
use lichenswitch_management::health::HealthStatus;
use lichenswitch_management::processes::ProcessStatus;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

/// How often the loop reports its status (microseconds).
const STATUS_INTERVAL: Micros = 100_000;

/// Why operators can't call.
#[derive(Debug, thiserror::Error)]
pub enum ManagementError {
    /// There is no poller or thread for it.
    #[error("management: {0}")]
    System(#[from] io::Error),
}

/// The handle by which the broker's loop and the management thread exchange state.
pub struct ManagementHandle {
    shared: Arc<Shared>,
    /// Readable whenever there are new orders.
    wake_stream: Option<UnixStream>,
    /// When the loop last reported its status.
    reported_at: Time,
    /// The socket that the process before this one has handed over.
    listener: Option<TcpListener>,
    /// What the processes of this broker share, and the id of this one.
    folder: Option<(PathBuf, u32)>,
}

impl ManagementHandle {
    /// Starts the thread that answers operators; `None` where no address is set for it.
    ///
    /// # Errors
    /// When the system gives no poller or no thread. An address in use is no error: it is tried
    /// again.
    pub fn open(platform: &Platform) -> Result<Option<ManagementHandle>, ManagementError> {
        let Some(address) = platform.management else {
            return Ok(None);
        };
        let now = Clock::default().now();
        let mut folder = open_folder(platform);
        let orders = initial_orders(now, folder.as_mut());
        let listener = folder
            .as_ref()
            .and_then(|folder| take_listener(folder, &orders.others, platform.listen));
        let shared_folder = folder
            .as_ref()
            .map(|folder| (folder.path().to_path_buf(), folder.process()));
        let (wake, wake_stream) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        let shared = Arc::new(Shared::new(Metrics::new(&platform.classes), orders, wake));
        let callers = reserved_descriptors(platform.sockets) - OWN_DESCRIPTORS;
        // Of all connections a part is reserved for servers and discovery, of which there are none
        // here.
        let net = Net::of_connections(callers * 3 / 2 + DISCOVERY_RESERVE + 2)?;
        let mut worker = ManagementThread::new(
            now,
            shared.clone(),
            net,
            address,
            folder,
            listener.is_some(),
        );
        thread::Builder::new()
            .name("management".into())
            .spawn(move || worker.run())?;
        Ok(Some(ManagementHandle {
            shared,
            wake_stream: Some(wake_stream),
            reported_at: Time(0),
            listener,
            folder: shared_folder,
        }))
    }

    /// The stream that is readable whenever there are new orders; once.
    pub fn take_wake_stream(&mut self) -> Option<UnixStream> {
        self.wake_stream.take()
    }

    /// What the loop is to follow now.
    #[must_use]
    pub fn orders(&self) -> Arc<Orders> {
        self.shared.orders()
    }

    /// The other processes of this broker that run at this very moment.
    #[must_use]
    pub fn others(&self) -> Vec<ProcessStatus> {
        let Some((path, process)) = &self.folder else {
            return Vec::new();
        };
        folder::others(path, *process).unwrap_or_else(|e| warn_or(&e, self.orders().others.clone()))
    }

    /// The socket that the process before this one has handed over; once.
    pub fn take_listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Offers this socket to the next process.
    pub fn offer_listener(&self, listener: TcpListener) {
        *lock(&self.shared.listener) = Some(listener);
    }

    /// Offers no socket any more: this process closes it.
    pub fn withdraw_listener(&self) {
        *lock(&self.shared.listener) = None;
    }

    /// Reports which servers are listed.
    pub fn report_servers(&self, names: BTreeSet<String>) {
        *lock(&self.shared.listed) = Arc::new(names);
    }

    /// When the loop is to report its status next.
    #[must_use]
    pub fn next(&self) -> Time {
        self.reported_at.plus(STATUS_INTERVAL)
    }

    /// The metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Reports the status of the loop at the end of a turn.
    pub fn report_status(&mut self, now: Time, status: HealthStatus) {
        self.reported_at = now;
        *lock(&self.shared.status) = HealthStatus {
            last_turn_at: now,
            ..status
        };
    }
}

/// The folder that the processes of this broker share, if there can be one.
fn open_folder(platform: &Platform) -> Option<SharedFolder> {
    let Some(scratch) = &platform.scratch else {
        log::warn!("TMPDIR is not set: what is set by hand ends with this process");
        return None;
    };
    let owner = format!("{} {}", platform.name, platform.listen);
    SharedFolder::open(scratch, &owner)
        .map(Some)
        .unwrap_or_else(|e| warn_or(&e, None))
}

/// What this process takes over from those that run.
fn initial_orders(now: Time, folder: Option<&mut SharedFolder>) -> Orders {
    let Some(folder) = folder else {
        return Orders::default();
    };
    let others = folder.others().unwrap_or_else(|e| warn_or(&e, Vec::new()));
    let stored = folder
        .read_if_changed(now)
        .unwrap_or_else(|e| warn_or(&e, None));
    Orders {
        desired: stored.unwrap_or_default().on_start(!others.is_empty()),
        others,
    }
}

/// The clients' socket of the first of these processes that offers one at this address.
fn take_listener(
    folder: &SharedFolder,
    others: &[ProcessStatus],
    address: SocketAddr,
) -> Option<TcpListener> {
    others
        .iter()
        .find_map(|other| take_offered(&folder.handover_path(other.process), address))
}

/// The clients' socket of the process that offers it there, if it is of this address.
fn take_offered(path: &Path, address: SocketAddr) -> Option<TcpListener> {
    let listener = handover::take(path).and_then(|l| Ok((l.local_addr()?, l)));
    match listener {
        Ok((at, listener)) if at == address => Some(listener),
        Ok((at, _)) => {
            log::warn!("the process before this one listens at {at}, not at {address}");
            None
        }
        Err(e) => {
            log::warn!("the clients' socket was not handed over: {e}");
            None
        }
    }
}
