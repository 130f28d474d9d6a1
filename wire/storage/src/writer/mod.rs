//! The one thread that writes, so that a stalled disk holds up nothing else.
//!
//! Jobs are done in the order in which they were submitted; appends that wait together share one
//! write and one sync. After a failure all jobs fail that were submitted before
//! [`Writer::completions`] told of it: a record is never stored behind a gap.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use crate::error::StorageError;
use crate::storage::{Storage, Usage};
use crate::sync::{Arc, Builder, Condvar, JoinHandle, Mutex, MutexGuard};

/// Something to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteRequest {
    /// Records, as [`Storage::append`] takes them.
    Append(Vec<Vec<u8>>),
    /// An image, as [`Storage::replace_snapshot`] takes it.
    ReplaceSnapshot(Vec<u8>),
}

/// The end of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Its ticket.
    pub write_id: u64,
    /// How full the storage is now, or why nothing was stored.
    pub result: Result<Usage, StorageError>,
    /// Failures of the thread up to and with this one.
    failures: u64,
}

/// A job in the queue.
struct Queued {
    write_id: u64,
    job: WriteRequest,
    /// Failures that the submitter had been told of.
    failures_known: u64,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Queued>,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    arrived: Condvar,
    completions: Mutex<Vec<Completion>>,
}

/// A lock whose holder panicked is taken all the same: each holder leaves what it guards whole.
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
    /// When each job was submitted whose completion hasn't been taken, oldest first.
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
    /// When the stream can't be set or no thread be had.
    pub fn start(storage: Storage, wake: UnixStream) -> io::Result<Self> {
        wake.set_nonblocking(true)?;
        // A stream that is full wakes its reader anyhow, and one that has been closed has none.
        Self::start_with(storage, move || drop((&wake).write(&[1])))
    }

    /// Starts the thread with another way to wake the caller; it must not block.
    ///
    /// # Errors
    /// When no thread can be had.
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

    /// Hands a job to the thread. Its completion will bear the ticket.
    pub fn submit(&mut self, write_id: u64, job: WriteRequest) {
        self.outstanding.push_back(Instant::now());
        let queued = Queued {
            write_id,
            job,
            failures_known: self.failures_known,
        };
        lock(&self.shared.queue).jobs.push_back(queued);
        self.shared.arrived.notify_one();
    }

    /// Takes what was completed since the last call, in the order of submission. Jobs that are
    /// submitted from now on take place whatever failed before: the caller knows of it.
    pub fn completions(&mut self) -> Vec<Completion> {
        let completions = std::mem::take(&mut *lock(&self.shared.completions));
        self.outstanding.drain(..completions.len());
        if let Some(last) = completions.last() {
            self.failures_known = last.failures;
        }
        completions
    }

    /// Number of jobs whose completion hasn't been taken.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// How long ago the oldest job was submitted whose completion hasn't been taken: what a stalled
    /// disk shows in.
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

    /// Waits until all jobs have been done and the thread has ended, and gives the storage back.
    /// `None` if the thread had panicked.
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
    /// Lets the thread end once it has done what was submitted, without waiting for it.
    fn drop(&mut self) {
        self.end();
    }
}

/// The thread's end.
struct Worker {
    shared: Arc<Shared>,
    storage: Storage,
    wake: Box<dyn FnMut() + Send>,
    /// Jobs, or groups of them, that the storage refused.
    failures: u64,
}

impl Worker {
    fn run(mut self) -> Storage {
        while let Some(mut jobs) = self.wait_for_jobs() {
            while !jobs.is_empty() {
                self.do_next(&mut jobs);
            }
        }
        self.storage
    }

    /// All jobs that wait, or `None` once there will be none.
    fn wait_for_jobs(&self) -> Option<VecDeque<Queued>> {
        let mut queue = lock(&self.shared.queue);
        while queue.jobs.is_empty() {
            if queue.closed {
                return None;
            }
            queue = self
                .shared
                .arrived
                .wait(queue)
                .unwrap_or_else(std::sync::PoisonError::into_inner);
        }
        Some(std::mem::take(&mut queue.jobs))
    }

    /// Does the first job, together with the appends behind it where it is one.
    fn do_next(&mut self, jobs: &mut VecDeque<Queued>) {
        let Some(first) = jobs.pop_front() else {
            return;
        };
        let mut tickets = vec![first.write_id];
        if first.failures_known < self.failures {
            return self.complete(&tickets, &Err(StorageError::EarlierFailed));
        }
        let result = match first.job {
            WriteRequest::ReplaceSnapshot(snapshot) => self.storage.replace_snapshot(&snapshot),
            WriteRequest::Append(mut records) => {
                self.join_appends(&mut records, &mut tickets, jobs);
                self.storage.append(&records)
            }
        };
        self.failures += u64::from(result.is_err());
        let usage = self.storage.usage();
        self.complete(&tickets, &result.map(|()| usage));
    }

    /// Adds the records of the appends that come next, as far as all fit into one block.
    fn join_appends(
        &self,
        records: &mut Vec<Vec<u8>>,
        tickets: &mut Vec<u64>,
        jobs: &mut VecDeque<Queued>,
    ) {
        let mut bytes: usize = records.iter().map(Vec::len).sum();
        while let Some(Queued {
            write_id,
            job: WriteRequest::Append(more),
            failures_known,
        }) = jobs.front_mut()
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
            tickets.push(*write_id);
            jobs.pop_front();
        }
    }

    fn complete(&mut self, tickets: &[u64], result: &Result<Usage, StorageError>) {
        let failures = self.failures;
        let completions = tickets.iter().map(|write_id| Completion {
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
