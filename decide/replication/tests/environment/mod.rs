//! Numbers that the environment may set, for longer searches.

use std::str::FromStr;

/// The number in this variable, or the default.
pub fn number<T: FromStr>(name: &str, default: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
