//! Tests of `lattice`.
