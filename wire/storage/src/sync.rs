//! Threads and locks: the system's, and those of a scheduler that tries their interleavings in this
//! package's own tests.

#[cfg(test)]
pub(crate) use shuttle::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::{Builder, JoinHandle},
};
#[cfg(not(test))]
pub(crate) use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::{Builder, JoinHandle},
};
