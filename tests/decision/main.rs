//! The decision module alone, in virtual time: events in, actions out.

mod admission;
mod fleet;
mod hedging;
mod idle_connections;
mod ordinary_path;
mod poison_queries;
mod properties;
mod query_ends;
mod retries;
mod server_health;
mod server_list;
mod slow_start;
mod support;
