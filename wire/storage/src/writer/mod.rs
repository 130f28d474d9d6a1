//! The one thread that writes, so that a stalled disk holds up nothing else.
//!
//! Requests are executed in the order in which they were submitted; appends that wait together share
//! one write and one sync. After a failure all requests fail that were submitted before
//! [`Writer::completions`] returned it: a record is never stored after a gap.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use crate::error::StorageError;
use crate::storage::{Storage, Usage};
use crate::sync::{Arc, Builder, Condvar, JoinHandle, Mutex, MutexGuard};

/// A request to store something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// Records, as [`Storage::append`] takes them.
    Append(Vec<Vec<u8>>),
    /// A snapshot, as [`Storage::replace_snapshot`] takes it.
    ReplaceSnapshot(Vec<u8>),
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The id that it was submitted with.
    pub write_id: u64,
    /// How full the storage is now, or why nothing was stored.
    pub result: Result<Usage, StorageError>,
    /// Failures of the thread up to and with this one.
    failures: u64,
}

/// A request in the queue.
struct QueuedWrite {
    write_id: u64,
    request: WriteRequest,
    /// Failures whose completions the submitter had taken.
    failures_known: u64,
}

#[derive(Default)]
struct Queue {
    requests: VecDeque<QueuedWrite>,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    arrived: Condvar,
    completions: Mutex<Vec<Completion>>,
}

/// Locks a mutex, also one that is poisoned: every holder leaves the value consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The submitting end of the thread that owns a [`Storage`]. None of its calls waits for the disk,
/// but for [`Writer::close`].
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<Storage>>,
    /// When each request was submitted whose completion hasn't been taken, oldest first.
    outstanding: VecDeque<Instant>,
    failures_known: u64,
}

impl std::fmt::Debug for Writer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Writer")
            .field("outstanding", &self.outstanding.len())
            .finish_non_exhaustive()
    }
}

impl Writer {
    /// Starts the thread. A byte is written to `wake` when there are completions to take; the other
    /// end is for the caller's loop.
    ///
    /// # Errors
    /// The stream can't be made non-blocking, or no thread can be started.
    pub fn start(storage: Storage, wake: UnixStream) -> io::Result<Self> {
        wake.set_nonblocking(true)?;
        // A stream that is full wakes its reader anyhow, and a closed one has no reader.
        Self::start_with(storage, move || drop((&wake).write(&[1])))
    }

    /// Starts the thread with another way to wake the caller; it must not block.
    ///
    /// # Errors
    /// No thread can be started.
    pub fn start_with(storage: Storage, wake: impl FnMut() + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let worker = Worker {
            shared: shared.clone(),
            storage,
            wake: Box::new(wake),
            failures: 0,
        };
        let thread = Builder::new()
            .name("storage".to_owned())
            .spawn(move || worker.run())?;
        Ok(Self {
            shared,
            thread: Some(thread),
            outstanding: VecDeque::new(),
            failures_known: 0,
        })
    }

    /// Submits a request to the thread. Its completion will have this id.
    pub fn submit(&mut self, write_id: u64, request: WriteRequest) {
        self.outstanding.push_back(Instant::now());
        let queued = QueuedWrite {
            write_id,
            request,
            failures_known: self.failures_known,
        };
        lock(&self.shared.queue).requests.push_back(queued);
        self.shared.arrived.notify_one();
    }

    /// Takes the completions since the last call, in the order of submission. Requests that are
    /// submitted from now on are executed whatever failed before: the caller knows of it.
    pub fn completions(&mut self) -> Vec<Completion> {
        let completions = std::mem::take(&mut *lock(&self.shared.completions));
        self.outstanding.drain(..completions.len());
        if let Some(last) = completions.last() {
            self.failures_known = last.failures;
        }
        completions
    }

