//! Tests of `order`.
