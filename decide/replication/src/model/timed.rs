//! The world in one virtual time.
