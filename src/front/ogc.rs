//! The OGC API Features front.
