//! Tests of `update`.
