//! The handle by which the broker's loop reaches the management thread, and the start of that
//! thread.

use super::{
    folder, handover, lock, set_aside, told_as, Failure, ManagementThread, Metrics, Orders, Shared,
    BEAT, BESIDE,
};
use crate::config::Platform;
use crate::decide::descriptors::DISCOVERY;
use crate::interface::Time;
use crate::net::{Clock, Net};
use folder::Folder;
use lichenswitch_management::health::Standing;
use lichenswitch_management::processes::Told;
use lichenswitch_management::wanted::Wanted;
use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;

/// The handle by which the broker's loop and the management thread exchange state.
pub struct ManagementHandle {
    shared: Arc<Shared>,
    /// Can be read whenever there are new orders.
    woken: Option<UnixStream>,
    /// When the others were last told how this process stands.
    told: Time,
    /// The socket that the process before this one has handed over.
    listener: Option<TcpListener>,
    /// What the processes of this broker share, and this one's number.
    folder: Option<(PathBuf, u32)>,
}

impl ManagementHandle {
    /// Starts the thread that answers operators, where an address is set for it.
    ///
    /// # Errors
    /// When the system gives no poller or no thread. An address in use is no error: it is tried
    /// again.
    pub fn open(told: &Platform) -> Result<Option<ManagementHandle>, Failure> {
        let Some(address) = told.management else {
            return Ok(None);
        };
        let now = Clock::default().now();
        let (mut wanted, mut others, mut listener) = (Wanted::default(), Vec::new(), None);
        let mut folder = folder_of(told);
        if let Some(folder) = &mut folder {
            others = folder.others().unwrap_or_else(|e| told_as(&e, Vec::new()));
            let kept = folder.read(now).unwrap_or_else(|e| told_as(&e, None));
            wanted = kept.unwrap_or_default().on_start(!others.is_empty());
            listener = others
                .iter()
                .find_map(|o| take_offered(&folder.handover_path(o.process), told.listen));
        }
        let (wake, woken) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            metrics: Metrics::new(&told.classes),
            listed: Mutex::default(),
            standing: Mutex::default(),
            orders: Mutex::new(Arc::new(Orders { wanted, others })),
            listener: Mutex::default(),
            wake,
        });
        let callers = set_aside(told.sockets) - BESIDE;
        // Of all connections a part is kept for servers and discovery, of which there are none
        // here.
        let net = Net::of_connections(callers * 3 / 2 + DISCOVERY + 2)?;
        let offers = folder.as_ref().and_then(|folder| {
            let path = folder.handover_path(folder.process());
            // Guards against what a process of the same number has left.
            let _ = std::fs::remove_file(&path);
            let offers =
                UnixListener::bind(&path).and_then(|l| l.set_nonblocking(true).map(|()| l));
            offers
                .map_err(|e| {
                    log::warn!(
                        "{}: the next process can't take the door here: {e}",
                        path.display()
                    )
                })
                .ok()
        });
        let shares = folder
            .as_ref()
            .map(|f| (f.path().to_path_buf(), f.process()));
        let mut worker = ManagementThread {
            shared: shared.clone(),
            net,
            address,
            listens: false,
            callers: HashMap::new(),
            folder,
            offers,
            shares_socket: listener.is_some(),
            kept: now,
            looked: Time(0),
        };
        thread::Builder::new()
            .name("management".into())
            .spawn(move || worker.run())?;
        Ok(Some(ManagementHandle {
            shared,
            woken: Some(woken),
            told: Time(0),
            listener,
            folder: shares,
        }))
    }

    /// The stream that can be read whenever there are new orders; once.
    pub fn take_woken(&mut self) -> Option<UnixStream> {
        self.woken.take()
    }

    /// What the loop is to do now.
    #[must_use]
    pub fn orders(&self) -> Arc<Orders> {
        self.shared.orders()
    }

    /// The other processes of this broker that are alive at this very moment.
    #[must_use]
    pub fn others(&self) -> Vec<Told> {
        let Some((path, process)) = &self.folder else {
            return Vec::new();
        };
        folder::others(path, *process).unwrap_or_else(|e| told_as(&e, self.orders().others.clone()))
    }

    /// The socket that the process before this one has handed over; once.
    pub fn take_listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Offers this socket to the next process.
    pub fn offer_listener(&self, listener: TcpListener) {
        *lock(&self.shared.listener) = Some(listener);
    }

    /// Offers it no more: this process closes it.
    pub fn withdraw_listener(&self) {
        *lock(&self.shared.listener) = None;
    }

    /// Tells which servers are listed.
    pub fn on_listed(&self, names: BTreeSet<String>) {
        *lock(&self.shared.listed) = Arc::new(names);
    }

    /// When the thread is to be told next how the process stands.
    #[must_use]
    pub fn next(&self) -> Time {
        self.told.plus(BEAT)
    }

    /// The figures.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Tells how the process stands.
    pub fn on_standing(&mut self, now: Time, standing: Standing) {
        self.told = now;
        *lock(&self.shared.standing) = Standing {
            beat: now,
            ..standing
        };
    }
}

/// The folder that the processes of this broker share, if there can be one.
fn folder_of(told: &Platform) -> Option<Folder> {
    let Some(scratch) = &told.scratch else {
        log::warn!("TMPDIR is not set: what is set by hand ends with this process");
        return None;
    };
    let owner = format!("{} {}", told.name, told.listen);
    Folder::open(scratch, &owner)
        .map(Some)
        .unwrap_or_else(|e| told_as(&e, None))
}

/// The clients' socket of the process that offers it there, if it is of this address.
fn take_offered(path: &Path, address: SocketAddr) -> Option<TcpListener> {
    let taken = handover::take(path).and_then(|l| Ok((l.local_addr()?, l)));
    match taken {
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
