//! The log: JSON lines on standard error.
