//! Names of requests, services and attempts: plain numbers, below everything that passes them on.

/// Names a request. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RequestId(pub u64);

/// Names a service. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ServiceId(pub u32);

/// Names an attempt of whichever service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Its service.
    pub service: ServiceId,
    /// Its number there.
    pub number: u64,
}
