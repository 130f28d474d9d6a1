//! Tests of `document`.
