//! Tests of `json`.
