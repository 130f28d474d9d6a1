//! Model servers by their heartbeats, merged as a lattice; members by their leases.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
