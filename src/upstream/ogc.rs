//! The wire to data nodes that speak OGC API Features.
