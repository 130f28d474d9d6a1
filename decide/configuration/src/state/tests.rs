//! Tests of `state`.
