//! Tests of `table`.
