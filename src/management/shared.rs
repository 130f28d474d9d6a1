//! What the loop that serves clients and the management thread leave for each other.

use super::metrics::Metrics;
use lichenswitch_management::desired_state::DesiredState;
use lichenswitch_management::health::HealthStatus;
use lichenswitch_management::processes::ProcessStatus;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the loop is to follow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// What operators have set.
    pub desired: DesiredState,
    /// The other processes of this broker that run.
    pub others: Vec<ProcessStatus>,
}

/// The state that both sides share.
pub(super) struct Shared {
    pub(super) metrics: Metrics,
    /// The servers that discovery lists.
    pub(super) listed: Mutex<Arc<BTreeSet<String>>>,
    /// What the loop has reported last.
    pub(super) status: Mutex<HealthStatus>,
    orders: Mutex<Arc<Orders>>,
    /// The socket that clients connect to, for the next process; `None`: this one has none, or is
    /// leaving it.
    pub(super) listener: Mutex<Option<TcpListener>>,
    /// Wakes the loop.
    wake: UnixStream,
}

/// Locks a mutex, also after a panic of another thread: what it guards is always consistent.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// The state at the start; whatever is written to `wake` wakes the loop.
    pub(super) fn new(metrics: Metrics, orders: Orders, wake: UnixStream) -> Shared {
        Shared {
            metrics,
            listed: Mutex::default(),
            status: Mutex::default(),
            orders: Mutex::new(Arc::new(orders)),
            listener: Mutex::default(),
            wake,
        }
    }

    pub(super) fn orders(&self) -> Arc<Orders> {
        lock(&self.orders).clone()
    }

    /// Replaces the orders, and wakes the loop.
    pub(super) fn set_orders(&self, orders: Orders) {
        *lock(&self.orders) = Arc::new(orders);
        // A pipe that is full wakes the loop all the same.
        let _ = (&self.wake).write(&[1]);
    }
}
