//! Tests of `routes`.