    /// Number of requests whose completion hasn't been taken.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Age of the oldest request whose completion hasn't been taken; it shows a stalled disk.
    #[must_use]
    pub fn oldest_outstanding(&self) -> Option<Duration> {
        self.oldest_outstanding_at(Instant::now())
    }

    /// The same at a given time.
    #[must_use]
    pub fn oldest_outstanding_at(&self, now: Instant) -> Option<Duration> {
        self.outstanding
            .front()
            .map(|submitted| now.saturating_duration_since(*submitted))
    }

    /// Waits until all requests have been executed and the thread has ended, and returns the storage;
    /// none if the thread has panicked.
    pub fn close(mut self) -> Option<Storage> {
        self.end();
        self.thread.take()?.join().ok()
    }

    fn end(&self) {
        lock(&self.shared.queue).closed = true;
        self.shared.arrived.notify_one();
    }
}

impl Drop for Writer {
    /// Lets the thread end once it has executed what was submitted, without waiting for it.
    fn drop(&mut self) {
        self.end();
    }
}

/// The thread.
struct Worker {
    shared: Arc<Shared>,
    storage: Storage,
    wake: Box<dyn FnMut() + Send>,
    /// Number of requests, or groups of them, that failed.
    failures: u64,
}

impl Worker {
    fn run(mut self) -> Storage {
        while let Some(mut requests) = self.wait_for_requests() {
            while !requests.is_empty() {
                self.execute_next(&mut requests);
            }
        }
        self.storage
    }

    /// All requests in the queue, or `None` once there will be no more.
    fn wait_for_requests(&self) -> Option<VecDeque<QueuedWrite>> {
        let mut queue = lock(&self.shared.queue);
        while queue.requests.is_empty() {
            if queue.closed {
                return None;
            }
            queue = self
                .shared
                .arrived
                .wait(queue)
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        Some(std::mem::take(&mut queue.requests))
    }

    /// Executes the first request, together with the appends after it if it is one.
    fn execute_next(&mut self, requests: &mut VecDeque<QueuedWrite>) {
        let Some(first) = requests.pop_front() else {
            return;
        };
        let mut write_ids = vec![first.write_id];
        if first.failures_known < self.failures {
            return self.complete(&write_ids, &Err(StorageError::EarlierFailed));
        }
        let result = match first.request {
            WriteRequest::ReplaceSnapshot(snapshot) => self.storage.replace_snapshot(&snapshot),
            WriteRequest::Append(mut records) => {
                self.merge_appends(&mut records, &mut write_ids, requests);
                self.storage.append(&records)
            }
        };
        self.failures += u64::from(result.is_err());
        let usage = self.storage.usage();
        self.complete(&write_ids, &result.map(|()| usage));
    }

    /// Adds the records of the appends that follow, as far as all fit into one block.
    fn merge_appends(
        &self,
        records: &mut Vec<Vec<u8>>,
        write_ids: &mut Vec<u64>,
        requests: &mut VecDeque<QueuedWrite>,
    ) {
        let mut bytes: usize = records.iter().map(Vec::len).sum();
        while let Some(QueuedWrite {
            write_id,
            request: WriteRequest::Append(more),
            failures_known,
        }) = requests.front_mut()
        {
            debug_assert!(
                *failures_known >= self.failures,
                "a submitter never knows less than it did"
            );
            let with_more = bytes + more.iter().map(Vec::len).sum::<usize>();
            if !self.storage.fits(records.len() + more.len(), with_more) {
                return;
            }
            bytes = with_more;
            records.append(more);
            write_ids.push(*write_id);
            requests.pop_front();
        }
    }

    fn complete(&mut self, write_ids: &[u64], result: &Result<Usage, StorageError>) {
        let failures = self.failures;
        let completions = write_ids.iter().map(|write_id| Completion {
            write_id: *write_id,
            result: result.clone(),
            failures,
        });
        lock(&self.shared.completions).extend(completions);
        (self.wake)();
    }
}

#[cfg(test)]
mod tests;
