//! Numeric settings from environment variables, for longer searches.

use std::str::FromStr;

/// Returns the number in this environment variable, or the default if it is not set.
pub fn number<T: FromStr>(name: &str, default: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
