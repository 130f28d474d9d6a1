//! Tests of `heartbeat`.
