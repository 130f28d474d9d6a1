//! Tests of `members`.
