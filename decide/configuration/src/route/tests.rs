//! Tests of `route`.
