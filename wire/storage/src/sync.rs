//! Threads and locks: the system's, or those of a scheduler that explores interleavings in this
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
