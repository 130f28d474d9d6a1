//! Settings of a process, read from a file that the platform writes.
//!
//! Unknown fields are ignored. *All* invalid fields of a file are reported at once, each by its
//! key. `model` defines the typed settings, `parse` reads a file into them, `fields` reads single
//! fields.

mod error;
mod fields;
mod model;
mod parse;

use std::path::PathBuf;

pub use error::{FieldError, FieldErrors, SettingsError};
pub use model::{Bounds, FaultTolerance, Limits, ListenAddresses, PortRange, Settings};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "LICHENSWITCH_CONFIG";

/// Returns the path of the settings file: `option` if given, else the value of [`PATH_VARIABLE`].
///
/// # Errors
/// Returns [`SettingsError::NoPath`] if neither is given.
pub fn path(option: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
    let variable = || std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
    option.or_else(variable).ok_or(SettingsError::NoPath)
}
