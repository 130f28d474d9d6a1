//! Ids of requests, services and attempts: plain numbers, below everything that passes them on.

/// Id of a request. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RequestId(pub u64);

/// Id of a service. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ServiceId(pub u32);

/// Id of an attempt of any service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    /// Its service.
    pub service: ServiceId,
    /// Its number there.
    pub number: u64,
}
